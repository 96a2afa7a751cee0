package budget

import (
	"maps"
	"slices"
	"time"
)

// Settle handles a holder's settlements. They are accepted in the order of their
// numbers; the holder sends those after a gap again.
func (a *Allocator) Settle(now time.Time, r SettleRequest) {
	s := a.admit(r.Epoch, r.Holder, r.Incarnation)
	if s == StatusOK {
		c := a.clients[r.Holder]
		c.raiseLowestPending(r.LowestPending)
		a.acceptAll(c, r.Bills)
	}
	a.reply(KindSettle, Key{Holder: r.Holder, Incarnation: r.Incarnation}, s, 0)
	a.advance(now)
}

func (a *Allocator) acceptAll(c *client, bills []Bill) {
	for _, b := range bills {
		if b.N == c.accepted+1 {
			c.accepted = b.N
			a.accept(c, b)
		}
	}
}

// accept queues the bill of one settlement and ends its reservation.
func (a *Allocator) accept(c *client, b Bill) {
	a.dirty = true
	if b.Late {
		a.queuedBills = append(a.queuedBills, b)
		return
	}
	if b.Key.N >= c.lowestPending {
		c.finished[b.Key.N] = true
	}
	e := a.open[b.Key]
	if e == nil {
		// The holder gave the reservation up before the allocator knew of it, so
		// nothing is reserved.
		b.Tokens = 0
		a.queuedBills = append(a.queuedBills, b)
		a.addTombstones(b.Key)
		return
	}
	b.Tokens = min(b.Tokens, e.res.Tokens)
	b.OldTokens = min(e.oldTokens, b.Tokens)
	a.finish(e, b.Tokens)
	a.queuedBills = append(a.queuedBills, b)
	a.recordBilled(b)
}

// finish ends a reservation of which the given tokens are billed. Tokens that a
// mirror may still show as reserved are not used again before the record
// contains the tombstone: a successor would otherwise count them twice.
func (a *Allocator) finish(e *openReservation, tokens int64) {
	p := a.pool(e.res.Budget)
	p.reservedOld -= e.oldTokens
	p.reserved -= e.res.Tokens - e.oldTokens
	old := min(e.oldTokens, tokens)
	p.pendingOld += old
	p.pending += tokens - old
	p.usage.add(a.now, tokens-e.res.Tokens)
	if len(e.mirrors) > 0 {
		if a.opts.disabledRules&ruleHoldUncleared == 0 {
			p.uncleared += e.res.Tokens - e.oldTokens - (tokens - old)
			p.unclearedOld += e.oldTokens - old
		}
		for m := range e.mirrors {
			a.tombstones[Tombstone{m, e.res.Key}] = false
		}
		a.dirty = true
	}
	if e.adopted {
		a.addTombstones(e.res.Key)
	}
	delete(a.open, e.res.Key)
	if a.openByID[e.res.ID] == e {
		delete(a.openByID, e.res.ID)
	}
}

// addTombstones adds tombstones of a finished reservation of an earlier epoch for
// each holder that has not registered: it may be its mirror, and a successor
// would otherwise treat the reservation as open. The previous owner is one of
// these holders, although no allocator waits for it.
func (a *Allocator) addTombstones(key Key) {
	for _, h := range a.Holders() {
		c := a.clients[h]
		if h == key.Holder || (c != nil && (c.registered || c.closed)) {
			continue
		}
		if _, ok := a.tombstones[Tombstone{h, key}]; !ok {
			a.tombstones[Tombstone{h, key}] = false
		}
	}
}

// recordBilled records the request id of a bill if it can be used again.
func (a *Allocator) recordBilled(b Bill) {
	if b.Keyed && b.Tokens > 0 {
		a.billed[b.ID] = b.Provisional
	}
}

// chargeGoneHolders charges the open reservations of the holders that are gone.
func (a *Allocator) chargeGoneHolders() {
	if len(a.goneHolders) == 0 {
		return
	}
	for _, h := range slices.Sorted(maps.Keys(a.goneHolders)) {
		c := a.clients[h]
		if c == nil || (c.incarnation == 0 && !a.hasOpen(h)) {
			continue // the holder has no state here
		}
		// During a recovery, a holder that has not registered may have
		// reservations that no other process knows of, so the allocator waits for
		// it. After the recovery all reservations are known.
		if c.closing || c.closed || (!c.registered && a.recovering) || a.isOnlyMirror(h) {
			continue
		}
		a.chargeOpen(h)
		c.closing, a.dirty = true, true
		delete(a.members, h)
	}
}

func (a *Allocator) hasOpen(holder string) bool {
	for key := range a.open {
		if key.Holder == holder {
			return true
		}
	}
	return false
}

// chargeOpen provisionally charges the open reservations of a holder in full.
func (a *Allocator) chargeOpen(holder string) {
	var list []*openReservation
	for key, e := range a.open {
		if key.Holder == holder {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(x, y *openReservation) int { return int(x.res.Key.N) - int(y.res.Key.N) })
	for _, e := range list {
		b := Bill{
			Key: e.res.Key, ID: e.res.ID, Budget: e.res.Budget, Tokens: e.res.Tokens, Keyed: e.res.Keyed,
			Provisional: true,
		}
		if !e.granted || a.opts.disabledRules&ruleChargeDead != 0 {
			b.Tokens = 0 // never acknowledged, so never dispatched
		}
		b.OldTokens = min(e.oldTokens, b.Tokens)
		a.finish(e, b.Tokens)
		a.queuedBills = append(a.queuedBills, b)
		a.recordBilled(b)
	}
}
