package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Duration is a time.Duration written with a unit, such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration with a unit, such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Size is a number of bytes written with a unit, such as "8MiB".
type Size int64

var sizeUnits = []struct {
	suffix string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || v < 0 || v > (1<<62)/u.factor {
			break
		}
		*s = Size(v * u.factor)
		return nil
	}
	return errors.Errorf("%q is not a size with a unit, such as \"8MiB\"", text)
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range sizeUnits {
		if int64(s) >= u.factor && int64(s)%u.factor == 0 {
			return []byte(strconv.FormatInt(int64(s)/u.factor, 10) + u.suffix), nil
		}
	}
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}

// describe turns a decoder's error into one that names file, line and column.
func describe(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, col := first.Position()
		return errors.Errorf("%s:%d:%d: unknown key %q%s", name, row, col, strings.Join(first.Key(), "."), suggestion(first.Key()))
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, col := dec.Position()
		return errors.Errorf("%s:%d:%d: %v", name, row, col, err)
	}
	return fmt.Errorf("%s: %w", name, err)
}
