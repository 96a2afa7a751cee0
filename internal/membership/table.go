package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/cespare/xxhash/v2"
)

const (
	// pauseThreshold is the gap between two calls above which this daemon is
	// assumed to have been paused. Silence of others during a pause is ignored.
	pauseThreshold = 4 * TickInterval
	// deadDigestPeriod is how long a dead member is included in digests.
	deadDigestPeriod = time.Minute
	// forgetAfter is how long a dead member or a removed endpoint is retained,
	// so that a stale list does not bring it back.
	forgetAfter = 24 * time.Hour
)

// Table is the membership as one daemon sees it. It is not safe for use by
// several goroutines at once.
type Table struct {
	options Options
	// now is the time of the current call.
	now     time.Time
	started time.Time
	// out collects the output of the current call.
	out Output

	self *node
	// nodes is keyed by ID, byHash by IDHash of the ID; sortedNodes is ordered by ID.
	nodes       map[string]*node
	byHash      map[uint32]*node
	sortedNodes []*node
	// domains is keyed by name; sortedDomains is ordered by name.
	domains       map[string]*domain
	sortedDomains []*domain
	// lastReceived is the time of the last direct sign of life from any daemon.
	lastReceived time.Time

	nextHeartbeat, nextExchange time.Time
	nextRemoteUpdate            time.Time
	heartbeatRound              uint64
	randomState                 uint64

	seq     uint64
	unacked []*unackedMessage
	queues  [scopeCount]changeQueue
	// forgotten holds the nodes to remove at the end of the current call.
	forgotten []*node

	viewHash  uint64
	viewDirty bool
	nextSync  time.Time
	// entries is the platform's list, keyed by ID.
	entries  map[string]*listEntry
	listHash uint64
	// listStale is true if another daemon's list has differed for syncAfter.
	listStale    bool
	lastListRead time.Time
	// listReadSeq counts the reads of the platform's list.
	listReadSeq   uint64
	listHashDirty bool
	listWasRead   bool
	// announceSelf is true until this daemon has announced itself.
	announceSelf bool
	disabled     disabledRules
}

// disabledRules disables individual rules. Tests set it to verify that the checks
// detect a missing rule.
type disabledRules struct {
	// listRevivesDead lets the platform's list revive a dead member.
	listRevivesDead bool
	// acceptStaleHeartbeats treats delayed messages as signs of life.
	acceptStaleHeartbeats bool
	// ignoreRelayed ignores relayed signs of life.
	ignoreRelayed bool
	// ignorePartitions treats any silence as a death.
	ignorePartitions bool
	// listUndoesLeaving lets the platform's list return a leaving instance to live.
	listUndoesLeaving bool
}

// node is a member and the evidence about its state.
type node struct {
	Member
	domain       *domain
	hash         uint32
	heartbeatSeq uint32
	// lastAlive is the last time that the pair of Incarnation and heartbeatSeq rose.
	lastAlive time.Time
	// dead is true if the member is considered dead at Incarnation. Only a
	// higher incarnation, issued by the member itself, clears it.
	dead      bool
	deadSince time.Time
	// lastReported is the last time that the member's failure domain reported it.
	lastReported time.Time
	nextProbe    time.Time
	// viewDiffersSince and listDiffersSince are when the member's view and list
	// began to differ from those of this daemon; zero if they are equal.
	viewDiffersSince, listDiffersSince time.Time
	// revivalIncarnation and revivalHeartbeatSeq are from the first relayed sign
	// of life of a dead member at a new incarnation.
	revivalIncarnation, revivalHeartbeatSeq uint32
	lastRefutationRequest                   time.Time
}

type domain struct {
	name    string
	hash    uint32
	members []*node
	// contactCount is DomainHeartbeat.Count for this domain, lastCounted when
	// this daemon last raised it, and lastContact the last sign of life.
	contactCount uint32
	lastCounted  time.Time
	lastContact  time.Time
	unreachable  bool
	// digestsSince and lastDigest are the start and the end of the current
	// uninterrupted run of digests from the domain.
	digestsSince, lastDigest time.Time
	// unknownSince is when its digests began to contain an unknown member; zero
	// if they contain none.
	unknownSince time.Time
}

// IDHash returns the hash that stands for an ID or the name of a failure domain in
// digests.
func IDHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// New returns the table of a daemon that starts now. WantList is true at first, so
// that the caller reads the platform's list.
func New(o Options, now time.Time) *Table {
	t := &Table{
		options:     o.withDefaults(),
		now:         now,
		started:     now,
		nodes:       make(map[string]*node),
		byHash:      make(map[uint32]*node),
		domains:     make(map[string]*domain),
		entries:     make(map[string]*listEntry),
		randomState: o.Seed ^ xxhash.Sum64String(o.Self.ID),
		// A new daemon must not consider itself isolated before messages can arrive.
		lastReceived: now,
		announceSelf: true,
	}
	t.self = t.addNode(o.Self, now)
	t.self.Incarnation, t.self.heartbeatSeq = 1, 1
	t.setState(t.self, Live, "start")
	t.nextHeartbeat = now
	t.nextExchange = now
	return t
}

// Step processes a message from another daemon.
func (t *Table) Step(now time.Time, m Message) Output {
	t.advanceClock(now)
	if m.From.ID == t.self.ID || m.From.ID == "" {
		return t.takeOutput()
	}
	from := t.recordSender(m)
	switch m.Kind {
	case Heartbeat, Exchange:
		t.handleDigest(from, m)
	case Changes:
		t.handleChanges(from, m)
	case Ack:
		t.handleAck(from, m.Seq)
	case Probe:
		t.handleProbe(from, m.Target)
	case Ping:
		t.handlePing(from, m)
	case Pong:
		t.handlePong(from, m)
	case SyncRequest:
		reply := t.newMessage(SyncReply, from)
		reply.Members = t.allMembers()
		t.send(reply)
	case SyncReply:
		t.mergeMemberChanges(m.Members)
	}
	return t.takeOutput()
}

// Tick advances the time; it is called every TickInterval.
func (t *Table) Tick(now time.Time) Output {
	t.advanceClock(now)
	t.updateStates()
	if !now.Before(t.nextHeartbeat) {
		t.nextHeartbeat = now.Add(t.options.HeartbeatInterval)
		t.self.heartbeatSeq++
		t.sendHeartbeats()
	}
	if !now.Before(t.nextExchange) {
		t.nextExchange = now.Add(t.options.ExchangeInterval)
		t.sendExchanges()
	}
	t.probeSilentMembers()
	t.flush()
	t.retry()
	return t.takeOutput()
}

// SendFailed reports that a message to the member could not be delivered. The
// member is then probed through others at once.
func (t *Table) SendFailed(now time.Time, id string) Output {
	t.advanceClock(now)
	n := t.nodes[id]
	if n != nil && n != t.self && !n.dead && n.Domain == t.self.Domain &&
		now.Sub(n.lastAlive) > t.options.HeartbeatInterval && !now.Before(n.nextProbe) {
		t.probe(n)
	}
	return t.takeOutput()
}

// Leave marks this daemon as leaving and announces it.
func (t *Table) Leave(now time.Time) Output {
	t.advanceClock(now)
	if !t.self.Leaving {
		t.self.Leaving = true
		t.self.Incarnation++
		t.viewDirty = true
		t.setState(t.self, Leaving, "drain")
		t.announce([]MemberChange{t.memberChange(t.self)}, nil, toFleet)
		t.flush()
	}
	return t.takeOutput()
}

// advanceClock sets the time of the current call. After a pause of this daemon it
// shifts the evidence by the pause, because no messages were processed meanwhile.
func (t *Table) advanceClock(now time.Time) {
	gap := now.Sub(t.now)
	if gap < 0 {
		return
	}
	t.now = now
	if gap <= pauseThreshold {
		return
	}
	t.lastReceived = t.lastReceived.Add(gap)
	for _, n := range t.sortedNodes {
		n.lastAlive = n.lastAlive.Add(gap)
		n.lastReported = n.lastReported.Add(gap)
	}
	for _, d := range t.sortedDomains {
		d.lastContact = d.lastContact.Add(gap)
		d.digestsSince = now
	}
}

// takeOutput ends a call: it removes forgotten nodes and returns the output.
func (t *Table) takeOutput() Output {
	for _, n := range t.forgotten {
		t.forget(n)
	}
	t.forgotten = nil
	out := t.out
	t.out = Output{}
	return out
}

// addNode creates the node of an unknown ID.
func (t *Table) addNode(id Identity, now time.Time) *node {
	e := t.entries[id.ID]
	n := &node{
		Member: Member{Identity: id, State: Suspected, Leaving: e != nil && e.leaving},
		hash:   IDHash(id.ID), lastAlive: now, lastReported: now,
	}
	t.nodes[id.ID] = n
	t.byHash[n.hash] = n
	t.sortedNodes = insertNode(t.sortedNodes, n)
	d := t.domains[id.Domain]
	if d == nil {
		d = &domain{name: id.Domain, hash: IDHash(id.Domain), lastContact: now}
		t.domains[id.Domain] = d
		t.sortedDomains = append(t.sortedDomains, d)
		sort.Slice(t.sortedDomains, func(i, j int) bool { return t.sortedDomains[i].name < t.sortedDomains[j].name })
	}
	n.domain = d
	d.members = insertNode(d.members, n)
	t.viewDirty = true
	t.out.Events = append(t.out.Events,
		Event{Kind: MemberChanged, Member: n.Member, Previous: Suspected, New: true, Cause: "first seen"})
	return n
}

func insertNode(nodes []*node, n *node) []*node {
	i := sort.Search(len(nodes), func(i int) bool { return nodes[i].ID >= n.ID })
	nodes = append(nodes, nil)
	copy(nodes[i+1:], nodes[i:])
	nodes[i] = n
	return nodes
}

func removeNode(nodes []*node, n *node) []*node {
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
	t.sortedNodes = removeNode(t.sortedNodes, n)
	d := n.domain
	if d.members = removeNode(d.members, n); len(d.members) == 0 {
		delete(t.domains, n.Domain)
		t.sortedDomains = slices.DeleteFunc(t.sortedDomains, func(o *domain) bool { return o == d })
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

// randomIndex returns a pseudorandom number below n, by splitmix64.
func (t *Table) randomIndex(n int) int {
	t.randomState += 0x9e3779b97f4a7c15
	z := t.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}

func (t *Table) send(m Message) { t.out.Messages = append(t.out.Messages, m) }

// newMessage returns a message to n with the header fields set.
func (t *Table) newMessage(k Kind, n *node) Message {
	return Message{
		Kind: k, From: t.self.Identity, To: n.ID, Addr: n.Addr,
		Incarnation: t.self.Incarnation, HeartbeatSeq: t.self.heartbeatSeq, Leaving: t.self.Leaving,
	}
}

func instanceIdentity(in platform.Instance) Identity {
	return Identity{ID: in.ID, Addr: in.Addr, Domain: in.Domain, Region: in.Region}
}
