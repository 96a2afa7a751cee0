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
	crashingPath = "/item/crash"
)

// itemRoute returns a route of safe requests to a service.
func itemRoute(service string) map[string]any {
	return map[string]any{
		"name": "item", "prefix": "/item/", "route_type": "safe", "service": service, "timeout_ms": 2500,
		"target_latency_ms": 150, "max_attempts": 1,
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
// it fails: clients retry safe requests after any failure.
func (f *fleet) sendCrashing(n int) {
	for try := range 2 {
		q := lookup(fmt.Sprintf("crash%d-%d", n, try), crashingPath)
		a := f.send(f.daemons[(2*n+try)%len(f.daemons)], q)
		f.note("%s: status %d, error %v, reached %d workers", q.id, a.status, a.err, len(f.runsOf(q.id)))
		if a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout && a.err == nil {
			return
		}
	}
}

// lookup is a safe request.
func lookup(id, path string) request {
	return request{id: id, method: http.MethodGet, path: path, key: theKey, deadline: 2500 * time.Millisecond}
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
		f.note("the route moves from %s to %s", plainName, secondPlainName)
		f.configure(crashTenants, itemRoute(secondPlainName))
	})
}

var crashTenants = []tenant{{Name: "hule930", Keys: []string{theKey}, Prepaid: 3110070}}

// playCrashing lets a request crash workers until it is refused, disturbs the system and lets
// the request come again, at machines that are in touch.
func (f *fleet) playCrashing(disturb func()) int {
	f.configure(crashTenants, itemRoute(plainName))
	f.addWorkers(plainName, 4, 6, 30*time.Millisecond)
	f.addWorkers(secondPlainName, 4, 6, 30*time.Millisecond)
	f.addWorkers(engineName, 12, 64, 2*time.Millisecond)
	var mu sync.Mutex
	var reached []time.Time
	for _, k := range f.workers[:8] {
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
	for n := range 4 {
		f.sendCrashing(n)
		time.Sleep(workerReturn + time.Second)
	}
	mu.Lock()
	if len(reached) < 3 {
		f.unusable("only %d crashes at first", len(reached))
	}
	third := reached[2]
	mu.Unlock()
	time.Sleep(contact)
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
		f.send(f.daemons[c], lookup(fmt.Sprintf("u%d-%d", c, n), fmt.Sprintf("/item/%d-%d", c, n)))
		time.Sleep(150 * time.Millisecond)
	}
}
