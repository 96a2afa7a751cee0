package lease

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of rapid's test cases; flags on the
// command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// rig simulates several holders of one duty and a store in virtual time.
type rig struct {
	now     time.Time
	store   *memstore.Store
	holders []*participant
	queue   []task
	seq     int
	// delay returns the transit time of the next call or response, and lose
	// reports whether the next response is lost.
	delay    func() time.Duration
	lose     func() bool
	failures []string
	// lastFence is the fencing token of the last holder that became Held, and
	// lastHolder that holder.
	lastFence  platform.Revision
	lastHolder *participant
}

type participant struct {
	*Holder
	pausedUntil time.Time
	// clockRate is the speed of the daemon's clock relative to the store's.
	clockRate float64
}

type task struct {
	at  time.Time
	seq int
	run func()
}

func newRig(n int, rules disabledRules) *rig {
	r := &rig{
		now: time.Unix(1000, 0), delay: func() time.Duration { return 5 * time.Millisecond },
		lose: func() bool { return false },
	}
	r.store = memstore.New(func() time.Time { return r.now })
	for i := range n {
		h := New(Options{Duty: "orders-chat", Owner: fmt.Sprintf("i-%d", i)})
		h.disabled = rules
		h.SetCandidate(r.now, true)
		r.holders = append(r.holders, &participant{Holder: h, clockRate: 1})
	}
	return r
}

func (r *rig) localTime(p *participant) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(r.now.Sub(time.Unix(1000, 0))) * p.clockRate))
}

func (r *rig) schedule(d time.Duration, f func()) {
	r.seq++
	r.queue = append(r.queue, task{r.now.Add(d), r.seq, f})
	sort.Slice(r.queue, func(i, j int) bool {
		return r.queue[i].at.Before(r.queue[j].at) || r.queue[i].at.Equal(r.queue[j].at) && r.queue[i].seq < r.queue[j].seq
	})
}

// execute makes the calls: each reaches the store after a delay, and its
// response reaches the holder after another delay or is lost.
func (r *rig) execute(p *participant, o Output) {
	for _, e := range o.Events {
		if e.State == Held {
			if e.Fence < r.lastFence || e.Fence == r.lastFence && p != r.lastHolder {
				r.failures = append(r.failures, fmt.Sprintf("fencing token %d after %d", e.Fence, r.lastFence))
			}
			r.lastFence, r.lastHolder = e.Fence, p
		}
	}
	for _, c := range o.Calls {
		r.schedule(r.delay(), func() {
			resp := r.serve(c)
			if !r.lose() {
				r.schedule(r.delay(), func() { r.deliverResponse(p, resp) })
			}
		})
	}
}

func (r *rig) deliverResponse(p *participant, resp Response) {
	if r.now.Before(p.pausedUntil) {
		r.schedule(p.pausedUntil.Sub(r.now), func() { r.deliverResponse(p, resp) })
		return
	}
	r.execute(p, p.Step(r.localTime(p), resp))
}

func (r *rig) serve(c Call) Response {
	ctx, resp := context.Background(), Response{ID: c.ID}
	switch c.Kind {
	case Read:
		resp.Item, resp.Err = r.store.Get(ctx, c.Key)
	case Grant:
		resp.Lease, resp.Err = r.store.GrantLease(ctx, c.TTL)
	case Create:
		resp.Item, resp.Err = r.store.CompareAndSwap(ctx, c.Write)
	case KeepAlive:
		resp.Err = r.store.KeepAlive(ctx, c.Lease)
	case Revoke:
		resp.Err = r.store.Revoke(ctx, c.Lease)
	}
	return resp
}

// run advances the time in steps of 100 ms and checks after each that at most
// one holder may act.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(100 * time.Millisecond) {
		for len(r.queue) > 0 && !r.queue[0].at.After(r.now) {
			t := r.queue[0]
			r.queue = r.queue[1:]
			t.run()
		}
		for _, p := range r.holders {
			if !r.now.Before(p.pausedUntil) {
				r.execute(p, p.Tick(r.localTime(p)))
			}
		}
		if n := len(r.activeHolders()); n > 1 {
			r.failures = append(r.failures, fmt.Sprintf("%d holders may act at once", n))
		}
	}
}

func (r *rig) activeHolders() []*participant {
	var acting []*participant
	for _, p := range r.holders {
		if _, _, ok := p.Fence(r.localTime(p)); ok {
			acting = append(acting, p)
		}
	}
	return acting
}

// runHistory draws pauses, outages, lost responses and clock rates, then ends all
// faults and expects exactly one holder. It returns the violations.
func runHistory(t *rapid.T) []string {
	r := newRig(3, disabledRules{})
	slow := rapid.IntRange(1, 4000).Draw(t, "delay")
	rng := rapid.Uint64().Draw(t, "rng")
	next := func(n int) int {
		rng = rng*6364136223846793005 + 1442695040888963407
		return int(rng >> 33 % uint64(n))
	}
	r.delay = func() time.Duration { return time.Duration(next(slow)) * time.Millisecond }
	r.lose = func() bool { return next(10) == 0 }
	for _, p := range r.holders {
		p.clockRate = rapid.SampledFrom([]float64{1, 0.9, 1.1}).Draw(t, "rate")
	}
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		p := rapid.SampledFrom(r.holders).Draw(t, "holder")
		switch rapid.IntRange(0, 4).Draw(t, "fault") {
		case 0:
			p.pausedUntil = r.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * time.Second)
		case 1:
			r.store.SetFaults(memstore.Faults{Outage: rapid.Bool().Draw(t, "outage")})
		case 2:
			r.store.SetFaults(memstore.Faults{LoseAnswers: rapid.IntRange(1, 3).Draw(t, "lost")})
		case 3:
			r.execute(p, p.SetCandidate(r.localTime(p), false))
			r.execute(p, p.SetCandidate(r.localTime(p), true))
		}
		r.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "wait")) * time.Second)
	}
	r.store.SetFaults(memstore.Faults{})
	r.delay, r.lose = func() time.Duration { return time.Millisecond }, func() bool { return false }
	r.run(90 * time.Second)
	if len(r.activeHolders()) != 1 {
		r.failures = append(r.failures, fmt.Sprintf("%d holders after the faults ended", len(r.activeHolders())))
	}
	return r.failures
}

// TestLeaseHistories guards against two holders that may act at once, a
// fencing token that decreases, and a duty that nobody takes after faults end.
func TestLeaseHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if f := runHistory(t); len(f) > 0 {
			t.Fatalf("%d failures, the first: %s", len(f), f[0])
		}
	})
}

// TestLeaseRules runs one history for each rule: it must show no violation, and
// must show one when the rule is disabled.
func TestLeaseRules(t *testing.T) {
	pause := func(rules disabledRules) []string {
		r := newRig(2, rules)
		r.run(10 * time.Second)
		r.activeHolders()[0].pausedUntil = r.now.Add(40 * time.Second)
		r.run(40 * time.Second)
		// The paused holder resumes and calls Fence before Tick.
		if n := len(r.activeHolders()); n > 1 {
			r.failures = append(r.failures, fmt.Sprintf("%d holders may act at once", n))
		}
		r.run(time.Minute)
		return r.failures
	}
	lateResponse := func(rules disabledRules) []string {
		r := newRig(2, rules)
		r.run(10 * time.Second)
		holder := r.activeHolders()[0]
		// The response to a call waits in the socket buffer of a paused daemon.
		r.execute(holder, holder.Tick(r.localTime(holder)))
		holder.nextCallAt = time.Time{}
		r.execute(holder, holder.Tick(r.localTime(holder)))
		holder.pausedUntil = r.now.Add(18 * time.Second)
		r.run(40 * time.Second)
		return r.failures
	}
	for name, c := range map[string]struct {
		disabled disabledRules
		run      func(disabledRules) []string
	}{
		"a paused holder refuses to act":      {disabledRules{actWhenUncertain: true}, pause},
		"the lease counts from the call sent": {disabledRules{ttlFromResponse: true}, lateResponse},
	} {
		t.Run(name, func(t *testing.T) {
			if f := c.run(disabledRules{}); len(f) > 0 {
				t.Errorf("failures: %v", f[0])
			}
			if f := c.run(c.disabled); len(f) == 0 {
				t.Error("the checks found no failure with the rule disabled")
			}
		})
	}
}
