package budget

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// world is a test environment for real Allocators and Holders: two failure
// domains, a store, and a network that delays, loses and repeats messages. It
// also records the actual use of each request, which is the test's oracle.
type testCluster struct {
	t             *rapid.T
	flaws         ruleSet
	now           time.Time
	value         []byte
	rev           int64
	lastOpID      string
	outage        bool
	answersToLose int
	partitioned   map[string]bool
	nodes         []*node
	packets       []packet
	runs          []*run
	delayed       []packet
	prepaid       int64
	topUps        int
	// cache is the decoded value at revision cacheRev.
	cache    *Record
	cacheRev int64
}

type node struct {
	name, domain string
	h            *Holder
	a            *Allocator
	paused, dead bool
	runs         map[Key]*run
}

// run is one attempt of a request; used > 0 means that it was dispatched.
type run struct {
	id       string
	n        *node
	key      Key
	used     int64
	reserved int64
	ended    bool
}

// packet is a message in flight; from or to is nil for the store.
type packet struct {
	from, to *node
	do       func()
	// expire answers a store write whose outcome the caller gives up on.
	expire func()
}

const (
	testShard  = 3
	testBudget = "acme/main"
)

var testDomains = []string{"a", "b"}

func newTestCluster(t *rapid.T, flaws ruleSet) *testCluster {
	w := &testCluster{t: t, flaws: flaws, now: time.Unix(1000, 0), partitioned: map[string]bool{}, prepaid: 1000}
	rec := NewRecord()
	rec.SetBudgets([]Spec{{ID: testBudget, Initial: w.prepaid}})
	w.value, _ = rec.Marshal()
	w.rev = 1
	for i := range 6 {
		w.addNode(testDomains[i%2])
	}
	return w
}

func (w *testCluster) addNode(domain string) {
	n := &node{name: fmt.Sprintf("%s%d", domain, len(w.nodes)), domain: domain, runs: map[Key]*run{}}
	n.h = NewHolder(n.name)
	n.h.disabledRules = w.flaws
	w.nodes = append(w.nodes, n)
}

func (w *testCluster) record() *Record {
	if w.cacheRev != w.rev {
		rec, err := Unmarshal(w.value)
		if err != nil {
			w.t.Fatalf("stored record: %v", err)
		}
		w.cache, w.cacheRev = rec, w.rev
	}
	return w.cache
}

func (w *testCluster) pick(keep func(*node) bool) *node {
	var list []*node
	for _, n := range w.nodes {
		if keep(n) {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return rapid.SampledFrom(list).Draw(w.t, "node")
}

func (n *node) up() bool { return !n.dead && !n.paused }

// allocator returns the daemon that another one treats as the allocator of its
// failure domain: mostly the newest one, sometimes an older one.
func (w *testCluster) allocator(domain string) *node {
	var list []*node
	for _, n := range w.nodes {
		if n.domain == domain && n.a != nil && !n.dead {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortStableFunc(list, func(x, y *node) int { return int(y.a.Epoch()) - int(x.a.Epoch()) })
	if len(list) > 1 && rapid.IntRange(0, 4).Draw(w.t, "wrong allocator") == 0 {
		return list[1]
	}
	return list[0]
}

func (w *testCluster) send(from, to *node, do func()) {
	if to != nil {
		w.packets = append(w.packets, packet{from: from, to: to, do: do})
	}
}

// carryOutput performs the work in an allocator's output.
func (w *testCluster) applyOutput(n *node) {
	if n.a == nil {
		return
	}
	if err := n.a.Fault(); err != nil {
		w.t.Fatalf("allocator %s: %v", n.name, err)
	}
	a, out := n.a, n.a.TakeOutput()
	if out.Read {
		w.packets = append(w.packets, packet{from: n, do: func() {
			ok, value, rev := w.reachable(n), w.value, w.rev
			w.send(nil, n, func() { w.call(n, a, func() { a.Loaded(w.now, value, rev, ok) }) })
		}})
	}
	if out.Write != nil {
		w.sendWrite(n, a, *out.Write)
	}
	for _, r := range out.Replies {
		to := w.byName(r.Holder)
		w.send(n, to, func() { w.deliverReply(to, r) })
	}
	for _, m := range out.Mirrors {
		to := w.byName(m.Member)
		w.send(n, to, func() {
			ans := to.h.Mirror(m)
			w.send(to, n, func() { w.call(n, a, func() { a.MirrorAnswered(w.now, ans) }) })
		})
	}
	for _, r := range out.Reclaims {
		for _, to := range w.nodes {
			if to.a != nil && to.domain == r.To {
				w.send(n, to, func() { w.call(to, to.a, func() { to.a.Reclaim(w.now, r) }) })
			}
		}
	}
}

// call runs f on a node's allocator unless the allocator has been replaced.
func (w *testCluster) call(n *node, a *Allocator, f func()) {
	if n.a == a {
		f()
		w.applyOutput(n)
	}
}

func (w *testCluster) reachable(n *node) bool { return !w.outage && !w.partitioned[n.domain] }

func (w *testCluster) sendWrite(n *node, a *Allocator, wr StoreWrite) {
	answered := false
	answer := func(r StoreResult) {
		if !answered {
			answered = true
			w.send(nil, n, func() { w.call(n, a, func() { a.Stored(w.now, r) }) })
		}
	}
	w.packets = append(w.packets, packet{from: n, do: func() {
		switch {
		case !w.reachable(n):
			answer(StoreResult{Outcome: Unavailable})
		case w.lastOpID == wr.OpID:
			answer(StoreResult{Outcome: Applied, Revision: w.rev})
		case w.rev != wr.Expected:
			answer(StoreResult{Outcome: Conflict, Value: w.value, Revision: w.rev})
		default:
			w.value, w.lastOpID = wr.Value, wr.OpID
			w.rev++
			if w.answersToLose > 0 {
				w.answersToLose--
				answer(StoreResult{Outcome: OutcomeUnknown})
				return
			}
			answer(StoreResult{Outcome: Applied, Revision: w.rev})
		}
	}, expire: func() { answer(StoreResult{Outcome: OutcomeUnknown}) }})
}

func (w *testCluster) byName(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// answered passes a reply to its holder, as a daemon does.
func (w *testCluster) deliverReply(n *node, r Reply) {
	run := n.runs[r.Key]
	switch r.Kind {
	case KindReserve:
		switch n.h.ReserveAnswered(r) {
		case Granted:
			run.used, run.reserved = 1, n.h.Reserved(testShard, r.Key)
		case Refused, RegisterAndRetry:
			run.ended = true
			delete(n.runs, r.Key)
		}
	case KindExtend:
		if n.h.ExtendAnswered(r) == Granted && run != nil {
			run.reserved = n.h.Reserved(testShard, r.Key)
		}
	case KindSettle:
		n.h.SettleAnswered(r)
	case KindRegister:
		n.h.RegisterAnswered(r)
	}
}

// toAllocator sends a call to the allocator of the node's failure domain.
func (w *testCluster) toAllocator(n *node, f func(a *Allocator)) {
	if to := w.allocator(n.domain); to != nil {
		w.send(n, to, func() { w.call(to, to.a, func() { f(to.a) }) })
	}
}

// start begins one attempt of a request.
func (w *testCluster) start(n *node, id string, tokens int64) {
	req, err := n.h.Reserve(testShard, id, testBudget, tokens, id[0] == 'k')
	if err != nil {
		return
	}
	r := &run{id: id, n: n, key: req.Reservation.Key}
	n.runs[r.key] = r
	w.runs = append(w.runs, r)
	w.toAllocator(n, func(a *Allocator) { a.Reserve(w.now, req) })
}

func (w *testCluster) settle(n *node, r *run) {
	if err := n.h.Settle(testShard, r.key, r.used); err != nil && r.used > 0 {
		w.t.Fatalf("settle %s: %v", r.id, err)
	}
	r.ended = true
	delete(n.runs, r.key)
}

// sync sends a registration or settlements, as a daemon does on a timer.
func (w *testCluster) sync(n *node) {
	if a := w.allocator(n.domain); a != nil && n.h.ObserveEpoch(testShard, a.a.Epoch()) {
		req, dropped := n.h.Register(testShard)
		for _, key := range dropped {
			if r := n.runs[key]; r != nil {
				r.ended = true
				delete(n.runs, key)
			}
		}
		w.toAllocator(n, func(a *Allocator) { a.Register(w.now, req) })
	} else if req, ok := n.h.Unsettled(testShard); ok {
		w.toAllocator(n, func(a *Allocator) { a.Settle(w.now, req) })
	}
}

// deliver delivers packet i, or keeps it if its receiver is paused.
func (w *testCluster) deliver(i int, repeat bool) {
	p := w.packets[i]
	if p.to != nil && p.to.paused {
		return
	}
	if !repeat {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	if p.to != nil && (p.to.dead || (p.from != nil && p.from.domain != p.to.domain && w.partitioned[p.to.domain])) {
		return
	}
	p.do()
}

func (w *testCluster) deliverAll() {
	w.deliverSome(func(p packet) bool { return p.to == nil || !p.to.paused })
}

// deliverSome delivers the matching messages in order, including those that they
// cause.
func (w *testCluster) deliverSome(match func(packet) bool) {
	for range 400 {
		i := slices.IndexFunc(w.packets, match)
		if i < 0 {
			return
		}
		w.deliver(i, false)
	}
}

func (w *testCluster) takeOver(n *node) {
	n.a = NewAllocator(w.now, Options{
		Domain: n.domain, Shard: testShard, Owner: n.name, Interval: time.Second, ExtensionTokens: 16, disabledRules: w.flaws,
	})
	n.a.SetMembers(w.now, w.live(n.domain))
	w.applyOutput(n)
}

func (w *testCluster) live(domain string) []string {
	var ids []string
	for _, n := range w.nodes {
		if n.domain == domain && !n.dead {
			ids = append(ids, n.name)
		}
	}
	return ids
}

func (w *testCluster) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if n.up() && n.a != nil {
			n.a.Tick(w.now)
			w.applyOutput(n)
		}
	}
}

// edit changes the stored record as an operator does.
func (w *testCluster) edit(f func(*Record) error) {
	rec := w.record()
	if err := f(rec); err != nil {
		w.t.Fatalf("edit: %v", err)
	}
	w.value, _ = rec.Marshal()
	w.rev++
	w.lastOpID = fmt.Sprint("edit", w.rev)
}

// dump returns an allocator's open reservations and their holders for a failure
// message.
func (a *Allocator) dump() string {
	s := fmt.Sprintf("epoch %d, recovering %v, bills %v", a.epoch, a.recovering, a.queuedBills)
	for key, e := range a.open {
		s += fmt.Sprintf("; %v %+v, holder %+v, gone %v", key, *e, *a.clients[key.Holder], a.goneHolders[key.Holder])
	}
	return s
}
