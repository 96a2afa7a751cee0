package front

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// storeState is the store at a revision.
type storeState struct {
	at    platform.Revision
	items map[string]platform.Item
}

// storeHistory is a store that remembers all its states. The value of an item is its content,
// a number that increases with the changes of all keys.
type storeHistory struct {
	// states are all states so far, restorable those that a restore can bring back.
	states, restorable []storeState
	// events are those of the current era.
	events []platform.Event
	// compactedAt is the revision up to which polls don't return events any more.
	compactedAt platform.Revision
	contents    int64
	// newest is the newest content of each key, 0 if it was deleted: what its writer knows.
	newest map[string]int64
}

func newStoreHistory() *storeHistory {
	empty := []storeState{{items: map[string]platform.Item{}}}
	return &storeHistory{states: empty, restorable: empty, newest: make(map[string]int64)}
}

func (s *storeHistory) current() storeState { return s.states[len(s.states)-1] }

func (s *storeHistory) head() platform.Revision { return s.current().at }

func content(i platform.Item) int64 {
	n, _ := strconv.ParseInt(string(i.Value), 10, 64)
	return n
}

// change writes or deletes a key; an empty key changes another prefix.
func (s *storeHistory) change(key string, deleted bool) {
	s.contents++
	s.newest[key] = s.contents
	if deleted {
		s.newest[key] = 0
	}
	s.write(key)
}

// write writes the newest content of a key.
func (s *storeHistory) write(key string) {
	next := storeState{at: s.head() + 1, items: maps.Clone(s.current().items)}
	ev := platform.Event{Item: platform.Item{Key: key, Revision: next.at}, Deleted: s.newest[key] == 0}
	if key != "" {
		if ev.Deleted {
			delete(next.items, key)
		} else {
			ev.Item.Value = fmt.Append(nil, s.newest[key])
			next.items[key] = ev.Item
		}
		s.events = append(s.events, ev)
	}
	s.states, s.restorable = append(s.states, next), append(s.restorable, next)
}

// restore brings a former state back, in a new era.
func (s *storeHistory) restore(n int) {
	s.restorable = slices.Clone(s.restorable[:n+1])
	from, era := s.restorable[n], s.head().Era()+1
	restored := storeState{at: inEra(era, from.at), items: make(map[string]platform.Item)}
	for key, i := range from.items {
		i.Revision = inEra(era, i.Revision)
		restored.items[key] = i
	}
	s.states, s.events, s.compactedAt = append(s.states, restored), nil, restored.at
}

func inEra(era int64, r platform.Revision) platform.Revision {
	out, err := platform.NewRevision(era, r.Number())
	if err != nil {
		panic(err)
	}
	return out
}

// writeAgain lets the writers write what the restored store lacks.
func (s *storeHistory) writeAgain() {
	for _, key := range machineKeys {
		if content(s.current().items[key]) != s.newest[key] {
			s.write(key)
		}
	}
}

func (s *storeHistory) poll(after platform.Revision) (platform.Changes, error) {
	if after < s.compactedAt {
		return platform.Changes{}, platform.ErrCompacted
	}
	c := platform.Changes{Revision: s.head()}
	for _, ev := range s.events {
		if ev.Item.Revision > after {
			c.Events = append(c.Events, ev)
		}
	}
	return c, nil
}

// since returns the items that a key had at a revision of the store or later; the zero item
// stands for none.
func (s *storeHistory) since(from platform.Revision, key string) []platform.Item {
	var items []platform.Item
	for n, state := range s.states {
		if n+1 == len(s.states) || s.states[n+1].at > from {
			items = append(items, state.items[key])
		}
	}
	return items
}
