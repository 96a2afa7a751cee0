package budget

import (
	"slices"

	"github.com/pkg/errors"
)

// maxMarks bounds the closed holders remembered for each failure domain. The
// target size loses 2.6 daemons a day in a failure domain, so 64 last 24 days.
const maxClosedHolders = 64

// Flush is one change of a failure domain's part of the record. Its content
// is fixed when it is first sent, so that a repeat is the same change.
type Flush struct {
	Domain string
	Epoch  uint64
	// Seq numbers the flushes of an epoch; the record refuses a repeat.
	Seq  uint64
	Unix int64
	// Bills are the settlements to apply.
	Bills []Bill
	// Return holds the idle tokens given back, by budget.
	Returns map[string]int64
	// Draw holds the tokens wanted, by budget; less is drawn if less is left.
	Draws map[string]int64
	// Rates holds the recent use in tokens a minute, by budget.
	Rates      map[string]int64
	Members    []string
	Unmirrored bool
	// Marks are the holders' states after this flush.
	HolderStates map[string]HolderState
	Tombstones   []Tombstone
	// Recover ends the recovery of the old grants: Keep stays with the failure
	// domain for known open reservations, the rest is returned.
	EndRecovery bool
	Retained    map[string]int64
}

// Errors of Record.Apply.
var (
	// ErrDeposed: the record has a newer epoch.
	ErrDeposed = errors.New("the record has a newer epoch")
	// ErrRepeated: the record already contains the flush.
	ErrRepeated = errors.New("the record already contains the flush")
)

// Apply makes the change f, or returns ErrDeposed or ErrRepeated and leaves
// the record as it is. Any other error is a violated invariant; the record
// must then not be written.
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
	for id, m := range f.HolderStates {
		d.Holders[id] = m
	}
	d.trimClosedHolders()
	return r.Check()
}

// move shifts tokens from the available part to a grant, or back if negative.
func (r *Record) move(id, domain string, tokens int64) {
	b := r.Budgets[id]
	if b == nil || tokens == 0 {
		return
	}
	g := b.Grants[domain]
	g.Tokens += tokens
	b.setGrant(domain, g)
}

// recoverOld ends the recovery of the old grants of a failure domain.
func (r *Record) endRecovery(f *Flush, d *Domain) {
	for id, b := range r.Budgets {
		g, ok := b.Grants[f.Domain]
		if !ok {
			continue
		}
		retained := f.Retained[id]
		rest := g.Old - retained
		g.Tokens += retained
		g.Old = min(0, rest) // a negative rest is kept for Check to refuse
		b.setGrant(f.Domain, g)
		if d.Decision == Spend && rest > 0 {
			b.Spent += rest
			r.totals(id).Spent += rest
			r.Bills = append(r.Bills, RecentBill{ID: "disputed/" + f.Domain, Budget: id, Tokens: rest, Unix: f.Unix})
		}
	}
	d.Waiting, d.Decision = nil, Wait
}

// trimMarks forgets the closed holders that were closed first.
func (d *Domain) trimClosedHolders() {
	var closed []string
	for id, m := range d.Holders {
		if m.Closed {
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
