package budget

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// testCluster is a test environment for real Allocators and Holders: two failure
// domains, a store, and a network that delays, loses and repeats messages. It
// also records the actual use of each request, which is the test's oracle.
type testCluster struct {
	t             *rapid.T
	disabledRules ruleSet
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

func newTestCluster(t *rapid.T, disabled ruleSet) *testCluster {
	c := &testCluster{t: t, disabledRules: disabled, now: time.Unix(1000, 0), partitioned: map[string]bool{}, prepaid: 1000}
	rec := NewRecord()
	rec.SetBudgets([]Spec{{ID: testBudget, Initial: c.prepaid}})
	c.value, _ = rec.Marshal()
	c.rev = 1
	for i := range 6 {
		c.addNode(testDomains[i%2])
	}
	return c
}

func (c *testCluster) addNode(domain string) {
	n := &node{name: fmt.Sprintf("%s%d", domain, len(c.nodes)), domain: domain, runs: map[Key]*run{}}
	n.h = NewHolder(n.name)
	n.h.disabledRules = c.disabledRules
	c.nodes = append(c.nodes, n)
}

func (c *testCluster) record() *Record {
	if c.cacheRev != c.rev {
		rec, err := Unmarshal(c.value)
		if err != nil {
			c.t.Fatalf("stored record: %v", err)
		}
		c.cache, c.cacheRev = rec, c.rev
	}
	return c.cache
}

func (c *testCluster) pick(keep func(*node) bool) *node {
	var list []*node
	for _, n := range c.nodes {
		if keep(n) {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return rapid.SampledFrom(list).Draw(c.t, "node")
}

func (n *node) up() bool { return !n.dead && !n.paused }

// allocator returns the daemon that another one treats as the allocator of its
// failure domain: mostly the newest one, sometimes an older one.
func (c *testCluster) allocator(domain string) *node {
	var list []*node
	for _, n := range c.nodes {
		if n.domain == domain && n.a != nil && !n.dead {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortStableFunc(list, func(x, y *node) int { return int(y.a.Epoch()) - int(x.a.Epoch()) })
	if len(list) > 1 && rapid.IntRange(0, 4).Draw(c.t, "wrong allocator") == 0 {
		return list[1]
	}
	return list[0]
}

func (c *testCluster) send(from, to *node, do func()) {
	if to != nil {
		c.packets = append(c.packets, packet{from: from, to: to, do: do})
	}
}

// applyOutput performs the work in an allocator's output.
func (c *testCluster) applyOutput(n *node) {
	if n.a == nil {
		return
	}
	if err := n.a.Fault(); err != nil {
		c.t.Fatalf("allocator %s: %v", n.name, err)
	}
	a, out := n.a, n.a.TakeOutput()
	if out.Read {
		c.packets = append(c.packets, packet{from: n, do: func() {
			ok, value, rev := c.reachable(n), c.value, c.rev
			c.send(nil, n, func() { c.call(n, a, func() { a.Loaded(c.now, value, rev, ok) }) })
		}})
	}
	if out.Write != nil {
		c.sendWrite(n, a, *out.Write)
	}
	for _, r := range out.Replies {
		to := c.byName(r.Holder)
		c.send(n, to, func() { c.deliverReply(to, r) })
	}
	for _, m := range out.Mirrors {
		to := c.byName(m.Member)
		c.send(n, to, func() {
			ans := to.h.Mirror(m)
			c.send(to, n, func() { c.call(n, a, func() { a.MirrorAnswered(c.now, ans) }) })
		})
	}
	for _, r := range out.Reclaims {
		for _, to := range c.nodes {
			if to.a != nil && to.domain == r.To {
				c.send(n, to, func() { c.call(to, to.a, func() { to.a.Reclaim(c.now, r) }) })
			}
		}
	}
}

// call runs f on a node's allocator unless the allocator has been replaced.
func (c *testCluster) call(n *node, a *Allocator, f func()) {
	if n.a == a {
		f()
		c.applyOutput(n)
	}
}

func (c *testCluster) reachable(n *node) bool { return !c.outage && !c.partitioned[n.domain] }

func (c *testCluster) sendWrite(n *node, a *Allocator, wr StoreWrite) {
	answered := false
	answer := func(r StoreResult) {
		if !answered {
			answered = true
			c.send(nil, n, func() { c.call(n, a, func() { a.Stored(c.now, r) }) })
		}
	}
	c.packets = append(c.packets, packet{from: n, do: func() {
		switch {
		case !c.reachable(n):
			answer(StoreResult{Outcome: Unavailable})
		case c.lastOpID == wr.OpID:
			answer(StoreResult{Outcome: Applied, Revision: c.rev})
		case c.rev != wr.Expected:
			answer(StoreResult{Outcome: Conflict, Value: c.value, Revision: c.rev})
		default:
			c.value, c.lastOpID = wr.Value, wr.OpID
			c.rev++
			if c.answersToLose > 0 {
				c.answersToLose--
				answer(StoreResult{Outcome: OutcomeUnknown})
				return
			}
			answer(StoreResult{Outcome: Applied, Revision: c.rev})
		}
	}, expire: func() { answer(StoreResult{Outcome: OutcomeUnknown}) }})
}

func (c *testCluster) byName(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// deliverReply passes a reply to its holder, as a daemon does.
func (c *testCluster) deliverReply(n *node, r Reply) {
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
func (c *testCluster) toAllocator(n *node, f func(a *Allocator)) {
	if to := c.allocator(n.domain); to != nil {
		c.send(n, to, func() { c.call(to, to.a, func() { f(to.a) }) })
	}
}

// start begins one attempt of a request.
func (c *testCluster) start(n *node, id string, tokens int64) {
	req, err := n.h.Reserve(testShard, id, testBudget, tokens, id[0] == 'k')
	if err != nil {
		return
	}
	r := &run{id: id, n: n, key: req.Reservation.Key}
	n.runs[r.key] = r
	c.runs = append(c.runs, r)
	c.toAllocator(n, func(a *Allocator) { a.Reserve(c.now, req) })
}

func (c *testCluster) settle(n *node, r *run) {
	if err := n.h.Settle(testShard, r.key, r.used); err != nil && r.used > 0 {
		c.t.Fatalf("settle %s: %v", r.id, err)
	}
	r.ended = true
	delete(n.runs, r.key)
}

// sync sends a registration or settlements, as a daemon does on a timer.
func (c *testCluster) sync(n *node) {
	if a := c.allocator(n.domain); a != nil && n.h.ObserveEpoch(testShard, a.a.Epoch()) {
		req, dropped := n.h.Register(testShard)
		for _, key := range dropped {
			if r := n.runs[key]; r != nil {
				r.ended = true
				delete(n.runs, key)
			}
		}
		c.toAllocator(n, func(a *Allocator) { a.Register(c.now, req) })
	} else if req, ok := n.h.Unsettled(testShard); ok {
		c.toAllocator(n, func(a *Allocator) { a.Settle(c.now, req) })
	}
}

// deliver delivers packet i, or keeps it if its receiver is paused.
func (c *testCluster) deliver(i int, repeat bool) {
	p := c.packets[i]
	if p.to != nil && p.to.paused {
		return
	}
	if !repeat {
		c.packets = slices.Delete(c.packets, i, i+1)
	}
	if p.to != nil && (p.to.dead || (p.from != nil && p.from.domain != p.to.domain && c.partitioned[p.to.domain])) {
		return
	}
	p.do()
}

func (c *testCluster) deliverAll() {
	c.deliverSome(func(p packet) bool { return p.to == nil || !p.to.paused })
}

// deliverSome delivers the matching messages in order, including those that they
// cause.
func (c *testCluster) deliverSome(match func(packet) bool) {
	for range 400 {
		i := slices.IndexFunc(c.packets, match)
		if i < 0 {
			return
		}
		c.deliver(i, false)
	}
}

func (c *testCluster) takeOver(n *node) {
	n.a = NewAllocator(c.now, Options{
		Domain: n.domain, Shard: testShard, Owner: n.name, Interval: time.Second, ExtensionTokens: 16, disabledRules: c.disabledRules,
	})
	n.a.SetMembers(c.now, c.live(n.domain))
	c.applyOutput(n)
}

func (c *testCluster) live(domain string) []string {
	var ids []string
	for _, n := range c.nodes {
		if n.domain == domain && !n.dead {
			ids = append(ids, n.name)
		}
	}
	return ids
}

func (c *testCluster) tick(d time.Duration) {
	c.now = c.now.Add(d)
	for _, n := range c.nodes {
		if n.up() && n.a != nil {
			n.a.Tick(c.now)
			c.applyOutput(n)
		}
	}
}

// edit changes the stored record as an operator does.
func (c *testCluster) edit(f func(*Record) error) {
	rec := c.record()
	if err := f(rec); err != nil {
		c.t.Fatalf("edit: %v", err)
	}
	c.value, _ = rec.Marshal()
	c.rev++
	c.lastOpID = fmt.Sprint("edit", c.rev)
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
