package settings

import (
	"reflect"

	"github.com/azurehatch/azurehatch/internal/spelling"
)

// suggestion returns `; did you mean "x"?` if a key similar to the unknown one
// exists, otherwise an empty string.
func suggestion(t reflect.Type, key []string) string {
	for _, part := range key[:max(len(key)-1, 0)] {
		field, ok := fieldTypeByKey(t, part)
		if !ok || field.Kind() != reflect.Struct {
			return ""
		}
		t = field
	}
	if len(key) == 0 {
		return ""
	}
	if near := spelling.Nearest(key[len(key)-1], tomlKeys(t)); near != "" {
		return `; did you mean "` + near + `"?`
	}
	return ""
}

func fieldTypeByKey(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func tomlKeys(t reflect.Type) []string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("toml"))
	}
	return keys
}
