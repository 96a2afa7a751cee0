package escrow

import (
	"math"
	"time"
)

// Parameters of the size of a holding.
const (
	// targetDuration is the time for which a holding should last at the recent
	// rate of spend. The store is unreachable for about ten seconds in an outage.
	// When little of a budget is left, maxHeldFraction allows less.
	targetDuration = 14 * time.Second
	// lowWatermark is the fraction of the target below which tokens are drawn
	// before a request needs them.
	lowWatermark = 0.7
	// limitedLowWatermark replaces lowWatermark at an owner whose limit is below its
	// need.
	limitedLowWatermark = 0.9
	// highWatermark is the multiple of the target above which tokens are
	// returned to the store.
	highWatermark = 1.6
	// aheadDuration is the time for which a failure domain's distributor requests
	// tokens from the account's owner, at the recent rate of its transfers.
	aheadDuration = 3 * time.Second
	// busyAheadDuration is the time for which a daemon requests tokens from the distributor
	// if they serve at least minAheadRequests of its requests.
	busyAheadDuration = time.Second
	minAheadRequests  = 8
	// maxAheadShare is the divisor of the part of a holding that one such request
	// may take beyond its need.
	maxAheadShare = 8
	// rateTimeConstant is the time constant of the decaying rate of spend.
	rateTimeConstant = 6 * time.Second
	// minRateAge is the least time since the first use that recentRate assumes,
	// which bounds how far it scales up an early rate.
	minRateAge = 2 * time.Second
	// maxHeldFraction bounds the part of the remaining budget that all holders
	// keep together: it is lost if all of them lose power at once.
	maxHeldFraction = 0.2
	// maxOwnerHeldFraction replaces maxHeldFraction where a few owners draw for
	// a wide fleet. The smaller draws under maxHeldFraction cost 2,000 calls of
	// the store in 40 s.
	maxOwnerHeldFraction = 0.35
	// shrinkBelowFraction is the unused part of a budget below which maxHeldFraction
	// shrinks in proportion to it. With a fifth left, all holders then keep at most
	// 3 % of the budget, which is what may go unused.
	shrinkBelowFraction = 0.5
	// minTargetFraction is the part of the remaining budget that each holder
	// keeps however little it spends, which saves draws.
	// fleetMinTargetFraction bounds that of all holders together.
	minTargetFraction      = 0.01
	fleetMinTargetFraction = 0.15
	// initialFleetFraction is the part of a budget that all daemons hold together
	// before they use it, so that they can serve requests if the store becomes
	// unreachable in the first seconds.
	initialFleetFraction = 0.1
	// minInitialDivisor sets the smallest initial target worth a write, as a
	// divisor of the budget; a smaller one would not cover a request.
	minInitialDivisor = 200
	// initialTargetDuration is how long a daemon keeps an unused initial holding.
	initialTargetDuration = 20 * time.Second
	// minSurplusDivisor sets the smallest surplus worth a write to return it, as
	// a divisor of the budget.
	minSurplusDivisor = 100
	// urgentFraction is the part of a budget that is drawn for urgent requests only.
	// The users count 97 in 100 of a budget as usable by any request. Without it,
	// nothing but requests without tokens is served once a budget is used up, which
	// was less than a quarter of the requests after a loss of power.
	urgentFraction = 0.03
	// exhaustedPause is the pause after a draw that found the budget exhausted.
	// In the meantime tokens can only appear through a top-up, which ends the
	// pause, or through a return by another daemon.
	exhaustedPause = 6 * time.Second
)

// Holding is this daemon's tokens of one account. The zero value holds none.
//
// Invariant: spent + reserved + sent + returning <= drawn + received.
type Holding struct {
	holder  string
	prepaid int64
	// holderCount is the number of daemons that draw on the budget.
	holderCount int
	// createdAt is when this daemon began to hold tokens of the account.
	createdAt time.Time
	// owner is true if the holder draws for other daemons too.
	owner bool
	// keepUrgent is true if urgentFraction of the budget is kept for urgent requests.
	keepUrgent bool

	// era counts the restarts of the store from an older copy. reconciled is true if
	// record is the account's record in this era, see EnterEra.
	era        int64
	reconciled bool

	// record is the newest known state of the store's record, at revision.
	record   Record
	revision int64

	// drawn is the amount that this holder has taken according to record.
	drawn int64
	// received and sent count tokens transferred from and to other daemons.
	received, sent int64
	// spent counts tokens of settled requests, reserved those of open ones.
	spent, reserved int64
	// returning counts tokens that are being returned to the store. The outcome
	// is unknown until the record is read at a later revision.
	returning int64

	// writeInFlight is true while a write to the record is in flight.
	writeInFlight bool
	// exhaustedUntil is the end of the pause after a draw that found no tokens.
	exhaustedUntil time.Time

	// rate is the exponentially decaying spend per second as of rateUpdatedAt;
	// firstUseAt is when the account was first used here.
	rate                      float64
	rateUpdatedAt, firstUseAt time.Time
}

// NewHolding returns an empty holding for the holder id, which must be unique to
// this incarnation of the daemon (see HolderID).
func NewHolding(now time.Time, holder string) *Holding {
	return &Holding{holder: holder, holderCount: 1, createdAt: now, reconciled: true}
}

// SetHolders sets the number of daemons that draw on the budget.
func (h *Holding) SetHolders(n int) { h.holderCount = max(n, 1) }

// SetOwner sets whether the holder draws for other daemons too.
func (h *Holding) SetOwner(owner bool) { h.owner = owner }

// KeepUrgent keeps a part of the budget for urgent requests.
func (h *Holding) KeepUrgent(keep bool) { h.keepUrgent = keep }

// SetPrepaid sets the account's budget and returns the former one. A higher budget
// ends the pause after a draw that found no tokens.
func (h *Holding) SetPrepaid(tokens int64) (former int64, changed bool) {
	if tokens > h.prepaid {
		h.exhaustedUntil = time.Time{}
	}
	former, h.prepaid = h.prepaid, tokens
	return former, former != tokens
}

// Available returns the number of tokens that can be reserved now.
func (h *Holding) Available() int64 {
	return h.drawn + h.received - h.sent - h.spent - h.reserved - h.returning
}

// Prepaid returns the account's budget.
func (h *Holding) Prepaid() int64 { return h.prepaid }

// Reserved returns the number of tokens set aside for open requests.
func (h *Holding) Reserved() int64 { return h.reserved }

// Undrawn returns the tokens that are left in the store as of the newest known
// record.
func (h *Holding) Undrawn() int64 { return max(0, h.prepaid-h.record.TotalDrawn()) }

// Drawable returns the tokens in the store that requests may draw: all for urgent
// requests, else those beyond the part that is kept for urgent ones.
func (h *Holding) Drawable(urgent bool) int64 {
	if urgent || !h.keepUrgent {
		return h.Undrawn()
	}
	return max(0, h.Undrawn()-int64(urgentFraction*float64(h.prepaid)))
}

// Reserve sets tokens aside for a request and reports whether the holding covers
// them.
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

// Settle ends a reservation of the given size, of which used tokens were spent.
func (h *Holding) Settle(now time.Time, reserved, used int64) {
	h.reserved -= reserved
	h.spent += min(used, reserved)
	h.recordSpend(now, used)
}

// recordSpend adds tokens to the rate of spend.
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

// recentRate returns the recent spend per second. Shortly after the first use it is
// scaled up, because the averaging window reaches back beyond that use.
func (h *Holding) recentRate(now time.Time) float64 {
	if h.rateUpdatedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(h.firstUseAt), minRateAge)
	return h.decayedRate(now) / (1 - math.Exp(-age.Seconds()/rateTimeConstant.Seconds()))
}

// Target returns the number of tokens that the holding should keep: the need at the
// recent rate of spend, limited to the holder's part of what all holders may keep.
func (h *Holding) Target(now time.Time) int64 {
	rest := float64(h.Undrawn() + max(0, h.Available()))
	if h.rateUpdatedAt.IsZero() {
		initial := int64(initialFleetFraction * rest / float64(h.holderCount))
		if now.Sub(h.createdAt) > initialTargetDuration || initial < h.prepaid/minInitialDivisor {
			return 0
		}
		return initial
	}
	rate := h.recentRate(now)
	maxHeld := maxHeldFraction
	if h.owner {
		maxHeld = maxOwnerHeldFraction
	}
	if left := rest / float64(h.prepaid); left < shrinkBelowFraction {
		maxHeld *= left / shrinkBelowFraction
	}
	limit := maxHeld * rest * h.record.rateShare(h.holder, rate)
	minTarget := min(minTargetFraction, fleetMinTargetFraction/float64(h.holderCount)) * rest
	return int64(max(min(rate*targetDuration.Seconds(), limit), minTarget))
}

// BelowTarget reports whether the holding is so far below its target that tokens
// should be drawn although no request waits.
func (h *Holding) BelowTarget(now time.Time) bool {
	return float64(h.Available()) < h.drawBelow(now) && h.Drawable(false) > 0
}

// drawBelow returns the number of available tokens below which more are drawn ahead of need.
// The owner of a busy account may hold less than a loss of the store takes, so it keeps near
// that limit: what is missing at the beginning of the loss is refused in it.
func (h *Holding) drawBelow(now time.Time) float64 {
	target := float64(h.Target(now))
	need := lowWatermark * h.recentRate(now) * targetDuration.Seconds()
	if !h.owner || need <= lowWatermark*target {
		return lowWatermark * target
	}
	return min(need, limitedLowWatermark*target)
}

// WriteInFlight reports whether a write to the record is in flight.
func (h *Holding) WriteInFlight() bool { return h.writeInFlight }

// Write is a compare-and-swap of the account's record in an era of the store.
type Write struct {
	Record   Record
	Expected int64
	Era      int64
}

// Draw returns the write that draws at least need tokens. It returns false if the
// record leaves too few or is not reconciled, another write is in flight or draws are
// paused after one that found no tokens; the pause does not hold for urgent requests that the
// newest known record covers. The caller reports the outcome with Written, Conflict, Failed
// or Unknown.
func (h *Holding) Draw(now time.Time, need int64, urgent bool) (Write, bool) {
	drawable := h.Drawable(urgent)
	paused := now.Before(h.exhaustedUntil) && (!urgent || !h.keepUrgent)
	if !h.mayWrite() || paused || drawable < need || drawable <= 0 {
		return Write{}, false
	}
	amount := max(need, min(need+h.Target(now)-max(0, h.Available()), h.Drawable(false)))
	if amount <= 0 {
		return Write{}, false
	}
	return h.write(h.record.withHolder(h.holder, h.drawn+amount, int64(h.recentRate(now)))), true
}

// mayWrite reports whether a write of the record may begin.
func (h *Holding) mayWrite() bool { return h.reconciled && !h.writeInFlight }

// write begins a write of the record.
func (h *Holding) write(r Record) Write {
	h.writeInFlight = true
	return Write{Record: r, Expected: h.revision, Era: h.era}
}

// Rebalance returns the write that brings the holding to its target, by a draw or by
// returning the surplus. Tokens that are used and that the record lacks come first. It
// returns false if the holding is within the watermarks or no write is possible now.
func (h *Holding) Rebalance(now time.Time) (Write, bool) {
	surplus := h.Available() - h.Target(now)
	switch {
	case !h.mayWrite():
		return Write{}, false
	case h.debt() > 0 && h.Undrawn() > 0:
		drawn := h.drawn + min(h.debt(), h.Undrawn())
		return h.write(h.record.withHolder(h.holder, drawn, int64(h.recentRate(now)))), true
	case now.Before(h.exhaustedUntil):
		return Write{}, false
	case h.BelowTarget(now):
		return h.Draw(now, 0, false)
	case float64(surplus) < (highWatermark-1)*float64(h.Target(now)) || surplus < h.prepaid/minSurplusDivisor:
		return Write{}, false
	}
	h.returning += surplus
	return h.write(h.record.withHolder(h.holder, h.drawn-surplus, int64(h.recentRate(now)))), true
}

// Return returns the write that removes the holder's entry and returns its unspent
// tokens to the store. Open reservations count as spent. The holding is empty from
// then on. Return returns false if the record has no entry of the holder, so that a
// retry after a lost answer does not count its spend twice.
func (h *Holding) Return() (Write, bool) {
	if _, listed := h.record.Drawn[h.holder]; !h.mayWrite() || !listed {
		return Write{}, false
	}
	h.returning += max(0, h.Available())
	net := h.spent + h.reserved + h.sent - h.received
	return h.write(h.record.withoutHolder(h.holder, net)), true
}

// Written records that a write took effect at a revision. A write of a former era counts
// as one whose outcome is unknown.
func (h *Holding) Written(w Write, revision int64) {
	h.writeInFlight = false
	if w.Era == h.era {
		h.adopt(w.Record, revision)
	}
}

// Conflict records the actual state of the record in the holding's era after a failed
// comparison or a read.
func (h *Holding) Conflict(actual Record, revision int64) {
	h.writeInFlight = false
	h.adopt(actual, revision)
}

// Read records the state of the record in the holding's era, as a read has found it. A write
// may be in flight.
func (h *Holding) Read(actual Record, revision int64) { h.adopt(actual, revision) }

// Learn keeps a record of a former era that a peer knows and that is newer than the one known
// here, so that it is not lost with the peer before the account is reconciled.
func (h *Holding) Learn(r Record, revision int64) {
	if !h.reconciled && revision > h.revision {
		h.record, h.revision = r, revision
	}
}

// Failed records that a write had no effect.
func (h *Holding) Failed() { h.writeInFlight = false }

// Unknown records that a write may have taken effect, or may still do so while its
// expected revision matches. Tokens that it draws are not counted: the next write
// expects the same revision, so its outcome shows whether the earlier one took effect.
func (h *Holding) Unknown() { h.writeInFlight = false }

// MarkExhausted pauses draws because the record leaves fewer tokens than needed.
func (h *Holding) MarkExhausted(now time.Time) { h.exhaustedUntil = now.Add(exhaustedPause) }

// MayRefresh reports whether the record should be read again: it has been read or
// written before, no write is in flight and draws are not paused.
func (h *Holding) MayRefresh(now time.Time) bool {
	return h.mayWrite() && h.revision > 0 && !now.Before(h.exhaustedUntil)
}

func (h *Holding) adopt(r Record, revision int64) {
	if h.reconciled && revision <= h.revision {
		return
	}
	h.record, h.revision, h.reconciled = r, revision, true
	h.drawn = r.Drawn[h.holder]
	h.returning = 0
}
