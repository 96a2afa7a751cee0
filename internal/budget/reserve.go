package budget

import (
	"maps"
	"slices"
	"time"
)

// Reserve handles a request for tokens. A repeat of a request is answered as
// before.
func (a *Allocator) Reserve(now time.Time, r ReserveRequest) {
	key := r.Reservation.Key
	if s := a.admit(r.Epoch, key.Holder, key.Incarnation); s != StatusOK {
		a.reply(KindReserve, key, s, 0)
		a.advance(now)
		return
	}
	c := a.clients[key.Holder]
	c.raiseLowestPending(r.LowestPending)
	if e := a.open[key]; e != nil {
		if e.granted {
			a.reply(KindReserve, key, StatusOK, e.res.Tokens)
		}
		return // a waiting request is answered later
	}
	if s := a.checkReservation(c, r.Reservation); s != StatusOK {
		a.reply(KindReserve, key, s, 0)
		a.advance(now)
		return
	}
	e := &openReservation{
		res: r.Reservation, requested: r.Reservation.Tokens, kind: KindReserve, deadline: now.Add(requestWaitLimit),
	}
	e.res.Tokens = 0
	a.open[key] = e
	a.openByID[e.res.ID] = e
	a.waiters = append(a.waiters, e)
	a.advance(now)
}

// checkReservation returns the status with which a new reservation must be
// refused, or StatusOK.
func (a *Allocator) checkReservation(c *client, res Reservation) Status {
	switch provisional, billed := a.billed[res.ID]; {
	case res.Key.N < c.lowestPending || c.finished[res.Key.N]:
		return StatusStale
	case a.openByID[res.ID] != nil:
		c.finished[res.Key.N] = true
		return StatusDuplicate
	case billed && !provisional:
		c.finished[res.Key.N] = true
		return StatusBilled
	}
	c.finished[res.Key.N] = true
	if b := a.rec.Budgets[res.Budget]; b == nil || b.Removed {
		a.wantRead = true
		return StatusUnknown
	}
	if a.retired || len(a.waiters) >= maxWaiters || res.Tokens <= 0 {
		return StatusUnavailable
	}
	delete(c.finished, res.Key.N)
	return StatusOK
}

// Extend handles a request for a larger reservation.
func (a *Allocator) Extend(now time.Time, r ExtendRequest) {
	if s := a.admit(r.Epoch, r.Key.Holder, r.Key.Incarnation); s != StatusOK {
		a.reply(KindExtend, r.Key, s, 0)
		a.advance(now)
		return
	}
	e := a.open[r.Key]
	switch {
	case e == nil || !e.granted:
		a.reply(KindExtend, r.Key, StatusStale, 0)
	case e.requested >= r.Tokens:
		// A repeat; it is answered with the first.
	case e.requested > 0:
		a.reply(KindExtend, r.Key, StatusUnavailable, e.res.Tokens) // one extension at a time
	default:
		e.requested, e.kind, e.deadline = r.Tokens, KindExtend, now.Add(requestWaitLimit)
		e.allotted = r.Tokens <= e.res.Tokens
		a.waiters = append(a.waiters, e)
	}
	a.advance(now)
}

// admit checks the epoch and the incarnation of a request.
func (a *Allocator) admit(epoch uint64, holder string, incarnation uint64) Status {
	if epoch > a.epoch && a.epoch != 0 {
		a.depose()
	}
	if a.deposed || a.epoch == 0 {
		return StatusStale
	}
	c := a.clients[holder]
	switch {
	case c == nil:
		return StatusRegister
	case c.closed && incarnation <= c.incarnation:
		return StatusClosed
	case c.closing:
		return StatusUnavailable
	case epoch < a.epoch || !c.registered || incarnation > c.incarnation:
		return StatusRegister
	case incarnation < c.incarnation:
		return StatusStale
	}
	return StatusOK
}

// raiseLowestPending raises the lowest reservation number without an answer, and
// drops the finished numbers below it.
func (c *client) raiseLowestPending(lowest uint64) {
	if lowest <= c.lowestPending {
		return
	}
	c.lowestPending = lowest
	for n := range c.finished {
		if n < lowest {
			delete(c.finished, n)
		}
	}
}

// serveWaiters answers the waiting requests that can be answered.
func (a *Allocator) serveWaiters(now time.Time) {
	clear(a.shortfall)
	a.waiters = slices.DeleteFunc(a.waiters, func(e *openReservation) bool { return a.serveWaiter(now, e) })
	for _, id := range slices.Sorted(maps.Keys(a.shortfall)) {
		a.requestTokens(now, id)
	}
}

// serveWaiter answers a waiting request if it can, and reports whether it no
// longer waits.
func (a *Allocator) serveWaiter(now time.Time, e *openReservation) bool {
	if a.open[e.res.Key] != e || e.requested == 0 {
		return true
	}
	p := a.pool(e.res.Budget)
	if need := e.requested - e.res.Tokens; !e.allotted && p.free() >= need+a.shortfall[e.res.Budget] {
		p.reserved += need
		p.usage.add(now, need)
		e.res.Tokens, e.allotted = e.requested, true
	}
	if e.allotted && a.ensureRecoverable(now, e) {
		e.granted, e.requested = true, 0
		a.reply(e.kind, e.res.Key, StatusOK, e.res.Tokens)
		return true
	}
	expired, need := !now.Before(e.deadline), e.requested-e.res.Tokens
	if expired && !e.allotted {
		p.exhaustedUntil = now.Add(a.refusalPause(e.res.Budget, need))
	}
	if expired || (!e.allotted && (a.knownExhausted(now, e.res.Budget, need) || now.Before(p.exhaustedUntil))) {
		a.refuse(e, a.refusalStatus(e.res.Budget, need))
		return true
	}
	if !e.allotted {
		a.shortfall[e.res.Budget] += e.requested - e.res.Tokens
	}
	return false
}

// refusalPause returns how long later requests are refused without waiting after
// one timed out. A time-out behind a write that is slow or met conflicts says
// nothing about the budget.
func (a *Allocator) refusalPause(budget string, need int64) time.Duration {
	b := a.rec.Budgets[budget]
	switch {
	case a.inFlight != nil || (b != nil && b.Available() > 0):
		return 0
	case a.refusalStatus(budget, need) == StatusUnavailable:
		return reclaimPause
	}
	return exhaustedPause
}

// knownExhausted reports whether a recently read record shows that fewer unspent
// tokens exist than the request needs, so that waiting cannot help.
func (a *Allocator) knownExhausted(now time.Time, budget string, need int64) bool {
	return now.Sub(a.lastLoaded) < exhaustedMaxAge && a.inFlight == nil && a.refusalStatus(budget, need) == StatusExhausted
}

// refusalStatus returns the status for a refusal: StatusUnavailable if enough
// unspent tokens for the request may exist, otherwise StatusExhausted, or
// StatusUnknown if there is no such budget.
func (a *Allocator) refusalStatus(budget string, need int64) Status {
	b := a.rec.Budgets[budget]
	if b == nil {
		return StatusUnknown
	}
	elsewhere := b.Available()
	for name, g := range b.Grants {
		if name != a.opts.Domain {
			elsewhere += g.Tokens
		}
	}
	if elsewhere+a.pool(budget).free() >= need || a.recovering {
		return StatusUnavailable
	}
	return StatusExhausted
}

// refuse answers a waiting request with a refusal. A refused extension leaves the
// reservation unchanged. The tokens of a refused reservation stay set aside if a
// mirror may hold it.
func (a *Allocator) refuse(e *openReservation, s Status) {
	// The holder releases a refused reservation that a mirror may hold.
	a.reply(e.kind, e.res.Key, s, e.res.Tokens)
	e.requested = 0
	if e.granted {
		return
	}
	a.clients[e.res.Key.Holder].finished[e.res.Key.N] = true
	a.finish(e, 0)
}

func (a *Allocator) refuseAll(s Status) {
	for _, e := range a.waiters {
		if a.open[e.res.Key] == e && e.requested > 0 {
			a.reply(e.kind, e.res.Key, s, 0)
		}
	}
	a.waiters = nil
}
