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
func (w *testCluster) actions() map[string]func(*rapid.T) {
	up := func(n *node) bool { return n.up() }
	busy := func(n *node) bool { return n.up() && len(n.runs) > 0 }
	allocates := func(n *node) bool { return n.up() && n.a != nil }
	on := func(keep func(*node) bool, f func(n *node)) func() {
		return func() {
			if n := w.pick(keep); n != nil {
				f(n)
			}
		}
	}
	m := map[string]func(*rapid.T){"": func(*rapid.T) { w.check() }}
	add := func(name string, weight int, f func()) {
		for i := range weight {
			m[fmt.Sprint(name, " ", i)] = func(*rapid.T) { f() }
		}
	}
	add("start", 6, on(up, w.startSome))
	add("progress", 6, on(busy, w.progress))
	add("cycle", 6, w.cycle)
	add("sync", 2, on(up, w.sync))
	add("deliver", 3, func() { w.disturb("deliver") })
	add("repeat", 2, func() { w.disturb("repeat") })
	add("lose", 1, func() { w.disturb("lose") })
	add("rush", 1, on(allocates, w.exhaustAndCrash))
	add("false death", 1, on(busy, w.falseDeath))
	add("lost answer", 1, w.lostAnswer)
	add("delay", 3, w.delay)
	add("arrive", 2, func() { w.packets, w.delayed = append(w.delayed, w.packets...), nil })
	add("all", 2, w.deliverAll)
	add("tick", 2, func() {
		w.tick(time.Duration(rapid.SampledFrom([]int{20, 200, 1000, 7000}).Draw(w.t, "ms")) * time.Millisecond)
	})
	add("allocate", 1, on(up, w.takeOver))
	add("pause", 1, on(up, w.pause))
	add("pause allocator", 1, on(allocates, w.pause))
	add("resume", 2, on(func(n *node) bool { return n.paused && !n.dead }, func(n *node) { n.paused = false }))
	add("crash", 1, on(up, w.crash))
	add("crash allocator", 1, on(allocates, w.crash))
	add("suspect", 2, on(func(n *node) bool { return n.dead || n.paused }, w.suspect))
	add("store", 3, func() { w.storeFault(rapid.IntRange(0, 7).Draw(w.t, "store fault")) })
	add("top up", 1, func() { w.topUp(rapid.Bool().Draw(w.t, "repeat")) })
	return m
}

// cycle makes sure that each failure domain has an allocator, and lets each
// daemon send what is due.
func (w *testCluster) cycle() {
	for _, domain := range testDomains {
		if a := w.newest(domain); a == nil || a.paused {
			if n := w.pick(func(n *node) bool { return n.up() && n.domain == domain }); n != nil {
				w.takeOver(n)
			}
		}
	}
	for range 2 {
		for _, n := range w.nodes {
			if n.up() {
				w.sync(n)
			}
		}
		w.deliverAll()
		w.tick(600 * time.Millisecond)
		w.deliverAll()
	}
}

// falseDeath pauses a daemon with open requests until it is presumed dead.
func (w *testCluster) falseDeath(n *node) {
	w.cycle()
	w.pause(n)
	w.cycle()
	w.suspect(n)
	w.cycle()
	n.paused = false
}

// lostAnswer loses the answer of the next write, and lets another writer change
// the record before the retry.
func (w *testCluster) lostAnswer() {
	for _, n := range w.nodes {
		if n.up() {
			w.sync(n)
		}
	}
	w.answersToLose++
	w.tick(time.Second)
	w.deliverAll()
	w.tick(20 * time.Millisecond)
	w.deliverAll()
	w.topUp(false)
}

// rush exhausts a grant, settles the requests of the allocator's own daemon and
// crashes it before the settlements are in the store.
func (w *testCluster) exhaustAndCrash(n *node) {
	tokens := int64(rapid.IntRange(100, 300).Draw(w.t, "tokens"))
	for range 2 {
		w.start(n, fmt.Sprint("u", len(w.runs)), tokens)
	}
	w.deliverAll()
	for _, key := range slices.SortedFunc(maps.Keys(n.runs), Key.compare) {
		w.settle(n, n.runs[key])
	}
	w.sync(n)
	betweenDaemons := func(p packet) bool { return p.to != nil && !p.to.paused }
	w.deliverSome(betweenDaemons)
	for _, other := range w.nodes {
		if other != n && other.up() && other.domain == n.domain {
			w.start(other, fmt.Sprint("u", len(w.runs)), tokens)
		}
	}
	w.deliverSome(betweenDaemons)
	w.crash(n)
	w.cycle()
}

func (w *testCluster) pause(n *node) { n.paused = true }

func (w *testCluster) startSome(n *node) {
	// Ids with "k" are chosen by callers and can be used again, those with "u"
	// cannot.
	id := fmt.Sprintf("u%d", len(w.runs))
	if rapid.IntRange(0, 2).Draw(w.t, "keyed") == 0 {
		id = fmt.Sprintf("k%d", rapid.IntRange(0, 9).Draw(w.t, "key"))
	}
	w.start(n, id, int64(rapid.IntRange(1, 300).Draw(w.t, "tokens")))
}

// progress relays tokens of one request, extends or settles it.
func (w *testCluster) progress(n *node) {
	keys := slices.SortedFunc(maps.Keys(n.runs), Key.compare)
	r := n.runs[rapid.SampledFrom(keys).Draw(w.t, "run")]
	switch rapid.IntRange(0, 5).Draw(w.t, "progress") {
	case 0, 1:
		if req, err := n.h.Extend(testShard, r.key, r.reserved+50); err == nil {
			w.toAllocator(n, func(a *Allocator) { a.Extend(w.now, req) })
		}
	case 2:
		if r.used > 0 {
			r.used = r.reserved
		}
	default:
		if r.used > 0 {
			r.used = int64(rapid.IntRange(int(r.used), int(r.reserved)).Draw(w.t, "used"))
		}
		w.settle(n, r)
	}
}

// disturb delivers, repeats or loses a random message.
func (w *testCluster) disturb(how string) {
	if len(w.packets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "packet")
	switch {
	case how != "lose":
		w.deliver(i, how == "repeat" && w.packets[i].to != nil)
	case w.packets[i].expire != nil:
		w.packets[i].expire() // the write itself may still arrive
	case w.packets[i].to != nil && w.packets[i].from != nil:
		w.packets = slices.Delete(w.packets, i, i+1)
	}
}

// delay withholds a message until the action "arrive".
func (w *testCluster) delay() {
	if len(w.packets) > 0 {
		i := rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "packet")
		w.delayed = append(w.delayed, w.packets[i])
		w.packets = slices.Delete(w.packets, i, i+1)
	}
}

// crash kills a daemon and starts another one in its failure domain, unless it is
// the last one.
func (w *testCluster) crash(n *node) {
	if len(w.live(n.domain)) > 1 {
		n.dead, n.a = true, nil
		w.addNode(n.domain)
	}
}

// suspect reports to the allocators of the failure domain that a daemon is gone,
// whether it is dead or only paused.
func (w *testCluster) suspect(gone *node) {
	for _, n := range w.nodes {
		if n.up() && n.a != nil && n.domain == gone.domain {
			n.a.HolderGone(w.now, gone.name)
			w.applyOutput(n)
		}
	}
}

func (w *testCluster) storeFault(kind int) {
	switch kind {
	case 0:
		w.outage = true
	case 1, 2:
		w.partitioned[testDomains[kind-1]] = true
	case 3, 4, 5:
		w.answersToLose++
	default:
		w.outage, w.partitioned = false, map[string]bool{}
	}
}

func (w *testCluster) topUp(repeat bool) {
	if !repeat || w.topUps == 0 {
		w.topUps++
		w.prepaid += 200
	}
	w.edit(func(r *Record) error { return r.TopUp(fmt.Sprint("op", w.topUps), testBudget, 200) })
}

func property(flaws ruleSet) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newTestCluster(t, flaws)
		for _, domain := range testDomains {
			w.takeOver(w.pick(func(n *node) bool { return n.domain == domain }))
		}
		t.Repeat(w.actions())
		w.finish()
	}
}

// Guards against overspend, requests that are billed twice or not at all, bills
// for requests that did not run, and lost tokens, under crashes, pauses,
// partitions, store faults and reordered, lost and repeated messages.
func TestFuzzAgainstLedger(t *testing.T) { rapid.Check(t, property(0)) }
