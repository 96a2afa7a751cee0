package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Durations of fault injection in one run.
const (
	shortRun = 6 * time.Second
	longRun  = 15 * time.Second
)

// scenario is one run with its faults.
type scenario struct {
	bed *testbed
	tr  *traffic
	rng *rand.Rand
	wg  sync.WaitGroup
	mu  sync.Mutex
	// faulted holds the targets that have a fault now: daemons, paths to the store,
	// endpoints and the store itself.
	faulted  map[any]bool
	faultLog []string
	// stops counts the planned stops.
	stops int
}

func (s *scenario) logFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// claim marks a target as faulted. It returns false if the target already has a fault.
func (s *scenario) claim(target any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulted[target] {
		return false
	}
	s.faulted[target] = true
	return true
}

func (s *scenario) release(target any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faulted, target)
}

// runFault calls begin now and end after d, concurrently with other faults.
func (s *scenario) runFault(d time.Duration, begin, end func()) {
	begin()
	s.wg.Go(func() {
		time.Sleep(d)
		end()
	})
}

// faultList returns the faults of a scenario; one that is listed more than once is more
// frequent.
type faultList func(s *scenario) []func(time.Duration)

// allFaults returns all kinds of faults.
func allFaults(s *scenario) []func(time.Duration) {
	return []func(time.Duration){
		s.disturbStorePath, s.disturbStorePath, s.disturbAllStorePaths, s.refuseStoreCalls, s.hangStore, s.restoreStore,
		s.disturbEndpointPath, s.crashEndpoint, s.drainEndpoint, s.overloadEndpoint, s.corruptEndpoint,
		s.replaceEndpoint,
		s.killDaemon, s.pauseDaemon, s.stopDaemon, s.reloadSettings, s.reconfigure, s.reconfigure, s.reconfigureRepeatedly,
	}
}

// injectFaults starts faults in a seeded order for the given time and waits until all
// have ended.
func (s *scenario) injectFaults(length time.Duration, faults []func(time.Duration)) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[s.rng.IntN(len(faults))]
		f(time.Duration(300+s.rng.IntN(3500)) * time.Millisecond)
		time.Sleep(time.Duration(150+s.rng.IntN(700)) * time.Millisecond)
	}
	s.wg.Wait()
}

func (s *scenario) randomDaemon() *daemon { return s.bed.daemons[s.rng.IntN(len(s.bed.daemons))] }
func (s *scenario) randomEndpoint() *endpoint {
	return s.bed.endpoints[s.rng.IntN(len(s.bed.endpoints))]
}
func (s *scenario) randomFault() fault { return fault(1 + s.rng.IntN(int(mute))) }

func (s *scenario) disturbStorePath(d time.Duration) {
	dm, f := s.randomDaemon(), s.randomFault()
	if !s.claim(dm.store) {
		return
	}
	s.logFault("store path of %s %v for %v", dm.name, f, d)
	s.runFault(d, func() { dm.store.setFault(f); dm.recordStoreFault(1) }, func() {
		dm.store.setFault(healthy)
		dm.recordStoreFault(-1)
		s.release(dm.store)
	})
}

func (s *scenario) disturbAllStorePaths(d time.Duration) {
	f := s.randomFault()
	for _, dm := range s.bed.daemons {
		if s.claim(dm.store) {
			s.logFault("store path of %s %v for %v", dm.name, f, d)
			s.runFault(d, func() { dm.store.setFault(f); dm.recordStoreFault(1) }, func() {
				dm.store.setFault(healthy)
				dm.recordStoreFault(-1)
				s.release(dm.store)
			})
		}
	}
}

func (s *scenario) runStoreFault(d time.Duration, begin, end func()) {
	if !s.claim(s.bed.store) {
		return
	}
	s.runFault(d, func() { s.bed.recordFault(&s.bed.lastStoreFault, &s.bed.openStoreFaults, 1); begin() }, func() {
		end()
		s.bed.recordFault(&s.bed.lastStoreFault, &s.bed.openStoreFaults, -1)
		s.release(s.bed.store)
	})
}

func (s *scenario) refuseStoreCalls(d time.Duration) {
	status := []int64{http.StatusServiceUnavailable, http.StatusTooManyRequests}[s.rng.IntN(2)]
	s.logFault("store answers %d for %v", status, d)
	s.runStoreFault(d, func() { s.bed.store.Status.Store(status) }, func() { s.bed.store.Status.Store(0) })
}

func (s *scenario) hangStore(d time.Duration) {
	s.logFault("store does not answer for %v", d)
	s.runStoreFault(d, func() { s.bed.store.Hang.Store(true) }, func() { s.bed.store.Hang.Store(false) })
}

func (s *scenario) restart(dm *daemon) {
	if err := dm.start(); err != nil {
		s.bed.t.Errorf("start of %s: %v", dm.name, err)
	}
	s.release(dm)
}

func (s *scenario) killDaemon(d time.Duration) {
	dm := s.randomDaemon()
	if !s.claim(dm) {
		return
	}
	s.logFault("%s is killed for %v", dm.name, d)
	s.runFault(d, dm.kill, func() { s.restart(dm) })
}

func (s *scenario) pauseDaemon(d time.Duration) {
	dm := s.randomDaemon()
	if !s.claim(dm) {
		return
	}
	s.logFault("%s is paused for %v", dm.name, d)
	s.runFault(d, func() { dm.signal(syscall.SIGSTOP) }, func() { dm.signal(syscall.SIGCONT); s.release(dm) })
}

func (s *scenario) stopDaemon(time.Duration) {
	dm := s.randomDaemon()
	if !s.claim(dm) {
		return
	}
	s.logFault("%s stops as planned", dm.name)
	startedAt := time.Now()
	s.sendDuringStop(dm)
	s.wg.Go(func() {
		if !dm.stop() && !dm.disturbedSince(startedAt) && !s.bed.stalledSince(startedAt) {
			s.bed.addViolation("%s did not stop within %v", dm.name, gracePeriod)
		}
		s.restart(dm)
	})
}

func (s *scenario) reloadSettings(time.Duration) {
	dm := s.randomDaemon()
	if !s.claim(dm) {
		return
	}
	defer s.release(dm)
	s.logFault("%s reloads its settings", dm.name)
	if _, err := dm.writeSettings(); err != nil {
		s.bed.t.Error(err)
	}
	dm.signal(syscall.SIGHUP)
}

func (s *scenario) reconfigure(time.Duration) {
	account := accounts[s.rng.IntN(len(accounts))]
	s.logFault("new configuration, top-up of %s", account)
	s.bed.publishConfig(func(prepaid map[string]int64) { prepaid[account] += topUp })
}

func (s *scenario) reconfigureRepeatedly(time.Duration) {
	s.logFault("four configurations in quick succession")
	for range 4 {
		s.bed.publishConfig(nil)
		time.Sleep(100 * time.Millisecond)
	}
}

// runSeed runs the scenario of one seed and reports each violated guarantee. With odd seeds, endpoints that come
// back get requests at a pace.
func runSeed(t *testing.T, seed uint64, daemons int, length time.Duration, faults faultList) {
	bed := newTestbed(t, daemons, seed%2 == 1)
	tr := newTraffic(bed)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { tr.probeReadiness(ctx) })
	callers.Go(func() { bed.watchStalls(ctx) })
	callers.Go(func() { bed.copyStore(ctx) })
	for i := range 3 * daemons {
		callers.Go(func() { tr.runCaller(ctx, i) })
	}
	for _, d := range bed.daemons {
		callers.Go(func() { tr.probeVersions(ctx, d) })
	}
	s := &scenario{bed: bed, tr: tr, rng: rand.New(rand.NewPCG(seed, 1)), faulted: make(map[any]bool)}
	s.injectFaults(length, faults(s))
	tr.awaitRecovery(bed)
	cancel()
	callers.Wait()
	tr.checkExecutions()
	tr.checkAnnouncements()
	for _, d := range bed.daemons {
		d.checkOutput(t)
	}
	t.Logf("seed %d: %d requests, served %v, spent %v; stalled %d times",
		seed, tr.total, tr.served, tr.tokensSpent, bed.stallCount)
	if len(bed.violations) > 0 || t.Failed() {
		for _, v := range bed.violations {
			t.Errorf("violation: %s", v)
		}
		for _, f := range s.faultLog {
			t.Logf("fault: %s", f)
		}
		saveLogs(t, bed, seed)
	}
}

// awaitRecovery waits until each daemon serves each kind of request again.
func (tr *traffic) awaitRecovery(bed *testbed) {
	bed.publishConfig(func(prepaid map[string]int64) {
		for _, a := range accounts {
			prepaid[a] += 4 * topUp
		}
	})
	client := newClient()
	defer client.CloseIdleConnections()
	n := 0
	for _, d := range bed.daemons {
		for _, kind := range requestKinds {
			bed.await(fmt.Sprintf("%s serves %s after the faults", d.name, kind), recoverBound, func() bool {
				n++
				r := sendRequest(client, d, fmt.Sprintf("after-%s-%s-%d", d.name, kind, n), kind, accounts[n%len(accounts)])
				tr.checkResult(r)
				return r.status == http.StatusOK && r.err == nil
			})
		}
	}
}

// saveLogs copies the daemons' logs of a failed run to AZUREHATCH_SOAK_LOGS.
func saveLogs(t *testing.T, bed *testbed, seed uint64) {
	dir := os.Getenv("AZUREHATCH_SOAK_LOGS")
	if dir == "" {
		return
	}
	to := fmt.Sprintf("%s/seed-%d", dir, seed)
	if err := os.CopyFS(to, os.DirFS(bed.daemons[0].dir)); err != nil {
		t.Errorf("save logs: %v", err)
	}
}

// regressions are seeds that once failed, with the cause.
var regressions = []struct {
	seed   uint64
	faults faultList
	cause  string
}{
	{17, allFaults, "a planned stop reset a connection whose request had not been read yet, on a machine with a load of 20"},
	{13, allFaults, "the test sent requests to a daemon that had started but was not ready yet"},
	{401, allFaults, "the HTTP library wrote bytes that followed a response to standard error"},
	{406, allFaults, "the same"},
	{4025, allFaults, "budget records that peers had told were forgotten when these ended before a new era's record was written"},
	{6001, replaceFaults, "a late copy of a refusal counted for the next attempt of its request"},
}

// Guards against guarantees that are violated in a short series of overlapping faults.
func TestSoakShort(t *testing.T) {
	for _, seed := range []uint64{1, 2, 4} { // 4 begins with a planned stop
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, 3, shortRun, allFaults)
		})
	}
	t.Run("limits", func(t *testing.T) {
		t.Parallel()
		runSeed(t, 1, 3, shortRun+limitWindow, limitFaults)
	})
	t.Run("cold", func(t *testing.T) {
		t.Parallel()
		runSeed(t, 1, 3, shortRun, coldFaults)
	})
}

// TestSoak runs AZUREHATCH_SOAK_SEEDS seeds from AZUREHATCH_SOAK_FIRST on, and the
// regressions. Guards against violations that only a few seeds reveal.
func TestSoak(t *testing.T) {
	count := envInt(t, "AZUREHATCH_SOAK_SEEDS", 0)
	if count == 0 {
		t.Skip("AZUREHATCH_SOAK_SEEDS is not set; see docs/soak.md")
	}
	daemons := envInt(t, "AZUREHATCH_SOAK_DAEMONS", 4)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression=%d", r.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed, daemons, longRun, r.faults)
		})
	}
	first := envInt(t, "AZUREHATCH_SOAK_FIRST", 1)
	for seed := first; seed < first+count; seed++ {
		for _, series := range []struct {
			prefix string
			faults faultList
		}{
			{"", allFaults},
			{"restores/", restoreFaults},
			{"replacements/", replaceFaults},
			{"limits/", limitFaults},
			{"evacuations/", evacuateFaults},
			{"cold/", coldFaults},
		} {
			t.Run(fmt.Sprint(series.prefix, "seed=", seed), func(t *testing.T) {
				t.Parallel()
				runSeed(t, uint64(seed), daemons, longRun, series.faults)
			})
		}
	}
}

func envInt(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		t.Fatalf("%s: %q is not a number", name, text)
	}
	return n
}
