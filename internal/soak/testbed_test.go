package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	store "github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// Parameters of the fleet and its traffic.
const (
	engineCount    = 4
	deskCount      = 2
	engineSlots    = 24
	deskSlots      = 12
	tokensPerEvent = 6
	eventTime      = 20 * time.Millisecond
	prompt         = 100
	maxOutput      = 45
	routeLimit     = 3 * time.Second
	// firstBudget lasts for a part of a run, in tokens; top-ups follow.
	firstBudget = 60 * (prompt + maxOutput)
	topUp       = 40 * (prompt + maxOutput)
)

// Bounds that the documentation states.
const (
	configBound  = 3 * time.Second
	drainBound   = 3 * time.Second
	recoverBound = 15 * time.Second
)

var accounts = []string{"north", "south", "east"}

// endpoint is an endpoint behind its proxy.
type endpoint struct {
	*platformtest.Endpoint
	proxy *proxy
	// backendAddr is its address behind the proxy, which it keeps after a crash.
	backendAddr string
}

// testbed is a fleet of daemons with its environment.
type testbed struct {
	t         *testing.T
	store     *platformtest.Store
	server    *http.Server
	runs      *platformtest.Runs
	endpoints []*endpoint
	daemons   []*daemon

	mu sync.Mutex
	// version is the newest configuration, published the time at which the store
	// confirmed it and prepaid its budgets, by account.
	version   int
	published time.Time
	prepaid   map[string]int64
	// config is the newest configuration, evacuated the failure domain that is evacuated, if any,
	// copies older contents of the store.
	config    any
	evacuated string
	copies    []memstore.Copy
	// cold is true if the engines are cold after each start.
	cold bool
	// lastStoreFault and lastEndpointFault are the last times at which a fault of
	// the store or of an endpoint began or ended. openStoreFaults and
	// openEndpointFaults count the active ones.
	lastStoreFault, lastEndpointFault   time.Time
	openStoreFaults, openEndpointFaults int
	violations                          []string
	// lastStall is the end of the last period in which this process itself did not
	// run for stallThreshold; stallCount counts these periods.
	lastStall  time.Time
	stallCount int
}

// stallThreshold is the delay of the test's own timers from which on a late response
// proves no fault of the daemons: on a machine with a load of 30, a time limit of 5 s
// expired after 7.2 s, for all daemons at once.
const stallThreshold = 500 * time.Millisecond

// watchStalls records when the test's own timers are late.
func (bed *testbed) watchStalls(ctx context.Context) {
	const period = 50 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(period)
		if time.Since(last) > period+stallThreshold {
			bed.mu.Lock()
			bed.lastStall = time.Now()
			bed.stallCount++
			bed.mu.Unlock()
		}
	}
}

// stalledSince reports whether the test process itself stalled after a time.
func (bed *testbed) stalledSince(t time.Time) bool {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.lastStall.After(t)
}

func newTestbed(t *testing.T, daemons int, paced bool) *testbed {
	t.Helper()
	bed := &testbed{t: t, store: platformtest.NewStore(), runs: platformtest.NewRuns(), prepaid: make(map[string]int64)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bed.server = &http.Server{Handler: bed.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = bed.server.Serve(l) }()
	t.Cleanup(func() { bed.server.Close() })
	bed.startEndpoints()
	for _, a := range accounts {
		bed.prepaid[a] = firstBudget
	}
	bed.publishConfig(nil)
	bed.startDaemons(daemons, l.Addr().String(), paced)
	return bed
}

func domainOf(i int) string { return fmt.Sprint("z", i%2) }

func (bed *testbed) startEndpoints() {
	for i := range engineCount + deskCount {
		backend := &platformtest.Endpoint{
			ID: fmt.Sprint("i-", i), Service: "llm", Domain: domainOf(i), Slots: engineSlots, Stride: tokensPerEvent, Step: eventTime, Runs: bed.runs,
		}
		if i >= engineCount {
			backend.Service, backend.Slots = "desk", deskSlots
		}
		addr, err := freeAddr()
		if err != nil {
			bed.t.Fatal(err)
		}
		if err := backend.Start(addr); err != nil {
			bed.t.Fatal(err)
		}
		e := &endpoint{Endpoint: backend, backendAddr: backend.Addr()}
		if e.proxy, err = newProxy(func() string { return e.backendAddr }); err != nil {
			bed.t.Fatal(err)
		}
		bed.endpoints = append(bed.endpoints, e)
		bed.announce(e)
		bed.t.Cleanup(func() { e.Crash(); e.proxy.close() })
	}
}

// announce writes an endpoint's entry to the store.
func (bed *testbed) announce(e *endpoint) {
	key, value := e.Entry(e.proxy.addr())
	if _, err := bed.store.Put(context.Background(), key, value); err != nil {
		bed.t.Errorf("write entry of %s: %v", e.ID, err)
	}
}

// removeEntry removes an entry of the store, unless a restore has already done so.
func (bed *testbed) removeEntry(key string) {
	for {
		item, err := bed.store.Get(context.Background(), key)
		if errors.Is(err, store.ErrNotFound) {
			return
		}
		if err == nil {
			err = bed.store.Delete(context.Background(), key, item.Revision)
		}
		if _, conflict := store.AsConflict(err); !conflict {
			if err != nil {
				bed.t.Errorf("remove %s: %v", key, err)
			}
			return
		}
	}
}

func (bed *testbed) startDaemons(n int, store string, paced bool) {
	dir := bed.t.TempDir()
	for i := range n {
		p, err := newProxy(func() string { return store })
		if err != nil {
			bed.t.Fatal(err)
		}
		d := &daemon{name: fmt.Sprint("d", i), domain: domainOf(i), dir: dir, store: p, binary: binary, paced: paced}
		for _, addr := range []*string{&d.callerAddr, &d.readyAddr, &d.meshAddr} {
			if *addr, err = freeAddr(); err != nil {
				bed.t.Fatal(err)
			}
		}
		if i > 0 {
			d.seeds = []string{bed.daemons[0].meshAddr}
		}
		bed.daemons = append(bed.daemons, d)
		bed.t.Cleanup(func() { d.kill(); d.store.close() })
	}
	for _, d := range bed.daemons {
		if err := d.start(); err != nil {
			bed.t.Fatal(err)
		}
	}
	bed.await("all daemons are ready", 30*time.Second, func() bool {
		for _, d := range bed.daemons {
			if !isReady(d) {
				return false
			}
		}
		return true
	})
}

// Ports of daemons and endpoints are below 32768, where Linux starts to take the ports of outgoing
// connections. Otherwise a connection could take the port of a process that has not
// started yet or is restarting.
const (
	minDaemonPort   = 20_000
	daemonPortCount = 12_000
)

// lastPort is the number of the last port that freeAddr tried. It starts at a random
// number, so that test processes running at the same time rarely try the same ports.
var lastPort atomic.Uint32

func init() { lastPort.Store(rand.Uint32()) }

// freeAddr returns a loopback address that nothing listens on. It returns no address
// twice within daemonPortCount calls.
func freeAddr() (string, error) {
	for range daemonPortCount {
		port := minDaemonPort + lastPort.Add(1)%daemonPortCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", minDaemonPort, minDaemonPort+daemonPortCount-1)
}

func isReady(d *daemon) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + d.readyAddr + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		d.markReady()
	}
	return resp.StatusCode == http.StatusOK
}

func (bed *testbed) await(condition string, limit time.Duration, ok func() bool) {
	bed.t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			bed.addViolation("not within %v: %s", limit, condition)
			return
		}
	}
}

// addViolation records a violated guarantee. Only the first 20 are kept.
func (bed *testbed) addViolation(format string, args ...any) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	if len(bed.violations) < 20 {
		bed.violations = append(bed.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

// publishConfig publishes a new version of the configuration, with the budgets modified
// by change if it is not nil.
func (bed *testbed) publishConfig(change func(prepaid map[string]int64)) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	if change != nil {
		change(bed.prepaid)
	}
	bed.version++
	var tenants []map[string]any
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{"name": a, "api_keys": []string{"key-" + a}, "prepaid": bed.prepaid[a]})
	}
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": prefix, "route_type": kind, "timeout_ms": routeLimit.Milliseconds(),
			"target_latency_ms": 500, "max_attempts": attempts, "service": service,
		}
	}
	slow := route("slow", "/slow/", "unsafe", "desk", 1)
	slow["timeout_ms"] = slowWork.Milliseconds()
	engines := map[string]any{
		"name": "llm", "engine": map[string]any{"slots": engineSlots, "kv_capacity_tokens": 100000, "stride": tokensPerEvent},
	}
	if bed.cold {
		engines["cold_start_s"], engines["cold_per_s"] = coldPeriod.Seconds(), coldRate
	}
	value := map[string]any{
		"version": bed.version,
		"routes": []map[string]any{
			route("plan", "/plan/", "streaming", "llm", 2), route("order", "/order/", "unsafe", "desk", 2), slow,
			route("look", "/look/", "safe", "desk", 2), route("probe", probePath(bed.version), "safe", "desk", 2),
		},
		"services": []map[string]any{
			engines, {"name": "desk"},
		},
		"tenants": tenants,
	}
	bed.config = value
	bed.putConfig()
	bed.published = time.Now()
}

// writeOperatorItems writes the newest configuration and the evacuation in force again.
func (bed *testbed) writeOperatorItems() {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.putConfig()
	bed.putEvacuation()
}

// putConfig writes the newest configuration. The caller holds bed.mu.
func (bed *testbed) putConfig() {
	if _, err := bed.store.Put(context.Background(), "op/config", bed.config); err != nil {
		bed.t.Errorf("publish configuration %d: %v", bed.version, err)
	}
}

// probePath returns the path of a route that exists only in one version.
func probePath(version int) string { return fmt.Sprintf("/v%d/", version) }

func (bed *testbed) newestVersion() (version int, published time.Time) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.version, bed.published
}

// recordFault records the beginning (1) or end (-1) of a fault of the store or of an
// endpoint.
func (bed *testbed) recordFault(at *time.Time, open *int, change int) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	*at = time.Now()
	*open += change
}

func (bed *testbed) storeDisturbedSince(since time.Time) bool {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.openStoreFaults > 0 || bed.lastStoreFault.After(since)
}

func (bed *testbed) endpointsDisturbedSince(since time.Time) bool {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.openEndpointFaults > 0 || bed.lastEndpointFault.After(since)
}

func (bed *testbed) anyDaemonDisturbedSince(since time.Time) bool {
	for _, d := range bed.daemons {
		if d.disturbedSince(since) {
			return true
		}
	}
	return false
}
