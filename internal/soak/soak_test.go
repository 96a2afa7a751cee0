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

// Length of the faults of a run.
const (
	shortRun = 6 * time.Second
	longRun  = 15 * time.Second
)

// day is one run with its faults.
type day struct {
	w   *world
	rng *rand.Rand
	wg  sync.WaitGroup
	// busy holds the daemons and endpoints with a fault of their process.
	mu   sync.Mutex
	busy map[any]bool
	log  []string
}

func (y *day) note(format string, args ...any) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.log = append(y.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// claim takes a process for one fault; false if it has one already.
func (y *day) claim(what any) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.busy[what] {
		return false
	}
	y.busy[what] = true
	return true
}

func (y *day) release(what any) {
	y.mu.Lock()
	defer y.mu.Unlock()
	delete(y.busy, what)
}

// during runs begin now and end after a while, beside other faults.
func (y *day) during(d time.Duration, begin, end func()) {
	begin()
	y.wg.Go(func() {
		time.Sleep(d)
		end()
	})
}

// play starts faults in a seeded order until the time is over, and waits for
// their ends.
func (y *day) play(length time.Duration) {
	faults := []func(time.Duration){
		y.cutStorePath, y.cutStorePath, y.cutAllStorePaths, y.refuseCalls, y.hangStore, y.disturbWorker, y.crashWorker, y.drainWorker,
		y.killDaemon, y.pauseDaemon, y.stopDaemon, y.reload, y.reconfigure, y.reconfigure, y.storm,
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[y.rng.IntN(len(faults))]
		f(time.Duration(300+y.rng.IntN(3500)) * time.Millisecond)
		time.Sleep(time.Duration(150+y.rng.IntN(700)) * time.Millisecond)
	}
	y.wg.Wait()
}

func (y *day) daemon() *daemon { return y.w.daemons[y.rng.IntN(len(y.w.daemons))] }
func (y *day) worker() *worker { return y.w.workers[y.rng.IntN(len(y.w.workers))] }
func (y *day) fault() fault    { return fault(1 + y.rng.IntN(int(mute))) }

func (y *day) cutStorePath(d time.Duration) {
	dm, f := y.daemon(), y.fault()
	if !y.claim(dm.store) {
		return
	}
	y.note("store path of %s %v for %v", dm.name, f, d)
	y.during(d, func() { dm.store.set(f); dm.touch(1) }, func() { dm.store.set(healthy); dm.touch(-1); y.release(dm.store) })
}

func (y *day) cutAllStorePaths(d time.Duration) {
	f := y.fault()
	for _, dm := range y.w.daemons {
		if y.claim(dm.store) {
			y.note("store path of %s %v for %v", dm.name, f, d)
			y.during(d, func() { dm.store.set(f); dm.touch(1) }, func() { dm.store.set(healthy); dm.touch(-1); y.release(dm.store) })
		}
	}
}

func (y *day) storeFault(d time.Duration, begin, end func()) {
	if !y.claim(y.w.store) {
		return
	}
	y.during(d, func() { y.w.disturb(&y.w.storeFault, &y.w.storeFaults, 1); begin() }, func() {
		end()
		y.w.disturb(&y.w.storeFault, &y.w.storeFaults, -1)
		y.release(y.w.store)
	})
}

func (y *day) refuseCalls(d time.Duration) {
	status := []int64{http.StatusServiceUnavailable, http.StatusTooManyRequests}[y.rng.IntN(2)]
	y.note("store answers %d for %v", status, d)
	y.storeFault(d, func() { y.w.store.Status.Store(status) }, func() { y.w.store.Status.Store(0) })
}

func (y *day) hangStore(d time.Duration) {
	y.note("store gives no answers for %v", d)
	y.storeFault(d, func() { y.w.store.Hang.Store(true) }, func() { y.w.store.Hang.Store(false) })
}

func (y *day) workerFault(k *worker, d time.Duration, begin, end func()) {
	if !y.claim(k) {
		return
	}
	y.during(d, func() { y.w.disturb(&y.w.workerFault, &y.w.workerFaults, 1); begin() }, func() {
		end()
		y.w.disturb(&y.w.workerFault, &y.w.workerFaults, -1)
		y.release(k)
	})
}

func (y *day) disturbWorker(d time.Duration) {
	k, f := y.worker(), y.fault()
	y.note("path of %s %v for %v", k.ID, f, d)
	y.workerFault(k, d, func() { k.proxy.set(f) }, func() { k.proxy.set(healthy) })
}

func (y *day) crashWorker(d time.Duration) {
	k := y.worker()
	y.note("%s crashes for %v", k.ID, d)
	y.workerFault(k, d, k.Crash, func() {
		if err := k.Start(k.own); err != nil {
			y.w.t.Errorf("start of %s: %v", k.ID, err)
		}
		y.w.announce(k)
	})
}

// drainWorker lets an endpoint tell that it takes no new work, for longer than
// the bound after which none may come.
func (y *day) drainWorker(d time.Duration) {
	k := y.worker()
	if !y.claim(k) {
		return
	}
	y.note("%s drains", k.ID)
	k.SetDraining(true)
	y.w.announce(k)
	told := time.Now()
	y.wg.Go(func() {
		time.Sleep(drainBound + d)
		late := k.LastArrival().Sub(told)
		if late > drainBound && !y.w.stalledSince(told) && !y.w.storeTroubled(told) && !y.w.anyDaemonTroubled(told) {
			y.w.violate("%s got work %v after it told that it drains", k.ID, late)
		}
		k.SetDraining(false)
		y.w.announce(k)
		y.release(k)
	})
}

func (y *day) restart(dm *daemon) {
	if err := dm.start(); err != nil {
		y.w.t.Errorf("start of %s: %v", dm.name, err)
	}
	y.release(dm)
}

func (y *day) killDaemon(d time.Duration) {
	dm := y.daemon()
	if !y.claim(dm) {
		return
	}
	y.note("%s is killed for %v", dm.name, d)
	y.during(d, dm.kill, func() { y.restart(dm) })
}

func (y *day) pauseDaemon(d time.Duration) {
	dm := y.daemon()
	if !y.claim(dm) {
		return
	}
	y.note("%s is paused for %v", dm.name, d)
	y.during(d, func() { dm.signal(syscall.SIGSTOP) }, func() { dm.signal(syscall.SIGCONT); y.release(dm) })
}

func (y *day) stopDaemon(time.Duration) {
	dm := y.daemon()
	if !y.claim(dm) {
		return
	}
	y.note("%s stops as planned", dm.name)
	begun := time.Now()
	y.wg.Go(func() {
		if !dm.stop() && !dm.troubled(begun) && !y.w.stalledSince(begun) {
			y.w.violate("%s did not stop within %v", dm.name, grace)
		}
		y.restart(dm)
	})
}

func (y *day) reload(time.Duration) {
	dm := y.daemon()
	if !y.claim(dm) {
		return
	}
	defer y.release(dm)
	y.note("%s gets its settings anew", dm.name)
	if _, err := dm.writeSettings(); err != nil {
		y.w.t.Error(err)
	}
	dm.signal(syscall.SIGHUP)
}

func (y *day) reconfigure(time.Duration) {
	account := accounts[y.rng.IntN(len(accounts))]
	y.note("new configuration, %s gets tokens", account)
	y.w.configure(func(prepaid map[string]int64) { prepaid[account] += topUp })
}

func (y *day) storm(time.Duration) {
	y.note("four configurations in a row")
	for range 4 {
		y.w.configure(nil)
		time.Sleep(100 * time.Millisecond)
	}
}

// soak plays one seed with some daemons and reports each broken promise.
func soak(t *testing.T, seed uint64, daemons int, length time.Duration) {
	w := newWorld(t, daemons)
	tr := newTraffic(w)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { tr.balance(ctx) })
	callers.Go(func() { w.watchStalls(ctx) })
	for i := range 3 * daemons {
		callers.Go(func() { tr.caller(ctx, i) })
	}
	for _, d := range w.daemons {
		callers.Go(func() { tr.watchConfig(ctx, d) })
	}
	y := &day{w: w, rng: rand.New(rand.NewPCG(seed, 1)), busy: make(map[any]bool)}
	y.play(length)
	tr.awaitRecovery(w)
	cancel()
	callers.Wait()
	tr.checkRuns()
	for _, d := range w.daemons {
		d.checkOutput(t)
	}
	t.Logf("seed %d: %d requests, served %v, spent %v; stood still %d times", seed, tr.total, tr.served, tr.spent, w.stalls)
	if len(w.violations) > 0 || t.Failed() {
		for _, v := range w.violations {
			t.Errorf("broken: %s", v)
		}
		for _, f := range y.log {
			t.Logf("fault: %s", f)
		}
		keepLogs(t, w, seed)
	}
}

// awaitRecovery waits until each daemon serves each kind of request again.
func (tr *traffic) awaitRecovery(w *world) {
	w.configure(func(prepaid map[string]int64) {
		for _, a := range accounts {
			prepaid[a] += 4 * topUp
		}
	})
	client := newClient()
	defer client.CloseIdleConnections()
	n := 0
	for _, d := range w.daemons {
		for _, kind := range kinds {
			w.await(fmt.Sprintf("%s serves %s after the faults", d.name, kind), recoverBound, func() bool {
				n++
				r := send(client, d, fmt.Sprintf("after-%s-%s-%d", d.name, kind, n), kind, accounts[n%len(accounts)])
				tr.check(r)
				return r.status == http.StatusOK && r.err == nil
			})
		}
	}
}

// keepLogs copies the daemons' logs of a failed run to AZUREHATCH_SOAK_LOGS.
func keepLogs(t *testing.T, w *world, seed uint64) {
	dir := os.Getenv("AZUREHATCH_SOAK_LOGS")
	if dir == "" {
		return
	}
	to := fmt.Sprintf("%s/seed-%d", dir, seed)
	if err := os.CopyFS(to, os.DirFS(w.daemons[0].dir)); err != nil {
		t.Errorf("logs not kept: %v", err)
	}
}

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{17, "a planned stop reset a connection whose request was not read yet, on a machine with a load of 20"},
	{13, "the soak sent requests to a daemon that had started and was not ready yet"},
}

// Guards against a broken promise in a short series of faults that overlap.
func TestSoakShort(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, 3, shortRun)
		})
	}
}

// TestSoak plays AZUREHATCH_SOAK_SEEDS seeds from AZUREHATCH_SOAK_FIRST on, and
// the regressions. Guards against broken promises that few days show.
func TestSoak(t *testing.T) {
	count := number(t, "AZUREHATCH_SOAK_SEEDS", 0)
	if count == 0 {
		t.Skip("AZUREHATCH_SOAK_SEEDS is not set; see docs/soak.md")
	}
	daemons := number(t, "AZUREHATCH_SOAK_DAEMONS", 4)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression=%d", r.seed), func(t *testing.T) {
			t.Parallel()
			soak(t, r.seed, daemons, longRun)
		})
	}
	first := number(t, "AZUREHATCH_SOAK_FIRST", 1)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, uint64(seed), daemons, longRun)
		})
	}
}

func number(t *testing.T, name string, fallback int) int {
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
