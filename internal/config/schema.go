package config

import (
	"encoding"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/azurehatch/azurehatch/internal/spelling"
)

// typeAtPath returns the Go type of the value at a path of the document. If the
// path does not exist, it returns ok false, the number of leading parts that exist
// and their type.
func typeAtPath(path []string) (t reflect.Type, known int, ok bool) {
	t = reflect.TypeFor[document]()
	for i, part := range path {
		switch {
		case t.Kind() == reflect.Map:
			t = t.Elem()
		case t.Kind() == reflect.Struct && !isTextType(t):
			f, ok := fieldByKey(t, part)
			if !ok {
				return t, i, false
			}
			t = f.Type
		default:
			return t, i, false
		}
	}
	return t, len(path), true
}

// isTextType reports whether values of type t are written as TOML strings.
func isTextType(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); tomlKey(f) == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func tomlKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// checkKnown records an error and returns false if the path is not a key of the
// document.
func (p *positions) checkKnown(path []string, offset int) bool {
	t, n, ok := typeAtPath(path)
	if ok {
		return true
	}
	e := p.newError(offset, ErrUnknownKey, path[:n+1], "unknown key")
	if t.Kind() == reflect.Struct && !isTextType(t) {
		var keys []string
		for i := range t.NumField() {
			keys = append(keys, tomlKey(t.Field(i)))
		}
		e.Nearest = spelling.Nearest(path[n], keys)
	}
	p.errs = append(p.errs, e)
	return false
}

// checkIsTable records an error and returns false if the key is not a table.
func (p *positions) checkIsTable(path []string, offset int) bool {
	t, _, _ := typeAtPath(path)
	if t.Kind() == reflect.Map || (t.Kind() == reflect.Struct && !isTextType(t)) {
		return true
	}
	p.errs = append(p.errs, p.newError(offset, ErrWrongType, path, "key is not a table"))
	return false
}

// checkValue records an error and returns false if the value has the wrong type
// or an invalid unit.
func (p *positions) checkValue(path []string, offset int, value *unstable.Node) bool {
	t, _, _ := typeAtPath(path)
	want, kind := expectedKind(t)
	if isTextType(t) {
		text := reflect.New(t).Interface().(encoding.TextUnmarshaler)
		if err := text.UnmarshalText(value.Data); err != nil || value.Kind != unstable.String {
			reason := "write a string with a unit"
			if err != nil {
				reason = err.Error()
			}
			p.errs = append(p.errs, p.newError(offset, ErrUnit, path, reason))
			return false
		}
		return true
	}
	if value.Kind != kind {
		p.errs = append(p.errs, p.newError(offset, ErrWrongType, path, "value is "+describeKind(value.Kind)+", want "+want))
		return false
	}
	if kind == unstable.Array {
		for it := value.Children(); it.Next(); {
			if it.Node().Kind != unstable.String && it.Node().Kind != unstable.Comment {
				p.errs = append(p.errs, p.newError(offset, ErrWrongType, path,
					"list holds "+describeKind(it.Node().Kind)+", want strings"))
				return false
			}
		}
	}
	return true
}

// expectedKind returns the TOML kind for a Go type and its description.
func expectedKind(t reflect.Type) (string, unstable.Kind) {
	switch t.Kind() {
	case reflect.String:
		return "a string", unstable.String
	case reflect.Bool:
		return "true or false", unstable.Bool
	case reflect.Slice:
		return "a list of strings", unstable.Array
	case reflect.Int, reflect.Int64:
		return "an integer", unstable.Integer
	default:
		return "a table", unstable.InlineTable
	}
}

func describeKind(k unstable.Kind) string {
	switch k {
	case unstable.String:
		return "a string"
	case unstable.Bool:
		return "a boolean"
	case unstable.Integer:
		return "an integer"
	case unstable.Float:
		return "a float"
	case unstable.Array:
		return "a list"
	case unstable.InlineTable:
		return "a table"
	default:
		return "a date or time"
	}
}
