package budget

import (
	"slices"

	"github.com/pkg/errors"
)

// maxClosedHolders limits the closed holders kept for each failure domain. At
// the target size a failure domain loses 2.6 daemons a day, so 64 entries cover
// 24 days.
const maxClosedHolders = 64

// Flush is one change of a failure domain's part of the record. Its content does
// not change after it was first sent, so that a repeat is the same change.
type Flush struct {
	Domain string
	Epoch  uint64
	// Seq numbers the flushes of an epoch; the record refuses a repeat.
	Seq uint64
	// Unix is the time of the flush in seconds.
	Unix int64
	// Bills are the settlements to apply.
	Bills []Bill
	// Returns holds the idle tokens returned to the store, by budget.
	Returns map[string]int64
	// Draws holds the tokens to draw, by budget; at most the available tokens
	// are drawn.
	Draws map[string]int64
	// Rates holds the recent use in tokens per minute, by budget.
	Rates      map[string]int64
	Members    []string
	Unmirrored bool
	// HolderStates are the holders' states after this flush, by id.
	HolderStates map[string]HolderState
	Tombstones   []Tombstone
	// EndRecovery ends the recovery of the old grants: the tokens in Retained
	// stay with the failure domain for known open reservations and bills, the
	// rest is returned.
	EndRecovery bool
	Retained    map[string]int64
}

// Errors of Record.Apply.
var (
	// ErrDeposed means that the record has a newer epoch.
	ErrDeposed = errors.New("the record has a newer epoch")
	// ErrRepeated means that the record already contains the flush.
	ErrRepeated = errors.New("the record already contains the flush")
)

// Apply applies the flush f, or returns ErrDeposed or ErrRepeated and leaves the
// record unchanged. Any other error is a violated invariant; the record must
// then not be written.
func (r *Record) Apply(f *Flush) error {
	d := r.domain(f.Domain)
	if d.Epoch != f.Epoch {
		return ErrDeposed
	}
	if d.Seq >= f.Seq {
		return ErrRepeated
	}
	d.Seq = f.Seq
	r.applyBills(f)
	if f.EndRecovery {
		r.endRecovery(f, d)
	}
	for id, tokens := range f.Returns {
		r.move(id, f.Domain, -tokens)
	}
	for id, tokens := range f.Draws {
		if b := r.Budgets[id]; b != nil && !b.Removed {
			r.move(id, f.Domain, min(tokens, b.Available()))
		}
	}
	for id, rate := range f.Rates {
		if b := r.Budgets[id]; b != nil {
			g := b.Grants[f.Domain]
			g.Rate = rate
			b.setGrant(f.Domain, g)
		}
	}
	d.Members, d.Unmirrored, d.Tombstones = f.Members, f.Unmirrored, f.Tombstones
	for id, state := range f.HolderStates {
		d.Holders[id] = state
	}
	d.trimClosedHolders()
	return r.Check()
}

// move moves available tokens to a failure domain's grant, or back if tokens is
// negative.
func (r *Record) move(id, domain string, tokens int64) {
	b := r.Budgets[id]
	if b == nil || tokens == 0 {
		return
	}
	g := b.Grants[domain]
	g.Tokens += tokens
	b.setGrant(domain, g)
}

// endRecovery ends the recovery of the old grants of a failure domain.
func (r *Record) endRecovery(f *Flush, d *Domain) {
	for id, b := range r.Budgets {
		g, ok := b.Grants[f.Domain]
		if !ok {
			continue
		}
		retained := f.Retained[id]
		rest := g.OldTokens - retained
		g.Tokens += retained
		g.OldTokens = min(0, rest) // a negative rest is kept so that Check fails
		b.setGrant(f.Domain, g)
		if d.Decision == Spend && rest > 0 {
			b.Spent += rest
			r.totals(id).Spent += rest
			r.Bills = append(r.Bills, RecentBill{ID: "disputed/" + f.Domain, Budget: id, Tokens: rest, Unix: f.Unix})
		}
	}
	d.Waiting, d.Decision = nil, Wait
}

// trimClosedHolders drops the holders that were closed first.
func (d *Domain) trimClosedHolders() {
	var closed []string
	for id, state := range d.Holders {
		if state.Closed {
			closed = append(closed, id)
		}
	}
	if len(closed) <= maxClosedHolders {
		return
	}
	slices.SortFunc(closed, func(x, y string) int { return int(d.Holders[x].Unix - d.Holders[y].Unix) })
	for _, id := range closed[:len(closed)-maxClosedHolders] {
		delete(d.Holders, id)
	}
}
