package budget

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

func (a *Allocator) read(now time.Time) {
	a.out.Read, a.reading, a.wantRead, a.lastRead = true, true, false, now
}

// Loaded handles the result of Output.Read: the record, an empty value and
// revision 0 if the key does not exist, or ok = false if the read failed.
func (a *Allocator) Loaded(now time.Time, value []byte, revision int64, ok bool) {
	a.reading = false
	rec, err := Unmarshal(value)
	switch {
	case !ok || err != nil:
		a.backOff(now)
	case a.inFlight == nil:
		a.backoff = storeBackoffMin
		a.installRecord(now, rec, revision)
	}
	a.advance(now)
}

// installRecord installs a record that was read from the store.
func (a *Allocator) installRecord(now time.Time, rec *Record, rev int64) {
	a.rec, a.rev, a.lastLoaded = rec, rev, now
	if a.epoch == 0 {
		return
	}
	if rec.domain(a.opts.Domain).Epoch != a.epoch {
		a.depose()
		return
	}
	a.collectBilled()
}

// collectBilled collects the request ids of the keyed bills. A request with a
// final bill must not run again.
func (a *Allocator) collectBilled() {
	clear(a.billed)
	for _, e := range a.rec.Bills {
		if e.Keyed {
			a.billed[e.ID] = e.Provisional
		}
	}
	for _, b := range a.queuedBills {
		a.recordBilled(b)
	}
}

// checkPolls requests a read when an operator's decision may be in the record,
// a flush when a recovery can end, and checks for surplus grants.
func (a *Allocator) checkPolls(now time.Time) {
	if a.recovering && len(a.rec.domain(a.opts.Domain).Waiting) > 0 && now.Sub(a.lastRead) >= decisionPollInterval {
		a.wantRead = true
	}
	if a.recovering && a.inFlight == nil && a.recoverReady(now) {
		a.dirty, a.urgent = true, true
	}
	a.checkSurplus(now)
}

// checkStore starts the next read or write if one is due.
func (a *Allocator) checkStore(now time.Time) {
	if a.reading || now.Before(a.retryAt) || a.deposed {
		return
	}
	if a.inFlight != nil {
		if !a.inFlight.sent {
			a.send()
		}
		return
	}
	switch {
	case a.rec == nil:
		a.read(now)
	case a.epoch == 0:
		a.startTakeover()
	case a.wantRead && now.Sub(a.lastRead) >= minReadInterval:
		a.read(now)
	case !a.flushDue(now):
	case !a.recordFresh(now):
		a.read(now)
	default:
		if a.urgent {
			a.lastUrgentFlush = now
		}
		a.startFlush(now)
	}
}

// flushDue reports whether it is time for a flush.
func (a *Allocator) flushDue(now time.Time) bool {
	if !a.dirty && !now.Before(a.nextFlush) {
		// Keep this allocator's phase: allocators that become dirty at the same
		// time would otherwise write at the same time and conflict.
		a.nextFlush = now.Add(a.opts.Interval - a.flushPhase(now))
	}
	return a.dirty && (!now.Before(a.nextFlush) || (a.urgent && now.Sub(a.lastUrgentFlush) >= a.urgentFlushGap()))
}

// recordFresh reports whether a write is likely to find the stored record
// unchanged. With several failure domains that is rare. Reading first avoids a
// conflict on each flush, which would double the writes; the allowance of reads
// is seven times that of writes.
func (a *Allocator) recordFresh(now time.Time) bool {
	return len(a.rec.Domains) < 2 || now.Sub(a.lastLoaded) < 10*time.Millisecond
}

// startTakeover writes a new epoch into the record.
func (a *Allocator) startTakeover() {
	epoch := a.rec.TakeOver(a.opts.Domain, a.opts.Owner, slices.Collect(maps.Keys(a.liveHolders)))
	a.inFlight = &inFlightWrite{
		epoch: epoch, write: StoreWrite{OpID: fmt.Sprintf("%s/%d/%s", a.opts.Domain, epoch, a.opts.Owner)},
	}
	a.encode()
}

func (a *Allocator) startFlush(now time.Time) {
	a.dirty, a.urgent = false, false
	a.nextFlush = now.Add(a.opts.Interval - a.flushPhase(now))
	f := a.buildFlush(now)
	a.inFlight = &inFlightWrite{
		flush: f, epoch: a.epoch, uncleared: make(map[string]int64),
		write: StoreWrite{OpID: fmt.Sprintf("%s/%d/%d", a.opts.Domain, a.epoch, f.Seq)},
	}
	for id, p := range a.pools {
		if p.uncleared > 0 {
			a.inFlight.uncleared[id] = p.uncleared
		}
	}
	if err := a.rec.Apply(f); err != nil {
		a.fail(err) // the stored record is unchanged, and a successor starts from it
		return
	}
	a.encode()
}

// flushPhase returns the time since the start of the current flush period. The
// periods of the allocators are offset by a hash, which spreads the flushes of
// the fleet over the interval.
func (a *Allocator) flushPhase(now time.Time) time.Duration {
	offset := xxhash.Sum64String(fmt.Sprint(a.opts.Domain, a.opts.Shard))
	return time.Duration((uint64(now.UnixNano()) + offset) % uint64(a.opts.Interval))
}

func (a *Allocator) encode() {
	value, err := a.rec.Marshal()
	if err != nil {
		a.fail(err)
		return
	}
	a.inFlight.write.Value, a.inFlight.write.Expected = value, a.rev
	a.send()
}

func (a *Allocator) send() {
	w := a.inFlight.write
	a.out.Write, a.inFlight.sent = &w, true
}

// Stored handles the outcome of Output.Write.
func (a *Allocator) Stored(now time.Time, r StoreResult) {
	if fl := a.inFlight; fl != nil && fl.sent && !a.deposed {
		fl.sent = false
		switch r.Outcome {
		case Applied:
			a.rev = r.Revision
			a.confirmWrite(now)
		case Conflict:
			a.rebase(now, r)
		default:
			a.backOff(now)
		}
	}
	a.advance(now)
}

func (a *Allocator) backOff(now time.Time) {
	jitter := xxhash.Sum64String(fmt.Sprint(a.opts.Owner, a.opts.Domain, a.opts.Shard, now.UnixNano())) % 1000
	a.retryAt = now.Add(a.backoff/2 + a.backoff*time.Duration(jitter)/2000)
	a.backoff = min(2*a.backoff, storeBackoffMax)
}

// rebase applies the write in flight to a newer record, or confirms it if the
// record already contains it.
func (a *Allocator) rebase(now time.Time, r StoreResult) {
	rec, err := Unmarshal(r.Value)
	if err != nil {
		a.backOff(now)
		return
	}
	a.rec, a.rev = rec, r.Revision
	d := rec.domain(a.opts.Domain)
	fl := a.inFlight
	if fl.flush == nil {
		switch {
		case d.Epoch == fl.epoch && d.Owner == a.opts.Owner:
			a.confirmWrite(now)
		case d.Epoch >= fl.epoch:
			a.depose()
		default:
			a.inFlight = nil
			a.startTakeover()
		}
		return
	}
	if a.opts.disabledRules&ruleFlushSequence != 0 {
		d.Seq = fl.flush.Seq - 1
	}
	switch err := rec.Apply(fl.flush); {
	case errors.Is(err, ErrRepeated):
		a.confirmWrite(now)
	case errors.Is(err, ErrDeposed):
		a.depose()
	case err != nil:
		a.fail(err)
	default:
		a.encode()
		a.delayRetry(now)
	}
}

// delayRetry delays a write that met repeated conflicts by a random time, so that
// the writers of a record do not conflict again.
func (a *Allocator) delayRetry(now time.Time) {
	fl := a.inFlight
	fl.conflicts++
	if fl.conflicts == 1 || a.out.Write == nil {
		return // the first retry is immediate: there is usually one other writer
	}
	window := conflictBackoff << min(fl.conflicts-2, 3)
	jitter := xxhash.Sum64String(fmt.Sprint(a.opts.Domain, a.opts.Shard, fl.write.OpID, fl.conflicts)) % uint64(window)
	a.out.Write, fl.sent = nil, false
	a.retryAt = now.Add(time.Duration(jitter))
}

// confirmWrite handles the write in flight as durable.
func (a *Allocator) confirmWrite(now time.Time) {
	fl := a.inFlight
	a.inFlight, a.backoff, a.retryAt, a.lastLoaded = nil, storeBackoffMin, time.Time{}, now
	if fl.flush == nil {
		a.beginEpoch(now, fl.epoch)
	} else {
		a.confirmFlush(fl)
	}
	for id, b := range a.rec.Budgets {
		g := b.Grants[a.opts.Domain]
		p := a.pool(id)
		p.granted, p.grantedOld = g.Tokens, g.OldTokens
	}
	a.collectBilled()
}

// beginEpoch starts an epoch with the failure domain's state from the record.
func (a *Allocator) beginEpoch(now time.Time, epoch uint64) {
	a.epoch, a.tookOver, a.lastSurplusCheck = epoch, now, now
	a.dirty, a.urgent = true, true
	d := a.rec.domain(a.opts.Domain)
	for h, state := range d.Holders {
		c := a.client(h)
		c.incarnation, c.accepted, c.durable, c.closed = state.Incarnation, state.Settled, state.Settled, state.Closed
		if a.opts.disabledRules&ruleSettlementNumbers != 0 {
			c.accepted = 0
		}
	}
	for _, h := range d.Members {
		a.members[h] = true
		a.client(h).member = !d.Holders[h].Closed
	}
	a.unmirrored = d.Unmirrored
	for _, t := range d.Tombstones {
		a.tombstones[t] = true
	}
	a.recovering = len(d.Waiting) > 0
	for _, b := range a.rec.Budgets {
		a.recovering = a.recovering || b.Grants[a.opts.Domain].OldTokens > 0
	}
}

// confirmFlush updates the state for a flush that is durable.
func (a *Allocator) confirmFlush(fl *inFlightWrite) {
	f := fl.flush
	for _, b := range f.Bills {
		p := a.pool(b.Budget)
		p.pending -= b.Tokens - b.OldTokens
		p.pendingOld -= b.OldTokens
		if b.Late {
			p.pending += b.Tokens // a late bill was not added to pending
		}
	}
	for id := range f.Returns {
		a.pool(id).returning = 0
	}
	for id, uncleared := range fl.uncleared {
		a.pool(id).uncleared -= uncleared
	}
	for _, t := range f.Tombstones {
		if _, ok := a.tombstones[t]; ok {
			a.tombstones[t] = true
		}
	}
	members := make(map[string]bool, len(f.Members))
	for _, h := range f.Members {
		members[h] = true
	}
	a.unmirrored = f.Unmirrored
	for h, state := range f.HolderStates {
		c := a.client(h)
		if state.Incarnation == c.incarnation {
			c.durable = state.Settled
			if state.Closed && c.closing {
				c.closing, c.closed, c.registered = false, true, false
				a.forgetMirror(h)
				delete(a.goneHolders, h)
			}
		}
	}
	for h, c := range a.clients {
		// A successor does not wait for a holder that is closed in the record.
		c.member = members[h] && !a.rec.domain(a.opts.Domain).Holders[h].Closed
	}
	if f.EndRecovery {
		a.endRecovery()
	}
	a.queueClears()
}

// endRecovery moves the tokens retained from the old grants to the current ones.
func (a *Allocator) endRecovery() {
	a.recovering = false
	for _, p := range a.pools {
		p.reserved += p.reservedOld
		p.pending += p.pendingOld
		p.uncleared += p.unclearedOld
		p.reservedOld, p.pendingOld, p.unclearedOld = 0, 0, 0
	}
	for _, e := range a.open {
		e.oldTokens = 0
	}
	for i := range a.queuedBills {
		a.queuedBills[i].OldTokens = 0
	}
}
