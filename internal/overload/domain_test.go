package overload

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The domain of the tests: daemons with links of linkMbps, requests of 3.3 KB with responses of 2 KB.
const (
	daemonCount = 22
	linkMbps    = 10
	wideMbps    = 200
	bodyBytes   = 3300
	answerBytes = 2000
	objective   = 400 * time.Millisecond
	timeLimit   = time.Second
	playTime    = 40 * time.Second
)

// pipe is one direction of a link: a queue that drains at its rate.
type pipe struct {
	free time.Time
	mbps float64
}

// send returns when bytes that are sent now have arrived.
func (p *pipe) send(now time.Time, bytes int) time.Time {
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes*8) / p.mbps * float64(time.Microsecond)))
	return p.free
}

type daemon struct {
	in, out  pipe
	link     *Link
	received int64
	// misses are the readiness checks failed in a row; out of rotation from the second.
	misses  int
	changes int
}

// event is a step of a request or of the distribution of connections.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// domain is a failure domain whose callers' connections are distributed by a hash.
type domain struct {
	events  events
	daemons []*daemon
	// digests is what the daemons know of each other's links.
	digests Peers
	rand    *rand.Rand
	// inTime counts the requests served within the objective, served those of each second.
	inTime, asked int
	served        [int(playTime / time.Second)]int
}

func (d *domain) at(t time.Time, do func(time.Time)) { heap.Push(&d.events, event{t, do}) }

// request sends a request to the first daemon in rotation of the caller's order, and once more if that
// refuses, when it says. As measured, the hash sends it to the same daemon while that is in rotation.
func (d *domain) request(now time.Time, order []int) {
	d.asked++
	var try func(now time.Time, attempt int)
	try = func(sent time.Time, attempt int) {
		r := Request{Body: bodyBytes, Answer: answerBytes, Urgency: 1}
		d.send(sent, d.pick(order), r, func(back time.Time, dec Decision) {
			if dec.Admitted && back.Sub(now) <= objective {
				d.inTime++
				d.served[now.Unix()]++
			}
			if !dec.Admitted && attempt == 0 {
				d.at(back.Add(min(dec.RetryAfter, timeLimit/3)), func(again time.Time) { try(again, 1) })
			}
		})
	}
	try(now, 0)
}

// send sends a request to a daemon and calls ended when the caller has its response. Callers who get no
// connection for the time limit give up.
func (d *domain) send(now time.Time, target *daemon, r Request, ended func(time.Time, Decision)) {
	if target.in.free.Sub(now) > timeLimit {
		return
	}
	d.at(target.in.send(now, bodyBytes), func(arrived time.Time) {
		target.received += bodyBytes
		target.link.Observe(arrived, Traffic{CallersIn: target.received})
		dec := target.link.Admit(arrived, r)
		if !dec.Admitted {
			ended(arrived, dec)
			return
		}
		d.at(target.out.send(arrived, bodyBytes).Add(50*time.Millisecond), func(run time.Time) {
			d.at(target.in.send(run, answerBytes), func(back time.Time) {
				ended(target.out.send(back, answerBytes), dec)
			})
		})
	})
}

// pick returns the first daemon in rotation, or the first one if fewer than half are in rotation.
func (d *domain) pick(order []int) *daemon {
	ready := 0
	for _, daemon := range d.daemons {
		if daemon.misses < 2 {
			ready++
		}
	}
	for _, i := range order {
		if d.daemons[i].misses < 2 || 2*ready < daemonCount {
			return d.daemons[i]
		}
	}
	panic("no order")
}

// tick updates the daemons' states. Once a second it checks their readiness and tells them what their
// peers know of each other then.
func (d *domain) tick(now time.Time, n int) {
	if n%5 == 0 {
		d.digests = d.digests[:0]
		for _, daemon := range d.daemons {
			d.digests = append(d.digests, Peer{
				Overloaded: daemon.link.Overloaded(), Demand: daemon.link.Demand(), Free: daemon.link.Free(),
			})
		}
	}
	for i, daemon := range d.daemons {
		daemon.link.Observe(now, Traffic{CallersIn: daemon.received})
		peers := append(slices.Clone(d.digests[:i]), d.digests[i+1:]...)
		if daemon.link.Update(now, peers) {
			daemon.changes++
		}
		if daemon.link.Overloaded() && n%5 == 0 {
			daemon.misses++
		} else if !daemon.link.Overloaded() {
			daemon.misses = 0
		}
	}
	d.at(now.Add(200*time.Millisecond), func(now time.Time) { d.tick(now, n+1) })
}

// newDomain returns a domain whose first wide daemons have a link of wideMbps. Without limited, the
// daemons refuse nothing.
func newDomain(seed uint64, wide int, limited bool) *domain {
	d := &domain{rand: rand.New(rand.NewPCG(seed, 2))}
	for i := range daemonCount {
		mbps := float64(linkMbps)
		if i < wide {
			mbps = wideMbps
		}
		d.daemons = append(d.daemons, &daemon{in: pipe{mbps: mbps}, out: pipe{mbps: mbps}, link: New(0)})
		if limited {
			d.daemons[i].link = New(mbps)
		}
	}
	return d
}

// callers adds n callers with so many requests a second together. If first isn't negative, that daemon is
// the first in the order of all of them.
func (d *domain) callers(n, first int, perSecond func(time.Time) float64) {
	for range n {
		order := d.rand.Perm(daemonCount)
		if first >= 0 {
			order = append([]int{first}, order...)
		}
		var next func(time.Time)
		next = func(now time.Time) {
			d.request(now, order)
			wait := time.Duration(d.rand.ExpFloat64() * float64(n) / perSecond(now) * float64(time.Second))
			d.at(now.Add(wait), next)
		}
		d.at(time.Unix(0, 0).Add(time.Duration(d.rand.Int64N(int64(time.Second)))), next)
	}
}

// run plays the domain until the given time after the start.
func (d *domain) run(until time.Duration) {
	d.at(time.Unix(0, 0), func(now time.Time) { d.tick(now, 0) })
	for len(d.events) > 0 && d.events[0].at.Before(time.Unix(0, 0).Add(until)) {
		e := heap.Pop(&d.events).(event)
		e.do(e.at)
	}
}

// play plays callers of whom hot ones have the same daemon first in their order, with perSecond requests
// a second together, and as many requests of other callers.
func play(seed uint64, hot int, perSecond float64, wide int, limited bool) *domain {
	d := newDomain(seed, wide, limited)
	steady := func(time.Time) float64 { return perSecond }
	d.callers(hot, 7, steady)
	d.callers(100, -1, steady)
	d.run(playTime)
	return d
}

// share returns the share of the requests that were served in time.
func (d *domain) share() float64 { return float64(d.inTime) / float64(d.asked) }

// perSecondFor returns the requests a second that ask for the given multiple of one link.
func perSecondFor(links float64) float64 {
	return links * linkMbps * 1e6 / 8 / (bodyBytes + answerBytes)
}

// Guards against a daemon that gets three times what its link carries, half of its failure domain's
// demand, and serves none of it, and against overloading one daemon after the other instead.
func TestDomainServesWhatOneDaemonGetsTooMuchOf(t *testing.T) {
	former, now := play(1, 40, perSecondFor(3), 0, false), play(1, 40, perSecondFor(3), 0, true)
	t.Logf("served in time: %.3f formerly, %.3f now", former.share(), now.share())
	if now.share() < 0.95 || now.share() < former.share() {
		t.Errorf("%.3f of the requests were served in time, formerly %.3f, want at least 0.95", now.share(), former.share())
	}
	changes := 0
	for _, daemon := range now.daemons {
		changes += daemon.changes
	}
	// The daemon may try once in that time whether its callers fit again.
	if changes > 4 {
		t.Errorf("readiness changed %d times in %v, want at most 6", changes, playTime)
	}
}

// Guards against a burst whose refused requests come again and keep the links full after it: five times
// the usual requests for 2 s, which are half more than the links of the whole failure domain carry.
func TestBurstLeavesNoOverload(t *testing.T) {
	const usualLinks, burstAt, burstTime, recovery = 0.3 * daemonCount, 10, 2, 3
	for _, limited := range []bool{false, true} {
		d := newDomain(1, 0, limited)
		d.callers(200, -1, func(now time.Time) float64 {
			if s := now.Unix(); s >= burstAt && s < burstAt+burstTime {
				return 5 * perSecondFor(usualLinks)
			}
			return perSecondFor(usualLinks)
		})
		d.run(playTime)
		t.Logf("limited %v: served in time by second: %v", limited, d.served)
		usual := perSecondFor(usualLinks)
		for s := burstAt + burstTime + recovery; limited && s < len(d.served)-1; s++ {
			if float64(d.served[s]) < 0.95*0.95*usual {
				t.Errorf("%d requests served in time in second %d, usually %.0f", d.served[s], s, usual)
			}
		}
	}
}

// Guards against leaving one caller, who alone asks more than most links carry, with a daemon that does
// not carry it while another one does, and against making it much worse where none does or where both
// come late in the order in which the hash tries the daemons.
func TestOneCallerThatFewLinksCarry(t *testing.T) {
	const seeds = 6
	for wide, gain := range map[int]float64{2: 0.1, 0: -0.03} {
		var former, now float64
		for seed := range uint64(seeds) {
			former += play(seed, 1, perSecondFor(3), wide, false).share() / seeds
			now += play(seed, 1, perSecondFor(3), wide, true).share() / seeds
		}
		t.Logf("%d wide links: served in time: %.3f formerly, %.3f now", wide, former, now)
		if now < former+gain {
			t.Errorf("%d wide links: %.3f of the requests were served in time, formerly %.3f", wide, now, former)
		}
	}
}

// Guards against refusing anything where the link is wide or its bandwidth unknown.
func TestWideLinkRefusesNothing(t *testing.T) {
	for _, mbps := range []float64{0, 1000} {
		l, now := New(mbps), time.Unix(0, 0)
		for i := range 20000 {
			now = now.Add(500 * time.Microsecond)
			l.Observe(now, Traffic{CallersIn: int64(i * bodyBytes), ControlIn: int64(i * 100)})
			if d := l.Admit(now, Request{Body: bodyBytes, Answer: answerBytes}); !d.Admitted || d.Close || l.Update(now, make(Peers, 20)) {
				t.Fatalf("%v Mbit/s: decision %+v at request %d", mbps, d, i)
			}
		}
	}
}

// Guards against refusing urgent or small requests while large ones of low urgency are admitted.
func TestUrgentAndSmallRequestsFirst(t *testing.T) {
	admitted := func(r Request) (n int) {
		l, now := New(linkMbps), time.Unix(0, 0)
		for l.Admit(now, r).Admitted {
			n++
		}
		return n
	}
	low, urgent := admitted(Request{Body: 3000, Answer: 2000}), admitted(Request{Body: 3000, Answer: 2000, Urgency: 1})
	if large := admitted(Request{Body: 12000, Answer: 4000}); low >= urgent || large >= low {
		t.Errorf("admitted at once: %d of low urgency, %d urgent, %d large", low, urgent, large)
	}
}

// Guards against one caller who turns a daemon's other callers away by announcing a large body.
func TestOneLargeBodyIsNoOverload(t *testing.T) {
	l, now := New(10), time.Now()
	l.Update(now, make(Peers, 18))
	l.Admit(now, Request{Body: 1 << 20, Answer: 3000})
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		if l.Update(now, make(Peers, 18)) {
			t.Fatalf("overloaded by one request: %+v", l.State())
		}
	}
}

// Guards against a large request that is refused although little is asked of the link, and against small
// ones that are refused because of it.
func TestLargeRequestOnAQuietLink(t *testing.T) {
	l, now := New(10), time.Now()
	for i := range 50 {
		now = now.Add(100 * time.Millisecond)
		body := int64(800)
		if i%10 == 5 {
			body = 70_000
		}
		for range 2 {
			if d := l.Admit(now, Request{Body: body, Answer: 3000}); !d.Admitted {
				t.Fatalf("request %d with %d bytes refused: %+v", i, body, l.State())
			}
		}
	}
}
