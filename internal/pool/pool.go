// Package pool applies admission control, endpoint selection, retries, hedging
// and isolation of poison requests for each service of a daemon. The packages
// that decide do no input or output; pool holds the locks, timers and queued
// requests for them.
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

// tickInterval is the interval at which route.Pool.Tick must be called.
const tickInterval = 100 * time.Millisecond

// Options configure a Set.
type Options struct {
	// Domain is the daemon's failure domain.
	Domain string
	// Seed seeds the random choices of endpoints, so that tests are repeatable.
	Seed uint64
	// MaxWait bounds the wait for admission; 0 means the default of package admission.
	MaxWait time.Duration
	Log     zerolog.Logger
	Scope   tally.Scope
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Member is an endpoint of a pool.
type Member struct {
	route.Endpoint
	// Addr is the endpoint's address as IP:port.
	Addr string
}

// Set holds the pools of all services. It implements gateway.Pools.
type Set struct {
	opts Options
	stop chan struct{}
	done chan struct{}

	mu     sync.Mutex
	pools  map[string]*Pool
	poison *poison.Registry
}

// Pool is the state of one service.
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
	// waiting holds the result channel of each queued request. Invariant: a
	// request is in waiting exactly while it is in queue.
	waiting map[admission.RequestID]chan admissionResult
	lastID  admission.RequestID
	// runningDigests maps each endpoint to the digests of this daemon's
	// requests on it. If the endpoint crashes, these are the suspects.
	runningDigests map[route.EndpointID]map[*ticket]poison.Digest

	scope                    tally.Scope
	retries, hedges, crashes tally.Counter
	// endpointsCountedAt is the time at which the endpoint gauges were last updated.
	endpointsCountedAt time.Time
}

// admissionResult ends the wait of a queued request; refusal is nil if the
// request was admitted.
type admissionResult struct{ refusal *admission.Refusal }

// New returns a Set and starts its ticker; Close stops it.
func New(o Options) *Set {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Set{
		opts: o, stop: make(chan struct{}), done: make(chan struct{}),
		pools: make(map[string]*Pool), poison: poison.New(poison.Options{}),
	}
	go s.loop()
	return s
}

// Close stops the ticker.
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
	now := s.opts.Now()
	for _, p := range s.poolList() {
		p.tick(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Tick(now)
}

func (s *Set) poolList() []*Pool {
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

// Update sets the endpoints of a service; model is true for a model service and
// false for a plain one.
func (s *Set) Update(service string, model bool, members []Member) {
	s.mu.Lock()
	p, ok := s.pools[service]
	if !ok {
		p = s.newPool(service, model)
		s.pools[service] = p
	}
	s.mu.Unlock()
	p.update(s.opts.Now(), members)
}

// Remove removes a service that is no longer configured.
func (s *Set) Remove(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pools, service)
}

func (s *Set) newPool(service string, model bool) *Pool {
	scope := s.opts.Scope.Tagged(map[string]string{"service": service})
	return &Pool{
		set: s, service: service, scope: scope,
		retries: scope.Counter("retries"), hedges: scope.Counter("hedges"), crashes: scope.Counter("endpoint_crashes"),
		rng:            rand.New(rand.NewPCG(s.opts.Seed, uint64(len(s.pools)))),
		route:          route.New(route.Options{PlainService: !model}),
		queue:          admission.New(admission.Options{PlainService: !model, MaxWait: s.opts.MaxWait}),
		predict:        predict.New(predict.Options{}),
		retry:          retry.New(retry.Options{}),
		addrs:          make(map[route.EndpointID]string),
		waiting:        make(map[admission.RequestID]chan admissionResult),
		runningDigests: make(map[route.EndpointID]map[*ticket]poison.Digest),
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
	p.updateCapacity(now)
}

func (p *Pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route.Tick(now)
	for _, r := range p.queue.Expire(now) {
		p.resolve(r.ID, admissionResult{refusal: &r})
	}
	p.updateCapacity(now)
	p.updateMetrics(now)
}

// updateCapacity passes the pool's capacity to the queue. The caller holds p.mu.
func (p *Pool) updateCapacity(now time.Time) {
	c := p.route.Capacity()
	p.admitAll(p.queue.SetCapacity(now, admission.Capacity{
		Endpoints: c.Endpoints, Slots: c.Slots, PeersInFlight: c.PeersInFlight, Peers: c.Peers,
	}))
}

func (p *Pool) admitAll(ids []admission.RequestID) {
	for _, id := range ids {
		p.resolve(id, admissionResult{})
	}
}

func (p *Pool) resolve(id admission.RequestID, result admissionResult) {
	if ch, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		ch <- result
	}
}

// endpointCountInterval is the interval at which the endpoint gauges are
// updated: at the target size each update copies the status of 4,300 endpoints.
const endpointCountInterval = time.Second

func (p *Pool) updateMetrics(now time.Time) {
	st := p.queue.Stats()
	p.scope.Gauge("pool_running").Update(float64(st.Running))
	p.scope.Gauge("pool_queued").Update(float64(st.Queued))
	p.scope.Gauge("pool_limit").Update(float64(st.Limit))
	if now.Sub(p.endpointsCountedAt) < endpointCountInterval {
		return
	}
	p.endpointsCountedAt = now
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

// HasEndpoint reports whether the service has an endpoint that accepts requests.
func (s *Set) HasEndpoint(service string) bool {
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
	if err := t.beginPoisonCheck(); err != nil {
		return nil, err
	}
	if err := t.offer(ctx); err != nil {
		t.endPoisonCheck(false)
		return nil, err
	}
	return t, nil
}
