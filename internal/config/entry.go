package config

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// EntryKind is the kind of a configuration entry.
type EntryKind string

// The kinds of an entry.
const (
	EntryService  EntryKind = "service"
	EntryEndpoint EntryKind = "endpoint"
	EntryAccount  EntryKind = "account"
	EntryBudget   EntryKind = "budget"
	EntryOperator EntryKind = "operator"
)

// entryKinds is the sort order of the kinds.
var entryKinds = []EntryKind{EntryService, EntryEndpoint, EntryAccount, EntryBudget, EntryOperator}

// ID identifies an entry.
type ID struct {
	Kind EntryKind `json:"kind"`
	Name string    `json:"name"`
}

// String returns "kind name".
func (id ID) String() string { return string(id.Kind) + " " + id.Name }

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(slices.Index(entryKinds, a.Kind), slices.Index(entryKinds, b.Kind)),
		cmp.Compare(a.Name, b.Name))
}

// Get returns the entry as a Service, Endpoint, Account, Budget or Operator.
func (c *Config) Get(id ID) (any, bool) {
	switch id.Kind {
	case EntryService:
		return lookupEntry(c.Services, id.Name)
	case EntryEndpoint:
		return lookupEntry(c.Endpoints, id.Name)
	case EntryAccount:
		return lookupEntry(c.Accounts, id.Name)
	case EntryBudget:
		return lookupEntry(c.Budgets, id.Name)
	case EntryOperator:
		return lookupEntry(c.Operators, id.Name)
	}
	return nil, false
}

func lookupEntry[V any](m map[string]V, name string) (any, bool) {
	v, ok := m[name]
	return v, ok
}

// set stores the entry; value must have the type of the id's kind.
func (c *Config) set(id ID, value any) {
	switch v := value.(type) {
	case Service:
		c.Services[id.Name] = v
	case Endpoint:
		c.Endpoints[id.Name] = v
	case Account:
		c.Accounts[id.Name] = v
	case Budget:
		c.Budgets[id.Name] = v
	case Operator:
		c.Operators[id.Name] = v
	default:
		panic(fmt.Sprintf("configuration entry %v has type %T", id, value))
	}
}

// Clone returns a copy whose maps can be modified. Slices inside entries are
// shared with c and must not be modified.
func (c *Config) Clone() *Config {
	return &Config{
		Services:  maps.Clone(c.Services),
		Endpoints: maps.Clone(c.Endpoints),
		Accounts:  maps.Clone(c.Accounts),
		Budgets:   maps.Clone(c.Budgets),
		Operators: maps.Clone(c.Operators),
	}
}

// ids returns the ids of all entries, ordered by kind and name.
func (c *Config) ids() []ID {
	ids := make([]ID, 0, len(c.Services)+len(c.Endpoints)+len(c.Accounts)+len(c.Budgets)+len(c.Operators))
	ids = appendIDs(ids, EntryService, c.Services)
	ids = appendIDs(ids, EntryEndpoint, c.Endpoints)
	ids = appendIDs(ids, EntryAccount, c.Accounts)
	ids = appendIDs(ids, EntryBudget, c.Budgets)
	ids = appendIDs(ids, EntryOperator, c.Operators)
	return ids
}

func appendIDs[V any](ids []ID, kind EntryKind, m map[string]V) []ID {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		ids = append(ids, ID{kind, name})
	}
	return ids
}

// unionIDs returns the distinct ids of all configurations, ordered by kind and
// name.
func unionIDs(configs ...*Config) []ID {
	var ids []ID
	for _, c := range configs {
		ids = append(ids, c.ids()...)
	}
	slices.SortFunc(ids, compareIDs)
	return slices.Compact(ids)
}

// equalEntries reports whether two entries are equal; nil stands for an absent
// entry.
func equalEntries(a, b any) bool { return reflect.DeepEqual(a, b) }

// Op is the kind of a change.
type Op string

// The kinds of changes.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// FieldChange is the change of one key of an entry, with both values as text.
type FieldChange struct {
	Key string `json:"key"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Change is the change of one entry.
type Change struct {
	ID
	Op Op `json:"op"`
	// Old is nil if the entry was added; New is nil if it was removed.
	Old    any           `json:"-"`
	New    any           `json:"-"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// Diff returns the changes from a to b, ordered by kind and name.
func Diff(a, b *Config) []Change {
	var changes []Change
	for _, id := range unionIDs(a, b) {
		before, inA := a.Get(id)
		after, inB := b.Get(id)
		c := Change{ID: id, Op: OpChanged, Old: before, New: after}
		switch {
		case inA && inB && equalEntries(before, after):
			continue
		case !inA:
			c.Op, c.Old = OpAdded, nil
		case !inB:
			c.Op, c.New = OpRemoved, nil
		}
		c.Fields = fieldChanges(c.Old, c.New)
		changes = append(changes, c)
	}
	return changes
}

func fieldChanges(before, after any) []FieldChange {
	t := reflect.TypeOf(before)
	if t == nil {
		t = reflect.TypeOf(after)
	}
	var list []FieldChange
	for i := range t.NumField() {
		change := FieldChange{Key: tomlKey(t.Field(i)), Old: fieldText(before, i), New: fieldText(after, i)}
		if change.Old != change.New {
			list = append(list, change)
		}
	}
	return list
}

func fieldText(entry any, field int) string {
	if entry == nil {
		return ""
	}
	v := reflect.ValueOf(entry).Field(field)
	if v.IsZero() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}
