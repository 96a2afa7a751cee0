package budget

import (
	"maps"
	"slices"
	"time"
)

// buildFlush collects the content of the next flush.
func (a *Allocator) buildFlush(now time.Time) *Flush {
	a.flushSeq++
	f := &Flush{
		Domain: a.opts.Domain, Epoch: a.epoch, Seq: a.flushSeq, Unix: now.Unix(),
		Returns: make(map[string]int64), Draws: make(map[string]int64), Rates: make(map[string]int64),
	}
	f.EndRecovery = a.recovering && a.recoverReady(now)
	f.Bills, a.queuedBills = a.queuedBills, nil
	f.HolderStates = a.holderStates(now)
	for h := range a.members {
		if c := a.clients[h]; a.goneHolders[h] && (c == nil || !c.registered) {
			delete(a.members, h) // it never had a reservation of this epoch
		}
	}
	f.Members = slices.Sorted(maps.Keys(a.members))
	f.Unmirrored = a.wantUnmirrored || len(f.Members) == 0 || a.hasUnmirrored()
	a.wantUnmirrored = false
	f.Tombstones = slices.SortedFunc(maps.Keys(a.tombstones), Tombstone.compare)
	if f.EndRecovery {
		f.Retained = a.retained(f.Bills)
	}
	a.sizeGrants(now, f)
	return f
}

// holderStates returns the state of each holder for the record.
func (a *Allocator) holderStates(now time.Time) map[string]HolderState {
	states := make(map[string]HolderState, len(a.clients))
	for h, c := range a.clients {
		if c.incarnation == 0 {
			continue
		}
		state := HolderState{Incarnation: c.incarnation, Settled: c.accepted, Closed: c.closing || c.closed}
		if state.Closed {
			state.Unix = now.Unix()
			if old := a.rec.domain(a.opts.Domain).Holders[h]; old.Closed && old.Incarnation == c.incarnation {
				state.Unix = old.Unix
			}
		}
		states[h] = state
	}
	return states
}

// retained returns the tokens of the old grants, by budget, that cover known
// open reservations or bills not among the given ones.
func (a *Allocator) retained(bills []Bill) map[string]int64 {
	retained := make(map[string]int64, len(a.pools))
	for id, p := range a.pools {
		retained[id] = p.reservedOld + p.pendingOld
		p.unclearedOld = 0 // the flush records the tombstones
	}
	for _, b := range bills {
		retained[b.Budget] -= b.OldTokens
	}
	return retained
}

// hasUnmirrored reports whether a reservation is known to this process alone:
// one of its own holder without a mirror, or an adopted one whose holder is gone.
func (a *Allocator) hasUnmirrored() bool {
	if !a.unmirrored {
		return false
	}
	for _, e := range a.open {
		if e.granted && !a.mirrored(e) {
			return true
		}
	}
	return false
}
