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
	goneAfter = 5 * time.Second
	// massGoneAfter applies if a reading leaves out more than half of the
	// entries, which is more likely a fault of the list than of the fleet.
	massGoneAfter = 60 * time.Second
	// returnAfter is how long readings must show a gone entry again; a list
	// that goes back in time for less does not bring it back.
	returnAfter = 30 * time.Second
	// fallbackList is the interval at which a daemon that is no list reader
	// reads the list all the same.
	fallbackList = time.Minute
)

// entry is one ID of the platform's list.
type entry struct {
	instance platform.Instance
	version  uint32
	gone     bool
	// leaving never returns to false, also if the entry was gone in between.
	leaving bool
	// absent and shown start the current run of readings without and with the
	// entry; zero if there is no such run.
	absent, shown time.Time
	goneSince     time.Time
	// seen is the number of the last reading that shows the entry.
	seen uint64
	// listed is true if an own reading has shown the entry.
	listed bool
}

func (e *entry) endpoint() Endpoint {
	ep := Endpoint{Instance: e.instance, Removed: e.gone}
	if e.leaving {
		ep.State = platform.InstanceLeaving
	}
	return ep
}

// List takes a reading of the platform's list, which may be old.
func (t *Table) ApplyList(now time.Time, list []platform.Instance) Output {
	t.begin(now)
	first := !t.listRead
	t.listRead = true
	t.readings++
	var news []ListChange
	for _, in := range list {
		if c, ok := t.observe(in); ok {
			news = append(news, c)
		}
	}
	news = append(news, t.observeAbsent()...)
	t.hashList()
	t.assess()
	if t.announceSelf {
		t.announceSelf = false
		t.announce([]MemberChange{t.change(t.self)}, nil, toFleet)
	}
	// The first reading of a new daemon is no news to others.
	if rank := t.rank(); !first && rank >= 0 && len(news) > 0 {
		t.announce(nil, news, toFleet)
	}
	return t.take()
}

// observe takes one entry of a reading.
func (t *Table) observe(in platform.Instance) (ListChange, bool) {
	e := t.entries[in.ID]
	leaving := in.State == platform.InstanceLeaving
	if e == nil {
		c, ok := t.applyEntry(ListChange{Instance: in, Version: 1})
		t.entries[in.ID].seen, t.entries[in.ID].listed = t.readings, true
		return c, ok
	}
	e.seen, e.listed = t.readings, true
	e.absent = time.Time{}
	if e.shown.IsZero() {
		e.shown = t.last
	}
	switch {
	case t.broken.leavingReturns && !leaving && e.leaving:
		e.leaving = false
		t.entryChanged(e)
		return ListChange{}, false
	case t.broken.listRevives && !leaving && !e.gone:
		t.entryChanged(e)
		return ListChange{}, false
	case e.gone && t.last.Sub(e.shown) < returnAfter:
		return ListChange{}, false
	case e.gone, leaving && !e.leaving:
		return t.applyEntry(ListChange{Instance: in, Version: e.version + 1})
	}
	return ListChange{}, false
}

// observeAbsent takes the entries that a reading leaves out.
func (t *Table) observeAbsent() []ListChange {
	var absent []*entry
	total := 0
	for id, e := range t.entries {
		if e.seen == t.readings {
			total++
			continue
		}
		e.shown = time.Time{}
		if e.gone {
			if t.last.Sub(e.goneSince) > forgetAfter {
				delete(t.entries, id)
			}
			continue
		}
		total++
		if e.absent.IsZero() {
			e.absent = t.last
		}
		absent = append(absent, e)
	}
	limit := goneAfter
	if 2*len(absent) > total {
		limit = massGoneAfter
	}
	sort.Slice(absent, func(i, j int) bool { return absent[i].instance.ID < absent[j].instance.ID })
	var news []ListChange
	for _, e := range absent {
		// A list that lags leaves out what others have already seen.
		if since := t.last.Sub(e.absent); since < limit || !e.listed && since < massGoneAfter {
			continue
		}
		if c, ok := t.applyEntry(ListChange{Instance: e.endpoint().Instance, Version: e.version + 1, Removed: true}); ok {
			news = append(news, c)
		}
	}
	return news
}

// applyList merges changes from other daemons and returns the news.
func (t *Table) mergeListChanges(changes []ListChange) []ListChange {
	var news []ListChange
	for _, c := range changes {
		if c, ok := t.applyEntry(c); ok {
			news = append(news, c)
		}
	}
	t.hashList()
	return news
}

// applyEntry merges one change. Changes commute: the higher version counts, at
// the same version gone counts over present, and leaving is final.
func (t *Table) applyEntry(c ListChange) (ListChange, bool) {
	e := t.entries[c.Instance.ID]
	leaving := c.Instance.State == platform.InstanceLeaving
	if e == nil {
		e = &entry{instance: c.Instance, version: c.Version, gone: c.Removed, leaving: leaving, goneSince: t.last}
		t.entries[c.Instance.ID] = e
		if c.Removed {
			return c, true
		}
		t.entryChanged(e)
		return c, true
	}
	changed := leaving && !e.leaving
	e.leaving = e.leaving || leaving
	if c.Version > e.version || c.Version == e.version && c.Removed && !e.gone {
		e.version = c.Version
		if c.Removed != e.gone {
			// Readings that were older than this change do not count against it.
			e.absent, e.shown, changed = time.Time{}, time.Time{}, true
		}
		e.gone, e.goneSince = c.Removed, t.last
	}
	if !changed {
		return ListChange{}, false
	}
	t.entryChanged(e)
	return ListChange{Instance: e.endpoint().Instance, Version: e.version, Removed: e.gone}, true
}

// entryChanged carries a changed entry over to the member or the endpoint.
func (t *Table) entryChanged(e *entry) {
	t.listDirty = true
	if e.instance.Role != platform.RoleDaemon {
		t.out.Events = append(t.out.Events, Event{Kind: EndpointChanged, Endpoint: e.endpoint()})
		return
	}
	n := t.nodes[e.instance.ID]
	if n == nil {
		if e.gone {
			return
		}
		n = t.add(instanceIdentity(e.instance), t.last)
	}
	if t.broken.listRevives && !e.gone && n.dead {
		n.dead, n.heard = false, t.last
	}
	if e.leaving && !n.Leaving {
		n.Leaving = true
		t.viewDirty = true
		if n == t.self {
			t.setState(n, Leaving, "leaving in the list")
		} else {
			t.assessNode(n)
		}
	}
}

// listGone reports whether the list has stopped showing the member.
func (t *Table) listGone(n *node) bool {
	e := t.entries[n.ID]
	return e != nil && e.gone
}

func (t *Table) hashList() {
	if !t.listDirty {
		return
	}
	t.listDirty = false
	var sum uint64
	for id, e := range t.entries {
		if !e.gone {
			sum ^= mix(xxhash.Sum64String(id), bit(e.leaving))
		}
	}
	t.listHash = sum
}

// WantList reports whether the caller is to read the platform's list now. It
// is asked after each Tick. It is true once a second in the list readers of a
// failure domain and seldom in other daemons; a true answer counts as a read.
func (t *Table) WantList(now time.Time) bool {
	interval := fallbackList
	switch {
	case !t.listRead || t.rank() >= 0:
		interval = t.o.ListInterval
	case t.listStale:
		interval = differAfter
	}
	if now.Sub(t.lastList) < interval {
		return false
	}
	t.lastList, t.listStale = now, false
	return true
}
