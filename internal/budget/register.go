package budget

import (
	"maps"
	"slices"
	"time"
)

// Register handles a holder's registration.
func (a *Allocator) Register(now time.Time, r RegisterRequest) {
	key := Key{Holder: r.Holder, Incarnation: r.Incarnation}
	s := a.admit(r.Epoch, r.Holder, r.Incarnation)
	if s == StatusRegister && r.Epoch == a.epoch {
		a.adopt(a.client(r.Holder), r)
		s = StatusOK
	} else if s == StatusOK {
		a.acceptAll(a.clients[r.Holder], r.Bills) // a repeated registration
	}
	a.reply(KindRegister, key, s, 0)
	a.advance(now)
}

// adopt takes over a holder's state. What the holder reports of its own
// reservations overrides what mirrors report.
func (a *Allocator) adopt(c *client, r RegisterRequest) {
	if r.Incarnation > c.incarnation {
		a.startIncarnation(c, r)
	}
	c.registered = true
	c.raiseLowestPending(r.LowestPending)
	delete(a.goneHolders, r.Holder)
	if r.Holder != a.opts.Owner {
		a.members[r.Holder] = true
	}
	a.dirty = true
	a.urgent = a.urgent || a.recovering || len(a.members) == 1
	a.adoptOwn(c, r)
	a.acceptAll(c, r.Bills)
	a.adoptMirrored(r)
	a.queueClears()
}

// startIncarnation resets the state of a holder for a newer incarnation.
func (a *Allocator) startIncarnation(c *client, r RegisterRequest) {
	if c.incarnation > 0 {
		a.forgetMirror(r.Holder)
		c.member = false
	}
	c.accepted, c.durable = 0, 0
	if c.incarnation == 0 && len(r.Bills) > 0 {
		c.accepted = r.Bills[0].N - 1
	}
	clear(c.finished)
	c.incarnation, c.lowestPending, c.closed, c.closing = r.Incarnation, 0, false, false
}

// adoptOwn takes over what the holder reports of its own reservations.
func (a *Allocator) adoptOwn(c *client, r RegisterRequest) {
	own := make(map[Key]bool, len(r.Open))
	for _, res := range r.Open {
		own[res.Key] = true
		a.adoptReservation(res)
	}
	for _, b := range r.Bills {
		if b.N <= c.accepted || b.Late {
			continue
		}
		own[b.Key] = true
		// A mirror may hold a smaller total than the one that was billed.
		if e := a.open[b.Key]; b.Tokens > 0 && (e == nil || e.res.Tokens < b.Tokens) {
			a.adoptReservation(Reservation{Key: b.Key, ID: b.ID, Budget: b.Budget, Tokens: b.Tokens, Keyed: b.Keyed})
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(a.open), Key.compare) {
		if key.Holder == r.Holder && !own[key] {
			a.finish(a.open[key], 0)
		}
	}
}

// adoptReservation records an open reservation of an earlier epoch.
func (a *Allocator) adoptReservation(res Reservation) {
	p := a.pool(res.Budget)
	e := a.open[res.Key]
	if e == nil {
		e = &openReservation{res: res, granted: true, adopted: true}
		e.res.Tokens = 0
		a.open[res.Key] = e
		if a.openByID[res.ID] == nil {
			a.openByID[res.ID] = e
		}
	}
	e.granted = true
	diff := res.Tokens - e.res.Tokens
	if !a.recovering {
		diff = min(diff, max(0, p.free())) // at most what the grant covers
	}
	e.res.Tokens += diff
	if a.recovering {
		e.oldTokens += diff
		p.reservedOld += diff
	} else {
		p.reserved += diff
	}
}

// adoptMirrored records the reservations that a member mirrors for others. The
// finished ones get a tombstone.
func (a *Allocator) adoptMirrored(r RegisterRequest) {
	for _, res := range r.Mirrored {
		c := a.client(res.Key.Holder)
		if res.Key.Incarnation > c.incarnation && !c.registered {
			c.incarnation, c.accepted, c.durable, c.closed = res.Key.Incarnation, 0, 0, false
		}
		e := a.open[res.Key]
		tombstone := Tombstone{r.Holder, res.Key}
		_, finished := a.tombstones[tombstone]
		if e == nil && (finished || !a.recovering || c.registered || a.isStale(c, res.Key)) {
			if !finished {
				a.tombstones[tombstone] = false
			}
			continue
		}
		if e == nil || (!c.registered && res.Tokens > e.res.Tokens) {
			a.adoptReservation(res)
			e = a.open[res.Key]
		}
		if e.mirrors == nil {
			e.mirrors = make(map[string]int64)
		}
		e.mirrors[r.Holder] = res.Tokens
	}
}

// isStale reports whether the record shows that a mirrored reservation is
// finished or charged.
func (a *Allocator) isStale(c *client, key Key) bool {
	if key.Incarnation < c.incarnation || (c.closed && key.Incarnation == c.incarnation) {
		return true
	}
	for t := range a.tombstones {
		if t.Key == key {
			return true
		}
	}
	return false
}

// Holders returns the ids of the holders that the allocator has state of or waits
// for, so that the caller can check them against its membership (HolderGone).
func (a *Allocator) Holders() []string {
	ids := slices.Collect(maps.Keys(a.clients))
	if a.rec != nil {
		if d := a.rec.Domains[a.opts.Domain]; d != nil {
			ids = append(ids, d.Waiting...)
			ids = append(ids, d.Members...)
		}
	}
	return sortedSet(ids)
}

// recoverReady reports whether the recovery of the old grants can end: each
// holder waited for has registered, is charged or is covered by an operator's
// decision, and each adopted reservation is recoverable.
func (a *Allocator) recoverReady(now time.Time) bool {
	d := a.rec.Domains[a.opts.Domain]
	timedOut := a.opts.disabledRules&ruleAwaitHolders != 0 && now.Sub(a.tookOver) > 5*time.Second
	for _, h := range d.Waiting {
		if c := a.clients[h]; (c == nil || (!c.registered && !c.closed)) && d.Decision == Wait && !timedOut {
			return false
		}
	}
	for _, e := range a.open {
		if e.oldTokens > 0 && !a.recoverable(e, "") {
			return false
		}
	}
	if d.Decision != Wait {
		a.closeUnregistered(d.Waiting)
	}
	return true
}

// closeUnregistered closes the holders whose tokens an operator decided on: what
// they report later cannot be distinguished from the tokens decided on.
func (a *Allocator) closeUnregistered(waiting []string) {
	for _, h := range waiting {
		c := a.client(h)
		if c.registered || c.closing || c.closed {
			continue
		}
		a.chargeOpen(h)
		c.incarnation = max(c.incarnation, 1)
		c.closing = true
		delete(a.members, h)
	}
}
