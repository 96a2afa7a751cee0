package routing

import (
	"fmt"
	"reflect"
	"slices"
)

// Change is a difference between two configurations.
type Change struct {
	// Op is "add", "remove" or "change".
	Op   string `json:"op"`
	List string `json:"list"`
	Name string `json:"name"`
	// Fields are the changed fields as "Field: old -> new". API keys are only counted.
	Fields []string `json:"fields,omitempty"`
}

// Diff returns what differs in to from the configuration from.
func Diff(from, to Config) []Change {
	changes := diffList(ListRoutes, from.Routes, to.Routes, func(r Route) string { return r.Name })
	changes = append(changes, diffList(ListServices, from.Services, to.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffList(ListAccounts, from.Accounts, to.Accounts, func(a Account) string { return a.Name })...)
	if fields := changedFields(from.Limits, to.Limits); len(fields) > 0 {
		changes = append(changes, Change{Op: "change", List: "limits", Fields: fields})
	}
	return changes
}

func diffList[T any](list string, from, to []T, name func(T) string) []Change {
	var changes []Change
	before := make(map[string]T)
	for _, e := range from {
		before[name(e)] = e
	}
	for _, e := range to {
		old, ok := before[name(e)]
		delete(before, name(e))
		if !ok {
			changes = append(changes, Change{Op: "add", List: list, Name: name(e)})
		} else if fields := changedFields(old, e); len(fields) > 0 {
			changes = append(changes, Change{Op: "change", List: list, Name: name(e), Fields: fields})
		}
	}
	for _, e := range from {
		if _, ok := before[name(e)]; ok {
			changes = append(changes, Change{Op: "remove", List: list, Name: name(e)})
			delete(before, name(e))
		}
	}
	return changes
}

func changedFields(from, to any) []string {
	var fields []string
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		field, old, now := a.Type().Field(i).Name, a.Field(i).Interface(), b.Field(i).Interface()
		switch keys, ok := old.([]string); {
		case reflect.DeepEqual(old, now):
		case ok && field == "Keys":
			next := now.([]string)
			fields = append(fields, fmt.Sprintf("%s: %d added, %d removed", field, missing(next, keys), missing(keys, next)))
		default:
			fields = append(fields, fmt.Sprintf("%s: %s -> %s", field, show(a.Field(i)), show(b.Field(i))))
		}
	}
	return fields
}

// missing returns the number of keys that are not in others.
func missing(keys, others []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}

func show(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "unset"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v.Interface())
}
