package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/cespare/xxhash/v2"
)

const (
	// pauseAfter is the gap between two calls from which on the daemon itself
	// was paused; silence of others during a pause is no evidence.
	pauseAfter = 4 * TickInterval
	// deadInDigest is how long a digest repeats a death.
	deadInDigest = time.Minute
	// forgetAfter is how long a dead member or a gone endpoint is remembered
	// so that an old list does not bring it back.
	forgetAfter = 24 * time.Hour
)

// Table is the membership as one daemon sees it. It is not safe for use by
// several goroutines at once.
type Table struct {
	o    Options
	last time.Time
	// started is when the daemon started.
	started time.Time
	out     Output

	self    *node
	nodes   map[string]*node
	byHash  map[uint32]*node
	sorted  []*node
	domains map[string]*domain
	// byName holds the domains ordered by name.
	byName []*domain
	// heardAny is the last direct sign of life of anybody.
	heardAny time.Time

	nextBeat, nextExchange time.Time
	nextFar                time.Time
	round                  uint64
	random                 uint64

	seq     uint64
	pending []*pending
	queue   [scopes]news
	// forgotten collects the nodes to drop at the end of a call.
	forgotten []*node

	viewHash     uint64
	viewDirty    bool
	nextSync     time.Time
	entries      map[string]*entry
	listHash     uint64
	listStale    bool
	lastList     time.Time
	readings     uint64
	listDirty    bool
	listRead     bool
	announceSelf bool
	broken       broken
}

// broken switches off single rules. Tests set it to show that the checks notice
// the absence of a rule.
type broken struct {
	// listRevives lets the list bring a dead member back.
	listRevives bool
	// staleBeats takes delayed messages as signs of life.
	staleBeats bool
	// noRelay judges by direct signs of life alone.
	noRelay bool
	// noPartition takes each silence for a death.
	noPartition bool
	// leavingReturns lets the list undo that an instance is leaving.
	leavingReturns bool
}

// node is a member with the evidence about it.
type node struct {
	Member
	domain *domain
	hash   uint32
	beat   uint32
	// heard is the last time that Incarnation and beat rose.
	heard time.Time
	// dead is true if the member is held to be dead at Incarnation. Only a
	// higher incarnation, which the member itself makes, ends it.
	dead      bool
	deadSince time.Time
	// attested is the last time that the member's own failure domain named it.
	attested  time.Time
	nextProbe time.Time
	// viewDiffers and listDiffers are since when its view and its list differ
	// from the own ones; zero if they are equal.
	viewDiffers, listDiffers time.Time
	// rumourInc and rumourBeat are the first relayed signs of a new life of a
	// dead member.
	rumourInc, rumourBeat uint32
	accused               time.Time
}

type domain struct {
	name    string
	hash    uint32
	members []*node
	// count and heard belong to DomainBeat.
	count   uint32
	counted time.Time
	heard   time.Time
	silent  bool
	// digestSince and digestLast bound the current run of digests from it.
	digestSince, digestLast time.Time
	// unknownSince is since when its digests name an unknown member.
	unknownSince time.Time
}

// IDHash is the short form of an ID or of a failure domain's name in digests.
func IDHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// New returns the table of a daemon that starts now. The caller then reads the
// platform's list, because WantList is true.
func New(o Options, now time.Time) *Table {
	t := &Table{
		o:       o.withDefaults(),
		last:    now,
		started: now,
		nodes:   make(map[string]*node),
		byHash:  make(map[uint32]*node),
		domains: make(map[string]*domain),
		entries: make(map[string]*entry),
		random:  o.Seed ^ xxhash.Sum64String(o.Self.ID),
		// A new daemon must not find others silent before it could hear them.
		heardAny:     now,
		announceSelf: true,
	}
	t.self = t.add(o.Self, now)
	t.self.Incarnation, t.self.beat = 1, 1
	t.setState(t.self, Live, "start")
	t.nextBeat = now
	t.nextExchange = now
	return t
}

// Step takes a message from another daemon.
func (t *Table) Step(now time.Time, m Message) Output {
	t.begin(now)
	if m.From.ID == t.self.ID || m.From.ID == "" {
		return t.take()
	}
	from := t.contact(m)
	switch m.Kind {
	case Heartbeat, Exchange:
		t.stepDigest(from, m)
	case Changes:
		t.stepChanges(from, m)
	case Ack:
		t.stepAck(from, m.Seq)
	case Probe:
		t.stepProbe(from, m.Target)
	case Ping:
		t.stepPing(from, m)
	case Pong:
		t.stepPong(from, m)
	case SyncRequest:
		reply := t.message(SyncReply, from)
		reply.Members = t.allMembers()
		t.send(reply)
	case SyncReply:
		t.mergeMemberChanges(m.Members)
	}
	return t.take()
}

// Tick lets time pass; it is called every TickInterval.
func (t *Table) Tick(now time.Time) Output {
	t.begin(now)
	t.assess()
	if !now.Before(t.nextBeat) {
		t.nextBeat = now.Add(t.o.Heartbeat)
		t.self.beat++
		t.beat()
	}
	if !now.Before(t.nextExchange) {
		t.nextExchange = now.Add(t.o.Exchange)
		t.exchange()
	}
	t.probeSuspected()
	t.flush()
	t.retry()
	return t.take()
}

// SendFailed takes the report that a message to the member could not be
// delivered, so that it is probed through others at once.
func (t *Table) SendFailed(now time.Time, id string) Output {
	t.begin(now)
	n := t.nodes[id]
	if n != nil && n != t.self && !n.dead && n.Domain == t.self.Domain && now.Sub(n.heard) > t.o.Heartbeat && !now.Before(n.nextProbe) {
		t.probe(n)
	}
	return t.take()
}

// Drain marks this daemon as leaving and announces it.
func (t *Table) Drain(now time.Time) Output {
	t.begin(now)
	if !t.self.Leaving {
		t.self.Leaving = true
		t.self.Incarnation++
		t.viewDirty = true
		t.setState(t.self, Leaving, "drain")
		t.announce([]MemberChange{t.change(t.self)}, nil, toFleet)
		t.flush()
	}
	return t.take()
}

// begin notes the time. After a pause of this daemon it moves the evidence
// forward by the pause, because nothing could be heard meanwhile.
func (t *Table) begin(now time.Time) {
	gap := now.Sub(t.last)
	if gap < 0 {
		return
	}
	t.last = now
	if gap <= pauseAfter {
		return
	}
	t.heardAny = t.heardAny.Add(gap)
	for _, n := range t.sorted {
		n.heard = n.heard.Add(gap)
		n.attested = n.attested.Add(gap)
	}
	for _, d := range t.byName {
		d.heard = d.heard.Add(gap)
		d.digestSince = now
	}
}

func (t *Table) take() Output {
	for _, n := range t.forgotten {
		t.forget(n)
	}
	t.forgotten = nil
	out := t.out
	t.out = Output{}
	return out
}

// add creates the node of an ID that is not known yet.
func (t *Table) add(id Identity, now time.Time) *node {
	e := t.entries[id.ID]
	n := &node{Member: Member{Identity: id, State: Suspected, Leaving: e != nil && e.leaving}, hash: IDHash(id.ID), heard: now, attested: now}
	t.nodes[id.ID] = n
	t.byHash[n.hash] = n
	t.sorted = insert(t.sorted, n)
	d := t.domains[id.Domain]
	if d == nil {
		d = &domain{name: id.Domain, hash: IDHash(id.Domain), heard: now}
		t.domains[id.Domain] = d
		t.byName = append(t.byName, d)
		sort.Slice(t.byName, func(i, j int) bool { return t.byName[i].name < t.byName[j].name })
	}
	n.domain = d
	d.members = insert(d.members, n)
	t.viewDirty = true
	t.out.Events = append(t.out.Events, Event{Kind: MemberChanged, Member: n.Member, Previous: Suspected, New: true, Cause: "first seen"})
	return n
}

func insert(nodes []*node, n *node) []*node {
	i := sort.Search(len(nodes), func(i int) bool { return nodes[i].ID >= n.ID })
	nodes = append(nodes, nil)
	copy(nodes[i+1:], nodes[i:])
	nodes[i] = n
	return nodes
}

func remove(nodes []*node, n *node) []*node {
	kept := nodes[:0]
	for _, m := range nodes {
		if m != n {
			kept = append(kept, m)
		}
	}
	return kept
}

func (t *Table) forget(n *node) {
	delete(t.nodes, n.ID)
	delete(t.byHash, n.hash)
	t.sorted = remove(t.sorted, n)
	d := n.domain
	if d.members = remove(d.members, n); len(d.members) == 0 {
		delete(t.domains, n.Domain)
		t.byName = slices.DeleteFunc(t.byName, func(o *domain) bool { return o == d })
	}
}

func (t *Table) setState(n *node, s State, cause string) {
	if n.State == s {
		return
	}
	previous := n.State
	n.State = s
	t.out.Events = append(t.out.Events, Event{Kind: MemberChanged, Member: n.Member, Previous: previous, Cause: cause})
}

// next returns a number below n that varies from call to call.
func (t *Table) next(n int) int {
	t.random += 0x9e3779b97f4a7c15
	z := t.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}

func (t *Table) send(m Message) { t.out.Messages = append(t.out.Messages, m) }

// message returns a message to n with the header filled in.
func (t *Table) message(k Kind, n *node) Message {
	return Message{
		Kind: k, From: t.self.Identity, To: n.ID, Addr: n.Addr,
		Incarnation: t.self.Incarnation, HeartbeatSeq: t.self.beat, Leaving: t.self.Leaving,
	}
}

func instanceIdentity(in platform.Instance) Identity {
	return Identity{ID: in.ID, Addr: in.Addr, Domain: in.Domain, Region: in.Region}
}
