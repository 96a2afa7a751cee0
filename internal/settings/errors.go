package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// describeDecodeError adds file, line and column to an error of the decoder, and for
// an unknown key the most similar key of the settings type.
func describeDecodeError(name string, into any, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, col := first.Position()
		return errors.Errorf("%s:%d:%d: unknown key %q%s", name, row, col, strings.Join(first.Key(), "."), suggestion(reflect.TypeOf(into), first.Key()))
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, col := dec.Position()
		return errors.Errorf("%s:%d:%d: %v", name, row, col, err)
	}
	return fmt.Errorf("%s: %w", name, err)
}
