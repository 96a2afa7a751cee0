package ledger

import (
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
)

// Accepted notes the last settlement that the allocator of each shard has
// accepted. An allocator takes settlements without gaps, so that it then has
// all earlier ones.
type Accepted map[int]acceptance

type acceptance struct {
	epoch, gen, n uint64
	at            time.Time
}

// Note records that the allocator has accepted the settlements of r.
func (a Accepted) Note(r budget.SettleRequest, now time.Time) {
	a[r.Shard] = acceptance{epoch: r.Epoch, gen: r.Incarnation, n: r.Bills[len(r.Bills)-1].N, at: now}
}

// Trim removes the settlements that the allocator has accepted and that wait
// for its next write. Sending them again each time cost 25 KB/s a daemon at
// the target size. Without new ones, the last is repeated once a second, whose
// answer tells when they are durable; until then Trim reports false.
func (a Accepted) Trim(r *budget.SettleRequest, now time.Time) bool {
	last := a[r.Shard]
	if last.epoch != r.Epoch || last.gen != r.Incarnation {
		return true
	}
	if i := slices.IndexFunc(r.Bills, func(b budget.Bill) bool { return b.N > last.n }); i >= 0 {
		r.Bills = r.Bills[i:]
		return true
	}
	r.Bills = r.Bills[len(r.Bills)-1:]
	return now.Sub(last.at) >= confirmInterval
}
