package escrow

import (
	"math"
	"time"
)

// Parameters of the size of a holding.
const (
	// horizon is the time for which a holding should last at the recent rate
	// of spend. A loss of the store lasts about ten seconds; late in the life
	// of a budget riskShare allows less.
	targetDuration = 14 * time.Second
	// lowWater is the part of the target below which tokens are drawn before a
	// request needs them.
	lowWatermark = 0.7
	// highWater is the multiple of the target above which tokens go back.
	highWatermark = 1.6
	// rateWindow is the time constant of the rate of spend.
	rateTimeConstant = 6 * time.Second
	// leastSeen bounds the scaling of a rate that was seen for a short time.
	minRateAge = 2 * time.Second
	// riskShare bounds what the holders keep together of the rest of a budget:
	// it is lost if they all lose power at once.
	maxHeldFraction = 0.2
	// keepersRisk is the same where few keepers draw for a wide fleet, whose
	// smaller draws cost 2,000 calls of the store in 40 s.
	maxOwnerHeldFraction = 0.35
	// standingShare is what each holder keeps of the rest however little it
	// spends, which spares draws; standingFleet bounds that of all together.
	minTargetFraction      = 0.01
	fleetMinTargetFraction = 0.15
	// firstShare is what all daemons keep together of a budget that they have
	// not used yet, against a loss of the store in the first seconds.
	initialFleetFraction = 0.1
	// leastFirst is the least part of the budget, as a divisor, that is worth a
	// write before the first use; a smaller one covers no request.
	minInitialDivisor = 200
	// firstFor is the time for which a daemon keeps its part of that unused.
	initialTargetDuration = 20 * time.Second
	// leastSurplus is the least part of the budget, as a divisor, that is worth
	// a write to give back.
	minSurplusDivisor = 100
	// retryDraw is the pause after a draw that found the budget used up. Only
	// tokens that another daemon gives back end that sooner than a top-up,
	// which ends the pause.
	exhaustedPause = 6 * time.Second
)

// Holding is this daemon's part of one account's budget. The zero value holds
// nothing.
//
// Invariant: spent + reserved + given + returning <= drawn + received.
type Holding struct {
	holder  string
	prepaid int64
	// holders is the number of daemons that draw on the budget, since the time
	// at which this one began to hold it.
	holderCount int
	createdAt   time.Time
	// keeper is true if the holder draws for other daemons too.
	owner bool

	// record is the newest known state of the store's record, at revision.
	record   Record
	revision int64

	// drawn is what record says this holder has taken.
	drawn int64
	// received and given are tokens from and to other daemons.
	received, sent int64
	// spent is settled, reserved is held for open requests.
	spent, reserved int64
	// returning is being given back to the store, with unknown outcome until
	// the record is seen at a later revision.
	returning int64

	// busy is true while a write to the record is in flight.
	writeInFlight bool
	// exhaustedUntil is the end of the pause after a draw found nothing.
	exhaustedUntil time.Time

	// rate is the recent spend a second as of rateAt, weighted from the first
	// use on.
	rate                      float64
	rateUpdatedAt, firstUseAt time.Time
}

// NewHolding returns the holding of holder, whose id no other start uses.
func NewHolding(now time.Time, holder string) *Holding {
	return &Holding{holder: holder, holderCount: 1, createdAt: now}
}

// SetHolders sets the number of daemons that draw on the budget.
func (h *Holding) SetHolders(n int) { h.holderCount = max(n, 1) }

// SetOwner tells whether the holder draws for other daemons too.
func (h *Holding) SetOwner(owner bool) { h.owner = owner }

// SetPrepaid sets the account's budget and returns the former one.
func (h *Holding) SetPrepaid(tokens int64) (former int64, changed bool) {
	if tokens > h.prepaid {
		h.exhaustedUntil = time.Time{}
	}
	former, h.prepaid = h.prepaid, tokens
	return former, former != tokens
}

// Available is what can be reserved now.
func (h *Holding) Available() int64 {
	return h.drawn + h.received - h.sent - h.spent - h.reserved - h.returning
}

// Undrawn is what the newest known record leaves in the store.
func (h *Holding) Undrawn() int64 { return max(0, h.prepaid-h.record.TotalDrawn()) }

// Reserve takes tokens for a request if the holding covers them.
func (h *Holding) Reserve(now time.Time, tokens int64) bool {
	if h.rateUpdatedAt.IsZero() {
		h.rateUpdatedAt, h.firstUseAt = now, now // the account is used here from now on
	}
	if tokens > h.Available() {
		return false
	}
	h.reserved += tokens
	return true
}

// Settle ends a reservation of the given size at the tokens used.
func (h *Holding) Settle(now time.Time, reserved, used int64) {
	h.reserved -= reserved
	h.spent += min(used, reserved)
	h.recordSpend(now, used)
}

// use counts tokens in the rate of spend.
func (h *Holding) recordSpend(now time.Time, tokens int64) {
	if h.rateUpdatedAt.IsZero() {
		h.rateUpdatedAt, h.firstUseAt = now, now
	}
	h.rate = h.decayedRate(now) + float64(tokens)/rateTimeConstant.Seconds()
	h.rateUpdatedAt = now
}

func (h *Holding) decayedRate(now time.Time) float64 {
	return h.rate * math.Exp(-now.Sub(h.rateUpdatedAt).Seconds()/rateTimeConstant.Seconds())
}

// recentRate is the spend a second. Early on it is scaled up, since the window
// reaches back beyond the first use.
func (h *Holding) recentRate(now time.Time) float64 {
	if h.rateUpdatedAt.IsZero() {
		return 0
	}
	seen := max(now.Sub(h.firstUseAt), minRateAge)
	return h.decayedRate(now) / (1 - math.Exp(-seen.Seconds()/rateTimeConstant.Seconds()))
}

// Target is the amount that the holding should keep: what the recent rate of
// spend needs, within the holder's part of what may be at risk.
func (h *Holding) Target(now time.Time) int64 {
	rest := float64(h.Undrawn() + max(0, h.Available()))
	if h.rateUpdatedAt.IsZero() {
		first := int64(initialFleetFraction * rest / float64(h.holderCount))
		if now.Sub(h.createdAt) > initialTargetDuration || first < h.prepaid/minInitialDivisor {
			return 0
		}
		return first
	}
	rate := h.recentRate(now)
	risk := maxHeldFraction
	if h.owner {
		risk = maxOwnerHeldFraction
	}
	atRisk := risk * rest * h.record.rateShare(h.holder, rate)
	standing := min(minTargetFraction, fleetMinTargetFraction/float64(h.holderCount)) * rest
	return int64(max(min(rate*targetDuration.Seconds(), atRisk), standing))
}

// BelowTarget tells whether tokens should be drawn although no request waits.
func (h *Holding) BelowTarget(now time.Time) bool {
	return float64(h.Available()) < lowWatermark*float64(h.Target(now)) && h.Undrawn() > 0
}

// Transfer is the answer to a peer that asks for tokens.
type Transfer struct {
	Tokens int64
	// BudgetExhausted is true if the store told the giver that no more are left, StoreUnreachable if
	// it does not answer the giver.
	BudgetExhausted, StoreUnreachable bool
}

// WriteInFlight tells whether a write to the record is in flight.
func (h *Holding) WriteInFlight() bool { return h.writeInFlight }

// TransferOut takes tokens out for a peer: what it needs as far as the holding covers
// it, and up to as much again while half of the holding stays.
func (h *Holding) TransferOut(need int64) int64 {
	have := h.Available()
	if have <= 0 {
		return 0
	}
	amount := min(have, max(need, min(have/2, 2*need)))
	h.sent += amount
	return amount
}

// TransferExact takes out for a peer what it needs, as far as the holding covers it.
func (h *Holding) TransferExact(need int64) int64 {
	amount := max(0, min(h.Available(), need))
	h.sent += amount
	return amount
}

// RecordTransfer counts given tokens in the rate of spend: a daemon that draws for others
// has to hold what they need.
func (h *Holding) RecordTransfer(now time.Time, tokens int64) { h.recordSpend(now, tokens) }

// Receive adds tokens that a peer gave.
func (h *Holding) Receive(tokens int64) { h.received += tokens }

// Write is a compare-and-swap of the account's record.
type Write struct {
	Record   Record
	Expected int64
}

// Draw returns the write that takes at least need tokens more, and false if
// the record leaves too few, another write is in flight or the last draw found
// nothing. The caller reports the outcome by Written, Conflict, Failed or
// Unknown.
func (h *Holding) Draw(now time.Time, need int64) (Write, bool) {
	if h.writeInFlight || now.Before(h.exhaustedUntil) {
		return Write{}, false
	}
	left := h.Undrawn()
	if left < need || left <= 0 {
		return Write{}, false
	}
	amount := max(need, min(need+h.Target(now)-max(0, h.Available()), left))
	if amount <= 0 {
		return Write{}, false
	}
	h.writeInFlight = true
	return Write{Record: h.record.withHolder(h.holder, h.drawn+amount, int64(h.recentRate(now))), Expected: h.revision}, true
}

// Rebalance returns the write that brings the holding to its target, and false if
// it is near: tokens are drawn, or given back if far more are held.
func (h *Holding) Rebalance(now time.Time) (Write, bool) {
	surplus := h.Available() - h.Target(now)
	switch {
	case h.writeInFlight || now.Before(h.exhaustedUntil):
		return Write{}, false
	case h.BelowTarget(now):
		return h.Draw(now, 0)
	case float64(surplus) < (highWatermark-1)*float64(h.Target(now)) || surplus < h.prepaid/minSurplusDivisor:
		return Write{}, false
	}
	h.writeInFlight = true
	h.returning += surplus
	return Write{Record: h.record.withHolder(h.holder, h.drawn-surplus, int64(h.recentRate(now))), Expected: h.revision}, true
}

// Return returns the write that ends the holder and frees what it did not
// spend. Open reservations count as spent. The holding is empty from then on.
// The holder's entry shows that it has not ended before, so that a repeat after
// a lost answer does not count its spend twice.
func (h *Holding) Return() (Write, bool) {
	if _, entered := h.record.Drawn[h.holder]; h.writeInFlight || !entered {
		return Write{}, false
	}
	h.returning += max(0, h.Available())
	h.writeInFlight = true
	net := h.spent + h.reserved + h.sent - h.received
	return Write{Record: h.record.withoutHolder(h.holder, net), Expected: h.revision}, true
}

// Written records that a write took effect at a revision.
func (h *Holding) Written(w Write, revision int64) {
	h.writeInFlight = false
	h.adopt(w.Record, revision)
}

// Conflict records the state that the store has instead of the expected one.
func (h *Holding) Conflict(actual Record, revision int64) {
	h.writeInFlight = false
	h.adopt(actual, revision)
}

// Failed records that a write had no effect.
func (h *Holding) Failed() { h.writeInFlight = false }

// Unknown records that a write may have taken effect or may still do so, while
// its condition holds. What it would draw is not counted: the next write has
// the same condition, so its outcome shows whether the earlier one happened.
func (h *Holding) Unknown() { h.writeInFlight = false }

// MarkExhausted pauses draws: the store's record leaves less than was needed.
func (h *Holding) MarkExhausted(now time.Time) { h.exhaustedUntil = now.Add(exhaustedPause) }

// MayRefresh tells whether the record should be read again: it has been read
// before, and the last reading that found nothing is not recent.
func (h *Holding) MayRefresh(now time.Time) bool {
	return !h.writeInFlight && h.revision > 0 && !now.Before(h.exhaustedUntil)
}

func (h *Holding) adopt(r Record, revision int64) {
	if revision <= h.revision {
		return
	}
	h.record, h.revision = r, revision
	h.drawn = r.Drawn[h.holder]
	h.returning = 0
}
