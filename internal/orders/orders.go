// Package orders places the orders of the services and rotates the audit
// trail. It runs the state machines of packages lease and order against the
// platform's store and the endpoints, which it calls by HTTP.
package orders

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/lease"
	"github.com/azurehatch/azurehatch/internal/order"
	"github.com/azurehatch/azurehatch/internal/platform"
)

const (
	// maxCandidates is the number of daemons that try to take a duty. Those that
	// wait read its key every 2 s, so two of them for 24 duties use 24 reads/s.
	maxCandidates = 3
	// storeTimeout limits a call to the store; packages lease and order treat a
	// later response as lost.
	storeTimeout = 3 * time.Second
	// idleConnTimeout and maxIdlePerEndpoint limit the idle connections to
	// endpoints.
	idleConnTimeout    = 30 * time.Second
	maxIdlePerEndpoint = 1
	// maxHeadBytes bounds a response's header.
	maxHeadBytes = 64 << 10
)

// Options are the settings of a Manager.
type Options struct {
	// Self is the id of this daemon.
	Self  string
	Store platform.Store
	// Ranked returns the ids of at most n daemons that may take a duty, the most
	// suitable first; none before the members are known.
	Ranked func(duty string, n int) []string
	// Leaving returns the addresses of the endpoints that the platform's list
	// shows as leaving or removed; nil if there is no list.
	Leaving func() map[string]bool
	// Transport is used for requests to endpoints; if nil, the manager creates
	// one.
	Transport http.RoundTripper
	Log       zerolog.Logger
}

// Manager competes for the duties and carries out those that the daemon holds.
type Manager struct {
	opts Options
	// orderClient sends orders, client everything else.
	orderClient, client *http.Client
	transport           *http.Transport // of client; nil if it is the caller's
	ctx                 context.Context
	stop                context.CancelFunc
	wg                  sync.WaitGroup
	trail               *trail

	// mu guards the fields below and all state machines. It is not held during
	// calls to the store or to endpoints.
	mu       sync.Mutex
	draining bool
	services map[string]*service
	// retiring are services that no longer have orders and whose duty is being
	// released.
	retiring []*service
	rotation *rotation
	// calls counts the calls in flight that Drain waits for.
	calls sync.WaitGroup

	// config is the configuration in effect.
	config atomic.Pointer[config.Config]
	// statusMu guards statusReports, the reports by address that were read for
	// operators. It is held while endpoints are read, so that concurrent status
	// requests do not read them twice.
	statusMu      sync.Mutex
	statusReports map[string]endpointReport
}

// New starts a manager; Close stops it.
func New(o Options) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	m := &Manager{
		opts: o, ctx: ctx, stop: stop,
		services: make(map[string]*service), statusReports: make(map[string]endpointReport),
	}
	orderTransport, transport := o.Transport, o.Transport
	if transport == nil {
		m.transport = &http.Transport{
			IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: maxIdlePerEndpoint, MaxResponseHeaderBytes: maxHeadBytes,
		}
		transport = m.transport
		// A kept connection may deliver a late copy of the answer to an earlier order.
		orderTransport = &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	}
	m.orderClient, m.client = newHTTPClient(orderTransport), newHTTPClient(transport)
	m.trail = newTrail(m)
	m.rotation = newRotation(m)
	m.spawn(m.loop)
	m.spawn(m.trail.loop)
	return m
}

// newHTTPClient returns a client that follows no redirects.
func newHTTPClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close stops the manager without releasing its duties; see Drain.
func (m *Manager) Close() {
	m.stop()
	m.wg.Wait()
	if m.transport != nil {
		m.transport.CloseIdleConnections()
	}
}

// Drain stops placing orders, waits for the calls in flight, releases the duties
// and writes the pending audit entries.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	if err := m.awaitCalls(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	now := time.Now()
	for _, d := range m.duties() {
		d.execute(d.holder.SetCandidate(now, false))
	}
	m.mu.Unlock()
	if err := m.awaitCalls(ctx); err != nil {
		return err
	}
	return m.trail.flush(ctx)
}

func (m *Manager) awaitCalls(ctx context.Context) error {
	done := make(chan struct{})
	m.spawn(func() {
		m.calls.Wait()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Manager) spawn(run func()) {
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		run()
	}()
}

// startCall runs a call in a goroutine that Drain waits for. The caller holds
// m.mu.
func (m *Manager) startCall(run func()) {
	m.calls.Add(1)
	m.spawn(func() {
		defer m.calls.Done()
		run()
	})
}

func (m *Manager) loop() {
	ticker := time.NewTicker(lease.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.tick(time.Now())
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *Manager) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		return
	}
	for _, s := range m.services {
		s.tick(now)
	}
	m.rotation.tick(now)
	m.retiring = slices.DeleteFunc(m.retiring, func(s *service) bool {
		s.duty.execute(s.duty.holder.SetCandidate(now, false))
		return s.duty.holder.State(now) == lease.Idle
	})
}

// duties returns all duties. The caller holds m.mu.
func (m *Manager) duties() []*duty {
	list := []*duty{m.rotation.duty}
	for _, s := range m.services {
		list = append(list, s.duty)
	}
	for _, s := range m.retiring {
		list = append(list, s.duty)
	}
	return list
}

// leavingAddrs returns the addresses of Options.Leaving.
func (m *Manager) leavingAddrs() map[string]bool {
	if m.opts.Leaving == nil {
		return nil
	}
	return m.opts.Leaving()
}

// SetConfig puts a configuration into effect.
func (m *Manager) SetConfig(c *config.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.Store(c)
	for name, s := range c.Services {
		if !hasOrders(s) {
			continue
		}
		run, ok := m.services[name]
		if !ok {
			run = newService(m, name)
			m.services[name] = run
		}
		run.configure(desiredOf(name, s), endpointsOf(c, name))
	}
	for name, run := range m.services {
		if !hasOrders(c.Services[name]) {
			delete(m.services, name)
			m.retiring = append(m.retiring, run)
		}
	}
}

// hasOrders reports whether the configuration has a desired state for the
// service's endpoints.
func hasOrders(s config.Service) bool {
	return s.Kind == config.KindModel && (s.Version != "" || len(s.Adapters) > 0)
}

// desiredOf returns the desired state of a service. The version applies to its
// first model; further models are aliases of it.
func desiredOf(name string, s config.Service) order.Desired {
	d := order.Desired{Service: name, Version: s.Version, Adapters: s.Adapters}
	if len(s.Models) > 0 {
		d.Model = s.Models[0]
	}
	return d
}

// endpoint is an endpoint of a service in the configuration.
type endpoint struct {
	id, addr string
	leaving  bool
	// checksFencing is true if the endpoint refuses stale fencing tokens.
	checksFencing bool
}

func endpointsOf(c *config.Config, service string) []endpoint {
	var list []endpoint
	for id, e := range c.Endpoints {
		if e.Service == service {
			list = append(list, endpoint{
				id: id, addr: e.Address, leaving: e.State == config.StateLeaving,
				checksFencing: !c.Services[service].IgnoresFencing,
			})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
