package budget

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// sim drives real Allocators and Holders in virtual time under a load, for
// benchmarks. It has one shard with one busy budget; store answers take one step.
type sim struct {
	scenario
	rng        *rand.Rand
	now        time.Time
	elapsed    time.Duration
	value      []byte
	rev        int64
	lastOpID   string
	storeDown  bool
	simDomains []*simDomain
	nextStep   []func()
	waiting    map[Key]*simRequest
	running    []*simRequest
	nextID     int
	used       int64
	reserved   int64

	arrivals, eligible, falseRefusals int
	writes, reads                     int
	// overspend is the number of tokens used beyond the prepaid amount, stranded the
	// granted tokens that no live allocator accounts for.
	overspend, stranded int64
	measured            bool
}

// scenario is a load with faults.
type scenario struct {
	domains  int
	shards   int // the number of shards for which the simulated one stands
	interval time.Duration
	step     time.Duration
	length   time.Duration
	// strandedAt is when stranded tokens are counted; 0 means at the end.
	strandedAt time.Duration
	prepaid    int64
	// rate is the demand of a failure domain in requests/s.
	rate func(d int, t time.Duration) float64
	// faults sets partitions and store outages; deaths kills daemons.
	faults func(s *sim, t time.Duration)
	deaths func(s *sim, t time.Duration)
	// floor is the part of the prepaid amount below which refusals are not
	// counted.
	floor float64
}

type simDomain struct {
	name        string
	a           *Allocator
	holders     []*Holder
	partitioned bool
	lastHolder  int
	// balance is the failure domain's balance in the equal-split baseline.
	balance int64
}

type simRequest struct {
	d       *simDomain
	h       *Holder
	key     Key
	tokens  int64 // actual use, if not cut short
	end     time.Duration
	granted int64
}

const (
	simPrompt   = 200
	simDuration = 2 * time.Second
)

func newSim(sc scenario) *sim {
	s := &sim{scenario: sc, rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), waiting: map[Key]*simRequest{}}
	rec := NewRecord()
	rec.SetBudgets([]Spec{{ID: testBudget, Initial: sc.prepaid}})
	s.value, _ = rec.Marshal()
	s.rev = 1
	for i := range sc.domains {
		d := &simDomain{name: fmt.Sprintf("d%02d", i), balance: sc.prepaid / int64(sc.domains)}
		for j := range 3 {
			d.holders = append(d.holders, NewHolder(fmt.Sprintf("%s-%d", d.name, j)))
		}
		s.simDomains = append(s.simDomains, d)
		s.allocate(d)
	}
	return s
}

// allocate makes the first live daemon of a failure domain its allocator.
func (s *sim) allocate(d *simDomain) {
	var ids []string
	for _, h := range d.holders {
		ids = append(ids, h.ID())
	}
	d.a = NewAllocator(s.now, Options{Domain: d.name, Shard: testShard, Owner: ids[0], Interval: s.interval})
	d.a.SetMembers(s.now, ids)
	s.applyOutput(d)
}

func (s *sim) atNextStep(d *simDomain, f func()) {
	a := d.a
	s.nextStep = append(s.nextStep, func() {
		if d.a == a {
			f()
			s.applyOutput(d)
		}
	})
}

// applyOutput performs the work in an allocator's outputs.
func (s *sim) applyOutput(d *simDomain) {
	for d.a != nil {
		out := d.a.TakeOutput()
		if out.Read {
			s.reads++
			ok, value, rev := !s.storeDown && !d.partitioned, s.value, s.rev
			s.atNextStep(d, func() { d.a.Loaded(s.now, value, rev, ok) })
		}
		if out.Write != nil {
			r := s.compareAndSwap(d, *out.Write)
			s.atNextStep(d, func() { d.a.Stored(s.now, r) })
		}
		for _, r := range out.Replies {
			s.reply(d, r)
		}
		for _, m := range out.Mirrors {
			for _, h := range d.holders {
				if h.ID() == m.Member {
					d.a.MirrorAnswered(s.now, h.Mirror(m))
				}
			}
		}
		for _, r := range out.Reclaims {
			for _, o := range s.simDomains {
				if o.name == r.To && o.a != nil && !o.partitioned && !d.partitioned {
					s.atNextStep(o, func() { o.a.Reclaim(s.now, r) })
				}
			}
		}
		if len(out.Replies)+len(out.Mirrors) == 0 {
			return
		}
	}
}

func (s *sim) compareAndSwap(d *simDomain, w StoreWrite) StoreResult {
	switch {
	case s.storeDown || d.partitioned:
		return StoreResult{Outcome: Unavailable}
	case s.lastOpID == w.OpID:
	case s.rev != w.Expected:
		s.writes++
		return StoreResult{Outcome: Conflict, Value: s.value, Revision: s.rev}
	default:
		s.writes++
		s.value, s.lastOpID = w.Value, w.OpID
		s.rev++
	}
	return StoreResult{Outcome: Applied, Revision: s.rev}
}

func (s *sim) reply(d *simDomain, r Reply) {
	for _, h := range d.holders {
		if h.ID() != r.Holder {
			continue
		}
		switch r.Kind {
		case KindReserve:
			s.reserveAnswered(h, r)
		case KindExtend:
			h.ExtendAnswered(r)
		case KindSettle:
			h.SettleAnswered(r)
		case KindRegister:
			h.RegisterAnswered(r)
		}
	}
}

func (s *sim) reserveAnswered(h *Holder, r Reply) {
	q := s.waiting[r.Key]
	switch v := h.ReserveAnswered(r); {
	case q == nil:
	case v == Granted:
		delete(s.waiting, r.Key)
		q.granted = h.Reserved(testShard, r.Key)
		s.reserved += q.granted
		s.running = append(s.running, q)
	case v != Ignored:
		delete(s.waiting, r.Key)
		s.refuse(q)
	}
}

// refuse counts a refusal as false if enough unspent tokens exist.
func (s *sim) refuse(*simRequest) {
	if left := s.prepaid - s.used - s.reserved; left >= simPrompt+defaultExtensionTokens &&
		float64(left) > s.floor*float64(s.prepaid) {
		s.falseRefusals++
	}
}

func (s *sim) arrive(d *simDomain) {
	s.arrivals++
	if float64(s.prepaid-s.used-s.reserved) > s.floor*float64(s.prepaid) {
		s.eligible++
	}
	d.lastHolder++
	h := d.holders[d.lastHolder%len(d.holders)]
	s.nextID++
	q := &simRequest{d: d, h: h, tokens: simPrompt + 1 + s.rng.Int64N(1000), end: s.elapsed + simDuration}
	req, err := h.Reserve(testShard, fmt.Sprint("u", s.nextID), testBudget, simPrompt+defaultExtensionTokens, false)
	if err != nil || d.a == nil {
		s.refuse(q)
		return
	}
	q.key = req.Reservation.Key
	s.waiting[q.key] = q
	d.a.Reserve(s.now, req)
	s.applyOutput(d)
}

// advance extends the running requests and settles those that end.
func (s *sim) advance() {
	keep := s.running[:0]
	for _, q := range s.running {
		done := 1 - float64(q.end-s.elapsed)/float64(simDuration)
		need := min(q.tokens, simPrompt+int64(done*float64(q.tokens-simPrompt))+defaultExtensionTokens/2)
		if need > q.granted && q.d.a != nil {
			if e, err := q.h.Extend(testShard, q.key, q.granted+defaultExtensionTokens); err == nil {
				q.d.a.Extend(s.now, e)
				s.applyOutput(q.d)
				got := q.h.Reserved(testShard, q.key)
				s.reserved += got - q.granted
				q.granted = got
			}
		}
		if s.elapsed < q.end {
			keep = append(keep, q)
			continue
		}
		s.reserved -= q.granted
		if q.tokens > q.granted {
			s.refuse(q) // the stream was cut short
		}
		s.used += min(q.tokens, q.granted)
		if err := q.h.Settle(testShard, q.key, q.tokens); err != nil {
			panic(err)
		}
	}
	s.running = keep
}

// sync sends registrations and settlements, as daemons do on a timer.
func (s *sim) sync() {
	for _, d := range s.simDomains {
		for _, h := range d.holders {
			switch {
			case d.a == nil:
			case h.ObserveEpoch(testShard, d.a.Epoch()):
				r, dropped := h.Register(testShard)
				for _, key := range dropped {
					if q := s.waiting[key]; q != nil {
						delete(s.waiting, key)
						s.refuse(q)
					}
				}
				d.a.Register(s.now, r)
				s.applyOutput(d)
			default:
				if r, ok := h.Unsettled(testShard); ok {
					d.a.Settle(s.now, r)
					s.applyOutput(d)
				}
			}
		}
	}
}

// kill ends a daemon; its requests use all tokens reserved so far.
func (s *sim) kill(d *simDomain, i int) {
	h := d.holders[i]
	d.holders = append(d.holders[:i:i], d.holders[i+1:]...)
	keep := s.running[:0]
	for _, q := range s.running {
		if q.h != h {
			keep = append(keep, q)
			continue
		}
		s.reserved -= q.granted
		s.used += q.granted
	}
	s.running = keep
	if d.a != nil && d.a.opts.Owner == h.ID() {
		d.a = nil
	}
}

func (s *sim) run() {
	for s.elapsed = 0; s.elapsed < s.length+time.Minute; s.elapsed += s.step {
		s.now = s.now.Add(s.step)
		next := s.nextStep
		s.nextStep = nil
		for _, f := range next {
			f()
		}
		for _, f := range []func(*sim, time.Duration){s.faults, s.deaths} {
			if f != nil {
				f(s, s.elapsed)
			}
		}
		s.advance()
		if s.elapsed%time.Second == 0 {
			s.sync()
		}
		if s.elapsed == time.Minute {
			s.writes, s.reads = 0, 0 // leave out the simultaneous start of all allocators
		}
		if s.strandedAt > 0 && s.elapsed == s.strandedAt {
			s.measure()
		}
		for i, d := range s.simDomains {
			if s.elapsed > time.Second && s.elapsed < s.length {
				for p := s.rate(i, s.elapsed) * s.step.Seconds(); p > 0; p-- {
					if s.rng.Float64() < p {
						s.arrive(d)
					}
				}
			}
			if d.a != nil {
				d.a.Tick(s.now)
				s.applyOutput(d)
			}
		}
	}
	s.measure()
}

// measure sets the overspend, and once the stranded tokens, from the record and
// the use of the requests.
func (s *sim) measure() {
	rec, err := Unmarshal(s.value)
	if err != nil {
		panic(err)
	}
	b := rec.Budgets[testBudget]
	s.overspend = max(0, s.used-s.prepaid, b.Spent-s.prepaid)
	if s.measured {
		return
	}
	s.measured = true
	s.stranded = b.Granted() - s.reserved
	for _, d := range s.simDomains {
		if d.a != nil && d.a.pools[testBudget] != nil {
			p := d.a.pools[testBudget]
			s.stranded -= p.free() + p.pending + p.uncleared + p.returning
		}
	}
}
