package order

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/lease"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// fakeEndpoint loads versions and records the orders that it applied.
type fakeEndpoint struct {
	Observed
	highestFence platform.Revision
	applied      []Order
	loadedAt     time.Time
	pending      *Order
	loadTime     time.Duration
	refuseAll    bool
}

type task struct {
	at  time.Time
	seq int
	run func()
}

type daemon struct {
	holder      *lease.Holder
	controller  *Controller
	pausedUntil time.Time
}

// rig simulates daemons that compete for the duty of one service, a store and
// endpoints in virtual time.
type rig struct {
	start, now time.Time
	store      *memstore.Store
	daemons    []*daemon
	endpoints  []*fakeEndpoint
	queue      []task
	seq        int
	random     uint64
	// sendDelay is the longest transit time of an order, and losePercent the
	// percentage of lost answers.
	sendDelay   time.Duration
	losePercent int
	// allowLate is true if orders may arrive after unknownOutcomeWait.
	allowLate      bool
	badVersions    map[string]bool
	reportLag      time.Duration
	reportHistory  [][]Observed
	maxUnavailable int
	failures       []string
	loadTimes      []time.Time
	recorded       map[uint64]Order
}

func newRig(seed uint64, endpoints int, fences func(int) bool, rules disabledRules) *rig {
	r := &rig{
		start: time.Unix(5000, 0), now: time.Unix(5000, 0), random: seed,
		sendDelay: 50 * time.Millisecond, reportLag: 2 * time.Second,
		badVersions: map[string]bool{}, recorded: map[uint64]Order{},
	}
	r.store = memstore.New(func() time.Time { return r.now })
	for i := range endpoints {
		r.endpoints = append(r.endpoints, &fakeEndpoint{loadTime: 8 * time.Second, Observed: Observed{
			Endpoint: fmt.Sprintf("e%02d", i), Model: "m", Version: "1", Healthy: true, ChecksFencing: fences(i),
		}})
	}
	for i := range 2 {
		owner := fmt.Sprintf("d%d", i)
		m := &daemon{
			holder:     lease.New(lease.Options{Duty: DutyPrefix + "chat", Owner: owner}),
			controller: NewController(owner, "chat"),
		}
		m.controller.disabled = rules
		m.holder.SetCandidate(r.now, true)
		r.daemons = append(r.daemons, m)
	}
	return r
}

func (r *rig) setDesired(d Desired) {
	d.Service, d.Model = "chat", "m"
	for _, m := range r.daemons {
		m.controller.SetDesired(d)
	}
}

func (r *rig) rand(n int) int {
	r.random = r.random*6364136223846793005 + 1442695040888963407
	return int(r.random >> 33 % uint64(n))
}

func (r *rig) addFailure(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf("%s: ", r.now.Sub(r.start))+fmt.Sprintf(format, args...))
}

func (r *rig) schedule(d time.Duration, f func()) {
	r.seq++
	r.queue = append(r.queue, task{r.now.Add(d), r.seq, f})
	sort.Slice(r.queue, func(i, j int) bool {
		return r.queue[i].at.Before(r.queue[j].at) ||
			r.queue[i].at.Equal(r.queue[j].at) && r.queue[i].seq < r.queue[j].seq
	})
}

// whenRunning runs f as soon as m is not paused.
func (r *rig) whenRunning(m *daemon, f func()) {
	if r.now.Before(m.pausedUntil) {
		r.schedule(m.pausedUntil.Sub(r.now), func() { r.whenRunning(m, f) })
		return
	}
	f()
}

func (r *rig) executeLease(m *daemon, o lease.Output) {
	for _, c := range o.Calls {
		resp := lease.Response{ID: c.ID}
		ctx := context.Background()
		switch c.Kind {
		case lease.Read:
			resp.Item, resp.Err = r.store.Get(ctx, c.Key)
		case lease.Grant:
			resp.Lease, resp.Err = r.store.GrantLease(ctx, c.TTL)
		case lease.Create:
			resp.Item, resp.Err = r.store.CompareAndSwap(ctx, c.Write)
		case lease.KeepAlive:
			resp.Err = r.store.KeepAlive(ctx, c.Lease)
		case lease.Revoke:
			resp.Err = r.store.Revoke(ctx, c.Lease)
		}
		r.schedule(10*time.Millisecond, func() {
			r.whenRunning(m, func() { r.executeLease(m, m.holder.Step(r.now, resp)) })
		})
	}
}

func (r *rig) execute(m *daemon, o Output) {
	if o.Read != "" {
		item, err := r.store.Get(context.Background(), o.Read)
		r.schedule(10*time.Millisecond, func() {
			r.whenRunning(m, func() { r.execute(m, m.controller.HandleRead(item, err)) })
		})
	}
	if w := o.Write; w != nil {
		r.schedule(time.Duration(r.rand(40))*time.Millisecond, func() { r.serveWrite(m, *w) })
	}
	for _, s := range o.Sends {
		r.schedule(0, func() { r.whenRunning(m, func() { r.send(m, s) }) })
	}
	if o.Renew {
		r.executeLease(m, m.holder.SetCandidate(r.now, false))
		r.executeLease(m, m.holder.SetCandidate(r.now, true))
	}
}

func (r *rig) serveWrite(m *daemon, w platform.Write) {
	item, err := r.store.CompareAndSwap(context.Background(), w)
	if stored, e := r.store.Get(context.Background(), w.Key); e == nil {
		record, e := Unmarshal(stored.Value)
		if e != nil {
			r.addFailure("%v", e)
			return
		}
		for _, o := range record.Orders {
			if old, ok := r.recorded[o.ID]; ok && (old.Endpoint != o.Endpoint || old.Action != o.Action) {
				r.addFailure("the content of order %d changed", o.ID)
			}
			r.recorded[o.ID] = o
		}
	}
	if r.rand(100) < r.losePercent {
		return
	}
	r.schedule(10*time.Millisecond, func() {
		r.whenRunning(m, func() { r.execute(m, m.controller.HandleWrite(r.now, w.OpID, item, err)) })
	})
}

// send checks the duty as package orders does and delivers the order after a
// delay.
func (r *rig) send(m *daemon, s Send) {
	fence, _, ok := m.holder.Fence(r.now)
	if !ok || fence != s.Order.Fence || r.now.After(s.NotAfter) {
		r.execute(m, m.controller.HandleSend(s.Order.ID, ResultUnsent))
		return
	}
	delay := time.Duration(r.rand(int(r.sendDelay/time.Millisecond))) * time.Millisecond
	r.schedule(delay, func() {
		result := r.deliver(s.Order)
		if delay > s.Timeout || r.rand(100) < r.losePercent {
			result = ResultUnknown
		}
		r.whenRunning(m, func() { r.execute(m, m.controller.HandleSend(s.Order.ID, result)) })
	})
	if delay > s.Timeout {
		r.schedule(s.Timeout, func() {
			r.whenRunning(m, func() { r.execute(m, m.controller.HandleSend(s.Order.ID, ResultUnknown)) })
		})
	}
}

// deliver applies an order at its endpoint and checks the invariants.
func (r *rig) deliver(o Order) Result {
	for _, e := range r.endpoints {
		if e.Endpoint != o.Endpoint {
			continue
		}
		if e.refuseAll {
			return ResultFailed
		}
		if e.ChecksFencing && o.Fence < e.highestFence {
			return ResultRefused
		}
		e.highestFence = max(e.highestFence, o.Fence)
		if old, ok := r.recorded[o.ID]; !ok || old.Endpoint != o.Endpoint || old.Action != o.Action {
			r.addFailure("order %d was sent to %s without a recorded intent", o.ID, o.Endpoint)
		}
		for _, a := range e.applied {
			if a.ID == o.ID {
				r.addFailure("order %d was applied twice at %s", o.ID, e.Endpoint)
			}
		}
		// Unless a send is delayed beyond unknownOutcomeWait, orders arrive in
		// the order of their IDs at endpoints that ignore fencing tokens too.
		if n := len(e.applied); n > 0 && e.applied[n-1].ID > o.ID && (e.ChecksFencing || !r.allowLate) {
			r.addFailure("order %d was applied after order %d at %s", o.ID, e.applied[n-1].ID, e.Endpoint)
		}
		e.applied = append(e.applied, o)
		r.loadTimes = append(r.loadTimes, r.now)
		e.pending, e.loadedAt, e.Healthy = &o, r.now.Add(e.loadTime), false
		return ResultAccepted
	}
	return ResultFailed
}

// run advances the time in steps of 250 ms.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(250 * time.Millisecond) {
		for len(r.queue) > 0 && !r.queue[0].at.After(r.now) {
			t := r.queue[0]
			r.queue = r.queue[1:]
			t.run()
		}
		r.stepEndpoints()
		if r.now.Sub(r.start)%time.Second != 0 {
			continue
		}
		for _, m := range r.daemons {
			if r.now.Before(m.pausedUntil) {
				continue
			}
			m.controller.SetObserved(
				r.reportHistory[max(0, len(r.reportHistory)-1-int(r.reportLag/(250*time.Millisecond)))])
			r.executeLease(m, m.holder.Tick(r.now))
			fence, until, held := m.holder.Fence(r.now)
			r.execute(m, m.controller.Tick(r.now, Duty{Held: held, Fence: fence, Until: until}))
		}
	}
}

func (r *rig) stepEndpoints() {
	var reports []Observed
	unavailable := 0
	for _, e := range r.endpoints {
		if e.pending != nil && !r.now.Before(e.loadedAt) {
			e.Observed = applyAction(e.pending.Action, Desired{Model: "m"}, e.Observed)
			e.pending, e.Healthy = nil, !r.badVersions[e.Version]
		}
		if !e.Healthy {
			unavailable++
		}
		report := e.Observed
		report.At = r.now
		reports = append(reports, report)
	}
	if r.maxUnavailable > 0 && unavailable > r.maxUnavailable {
		r.addFailure("%d endpoints are out of service, want at most %d", unavailable, r.maxUnavailable)
	}
	r.reportHistory = append(r.reportHistory, reports)
}

// checkVersions checks that each endpoint has the version.
func (r *rig) checkVersions(version string) {
	for _, e := range r.endpoints {
		if e.Version != version {
			r.addFailure("endpoint %s has version %s, want %s", e.Endpoint, e.Version, version)
		}
	}
}
