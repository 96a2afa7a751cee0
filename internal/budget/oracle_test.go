package budget

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// check compares the record with the oracle after a step.
func (w *testCluster) check() {
	rec := w.record()
	if err := rec.Check(); err != nil {
		w.t.Fatal(err)
	}
	b := rec.Budgets[testBudget]
	if b.Prepaid != w.prepaid {
		w.t.Fatalf("prepaid %d, the top-ups add up to %d", b.Prepaid, w.prepaid)
	}
	var sum int64
	seen := map[string]bool{}
	for _, e := range rec.Bills {
		if seen[e.ID] && !strings.HasPrefix(e.ID, "disputed/") {
			w.t.Fatalf("request %s has two bills: %+v; %+v", e.ID, rec.Bills, rec.Domains)
		}
		seen[e.ID] = true
		sum += e.Tokens
	}
	if sum != b.Spent || rec.Accounts["acme"] != nil && rec.Accounts["acme"].Spent != sum {
		w.t.Fatalf("spent %d, the bills add up to %d", b.Spent, sum)
	}
	if used := w.minimumBill(); used > w.prepaid {
		w.t.Fatalf("requests used %d tokens of %d prepaid", used, w.prepaid)
	}
}

// minimumBill returns the least number of tokens that must be billed for the
// requests so far.
func (w *testCluster) minimumBill() (sum int64) {
	least := map[string]int64{}
	for _, r := range w.runs {
		if old, ok := least[r.id]; r.used > 0 && (!ok || r.used < old) {
			least[r.id] = r.used
		}
	}
	for _, n := range least {
		sum += n
	}
	return sum
}

// finish heals all faults, ends all requests and checks that exactly the requests
// that ran have a bill.
func (w *testCluster) finish() {
	w.outage, w.answersToLose, w.partitioned = false, 0, map[string]bool{}
	for _, n := range w.nodes {
		n.paused = false
	}
	w.packets, w.delayed = append(w.packets, w.delayed...), nil
	w.deliverAll()
	for round := range 60 {
		if round > 8 && w.unfinished() == "" {
			break
		}
		for _, n := range w.nodes {
			for _, key := range slices.SortedFunc(maps.Keys(n.runs), Key.compare) {
				if r := n.runs[key]; !n.dead {
					w.settle(n, r)
				}
			}
		}
		w.heal(round)
	}
	if s := w.unfinished(); s != "" {
		w.t.Fatal(s)
	}
	w.check()
	w.checkBills()
}

// unfinished describes what is not settled yet; it is empty if there is nothing.
func (w *testCluster) unfinished() string {
	for _, n := range w.nodes {
		switch {
		case n.dead:
		case !n.h.Idle():
			return fmt.Sprintf("daemon %s still has unsettled requests", n.name)
		case n.a != nil && n == w.newest(n.domain) &&
			(len(n.a.open)+len(n.a.queuedBills) > 0 || n.a.Epoch() == 0 || n.a.recovering || n.a.inFlight != nil):
			return fmt.Sprintf("allocator %s still has %s", n.name, n.a.dump())
		}
	}
	return ""
}

// newest returns the allocator with the newest epoch that is not deposed.
func (w *testCluster) newest(domain string) (best *node) {
	for _, n := range w.nodes {
		if n.domain != domain || n.dead || n.a == nil || n.a.Deposed() {
			continue
		}
		if best == nil || n.a.Epoch() > best.a.Epoch() {
			best = n
		}
	}
	return best
}

// heal makes sure that each failure domain has an allocator and lets it catch up.
// In round 25 an operator decides on the remaining disputes.
func (w *testCluster) heal(round int) {
	for _, domain := range testDomains {
		best := w.newest(domain)
		if best == nil {
			best = w.pick(func(n *node) bool { return n.domain == domain && !n.dead })
			w.takeOver(best)
		}
		best.a.SetMembers(w.now, w.live(domain))
	}
	for _, n := range w.nodes {
		if n.dead && round%5 == 0 {
			w.suspect(n)
		} else if !n.dead {
			w.sync(n)
		}
	}
	w.deliverAll()
	w.tick(time.Second)
	w.deliverAll()
	if round == 25 {
		w.edit(func(r *Record) error {
			for _, d := range r.Disputes() {
				if err := r.Decide(d.Domain, Spend); err != nil {
					return err
				}
			}
			return nil
		})
		w.tick(decisionPollInterval)
	}
}

// checkBills compares the bill of each request id with what its runs used.
func (w *testCluster) checkBills() {
	rec := w.record()
	bills, disputed := map[string]int64{}, false
	for _, e := range rec.Bills {
		bills[e.ID] += e.Tokens
		disputed = disputed || strings.HasPrefix(e.ID, "disputed/")
	}
	type sums struct{ ran, least, most, reserved, crashed int64 }
	byID := map[string]*sums{}
	for _, r := range w.runs {
		s := byID[r.id]
		if s == nil {
			s = &sums{least: 1 << 40}
			byID[r.id] = s
		}
		if r.n.dead {
			s.crashed++
		}
		if r.used > 0 {
			s.ran++
			s.least, s.most, s.reserved = min(s.least, r.used), max(s.most, r.used), max(s.reserved, r.reserved)
		}
	}
	for id, s := range byID {
		bill := bills[id]
		switch {
		case s.crashed == 0 && s.ran == 0 && bill > 0:
			w.t.Fatalf("request %s did not run and is billed %d", id, bill)
		case s.crashed == 0 && s.ran > 0 && (bill < s.least || bill > s.most):
			w.t.Fatalf("request %s ran %d times, used %d to %d and is billed %d", id, s.ran, s.least, s.most, bill)
		case s.ran > 0 && bill < s.least && !disputed:
			w.t.Fatalf("request %s of a crashed daemon used %d and is billed %d", id, s.least, bill)
		}
	}
}
