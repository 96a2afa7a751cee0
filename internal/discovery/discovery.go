// Package discovery maintains the list of endpoints registered in the
// platform's store. Entries that expire because the store is unreachable are
// kept for a grace period. The package performs no I/O; a Table is not safe for
// concurrent use, and the caller passes the current time.
package discovery

import (
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// reregisterGrace is the time after the store becomes reachable again within
// which live endpoints register again, if their entries expired during the
// outage.
const reregisterGrace = 2100 * time.Millisecond

// Entry is the registration of an endpoint.
type Entry struct {
	ID, Service, Addr, Domain string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Leaving endpoints get no new requests.
	Leaving bool
	// Incarnation is the start time of the endpoint's process as registered by
	// it, in Unix milliseconds. A different value means that the process was
	// restarted and lost its state.
	Incarnation int64
	// Sequence increases with each report of an incarnation.
	Sequence int64
	// ColdFor is how long the endpoint stays cold, as of the report; 0 if it is not cold.
	ColdFor time.Duration
}

// precedes reports whether the entry was registered before another one of the same
// endpoint.
func (e Entry) precedes(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation < other.Incarnation
	}
	return e.Sequence < other.Sequence
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of change.
const (
	// Put adds an endpoint or updates its entry.
	Put ChangeKind = iota
	// Restarted updates the entry of an endpoint whose process was restarted.
	Restarted
	// Removed removes an endpoint.
	Removed
)

// Change is a change to the list of endpoints.
type Change struct {
	Kind  ChangeKind
	Entry Entry
	// Revision is the revision of the store item that caused the change.
	Revision platform.Revision
}

// Decode decodes a store item. It returns false if the item is not a valid
// registration of an endpoint.
type Decode func(platform.Item) (Entry, bool)

// Table is the list of registered endpoints. Its revision never decreases.
type Table struct {
	decode   Decode
	entries  map[string]storedEntry
	revision platform.Revision
	// pendingRemovals holds the keys of entries that were deleted from the
	// store during or shortly after an outage, with the time at which they are
	// removed from the list unless registered again.
	pendingRemovals map[string]time.Time
	// storeUnreachable is true during an outage; storeRegainedAt is the end of
	// the last one.
	storeUnreachable bool
	storeRegainedAt  time.Time
	// deferred are the removals that were deferred since the last TakeDeferred.
	deferred []Deferral
}

// Deferral is the removal of an entry that was deferred because the entry may have expired
// only because of a store outage.
type Deferral struct {
	Entry Entry
	// Revision is the revision of the removal.
	Revision platform.Revision
	// Until is when the entry is removed at the earliest.
	Until time.Time
	// StoreUnreachable is true if the store could not be read at the time, RegainedAt the end
	// of the last outage.
	StoreUnreachable bool
	RegainedAt       time.Time
}

// TakeDeferred returns the removals that were deferred since the last call.
func (t *Table) TakeDeferred() []Deferral {
	deferred := t.deferred
	t.deferred = nil
	return deferred
}

type storedEntry struct {
	Entry
	revision platform.Revision
}

// NewTable returns an empty Table.
func NewTable(d Decode) *Table {
	return &Table{decode: d, entries: make(map[string]storedEntry), pendingRemovals: make(map[string]time.Time)}
}

// Revision returns the store revision up to which the list is complete.
func (t *Table) Revision() platform.Revision { return t.revision }

// Precedes reports whether a valid entry was registered before another one of the same key.
// It tells entries apart whose revisions belong to different eras of the store.
func (t *Table) Precedes(item, other platform.Item) bool {
	entry, ok := t.decode(item)
	later, otherOK := t.decode(other)
	return ok && otherOK && entry.precedes(later)
}

// StoreUnreachable records that no daemon is known to read the store.
func (t *Table) StoreUnreachable() { t.storeUnreachable = true }

// StoreReachable records that the store was read at the given time.
func (t *Table) StoreReachable(at time.Time) {
	if t.storeUnreachable {
		t.storeUnreachable, t.storeRegainedAt = false, at
	}
}

// StoreRegainedByPeer records the time at which another daemon was able to read
// the store again after an outage.
func (t *Table) StoreRegainedByPeer(at time.Time) {
	if at.After(t.storeRegainedAt) {
		t.storeRegainedAt = at
	}
}

// StoreReadByPeer records that another daemon reads the store, so that entries do not
// expire because of an outage.
func (t *Table) StoreReadByPeer() { t.storeUnreachable = false }

// Apply applies the store events up to a revision and returns the resulting
// changes.
func (t *Table) Apply(now time.Time, events []platform.Event, revision platform.Revision) []Change {
	t.beginEra(now, revision)
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

// Replace replaces the list by a complete one as of a revision, unless the
// table is newer, and returns the resulting changes.
func (t *Table) Replace(now time.Time, items []platform.Item, revision platform.Revision) []Change {
	if revision < t.revision {
		return nil
	}
	t.beginEra(now, revision)
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

// beginEra records a return of the store if a revision is of a new era: entries that were
// registered after the copy from which it was restored are missing.
func (t *Table) beginEra(now time.Time, revision platform.Revision) {
	if t.revision == 0 || revision.Era() <= t.revision.Era() {
		return
	}
	t.storeRegainedAt = now
	for key := range t.pendingRemovals {
		t.pendingRemovals[key] = now.Add(reregisterGrace)
	}
}

func (t *Table) put(now time.Time, item platform.Item) []Change {
	old, exists := t.entries[item.Key]
	// An item of an earlier era than the entry's is what the caller knows to be newer.
	if exists && old.revision >= item.Revision && old.revision.Era() == item.Revision.Era() {
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

// remove removes an entry, or schedules its removal if it may have expired only
// because of a store outage. Entries of leaving endpoints are removed at once.
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
		t.deferred = append(t.deferred, Deferral{
			Entry: old.Entry, Revision: item.Revision, Until: deadline, StoreUnreachable: t.storeUnreachable, RegainedAt: t.storeRegainedAt,
		})
		return nil
	}
	delete(t.entries, item.Key)
	return []Change{{Kind: Removed, Entry: old.Entry, Revision: item.Revision}}
}

// Tick removes the entries whose grace period has ended.
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
