package ledger

import (
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
)

// Accepted maps each shard to the last settlement that its allocator has
// accepted. An allocator accepts settlements without gaps, so it has all earlier
// ones too.
type Accepted map[int]acceptedSettlement

// acceptedSettlement is the highest accepted bill number within an allocator's
// epoch and the holder's incarnation.
type acceptedSettlement struct {
	epoch, incarnation, billN uint64
	at                        time.Time
}

// Record notes that the allocator has accepted the settlements of r.
func (a Accepted) Record(r budget.SettleRequest, now time.Time) {
	a[r.Shard] = acceptedSettlement{epoch: r.Epoch, incarnation: r.Incarnation, billN: r.Bills[len(r.Bills)-1].N, at: now}
}

// Trim removes from r the settlements that the allocator has accepted and not
// yet written. Sending them each time would cost 25 KB/s per daemon at the
// target fleet size. If there are no new ones, the last settlement is resent
// every confirmInterval, since its reply contains which settlements are durable;
// Trim returns false while that is not due.
func (a Accepted) Trim(r *budget.SettleRequest, now time.Time) bool {
	last := a[r.Shard]
	if last.epoch != r.Epoch || last.incarnation != r.Incarnation {
		return true
	}
	if i := slices.IndexFunc(r.Bills, func(b budget.Bill) bool { return b.N > last.billN }); i >= 0 {
		r.Bills = r.Bills[i:]
		return true
	}
	r.Bills = r.Bills[len(r.Bills)-1:]
	return now.Sub(last.at) >= confirmInterval
}
