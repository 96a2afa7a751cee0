package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the pages for this case.
const (
	contact      = 3 * time.Second // contact_ms
	mostRetries  = 3               // of a request that crashes workers
	workerReturn = 3 * time.Second // "back after some seconds"
	askPath      = "/ask/"
	crashingPath = "/ask/crash"
)

// askRoute returns a route to a service whose streams may be resumed at a second worker.
func askRoute(service string) map[string]any {
	return map[string]any{
		"name": "ask", "prefix": askPath, "route_type": "streaming", "service": service, "timeout_ms": 12000,
		"target_latency_ms": 500, "priority": 0, "max_attempts": 2, "resumable": true,
	}
}

// crashOn makes a worker crash as soon as it begins to run a request for crashingPath.
func (k *worker) crashOn(reached *[]time.Time, mu *sync.Mutex) {
	hook := func(_ http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.RequestURI, crashingPath) {
			return false
		}
		k.fleet.ran(arrival{k.id, k.service, time.Now(), r.Header.Clone(), r.Method, r.RequestURI})
		mu.Lock()
		*reached = append(*reached, time.Now())
		mu.Unlock()
		addr := k.addr
		k.crash()
		k.fleet.log("%s crashes", k.id)
		time.AfterFunc(workerReturn, func() { k.start(addr); k.fleet.log("%s is back", k.id) })
		return true
	}
	k.hook.Store(&hook)
}

// sendCrashing sends the request that crashes workers, and once more at the next machine if
// it fails.
func (f *fleet) sendCrashing(n int) {
	for try := range 2 {
		q := generation(fmt.Sprintf("crash%d-%d", n, try), theKey, 800, 80)
		q.path, q.body, q.prefix = crashingPath, "the same body", "5c1e07a2:800"
		a := f.send(f.daemons[(n+try)%len(f.daemons)], q)
		f.note("%s: status %d, error %v, reached %d workers", q.id, a.status, a.err, len(f.runsOf(q.id)))
		if a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout && a.err == nil {
			return
		}
	}
}

// playPoison lets a request come again that has crashed workers, after all machines were
// killed at the same moment.
func playPoison(f *fleet) int {
	return f.playCrashing(func() {
		f.note("all machines are killed at the same moment and start again after 1 s")
		for _, d := range f.daemons {
			d.kill()
		}
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			d.start()
		}
		for _, d := range f.daemons {
			if !d.awaitReady(10 * time.Second) {
				f.unusable("%s is not ready again", d.name)
			}
		}
	})
}

// playMovedPoison lets a request come again that has crashed workers, after a version of the
// configuration moved its route to another service.
func playMovedPoison(f *fleet) int {
	return f.playCrashing(func() {
		f.note("the route %s moves to %s", askPath, secondEngineName)
		f.configure(crashTenants, askRoute(secondEngineName))
	})
}

var crashTenants = []tenant{{Name: "hule930", Keys: []string{theKey}, Prepaid: 3110070}}

// playCrashing lets a request crash workers until it is refused, disturbs the system and lets
// the request come again, at machines that are in touch.
func (f *fleet) playCrashing(disturb func()) int {
	f.configure(crashTenants, askRoute(engineName))
	f.addWorkers(engineName, 12, 64, 2*time.Millisecond)
	f.addWorkers(secondEngineName, 6, 64, 2*time.Millisecond)
	f.addWorkers(plainName, 4, 6, 30*time.Millisecond)
	var mu sync.Mutex
	var reached []time.Time
	for _, k := range f.workers[:18] {
		k.crashOn(&reached, &mu)
	}
	f.startFleet(7)
	var over atomic.Bool
	var traffic sync.WaitGroup
	for c := range 7 {
		traffic.Go(func() { f.usualTraffic(c, &over) })
	}
	defer func() { over.Store(true); traffic.Wait() }()
	time.Sleep(3 * time.Second)
	f.sendCrashing(0)
	time.Sleep(workerReturn + time.Second)
	f.sendCrashing(2)
	mu.Lock()
	if len(reached) < 3 {
		f.unusable("only %d crashes at first", len(reached))
	}
	third := reached[2]
	mu.Unlock()
	time.Sleep(contact + time.Second)
	if trouble {
		disturb()
	}
	time.Sleep(12 * time.Second) // well over contact_ms and config_ms
	for n := range 4 {
		f.sendCrashing(4 + n)
		time.Sleep(workerReturn + time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range reached {
		if at.Sub(third) > contact {
			late++
		}
	}
	f.note("the request reached workers %d times, %d of these over %v after its third crash", len(reached), late, contact)
	if late > mostRetries {
		f.note("BUDGET is broken: a request that crashes workers reached them in %d retries", late)
		return 1
	}
	return 0
}

// usualTraffic sends sound requests to a machine, a few each second, until over is set.
func (f *fleet) usualTraffic(c int, over *atomic.Bool) {
	for n := 0; !over.Load(); n++ {
		q := generation(fmt.Sprintf("u%d-%d", c, n), theKey, 800, 60)
		q.path, q.prefix = askPath+"x", fmt.Sprintf("%x:800", 0xa0000+c*10000+n)
		f.send(f.daemons[c], q)
		time.Sleep(150 * time.Millisecond)
	}
}
