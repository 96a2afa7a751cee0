package budget

import "slices"

// Limits of the list of recent bills of a shard.
const (
	maxBills = 2000
	// maxUnkeyedBills limits the final bills that are not keyed, which means that
	// no further request can have the same id. They are kept for display only.
	maxUnkeyedBills = 200
)

// applyBills charges the bills of a flush. A request id has at most one bill: a
// second one replaces a provisional bill and is otherwise ignored.
func (r *Record) applyBills(f *Flush) {
	if len(f.Bills) == 0 {
		return
	}
	index := make(map[string]int, len(r.Bills)+len(f.Bills))
	for i, e := range r.Bills {
		if e.Keyed || e.Provisional {
			index[e.ID] = i // other ids are never used again
		}
	}
	for _, bill := range f.Bills {
		b := r.Budgets[bill.Budget]
		if b == nil {
			continue
		}
		i, known := index[bill.ID]
		known = known && r.Bills[i].Budget == bill.Budget
		switch {
		case known:
			r.replaceBill(f.Domain, &r.Bills[i], bill)
			if r.Bills[i].Tokens == 0 {
				delete(index, bill.ID) // the request has no bill any more
			}
		case bill.Late || bill.Tokens == 0:
		default:
			g := b.Grants[f.Domain]
			g.OldTokens -= bill.OldTokens
			g.Tokens -= bill.Tokens - bill.OldTokens
			b.setGrant(f.Domain, g)
			b.Spent += bill.Tokens
			t := r.totals(bill.Budget)
			t.Spent += bill.Tokens
			t.Requests++
			e := RecentBill{ID: bill.ID, Budget: bill.Budget, Tokens: bill.Tokens, Unix: f.Unix, Keyed: bill.Keyed}
			if bill.Provisional {
				e.Provisional, e.Key = true, bill.Key
			}
			if e.Keyed || e.Provisional {
				index[bill.ID] = len(r.Bills)
			}
			r.Bills = append(r.Bills, e)
		}
	}
	r.trimBills()
}

// replaceBill applies a bill whose request id is already billed. A late bill can
// only lower the provisional charge of its own reservation. The bill of another
// run of the request replaces the charge with that run's use; an increase is
// covered by the grant of the failure domain that served that run.
func (r *Record) replaceBill(domain string, e *RecentBill, bill Bill) {
	increase := bill.Tokens - e.Tokens
	switch {
	case !e.Provisional, bill.Late && bill.Key != e.Key:
		return
	case bill.Tokens == 0 && !bill.Late:
		return // another attempt, which did not run
	case bill.Provisional && increase <= 0:
		return // the larger of two provisional charges is kept
	}
	if bill.Late {
		increase = min(0, increase)
	}
	b, t := r.Budgets[e.Budget], r.totals(e.Budget)
	if increase > 0 {
		g := b.Grants[domain]
		old := min(bill.OldTokens, increase)
		g.OldTokens -= old
		g.Tokens -= increase - old
		b.setGrant(domain, g)
	}
	b.Spent += increase
	t.Spent += increase
	e.Tokens += increase
	if e.Tokens == 0 {
		t.Requests--
	}
	e.Provisional, e.Key = bill.Provisional, Key{}
	if e.Provisional {
		e.Key = bill.Key
	}
}

// trimBills drops bills above the limits: unkeyed final ones first, then keyed
// final ones, then provisional ones, each oldest first. An entry with 0 tokens
// is a provisional bill that was cancelled, and is dropped.
func (r *Record) trimBills() {
	class := func(e RecentBill) int {
		switch {
		case e.Provisional:
			return 2
		case e.Keyed:
			return 1
		}
		return 0
	}
	var n [3]int
	r.Bills = slices.DeleteFunc(r.Bills, func(e RecentBill) bool { return e.Tokens == 0 })
	for _, e := range r.Bills {
		n[class(e)]++
	}
	var drop [3]int
	drop[0] = max(0, n[0]-maxUnkeyedBills)
	over := max(0, n[0]+n[1]+n[2]-drop[0]-maxBills)
	for c := range drop {
		extra := min(over, n[c]-drop[c])
		drop[c] += extra
		over -= extra
	}
	r.Bills = slices.DeleteFunc(r.Bills, func(e RecentBill) bool {
		c := class(e)
		if drop[c] == 0 {
			return false
		}
		drop[c]--
		return true
	})
}
