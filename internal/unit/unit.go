// Package unit defines durations and sizes that are written with their unit in the
// settings and in the operators' configuration.
package unit

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Seconds returns a Duration of n seconds.
func Seconds(n int) Duration { return Duration{time.Duration(n) * time.Second} }

// Duration is a time.Duration written with its unit, for example "30s" or "1m30s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"500ms\", \"30s\" or \"5m\"", text)
	}
	if v <= 0 {
		return errors.Errorf("duration %q is not above zero", text)
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Size is a number of bytes written with its unit, for example "64KiB".
type Size struct{ Bytes int64 }

// sizeUnits is in descending order, so that String finds the largest unit first, and
// the suffix "B" comes last because the others end with it.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n <= 0 || n > (1<<62)/u.bytes {
			break
		}
		s.Bytes = n * u.bytes
		return nil
	}
	return errors.Errorf("%q is not a size such as \"512B\", \"64KiB\" or \"1MiB\"", text)
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String returns the size in the largest unit of which it is a multiple.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s.Bytes%u.bytes == 0 {
			return strconv.FormatInt(s.Bytes/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(s.Bytes, 10) + "B"
}
