package config

import (
	"fmt"
	"strings"
)

// Conflict is an entry that both edits changed differently. Base, Mine or Theirs
// is nil if that version does not have the entry.
type Conflict struct {
	ID
	Base   any `json:"base"`
	Mine   any `json:"mine"`
	Theirs any `json:"theirs"`
}

// MergeError explains why two edits cannot be merged.
type MergeError struct {
	// Conflicts are the entries that both edits changed.
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Invalid lists the validation errors of the merged configuration. Each edit is
	// valid on its own, but for example one adds a budget to an account that the
	// other removes.
	Invalid Errors `json:"invalid,omitempty"`
}

// Error implements error.
func (e *MergeError) Error() string {
	if len(e.Conflicts) == 0 {
		return "the combination of both edits is not valid: " + e.Invalid.Error()
	}
	parts := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		parts[i] = fmt.Sprintf("%v: mine %s, theirs %s", c.ID, describeEdit(c.Base, c.Mine), describeEdit(c.Base, c.Theirs))
	}
	return "both edits change the same entry: " + strings.Join(parts, "; ")
}

// describeEdit describes how one edit changed an entry.
func describeEdit(base, side any) string {
	if side == nil {
		return "removes it"
	}
	var fields []string
	for _, f := range fieldChanges(base, side) {
		fields = append(fields, fmt.Sprintf("%s = %s", f.Key, f.New))
	}
	return "sets " + strings.Join(fields, ", ")
}

// Merge performs a three-way merge of two edits of base. An entry that both edits
// changed differently is a conflict. The error is a *MergeError.
func Merge(base, mine, theirs *Config) (*Config, error) {
	merged := New()
	var conflicts []Conflict
	for _, id := range unionIDs(base, mine, theirs) {
		b, m, t := base.entryOrNil(id), mine.entryOrNil(id), theirs.entryOrNil(id)
		result := m
		switch {
		case equalEntries(m, t), equalEntries(t, b):
		case equalEntries(m, b):
			result = t
		default:
			conflicts = append(conflicts, Conflict{ID: id, Base: b, Mine: m, Theirs: t})
			continue
		}
		if result != nil {
			merged.set(id, result)
		}
	}
	if len(conflicts) > 0 {
		return nil, &MergeError{Conflicts: conflicts}
	}
	if errs := merged.validate(nil); len(errs) > 0 {
		return nil, &MergeError{Invalid: sortByPosition(errs)}
	}
	return merged, nil
}

// entryOrNil returns the entry, or nil if there is none.
func (c *Config) entryOrNil(id ID) any {
	if v, ok := c.Get(id); ok {
		return v
	}
	return nil
}
