// Package pool runs the decisions of admission, endpoint choice, retries and
// poison requests for each service of a daemon. It holds their locks, their
// timers and the requests that wait.
package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/admission"
	"github.com/azurehatch/azurehatch/internal/gateway"
	"github.com/azurehatch/azurehatch/internal/outlier"
	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/predict"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/retry"
	"github.com/azurehatch/azurehatch/internal/route"
)

// tickInterval is the interval that route.Pool.Tick asks for.
const tickInterval = 100 * time.Millisecond

// Options configure a Set.
type Options struct {
	// Domain is the daemon's failure domain.
	Domain string
	// Seed makes the choices of a test repeatable.
	Seed uint64
	// MaxWait bounds the wait for admission; 0 takes admission's default.
	MaxWait time.Duration
	Log     zerolog.Logger
	Scope   tally.Scope
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Member is an endpoint of a pool.
type Member struct {
	route.Endpoint
	// Addr is IP:port.
	Addr string
}

// Set holds the pools of all services. It implements gateway.Pools.
type Set struct {
	o    Options
	stop chan struct{}
	done chan struct{}

	mu     sync.Mutex
	pools  map[string]*Pool
	poison *poison.Registry
}

// Pool is one service's state.
type Pool struct {
	set     *Set
	service string

	mu      sync.Mutex
	rng     *rand.Rand
	route   *route.Pool
	queue   *admission.Queue
	predict *predict.Predictor
	retry   *retry.Budget
	addrs   map[route.EndpointID]string
	// waiting holds the channel of each queued request. Invariant: a ticket is
	// in waiting exactly while it is queued in queue.
	waiting map[admission.RequestID]chan verdict
	next    admission.RequestID
	// running maps each endpoint to the digests of this daemon's requests on
	// it, for poison requests.
	running map[route.EndpointID]map[*ticket]poison.Digest

	scope                    tally.Scope
	retries, hedges, crashes tally.Counter
	// counted is the time at which the endpoints were last counted.
	counted time.Time
}

// verdict ends the wait of a queued request; refused is nil if it may start.
type verdict struct{ refused *admission.Refusal }

// New returns a running set; Close ends it.
func New(o Options) *Set {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Set{
		o: o, stop: make(chan struct{}), done: make(chan struct{}),
		pools: make(map[string]*Pool), poison: poison.New(poison.Options{}),
	}
	go s.loop()
	return s
}

// Close stops the timers.
func (s *Set) Close() {
	close(s.stop)
	<-s.done
}

func (s *Set) loop() {
	defer close(s.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick()
		case <-s.stop:
			return
		}
	}
}

func (s *Set) tick() {
	now := s.o.Now()
	for _, p := range s.all() {
		p.tick(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Tick(now)
}

func (s *Set) all() []*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Pool, 0, len(s.pools))
	for _, p := range s.pools {
		list = append(list, p)
	}
	return list
}

func (s *Set) pool(service string) (*Pool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[service]
	return p, ok
}

// Update sets the endpoints of a service; model tells a model pool from a
// plain service.
func (s *Set) Update(service string, model bool, members []Member) {
	s.mu.Lock()
	p, ok := s.pools[service]
	if !ok {
		p = s.newPool(service, model)
		s.pools[service] = p
	}
	s.mu.Unlock()
	p.update(s.o.Now(), members)
}

// Remove drops a service that the configuration no longer has.
func (s *Set) Remove(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pools, service)
}

func (s *Set) newPool(service string, model bool) *Pool {
	scope := s.o.Scope.Tagged(map[string]string{"service": service})
	return &Pool{
		set: s, service: service, scope: scope,
		retries: scope.Counter("retries"), hedges: scope.Counter("hedges"), crashes: scope.Counter("endpoint_crashes"),
		rng:     rand.New(rand.NewPCG(s.o.Seed, uint64(len(s.pools)))),
		route:   route.New(route.Options{PlainService: !model}),
		queue:   admission.New(admission.Options{PlainService: !model, MaxWait: s.o.MaxWait}),
		predict: predict.New(predict.Options{}),
		retry:   retry.New(retry.Options{}),
		addrs:   make(map[route.EndpointID]string),
		waiting: make(map[admission.RequestID]chan verdict),
		running: make(map[route.EndpointID]map[*ticket]poison.Digest),
	}
}

func (p *Pool) update(now time.Time, members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := make([]route.Endpoint, len(members))
	clear(p.addrs)
	for i, m := range members {
		set[i] = m.Endpoint
		p.addrs[m.ID] = m.Addr
	}
	p.route.Update(now, set)
	p.refresh(now)
}

func (p *Pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route.Tick(now)
	for _, r := range p.queue.Expire(now) {
		p.wake(r.ID, verdict{refused: &r})
	}
	p.refresh(now)
	p.metrics(now)
}

// refresh passes the pool's capacity to the queue. The caller holds p.mu.
func (p *Pool) refresh(now time.Time) {
	c := p.route.Capacity()
	p.start(p.queue.SetCapacity(now, admission.Capacity{
		Endpoints: c.Endpoints, Slots: c.Slots, PeersInFlight: c.PeersInFlight, Peers: c.Peers,
	}))
}

func (p *Pool) start(tickets []admission.RequestID) {
	for _, t := range tickets {
		p.wake(t, verdict{})
	}
}

func (p *Pool) wake(t admission.RequestID, v verdict) {
	if ch, ok := p.waiting[t]; ok {
		delete(p.waiting, t)
		ch <- v
	}
}

// countInterval is how often the endpoints are counted: at the target size a
// count copies the status of 4,300 endpoints.
const countInterval = time.Second

func (p *Pool) metrics(now time.Time) {
	st := p.queue.Stats()
	p.scope.Gauge("pool_running").Update(float64(st.Running))
	p.scope.Gauge("pool_queued").Update(float64(st.Queued))
	p.scope.Gauge("pool_limit").Update(float64(st.Limit))
	if now.Sub(p.counted) < countInterval {
		return
	}
	p.counted = now
	endpoints, up, ejected := p.route.Status(), 0, 0
	for _, e := range endpoints {
		if e.Weight > 0 {
			up++
		}
		if e.EjectReason != outlier.None.String() {
			ejected++
		}
	}
	p.scope.Gauge("pool_endpoints").Update(float64(len(endpoints)))
	p.scope.Gauge("pool_endpoints_up").Update(float64(up))
	p.scope.Gauge("pool_endpoints_ejected").Update(float64(ejected))
}

// Up reports whether the service has an endpoint that takes work.
func (s *Set) Up(service string) bool {
	p, ok := s.pool(service)
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.route.Capacity().Endpoints > 0
}

// Admit implements gateway.Pools.
func (s *Set) Admit(ctx context.Context, w gateway.Work) (gateway.Ticket, error) {
	p, ok := s.pool(w.Service.Name)
	if !ok {
		return nil, problem.New(problem.NoEndpoint, "service %q has no endpoints", w.Service.Name)
	}
	t := p.newTicket(w)
	if err := t.begin(); err != nil {
		return nil, err
	}
	if err := t.admit(ctx); err != nil {
		t.endPoison(false)
		return nil, err
	}
	return t, nil
}
