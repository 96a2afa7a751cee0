package budget

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed and number of cases, so that each run gives the same
// result. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "120", "rapid.steps": "150", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// actions returns the steps of the fuzz test, each as often as its weight. The
// action with the empty name checks the invariants after each step.
func (c *testCluster) actions() map[string]func(*rapid.T) {
	up := func(n *node) bool { return n.up() }
	busy := func(n *node) bool { return n.up() && len(n.runs) > 0 }
	allocates := func(n *node) bool { return n.up() && n.a != nil }
	on := func(keep func(*node) bool, f func(n *node)) func() {
		return func() {
			if n := c.pick(keep); n != nil {
				f(n)
			}
		}
	}
	m := map[string]func(*rapid.T){"": func(*rapid.T) { c.check() }}
	add := func(name string, weight int, f func()) {
		for i := range weight {
			m[fmt.Sprint(name, " ", i)] = func(*rapid.T) { f() }
		}
	}
	add("start", 6, on(up, c.startSome))
	add("progress", 6, on(busy, c.progress))
	add("cycle", 6, c.cycle)
	add("sync", 2, on(up, c.sync))
	add("deliver", 3, func() { c.disturb("deliver") })
	add("repeat", 2, func() { c.disturb("repeat") })
	add("lose", 1, func() { c.disturb("lose") })
	add("run out and crash", 1, on(allocates, c.exhaustAndCrash))
	add("false death", 1, on(busy, c.falseDeath))
	add("lost answer", 1, c.lostAnswer)
	add("delay", 3, c.delay)
	add("arrive", 2, func() { c.packets, c.delayed = append(c.delayed, c.packets...), nil })
	add("all", 2, c.deliverAll)
	add("tick", 2, func() {
		c.tick(time.Duration(rapid.SampledFrom([]int{20, 200, 1000, 7000}).Draw(c.t, "ms")) * time.Millisecond)
	})
	add("allocate", 1, on(up, c.takeOver))
	add("pause", 1, on(up, c.pause))
	add("pause allocator", 1, on(allocates, c.pause))
	add("resume", 2, on(func(n *node) bool { return n.paused && !n.dead }, func(n *node) { n.paused = false }))
	add("crash", 1, on(up, c.crash))
	add("crash allocator", 1, on(allocates, c.crash))
	add("suspect", 2, on(func(n *node) bool { return n.dead || n.paused }, c.suspect))
	add("store", 3, func() { c.storeFault(rapid.IntRange(0, 7).Draw(c.t, "store fault")) })
	add("top up", 1, func() { c.topUp(rapid.Bool().Draw(c.t, "repeat")) })
	return m
}

// cycle makes sure that each failure domain has an allocator, and lets each
// daemon send what is due.
func (c *testCluster) cycle() {
	for _, domain := range testDomains {
		if a := c.newest(domain); a == nil || a.paused {
			if n := c.pick(func(n *node) bool { return n.up() && n.domain == domain }); n != nil {
				c.takeOver(n)
			}
		}
	}
	for range 2 {
		for _, n := range c.nodes {
			if n.up() {
				c.sync(n)
			}
		}
		c.deliverAll()
		c.tick(600 * time.Millisecond)
		c.deliverAll()
	}
}

// falseDeath pauses a daemon with open requests until it is presumed dead.
func (c *testCluster) falseDeath(n *node) {
	c.cycle()
	c.pause(n)
	c.cycle()
	c.suspect(n)
	c.cycle()
	n.paused = false
}

// lostAnswer loses the answer of the next write, and lets another writer change
// the record before the retry.
func (c *testCluster) lostAnswer() {
	for _, n := range c.nodes {
		if n.up() {
			c.sync(n)
		}
	}
	c.answersToLose++
	c.tick(time.Second)
	c.deliverAll()
	c.tick(20 * time.Millisecond)
	c.deliverAll()
	c.topUp(false)
}

// exhaustAndCrash exhausts a grant, settles the requests of the allocator's own daemon and
// crashes it before the settlements are in the store.
func (c *testCluster) exhaustAndCrash(n *node) {
	tokens := int64(rapid.IntRange(100, 300).Draw(c.t, "tokens"))
	for range 2 {
		c.start(n, fmt.Sprint("u", len(c.runs)), tokens)
	}
	c.deliverAll()
	for _, key := range slices.SortedFunc(maps.Keys(n.runs), Key.compare) {
		c.settle(n, n.runs[key])
	}
	c.sync(n)
	betweenDaemons := func(p packet) bool { return p.to != nil && !p.to.paused }
	c.deliverSome(betweenDaemons)
	for _, other := range c.nodes {
		if other != n && other.up() && other.domain == n.domain {
			c.start(other, fmt.Sprint("u", len(c.runs)), tokens)
		}
	}
	c.deliverSome(betweenDaemons)
	c.crash(n)
	c.cycle()
}

func (c *testCluster) pause(n *node) { n.paused = true }

func (c *testCluster) startSome(n *node) {
	// Ids with "k" are chosen by callers and can be used again, those with "u"
	// cannot.
	id := fmt.Sprintf("u%d", len(c.runs))
	if rapid.IntRange(0, 2).Draw(c.t, "keyed") == 0 {
		id = fmt.Sprintf("k%d", rapid.IntRange(0, 9).Draw(c.t, "key"))
	}
	c.start(n, id, int64(rapid.IntRange(1, 300).Draw(c.t, "tokens")))
}

// progress relays tokens of one request, extends or settles it.
func (c *testCluster) progress(n *node) {
	keys := slices.SortedFunc(maps.Keys(n.runs), Key.compare)
	r := n.runs[rapid.SampledFrom(keys).Draw(c.t, "run")]
	switch rapid.IntRange(0, 5).Draw(c.t, "progress") {
	case 0, 1:
		if req, err := n.h.Extend(testShard, r.key, r.reserved+50); err == nil {
			c.toAllocator(n, func(a *Allocator) { a.Extend(c.now, req) })
		}
	case 2:
		if r.used > 0 {
			r.used = r.reserved
		}
	default:
		if r.used > 0 {
			r.used = int64(rapid.IntRange(int(r.used), int(r.reserved)).Draw(c.t, "used"))
		}
		c.settle(n, r)
	}
}

// disturb delivers, repeats or loses a random message.
func (c *testCluster) disturb(how string) {
	if len(c.packets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.packets)-1).Draw(c.t, "packet")
	switch {
	case how != "lose":
		c.deliver(i, how == "repeat" && c.packets[i].to != nil)
	case c.packets[i].expire != nil:
		c.packets[i].expire() // the write itself may still arrive
	case c.packets[i].to != nil && c.packets[i].from != nil:
		c.packets = slices.Delete(c.packets, i, i+1)
	}
}

// delay withholds a message until the action "arrive".
func (c *testCluster) delay() {
	if len(c.packets) > 0 {
		i := rapid.IntRange(0, len(c.packets)-1).Draw(c.t, "packet")
		c.delayed = append(c.delayed, c.packets[i])
		c.packets = slices.Delete(c.packets, i, i+1)
	}
}

// crash kills a daemon and starts another one in its failure domain, unless it is
// the last one.
func (c *testCluster) crash(n *node) {
	if len(c.live(n.domain)) > 1 {
		n.dead, n.a = true, nil
		c.addNode(n.domain)
	}
}

// suspect reports to the allocators of the failure domain that a daemon is gone,
// whether it is dead or only paused.
func (c *testCluster) suspect(gone *node) {
	for _, n := range c.nodes {
		if n.up() && n.a != nil && n.domain == gone.domain {
			n.a.HolderGone(c.now, gone.name)
			c.applyOutput(n)
		}
	}
}

func (c *testCluster) storeFault(kind int) {
	switch kind {
	case 0:
		c.outage = true
	case 1, 2:
		c.partitioned[testDomains[kind-1]] = true
	case 3, 4, 5:
		c.answersToLose++
	default:
		c.outage, c.partitioned = false, map[string]bool{}
	}
}

func (c *testCluster) topUp(repeat bool) {
	if !repeat || c.topUps == 0 {
		c.topUps++
		c.prepaid += 200
	}
	c.edit(func(r *Record) error { return r.TopUp(fmt.Sprint("op", c.topUps), testBudget, 200) })
}

func property(disabled ruleSet) func(t *rapid.T) {
	return func(t *rapid.T) {
		c := newTestCluster(t, disabled)
		for _, domain := range testDomains {
			c.takeOver(c.pick(func(n *node) bool { return n.domain == domain }))
		}
		t.Repeat(c.actions())
		c.finish()
	}
}

// Guards against overspend, requests that are billed twice or not at all, bills
// for requests that did not run, and lost tokens, under crashes, pauses,
// partitions, store faults and reordered, lost and repeated messages.
func TestFuzzAgainstLedger(t *testing.T) { rapid.Check(t, property(0)) }
