package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// proc is one daemon of the simulated fleet.
type proc struct {
	Identity
	table         *Table
	dead, leaving bool
	pausedUntil   time.Time
	// lastDisturbed is the last time that the daemon was paused, partitioned or
	// started; it may be suspected for a while afterwards.
	lastDisturbed time.Time
	// bytes and messages count what was sent; cpu is the wall time of the table's calls.
	bytes, messages int64
	cpu             time.Duration
}

// delivery is a message or tick that is due at a virtual time.
type delivery struct {
	at  time.Time
	seq int
	to  *proc
	// message is nil for a tick.
	message *Message
}

// deliveries is a heap ordered by time; seq breaks ties.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// sim simulates daemons in virtual time on a network with faults.
type sim struct {
	start, now time.Time
	rng        *rand.Rand
	procs      []*proc
	byID       map[string]*proc
	queue      deliveries
	seq        int
	// loss is the probability that a message is lost.
	loss     float64
	maxDelay time.Duration
	// linkCut reports whether the link is broken in that direction.
	linkCut func(from, to *proc) bool
	// extraDelay returns the additional delay of a link.
	extraDelay func(from, to *proc) time.Duration
	// dropped reports whether all messages of a kind are lost.
	dropped func(Kind) bool
	// listHistory holds the snapshots of the platform's list, oldest first, and
	// listLag is the age of the list that the daemons read.
	listHistory []listSnapshot
	listLag     time.Duration
	// list returns the platform's list as a daemon reads it.
	list func(*proc) []platform.Instance
	// onEvent is called for each event of each daemon.
	onEvent  func(observer *proc, e Event)
	options  Options
	disabled disabledRules
	// timed makes call measure proc.cpu.
	timed bool
}

type listSnapshot struct {
	at   time.Time
	list []platform.Instance
}

func newSim(seed uint64) *sim {
	start := time.Unix(1_000_000, 0)
	s := &sim{
		start: start, now: start, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*proc{},
		maxDelay: 5 * time.Millisecond, linkCut: func(_, _ *proc) bool { return false },
		dropped: func(Kind) bool { return false },
	}
	s.list = func(*proc) []platform.Instance { return s.readList() }
	return s
}

// newFleet starts daemons in a number of failure domains.
func newFleet(seed uint64, daemons, domains int) *sim {
	s := newSim(seed)
	s.grow(daemons, domains)
	return s
}

func (s *sim) grow(daemons, domains int) {
	for i := range daemons {
		d := i * domains / daemons
		s.add(fmt.Sprintf("i-%02d-%04x", d, 0xa5b0+i), fmt.Sprintf("zone-%02d", d))
	}
	s.publish()
}

func (s *sim) add(id, domain string) *proc {
	p := &proc{
		Identity: Identity{
			ID: id, Addr: fmt.Sprintf("127.0.0.1:%d", 20000+len(s.procs)), Domain: domain, Region: "region-1",
		},
		lastDisturbed: s.now,
	}
	o := s.options
	o.Self, o.Seed = p.Identity, uint64(len(s.procs))
	p.table = New(o, s.now)
	p.table.disabled = s.disabled
	s.procs = append(s.procs, p)
	s.byID[id] = p
	// Daemons tick out of phase.
	s.schedule(delivery{at: s.now.Add(time.Duration(s.rng.Int64N(int64(time.Second)))), to: p})
	return p
}

// publish adds the current state of all daemons to the platform's list.
func (s *sim) publish() {
	var list []platform.Instance
	for _, p := range s.procs {
		if p.dead {
			continue
		}
		in := platform.Instance{
			ID: p.ID, Addr: p.Addr, Domain: p.Domain, Region: p.Region, Role: platform.RoleDaemon, State: platform.InstanceLive,
		}
		if p.leaving {
			in.State = platform.InstanceLeaving
		}
		list = append(list, in)
	}
	s.listHistory = append(s.listHistory, listSnapshot{at: s.now, list: list})
}

func (s *sim) readList() []platform.Instance {
	horizon := s.now.Add(-s.listLag)
	for i := len(s.listHistory) - 1; i > 0; i-- {
		if !s.listHistory[i].at.After(horizon) {
			return s.listHistory[i].list
		}
	}
	return s.listHistory[0].list
}

func (s *sim) schedule(d delivery) {
	s.seq++
	d.seq = s.seq
	heap.Push(&s.queue, d)
}

// run advances virtual time by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(delivery)
		s.now = next.at
		s.deliver(next)
	}
	s.now = end
}

func (s *sim) deliver(d delivery) {
	p := d.to
	if p.dead {
		return
	}
	if s.now.Before(p.pausedUntil) {
		// The kernel keeps the messages and timers of a paused process.
		d.at = p.pausedUntil.Add(time.Millisecond)
		s.schedule(d)
		return
	}
	if d.message != nil {
		s.call(p, func() Output { return p.table.Step(s.now, *d.message) })
		return
	}
	s.call(p, func() Output { return p.table.Tick(s.now) })
	if p.table.WantList(s.now) {
		list := s.list(p)
		s.call(p, func() Output { return p.table.ApplyList(s.now, list) })
	}
	s.schedule(delivery{at: s.now.Add(TickInterval), to: p})
}

// call runs one call of p's table, reports its events and sends its messages.
func (s *sim) call(p *proc, f func() Output) {
	var out Output
	if s.timed {
		begin := time.Now()
		out = f()
		p.cpu += time.Since(begin)
	} else {
		out = f()
	}
	for _, e := range out.Events {
		if s.onEvent != nil {
			s.onEvent(p, e)
		}
	}
	for i := range out.Messages {
		m := &out.Messages[i]
		p.bytes += int64(m.Size() + transportBytes)
		p.messages++
		to := s.byID[m.To]
		if to == nil || to.dead || s.linkCut(p, to) || s.dropped(m.Kind) || s.rng.Float64() < s.loss {
			continue
		}
		delay := time.Millisecond + time.Duration(s.rng.Int64N(int64(s.maxDelay)))
		if s.extraDelay != nil {
			delay += s.extraDelay(p, to)
		}
		s.schedule(delivery{at: s.now.Add(delay), to: to, message: m})
	}
}

func (s *sim) kill(p *proc) { p.dead = true }

func (s *sim) pause(p *proc, d time.Duration) {
	p.pausedUntil = s.now.Add(d)
	p.lastDisturbed = p.pausedUntil
}

func (s *sim) leave(p *proc) {
	p.leaving = true
	s.call(p, func() Output { return p.table.Leave(s.now) })
}

func (s *sim) domain(name string) []*proc {
	var members []*proc
	for _, p := range s.procs {
		if p.Domain == name {
			members = append(members, p)
		}
	}
	return members
}

// transportBytes is the overhead of a message on a gRPC stream over TCP: 52 bytes
// of headers with timestamps, 14 of HTTP/2 and gRPC framing and 52 of a separate
// acknowledgement.
const transportBytes = 118
