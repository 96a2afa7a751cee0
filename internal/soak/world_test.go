package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// Shape of a fleet, and of its traffic.
const (
	engineCount = 4
	deskCount   = 2
	engineSlots = 24
	deskSlots   = 12
	stride      = 6
	eventTime   = 20 * time.Millisecond
	prompt      = 100
	maxOutput   = 45
	routeLimit  = 3 * time.Second
	// firstBudget lasts for a part of a run; top-ups follow.
	firstBudget = 60 * (prompt + maxOutput)
	topUp       = 40 * (prompt + maxOutput)
)

// Bounds of the users' pages.
const (
	configBound  = 3 * time.Second
	drainBound   = 3 * time.Second
	recoverBound = 15 * time.Second
)

var accounts = []string{"north", "south", "east"}

// worker is an endpoint behind its proxy.
type worker struct {
	*platformtest.Endpoint
	proxy *proxy
	// own is its address behind the proxy, which it keeps.
	own string
}

// world is everything around the daemons.
type world struct {
	t       *testing.T
	store   *platformtest.Store
	server  *http.Server
	runs    *platformtest.Runs
	workers []*worker
	daemons []*daemon

	mu sync.Mutex
	// version is the newest configuration, published when the store confirmed it;
	// prepaid holds the budgets of it.
	version   int
	published time.Time
	prepaid   map[string]int64
	// storeFault and workerFault are the last times at which the store or an
	// endpoint was disturbed or a disturbance ended; the counts are of those open.
	storeFault, workerFault   time.Time
	storeFaults, workerFaults int
	violations                []string
	// stalled is the last time at which this process itself did not run for
	// stallBound; stalls counts these times.
	stalled time.Time
	stalls  int
}

// stallBound is the delay of the soak's own timers from which on a late answer
// says nothing about the daemons: on a machine with a load of 30 a time limit of
// 5 s ended after 7.2 s, for all daemons at once.
const stallBound = 500 * time.Millisecond

// watchStalls notes when the soak's own timers are late.
func (w *world) watchStalls(ctx context.Context) {
	const period = 50 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(period)
		if time.Since(last) > period+stallBound {
			w.mu.Lock()
			w.stalled = time.Now()
			w.stalls++
			w.mu.Unlock()
		}
	}
}

// stalledSince tells whether the soak itself stood still after a time.
func (w *world) stalledSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled.After(t)
}

func newWorld(t *testing.T, daemons int) *world {
	t.Helper()
	w := &world{t: t, store: platformtest.NewStore(), runs: platformtest.NewRuns(), prepaid: make(map[string]int64)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	t.Cleanup(func() { w.server.Close() })
	w.startWorkers()
	for _, a := range accounts {
		w.prepaid[a] = firstBudget
	}
	w.configure(nil)
	w.startDaemons(daemons, l.Addr().String())
	return w
}

func domain(i int) string { return fmt.Sprint("z", i%2) }

func (w *world) startWorkers() {
	for i := range engineCount + deskCount {
		e := &platformtest.Endpoint{
			ID: fmt.Sprint("i-", i), Service: "llm", Domain: domain(i), Slots: engineSlots, Stride: stride, Step: eventTime, Runs: w.runs,
		}
		if i >= engineCount {
			e.Service, e.Slots = "desk", deskSlots
		}
		if err := e.Start("127.0.0.1:0"); err != nil {
			w.t.Fatal(err)
		}
		k := &worker{Endpoint: e, own: e.Addr()}
		var err error
		if k.proxy, err = newProxy(func() string { return k.own }); err != nil {
			w.t.Fatal(err)
		}
		w.workers = append(w.workers, k)
		w.announce(k)
		w.t.Cleanup(func() { k.Crash(); k.proxy.close() })
	}
}

// announce writes an endpoint's entry.
func (w *world) announce(k *worker) {
	key, value := k.Entry(k.proxy.addr())
	if _, err := w.store.Put(context.Background(), key, value); err != nil {
		w.t.Errorf("entry of %s: %v", k.ID, err)
	}
}

func (w *world) startDaemons(n int, store string) {
	dir := w.t.TempDir()
	for i := range n {
		p, err := newProxy(func() string { return store })
		if err != nil {
			w.t.Fatal(err)
		}
		d := &daemon{name: fmt.Sprint("d", i), domain: domain(i), dir: dir, store: p}
		for _, addr := range []*string{&d.callers, &d.probe, &d.mesh} {
			if *addr, err = freeAddr(); err != nil {
				w.t.Fatal(err)
			}
		}
		if i > 0 {
			d.seeds = []string{w.daemons[0].mesh}
		}
		w.daemons = append(w.daemons, d)
		w.t.Cleanup(func() { d.kill(); d.store.close() })
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			w.t.Fatal(err)
		}
	}
	w.await("all daemons are ready", 30*time.Second, func() bool {
		for _, d := range w.daemons {
			if !isReady(d) {
				return false
			}
		}
		return true
	})
}

func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func isReady(d *daemon) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + d.probe + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		d.noteReady()
	}
	return resp.StatusCode == http.StatusOK
}

func (w *world) await(what string, limit time.Duration, ok func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.violate("not within %v: %s", limit, what)
			return
		}
	}
}

// violate records a broken promise. Only the first ones are kept.
func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < 20 {
		w.violations = append(w.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

// configure publishes a new version with the changes that change makes.
func (w *world) configure(change func(prepaid map[string]int64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if change != nil {
		change(w.prepaid)
	}
	w.version++
	var tenants []map[string]any
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{"name": a, "api_keys": []string{"key-" + a}, "prepaid": w.prepaid[a]})
	}
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": prefix, "route_type": kind, "timeout_ms": routeLimit.Milliseconds(),
			"target_latency_ms": 500, "max_attempts": attempts, "service": service,
		}
	}
	value := map[string]any{
		"version": w.version,
		"routes": []map[string]any{
			route("plan", "/plan/", "streaming", "llm", 2), route("order", "/order/", "unsafe", "desk", 2),
			route("look", "/look/", "safe", "desk", 2), route("probe", probePath(w.version), "safe", "desk", 2),
		},
		"services": []map[string]any{
			{"name": "llm", "engine": map[string]any{"slots": engineSlots, "kv_capacity_tokens": 100000, "stride": stride}}, {"name": "desk"},
		},
		"tenants": tenants,
	}
	if _, err := w.store.Put(context.Background(), "op/config", value); err != nil {
		w.t.Errorf("configuration %d: %v", w.version, err)
	}
	w.published = time.Now()
}

// probePath is a route that only one version has.
func probePath(version int) string { return fmt.Sprintf("/v%d/", version) }

func (w *world) newest() (version int, published time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, w.published
}

// disturb notes the beginning or end of a fault of the store or of an endpoint.
func (w *world) disturb(at *time.Time, open *int, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*at = time.Now()
	*open += change
}

func (w *world) storeTroubled(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeFaults > 0 || w.storeFault.After(since)
}

func (w *world) workersTroubled(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workerFaults > 0 || w.workerFault.After(since)
}

func (w *world) anyDaemonTroubled(since time.Time) bool {
	for _, d := range w.daemons {
		if d.troubled(since) {
			return true
		}
	}
	return false
}
