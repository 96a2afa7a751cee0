package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// pauseLoad is a service under load in virtual time. Endpoints refuse requests beyond their
// slots, and all requests while they hold off, for which they ask for a pause.
type pauseLoad struct {
	daemons, endpoints, slots int
	work, pause               time.Duration
	// rate is the number of requests a second at a moment.
	rate func(at time.Duration) float64
	// holdsOff reports whether an endpoint refuses all requests.
	holdsOff func(endpoint int, at time.Duration) bool
	length   time.Duration
	// heed is false for daemons that ignore what endpoints announce.
	heed bool
}

// pauseResult is what callers and endpoints saw.
type pauseResult struct {
	served, refusedAtOnce, refusedLate outcomes
	// refusals is the number of requests that endpoints refused, mostInPause the most that
	// one daemon sent to one endpoint from 0.5 s after a refusal to the end of its pause.
	refusals, mostInPause int
}

// outcomes counts requests by the step of time in which they ended.
type outcomes map[time.Duration]int

const step = 100 * time.Millisecond

func (o outcomes) add(at time.Duration) { o[at.Truncate(step)]++ }

// between returns the number of requests that ended in a span.
func (o outcomes) between(from, to time.Duration) int {
	n := 0
	for at := from; at < to; at += step {
		n += o[at]
	}
	return n
}

// event is something that happens at a moment of the load.
type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

const (
	// hop is the time of a message between a daemon and an endpoint.
	hop = time.Millisecond
	// maxTries is the number of endpoints that a request is sent to.
	maxTries = 4
	// pauseGrace is the time after a refusal in which requests under way may arrive.
	pauseGrace = 500 * time.Millisecond
)

// pairKey is a daemon and an endpoint.
type pairKey struct{ daemon, endpoint int }

// pausePeriod is the last pause that an endpoint asked a daemon for, and the number of
// requests in it.
type pausePeriod struct {
	from, until time.Duration
	arrivals    int
}

// pausePlay is a play of a pauseLoad.
type pausePlay struct {
	pauseLoad
	pools   []*Pool
	running []int
	periods map[pairKey]*pausePeriod
	queue   eventQueue
	now     time.Duration
	random  *rand.Rand
	result  pauseResult
}

func (l pauseLoad) play() pauseResult {
	s := &pausePlay{
		pauseLoad: l, running: make([]int, l.endpoints), periods: make(map[pairKey]*pausePeriod),
		random: rand.New(rand.NewPCG(27, 28)), result: pauseResult{served: outcomes{}, refusedAtOnce: outcomes{}, refusedLate: outcomes{}},
	}
	for d := range l.daemons {
		p := New(Options{Domain: fmt.Sprint("z", d%3)})
		p.SetDaemons(l.daemons)
		for i := range l.endpoints {
			p.Put(Endpoint{ID: fmt.Sprint(i), Domain: fmt.Sprint("z", i%3), Slots: l.slots})
		}
		s.pools = append(s.pools, p)
	}
	s.after(0, s.arrive)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *pausePlay) after(d time.Duration, run func()) {
	heap.Push(&s.queue, event{at: s.now + d, run: run})
}

func (s *pausePlay) arrive() {
	if s.now >= s.length {
		return
	}
	s.send(s.random.IntN(s.daemons), make(map[string]bool))
	s.after(time.Duration(s.random.ExpFloat64()/s.rate(s.now)*float64(time.Second)), s.arrive)
}

// send lets a daemon send a request to an endpoint that it has not tried.
func (s *pausePlay) send(daemon int, tried map[string]bool) {
	if len(tried) == maxTries {
		s.result.refusedLate.add(s.now)
		return
	}
	c, ok := s.pools[daemon].Choose(start.Add(s.now), Request{Tried: tried})
	if !ok && len(tried) == 0 {
		s.result.refusedAtOnce.add(s.now)
		return
	}
	if !ok {
		s.result.refusedLate.add(s.now)
		return
	}
	tried[c.ID] = true
	s.after(hop, func() { s.reach(daemon, c, tried) })
}

// reach lets a request arrive at an endpoint.
func (s *pausePlay) reach(daemon int, c Choice, tried map[string]bool) {
	var endpoint int
	_, _ = fmt.Sscan(c.ID, &endpoint)
	pair := pairKey{daemon, endpoint}
	if period := s.periods[pair]; period != nil && s.now > period.from+pauseGrace && s.now < period.until {
		period.arrivals++
		s.result.mostInPause = max(s.result.mostInPause, period.arrivals)
	}
	holdsOff := s.holdsOff(endpoint, s.now)
	if s.running[endpoint] < s.slots && !holdsOff {
		s.running[endpoint]++
		s.after(s.work, func() {
			s.running[endpoint]--
			s.pools[daemon].Done(c, true)
			s.result.served.add(s.now)
		})
		return
	}
	s.result.refusals++
	if period := s.periods[pair]; holdsOff && (period == nil || s.now >= period.until) {
		s.periods[pair] = &pausePeriod{from: s.now, until: s.now + s.pause}
	}
	s.after(hop, func() {
		s.pools[daemon].Done(c, false)
		if s.heed && holdsOff {
			s.pools[daemon].RecordAnnouncement(start.Add(s.now), c.Endpoint, Announcement{RetryAfter: s.pause})
		}
		s.send(daemon, tried)
	})
}

// recovery returns the time after from until the answers of a second reach 95 % of want.
func (r pauseResult) recovery(from time.Duration, want float64) time.Duration {
	d := time.Duration(0)
	for float64(r.served.between(from+d, from+d+time.Second)) < 0.95*want && d < time.Minute {
		d += step
	}
	return d
}

// Guards against requests that are sent on to endpoints that said that they want none, while
// half and then all endpoints of a service hold off under 1.5 times its capacity: the
// others got fewer than they can serve, callers were refused late, and the endpoints had to
// refuse each request. Guards as well against a service that stays below its load after the
// endpoints accept requests again.
func TestPausesOfAnOverloadedService(t *testing.T) {
	const (
		capacity = 12 * 8 / 0.1 // requests a second
		usual    = 0.7 * capacity
		half     = 3 * time.Second
		all      = 6 * time.Second
		again    = 9 * time.Second
	)
	load := pauseLoad{
		daemons: 7, endpoints: 12, slots: 8, work: 100 * time.Millisecond, pause: 1500 * time.Millisecond, length: 16 * time.Second,
		rate: func(at time.Duration) float64 {
			if at > 2*time.Second && at < again {
				return 1.5 * capacity
			}
			return usual
		},
		holdsOff: func(endpoint int, at time.Duration) bool {
			return at > half && at < again && (endpoint%2 == 0 || at > all)
		},
	}
	former := load.play()
	load.heed = true
	now := load.play()
	for _, r := range []pauseResult{former, now} {
		t.Logf("%d served, %d refused at once, %d late, %d refusals by endpoints, at most %d requests in a pause, "+
			"95 %% of the load %v after the pauses", r.served.between(0, load.length), r.refusedAtOnce.between(0, load.length),
			r.refusedLate.between(0, load.length), r.refusals, r.mostInPause, r.recovery(again, usual))
	}
	if now.mostInPause > 2 || former.mostInPause <= 2 {
		t.Errorf("%d requests in a pause, %d before; want at most 2, and more before", now.mostInPause, former.mostInPause)
	}
	left := capacity / 2 * (all - half).Seconds()
	if n := now.served.between(half, all); float64(n) < 0.9*left || n <= former.served.between(half, all) {
		t.Errorf("%d requests served while half of the endpoints hold off, %d before; want 90 %% of %v and more than before",
			n, former.served.between(half, all), left)
	}
	if late, atOnce := now.refusedLate.between(all+time.Second, again), now.refusedAtOnce.between(all+time.Second, again); late*50 > atOnce {
		t.Errorf("%d requests refused late and %d at once while all endpoints hold off, want 2 %% at most", late, atOnce)
	}
	if now, before := now.served.between(0, load.length), former.served.between(0, load.length); now < before {
		t.Errorf("%d requests served, %d before", now, before)
	}
	if d := now.recovery(again, usual); d > load.pause+returnTime {
		t.Errorf("95 %% of the load is served %v after all endpoints accept requests again, want %v at most", d, load.pause+returnTime)
	}
}

// Guards against a bound that holds for a few busy daemons only: here are 300, with 5 requests
// a second each.
func TestPausesInAWideFleet(t *testing.T) {
	load := pauseLoad{
		daemons: 300, endpoints: 40, slots: 6, work: 100 * time.Millisecond, pause: 2 * time.Second, length: 8 * time.Second,
		rate: func(time.Duration) float64 { return 300 * 5 },
		holdsOff: func(endpoint int, at time.Duration) bool {
			return endpoint%2 == 0 && at > time.Second && at < 6*time.Second
		},
		heed: true,
	}
	r := load.play()
	t.Logf("%d served, %d refused at once, %d late, %d refusals by endpoints", r.served.between(0, load.length),
		r.refusedAtOnce.between(0, load.length), r.refusedLate.between(0, load.length), r.refusals)
	if r.mostInPause > 2 || r.refusals == 0 {
		t.Errorf("%d requests in a pause after %d refusals, want at most 2", r.mostInPause, r.refusals)
	}
}
