//go:build review3

package main

import (
	"fmt"
	"sync"
	"time"
)

// config returns a configuration with a stream on the model service and two plain routes.
func config(version int, prepaid int64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "ask", "host": "ficu95.example", "prefix": "/ask/", "route_type": "streaming", "timeout_ms": 3000, "target_latency_ms": 500, "priority": 0, "service": "llm", "max_attempts": 1, "allow_anonymous": false, "sticky": true, "resumable": false, "gap_aim_ms": 500},
			{"name": "reserve", "host": "ficu95.example", "prefix": "/reserve/", "route_type": "unsafe", "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1, "allow_anonymous": false, "sticky": false, "resumable": false, "gap_aim_ms": 0},
			{"name": "lookup", "host": "ficu95.example", "prefix": "/lookup/", "route_type": "safe", "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 2, "allow_anonymous": false, "sticky": false, "resumable": false, "gap_aim_ms": 0},
		},
		"services": []map[string]any{
			{"name": "llm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 538756, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "stride": stride, "most": 12}},
			{"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1, "prepaid": prepaid}},
	}
}

const key = "n2ctnfzs989anu6wsjnb"

// oddEntry: another writer puts an entry with fields missing under the id of a worker, which names
// another service than the worker's own. Such an entry names no worker to use.
func oddEntry(w *world) (string, error) {
	if err := w.put("op/config", config(7, 3110070)); err != nil {
		return "", err
	}
	var desk *worker
	for i, service := range []string{"llm", "llm", "desk", "desk"} {
		k, err := w.addWorker(fmt.Sprintf("i-%d", i), service, []string{"pos-a", "cgs-b"}[i%2], 6, 30*time.Millisecond, 5*time.Millisecond)
		if err != nil {
			return "", err
		}
		desk = k
	}
	if err := w.addDaemons(3); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	sendAll := func(d time.Duration) {
		for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
			wg.Go(func() {
				to := w.daemons[n%len(w.daemons)]
				a := w.send(to, "POST", "/ask/2f", key, "400,300", 3*time.Second, "prompt")
				for _, k := range w.ranAt(a.id) {
					if k.service != "llm" {
						mu.Lock()
						broken++
						mu.Unlock()
						w.note("ROUTE: %s of route ask, which may go to service llm only, is run by %s of service %s", a.id, k.id, k.service)
					}
				}
			})
			wg.Go(func() {
				w.send(w.daemons[n%len(w.daemons)], "POST", "/reserve/2f", key, "", 2500*time.Millisecond, "order")
			})
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(contactTime)
	sendAll(2 * time.Second)
	if w.trouble {
		// The entry lies in the store until the worker's next report.
		reports := desk.beats.Load()
		if err := w.await(2*heartbeat, "the worker reports", func() bool { return desk.beats.Load() > reports }); err != nil {
			return "", err
		}
		w.note("another writer writes servers/%s without version, cold_remaining_ms and sequence", desk.id)
		if err := w.put("servers/"+desk.id, map[string]any{"service": "llm", "address": desk.addr, "zone": desk.zone, "slots": desk.slots, "state": "ready"}); err != nil {
			return "", err
		}
	}
	sendAll(3 * time.Second)
	wg.Wait()
	if broken > 0 {
		return fmt.Sprintf("ROUTE: %d requests of a route to service llm were run by a worker of service desk", broken), nil
	}
	return "", nil
}
