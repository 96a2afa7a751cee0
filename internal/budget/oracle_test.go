package budget

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// check compares the record with the oracle after a step.
func (c *testCluster) check() {
	rec := c.record()
	if err := rec.Check(); err != nil {
		c.t.Fatal(err)
	}
	b := rec.Budgets[testBudget]
	if b.Prepaid != c.prepaid {
		c.t.Fatalf("prepaid %d, the top-ups add up to %d", b.Prepaid, c.prepaid)
	}
	var sum int64
	seen := map[string]bool{}
	for _, e := range rec.Bills {
		if seen[e.ID] && !strings.HasPrefix(e.ID, "disputed/") {
			c.t.Fatalf("request %s has two bills: %+v; %+v", e.ID, rec.Bills, rec.Domains)
		}
		seen[e.ID] = true
		sum += e.Tokens
	}
	if sum != b.Spent || rec.Accounts["acme"] != nil && rec.Accounts["acme"].Spent != sum {
		c.t.Fatalf("spent %d, the bills add up to %d", b.Spent, sum)
	}
	if used := c.minimumBill(); used > c.prepaid {
		c.t.Fatalf("requests used %d tokens of %d prepaid", used, c.prepaid)
	}
}

// minimumBill returns the least number of tokens that must be billed for the
// requests so far.
func (c *testCluster) minimumBill() (sum int64) {
	least := map[string]int64{}
	for _, r := range c.runs {
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
func (c *testCluster) finish() {
	c.outage, c.answersToLose, c.partitioned = false, 0, map[string]bool{}
	for _, n := range c.nodes {
		n.paused = false
	}
	c.packets, c.delayed = append(c.packets, c.delayed...), nil
	c.deliverAll()
	for round := range 60 {
		if round > 8 && c.unfinished() == "" {
			break
		}
		for _, n := range c.nodes {
			for _, key := range slices.SortedFunc(maps.Keys(n.runs), Key.compare) {
				if r := n.runs[key]; !n.dead {
					c.settle(n, r)
				}
			}
		}
		c.heal(round)
	}
	if s := c.unfinished(); s != "" {
		c.t.Fatal(s)
	}
	c.check()
	c.checkBills()
}

// unfinished describes what is not settled yet; it is empty if there is nothing.
func (c *testCluster) unfinished() string {
	for _, n := range c.nodes {
		switch {
		case n.dead:
		case !n.h.Idle():
			return fmt.Sprintf("daemon %s still has unsettled requests", n.name)
		case n.a != nil && n == c.newest(n.domain) &&
			(len(n.a.open)+len(n.a.queuedBills) > 0 || n.a.Epoch() == 0 || n.a.recovering || n.a.inFlight != nil):
			return fmt.Sprintf("allocator %s still has %s", n.name, n.a.dump())
		}
	}
	return ""
}

// newest returns the allocator with the newest epoch that is not deposed.
func (c *testCluster) newest(domain string) (best *node) {
	for _, n := range c.nodes {
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
func (c *testCluster) heal(round int) {
	for _, domain := range testDomains {
		best := c.newest(domain)
		if best == nil {
			best = c.pick(func(n *node) bool { return n.domain == domain && !n.dead })
			c.takeOver(best)
		}
		best.a.SetMembers(c.now, c.live(domain))
	}
	for _, n := range c.nodes {
		if n.dead && round%5 == 0 {
			c.suspect(n)
		} else if !n.dead {
			c.sync(n)
		}
	}
	c.deliverAll()
	c.tick(time.Second)
	c.deliverAll()
	if round == 25 {
		c.edit(func(r *Record) error {
			for _, d := range r.Disputes() {
				if err := r.Decide(d.Domain, Spend); err != nil {
					return err
				}
			}
			return nil
		})
		c.tick(decisionPollInterval)
	}
}

// checkBills compares the bill of each request id with what its runs used.
func (c *testCluster) checkBills() {
	rec := c.record()
	bills, disputed := map[string]int64{}, false
	for _, e := range rec.Bills {
		bills[e.ID] += e.Tokens
		disputed = disputed || strings.HasPrefix(e.ID, "disputed/")
	}
	type sums struct{ ran, least, most, reserved, crashed int64 }
	byID := map[string]*sums{}
	for _, r := range c.runs {
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
			c.t.Fatalf("request %s did not run and is billed %d", id, bill)
		case s.crashed == 0 && s.ran > 0 && (bill < s.least || bill > s.most):
			c.t.Fatalf("request %s ran %d times, used %d to %d and is billed %d", id, s.ran, s.least, s.most, bill)
		case s.ran > 0 && bill < s.least && !disputed:
			c.t.Fatalf("request %s of a crashed daemon used %d and is billed %d", id, s.least, bill)
		}
	}
}
