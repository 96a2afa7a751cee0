package membership

import (
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/cespare/xxhash/v2"
)

const (
	// goneAfter is how long readings must leave an entry out before it is
	// gone; one old reading is no evidence.
	removeAfter = 5 * time.Second
	// massGoneAfter applies if a reading leaves out more than half of the
	// entries, which is more likely a fault of the list than of the fleet.
	massRemoveAfter = 60 * time.Second
	// returnAfter is how long readings must show a gone entry again; a list
	// that goes back in time for less does not bring it back.
	restoreAfter = 30 * time.Second
	// fallbackList is the interval at which a daemon that is no list reader
	// reads the list all the same.
	fallbackListInterval = time.Minute
)

// entry is one ID of the platform's list.
type listEntry struct {
	instance platform.Instance
	version  uint32
	removed  bool
	// leaving never returns to false, also if the entry was gone in between.
	leaving bool
	// absent and shown start the current run of readings without and with the
	// entry; zero if there is no such run.
	absentSince, presentSince time.Time
	removedAt                 time.Time
	// seen is the number of the last reading that shows the entry.
	lastReadSeq uint64
	// listed is true if an own reading has shown the entry.
	readLocally bool
}

func (e *listEntry) endpoint() Endpoint {
	ep := Endpoint{Instance: e.instance, Removed: e.removed}
	if e.leaving {
		ep.State = platform.InstanceLeaving
	}
	return ep
}

// List takes a reading of the platform's list, which may be old.
func (t *Table) ApplyList(now time.Time, list []platform.Instance) Output {
	t.advanceClock(now)
	first := !t.listWasRead
	t.listWasRead = true
	t.listReadSeq++
	var updates []ListChange
	for _, in := range list {
		if c, ok := t.observe(in); ok {
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
	// The first reading of a new daemon is no news to others.
	if rank := t.rank(); !first && rank >= 0 && len(updates) > 0 {
		t.announce(nil, updates, toFleet)
	}
	return t.takeOutput()
}

// observe takes one entry of a reading.
func (t *Table) observe(in platform.Instance) (ListChange, bool) {
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

// observeAbsent takes the entries that a reading leaves out.
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
		// A list that lags leaves out what others have already seen.
		if since := t.now.Sub(e.absentSince); since < limit || !e.readLocally && since < massRemoveAfter {
			continue
		}
		if c, ok := t.applyEntry(ListChange{Instance: e.endpoint().Instance, Version: e.version + 1, Removed: true}); ok {
			updates = append(updates, c)
		}
	}
	return updates
}

// applyList merges changes from other daemons and returns the news.
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

// applyEntry merges one change. Changes commute: the higher version counts, at
// the same version gone counts over present, and leaving is final.
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
			// Readings that were older than this change do not count against it.
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

// entryChanged carries a changed entry over to the member or the endpoint.
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
			t.setState(n, Leaving, "leaving in the list")
		} else {
			t.updateState(n)
		}
	}
}

// listGone reports whether the list has stopped showing the member.
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
			sum ^= mix(xxhash.Sum64String(id), bit(e.leaving))
		}
	}
	t.listHash = sum
}

// WantList reports whether the caller is to read the platform's list now. It
// is asked after each Tick. It is true once a second in the list readers of a
// failure domain and seldom in other daemons; a true answer counts as a read.
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
