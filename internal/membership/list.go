package membership

import (
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/cespare/xxhash/v2"
)

const (
	// removeAfter is how long all reads must omit an entry before it is
	// removed. A single read may be stale.
	removeAfter = 5 * time.Second
	// massRemoveAfter applies instead if a read omits more than half of the
	// entries, which is more likely a fault of the list than of the fleet.
	massRemoveAfter = 60 * time.Second
	// restoreAfter is how long all reads must show a removed entry before it
	// is restored. Reads of an outdated list for a shorter time do not restore it.
	restoreAfter = 30 * time.Second
	// fallbackListInterval is the interval at which a daemon that is not a
	// list reader reads the list nevertheless.
	fallbackListInterval = time.Minute
)

// listEntry is the state of one instance in the platform's list.
type listEntry struct {
	instance platform.Instance
	// version is ListChange.Version of the last merged change.
	version uint32
	removed bool
	// leaving never returns to false, even if the entry is removed and restored.
	leaving bool
	// absentSince and presentSince are the start of the current run of reads
	// without and with the entry; zero if there is no such run.
	absentSince, presentSince time.Time
	removedAt                 time.Time
	// lastReadSeq is the number of the last read that showed the entry.
	lastReadSeq uint64
	// readLocally is true if a read by this daemon has shown the entry.
	readLocally bool
}

func (e *listEntry) endpoint() Endpoint {
	ep := Endpoint{Instance: e.instance, Removed: e.removed}
	if e.leaving {
		ep.State = platform.InstanceLeaving
	}
	return ep
}

// ApplyList applies a read of the platform's list, which may be stale.
func (t *Table) ApplyList(now time.Time, list []platform.Instance) Output {
	t.advanceClock(now)
	first := !t.listWasRead
	t.listWasRead = true
	t.listReadSeq++
	var updates []ListChange
	for _, in := range list {
		if c, ok := t.observePresent(in); ok {
			updates = append(updates, c)
		}
	}
	updates = append(updates, t.observeAbsent()...)
	t.updateListHash()
	t.updateStates()
	if t.announceSelf {
		t.announceSelf = false
		t.announce([]MemberChange{t.memberChange(t.self)}, nil, toFleet)
	}
	// The first read of a new daemon contains nothing new to others.
	if rank := t.rank(); !first && rank >= 0 && len(updates) > 0 {
		t.announce(nil, updates, toFleet)
	}
	return t.takeOutput()
}

// observePresent applies one instance of a read. It returns the change to announce, if any.
func (t *Table) observePresent(in platform.Instance) (ListChange, bool) {
	e := t.entries[in.ID]
	leaving := in.State == platform.InstanceLeaving
	if e == nil {
		c, ok := t.applyEntry(ListChange{Instance: in, Version: 1})
		t.entries[in.ID].lastReadSeq, t.entries[in.ID].readLocally = t.listReadSeq, true
		return c, ok
	}
	e.lastReadSeq, e.readLocally = t.listReadSeq, true
	e.absentSince = time.Time{}
	if e.presentSince.IsZero() {
		e.presentSince = t.now
	}
	switch {
	case t.disabled.listUndoesLeaving && !leaving && e.leaving:
		e.leaving = false
		t.propagateEntry(e)
		return ListChange{}, false
	case t.disabled.listRevivesDead && !leaving && !e.removed:
		t.propagateEntry(e)
		return ListChange{}, false
	case e.removed && t.now.Sub(e.presentSince) < restoreAfter:
		return ListChange{}, false
	case e.removed, leaving && !e.leaving:
		return t.applyEntry(ListChange{Instance: in, Version: e.version + 1})
	}
	return ListChange{}, false
}

// observeAbsent processes the entries that the current read omits and returns the
// removals to announce.
func (t *Table) observeAbsent() []ListChange {
	var absent []*listEntry
	total := 0
	for id, e := range t.entries {
		if e.lastReadSeq == t.listReadSeq {
			total++
			continue
		}
		e.presentSince = time.Time{}
		if e.removed {
			if t.now.Sub(e.removedAt) > forgetAfter {
				delete(t.entries, id)
			}
			continue
		}
		total++
		if e.absentSince.IsZero() {
			e.absentSince = t.now
		}
		absent = append(absent, e)
	}
	limit := removeAfter
	if 2*len(absent) > total {
		limit = massRemoveAfter
	}
	sort.Slice(absent, func(i, j int) bool { return absent[i].instance.ID < absent[j].instance.ID })
	var updates []ListChange
	for _, e := range absent {
		// A stale list omits entries that other daemons have already read.
		if since := t.now.Sub(e.absentSince); since < limit || !e.readLocally && since < massRemoveAfter {
			continue
		}
		if c, ok := t.applyEntry(ListChange{Instance: e.endpoint().Instance, Version: e.version + 1, Removed: true}); ok {
			updates = append(updates, c)
		}
	}
	return updates
}

// mergeListChanges merges changes from other daemons and returns those that were new.
func (t *Table) mergeListChanges(changes []ListChange) []ListChange {
	var updates []ListChange
	for _, c := range changes {
		if c, ok := t.applyEntry(c); ok {
			updates = append(updates, c)
		}
	}
	t.updateListHash()
	return updates
}

// applyEntry merges one change and returns the resulting change, if any, to
// announce. Changes commute: the higher version wins, at the same version a removal
// wins, and leaving is final.
func (t *Table) applyEntry(c ListChange) (ListChange, bool) {
	e := t.entries[c.Instance.ID]
	leaving := c.Instance.State == platform.InstanceLeaving
	if e == nil {
		e = &listEntry{instance: c.Instance, version: c.Version, removed: c.Removed, leaving: leaving, removedAt: t.now}
		t.entries[c.Instance.ID] = e
		if c.Removed {
			return c, true
		}
		t.propagateEntry(e)
		return c, true
	}
	changed := leaving && !e.leaving
	e.leaving = e.leaving || leaving
	if c.Version > e.version || c.Version == e.version && c.Removed && !e.removed {
		e.version = c.Version
		if c.Removed != e.removed {
			// Reads older than this change must not override it.
			e.absentSince, e.presentSince, changed = time.Time{}, time.Time{}, true
		}
		e.removed, e.removedAt = c.Removed, t.now
	}
	if !changed {
		return ListChange{}, false
	}
	t.propagateEntry(e)
	return ListChange{Instance: e.endpoint().Instance, Version: e.version, Removed: e.removed}, true
}

// propagateEntry updates the member of a changed entry, or reports its endpoint.
func (t *Table) propagateEntry(e *listEntry) {
	t.listHashDirty = true
	if e.instance.Role != platform.RoleDaemon {
		t.out.Events = append(t.out.Events, Event{Kind: EndpointChanged, Endpoint: e.endpoint()})
		return
	}
	n := t.nodes[e.instance.ID]
	if n == nil {
		if e.removed {
			return
		}
		n = t.addNode(instanceIdentity(e.instance), t.now)
	}
	if t.disabled.listRevivesDead && !e.removed && n.dead {
		n.dead, n.lastAlive = false, t.now
	}
	if e.leaving && !n.Leaving {
		n.Leaving = true
		t.viewDirty = true
		if n == t.self {
			t.setState(n, Leaving, "leaving in the platform's list")
		} else {
			t.updateState(n)
		}
	}
}

// removedFromList reports whether the platform's list no longer shows the member.
func (t *Table) removedFromList(n *node) bool {
	e := t.entries[n.ID]
	return e != nil && e.removed
}

func (t *Table) updateListHash() {
	if !t.listHashDirty {
		return
	}
	t.listHashDirty = false
	var sum uint64
	for id, e := range t.entries {
		if !e.removed {
			sum ^= hashPair(xxhash.Sum64String(id), boolToUint64(e.leaving))
		}
	}
	t.listHash = sum
}

// WantList reports whether the caller should read the platform's list now. The
// caller checks it after each Tick. It returns true once per Options.ListInterval in
// the list readers of a failure domain and rarely in other daemons. Returning true
// counts as a read.
func (t *Table) WantList(now time.Time) bool {
	interval := fallbackListInterval
	switch {
	case !t.listWasRead || t.rank() >= 0:
		interval = t.options.ListInterval
	case t.listStale:
		interval = syncAfter
	}
	if now.Sub(t.lastListRead) < interval {
		return false
	}
	t.lastListRead, t.listStale = now, false
	return true
}
