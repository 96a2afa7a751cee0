// Package discovery keeps the list of endpoints as the platform's store shows
// it, through outages of the store. It does no input or output; the caller
// holds the lock and passes the time.
package discovery

import (
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// returnGrace is the time after the store's return within which entries that
// lapsed meanwhile come back if their endpoint lives.
const reregisterGrace = 2100 * time.Millisecond

// Entry is an endpoint as it describes itself.
type Entry struct {
	ID, Service, Addr, Domain string
	Slots                     int
	// Leaving endpoints get no new work.
	Leaving bool
	// Born is the start of the endpoint's process, as it states it. An entry
	// with another one is a new process without the former one's state.
	Incarnation int64
}

// ChangeKind tells what a change does.
type ChangeKind uint8

// The kinds of change.
const (
	// Put adds an endpoint or replaces its entry.
	Put ChangeKind = iota
	// Restarted replaces the entry of an endpoint that has started anew.
	Restarted
	// Removed takes an endpoint out.
	Removed
)

// Change is one change of the list.
type Change struct {
	Kind  ChangeKind
	Entry Entry
	// Revision is that of the item that caused the change.
	Revision platform.Revision
}

// Decode reads an item; false means that it names no endpoint.
type Decode func(platform.Item) (Entry, bool)

// Table is the list. Its revision only grows.
type Table struct {
	decode   Decode
	entries  map[string]storedEntry
	revision platform.Revision
	// lapsed are entries removed during or shortly after an outage, with the
	// time at which they are taken as gone.
	pendingRemovals map[string]time.Time
	// away is true while the store can't be read; back is when it returned.
	storeUnreachable bool
	storeRegainedAt  time.Time
}

type storedEntry struct {
	Entry
	revision platform.Revision
}

// NewTable returns an empty list.
func NewTable(d Decode) *Table {
	return &Table{decode: d, entries: make(map[string]storedEntry), pendingRemovals: make(map[string]time.Time)}
}

// Revision is the store revision up to which the list is complete.
func (t *Table) Revision() platform.Revision { return t.revision }

// StoreAway records that the store can't be read.
func (t *Table) StoreUnreachable() { t.storeUnreachable = true }

// StoreBack records that the store could be read at a time.
func (t *Table) StoreReachable(at time.Time) {
	if t.storeUnreachable {
		t.storeUnreachable, t.storeRegainedAt = false, at
	}
}

// StoreReturned records a time at which another daemon regained the store.
func (t *Table) StoreRegainedByPeer(at time.Time) {
	if !t.storeUnreachable && at.After(t.storeRegainedAt) {
		t.storeRegainedAt = at
	}
}

// Apply applies the changes up to a revision.
func (t *Table) Apply(now time.Time, events []platform.Event, revision platform.Revision) []Change {
	var changes []Change
	for _, event := range events {
		if event.Item.Revision <= t.revision {
			continue
		}
		if event.Deleted {
			changes = append(changes, t.remove(now, event.Item)...)
		} else {
			changes = append(changes, t.put(now, event.Item)...)
		}
	}
	t.revision = max(t.revision, revision)
	return changes
}

// Replace applies a whole list as of a revision, unless the table is newer.
func (t *Table) Replace(now time.Time, items []platform.Item, revision platform.Revision) []Change {
	if revision < t.revision {
		return nil
	}
	var changes []Change
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		changes = append(changes, t.put(now, item)...)
	}
	var missing []string
	for key := range t.entries {
		if !present[key] {
			missing = append(missing, key)
		}
	}
	sort.Strings(missing)
	for _, key := range missing {
		changes = append(changes, t.remove(now, platform.Item{Key: key, Revision: revision})...)
	}
	t.revision = max(t.revision, revision)
	return changes
}

func (t *Table) put(now time.Time, item platform.Item) []Change {
	old, exists := t.entries[item.Key]
	if exists && old.revision >= item.Revision {
		delete(t.pendingRemovals, item.Key)
		return nil
	}
	entry, ok := t.decode(item)
	if !ok {
		return t.remove(now, item)
	}
	delete(t.pendingRemovals, item.Key)
	t.entries[item.Key] = storedEntry{Entry: entry, revision: item.Revision}
	change := Change{Kind: Put, Entry: entry, Revision: item.Revision}
	switch {
	case exists && old.ID != entry.ID || exists && old.Service != entry.Service:
		return []Change{{Kind: Removed, Entry: old.Entry, Revision: item.Revision}, change}
	case exists && old.Incarnation != entry.Incarnation:
		change.Kind = Restarted
	}
	return []Change{change}
}

// remove takes an entry out, or schedules that while the entry may only have
// lapsed with the store.
func (t *Table) remove(now time.Time, item platform.Item) []Change {
	old, exists := t.entries[item.Key]
	if !exists {
		return nil
	}
	if _, pending := t.pendingRemovals[item.Key]; pending {
		return nil
	}
	if !old.Leaving && (t.storeUnreachable || now.Sub(t.storeRegainedAt) < reregisterGrace) {
		deadline := now.Add(reregisterGrace)
		if !t.storeUnreachable {
			deadline = t.storeRegainedAt.Add(reregisterGrace)
		}
		t.pendingRemovals[item.Key] = deadline
		return nil
	}
	delete(t.entries, item.Key)
	return []Change{{Kind: Removed, Entry: old.Entry, Revision: item.Revision}}
}

// Tick removes the lapsed entries whose time is up.
func (t *Table) Tick(now time.Time) []Change {
	if t.storeUnreachable {
		return nil
	}
	var due []string
	for key, deadline := range t.pendingRemovals {
		if !now.Before(deadline) {
			due = append(due, key)
		}
	}
	sort.Strings(due)
	var changes []Change
	for _, key := range due {
		old := t.entries[key]
		delete(t.pendingRemovals, key)
		delete(t.entries, key)
		changes = append(changes, Change{Kind: Removed, Entry: old.Entry, Revision: t.revision})
	}
	return changes
}
