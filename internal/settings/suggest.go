package settings

import (
	"reflect"
	"strings"
)

// maxSuggestDistance is the edit distance up to which a name is suggested.
const maxSuggestDistance = 3

// suggestion returns `; did you mean "x"?` for an unknown key with a near
// known one, else an empty string.
func suggestion(key []string) string {
	t := reflect.TypeOf(Settings{})
	for _, part := range key[:max(len(key)-1, 0)] {
		field, ok := fieldByKey(t, part)
		if !ok || field.Kind() != reflect.Struct {
			return ""
		}
		t = field
	}
	if len(key) == 0 {
		return ""
	}
	if near := Nearest(key[len(key)-1], keysOf(t)); near != "" {
		return `; did you mean "` + near + `"?`
	}
	return ""
}

func fieldByKey(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func keysOf(t reflect.Type) []string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("toml"))
	}
	return keys
}

// Nearest returns the name with the smallest edit distance to s, or an empty
// string if none is near.
func Nearest(s string, names []string) string {
	best, bestDistance := "", maxSuggestDistance+1
	for _, n := range names {
		if d := distance(strings.ToLower(s), strings.ToLower(n)); d < bestDistance {
			best, bestDistance = n, d
		}
	}
	return best
}

// distance is the Levenshtein distance.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
