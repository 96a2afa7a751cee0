package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Zones of the small deployment mbed-tt, with a place for each of its seven machines.
var machineZones = []string{"pos-a", "pos-a", "cgs-b", "cgs-b", "arm-c", "arm-c", "sfd-d"}

// fleet is a deployment: the store, workers and daemons of the project.
type fleet struct {
	dir     string
	program string
	store   *store
	// storeAddr is the address at which the store listens.
	storeAddr string
	daemons   []*daemon
	workers   []*worker

	mu       sync.Mutex
	arrivals []arrival
	version  int
	record   *os.File
	begun    time.Time
}

func newFleet() *fleet {
	f := &fleet{store: newStore(), begun: time.Now(), program: must(filepath.Abs("target/azurehatch"))}
	f.storeAddr = f.store.listen()
	f.dir = must(os.MkdirTemp("", "review-"))
	f.record = must(os.Create(filepath.Join(caseDir, "record.txt")))
	if _, err := os.Stat(f.program); err != nil {
		f.unusable("the program is not built: %v", err)
	}
	return f
}

// note writes a line to the record and to standard output.
func (f *fleet) note(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  %s", time.Since(f.begun).Seconds(), fmt.Sprintf(format, args...))
	fmt.Println(line)
	f.detail(line)
}

// log writes a line to the record only.
func (f *fleet) log(format string, args ...any) {
	f.detail(fmt.Sprintf("%7.3f s  %s", time.Since(f.begun).Seconds(), fmt.Sprintf(format, args...)))
}

func (f *fleet) detail(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintln(f.record, line)
}

// unusable ends the case: it could not run.
func (f *fleet) unusable(format string, args ...any) {
	f.note("the case could not run: "+format, args...)
	f.end(2)
}

// end ends all processes and the case.
func (f *fleet) end(code int) {
	for _, d := range f.daemons {
		d.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	os.Exit(code)
}

// ran records a run of a request.
func (f *fleet) ran(a arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
	fmt.Fprintf(f.record, "%7.3f s  %s of %s runs %s: %s %s\n", time.Since(f.begun).Seconds(), a.worker, a.service,
		a.header.Get("X-Request-Id"), a.method, a.uri)
}

// runsOf returns the runs of a request.
func (f *fleet) runsOf(id string) (list []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.header.Get("X-Request-Id") == id {
			list = append(list, a)
		}
	}
	return list
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name    string   `json:"name"`
	Keys    []string `json:"api_keys"`
	Prepaid int64    `json:"prepaid"`
}

// configure writes a new version of the configuration. routes are added to the usual ones.
func (f *fleet) configure(tenants []tenant, routes ...map[string]any) {
	f.version += 3
	route := func(name, prefix, kind, service string, fields map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "shop.example", "prefix": prefix, "route_type": kind, "timeout_ms": 12000,
			"target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": false,
			"sticky": service == engineName, "resumable": false, "gap_aim_ms": 500,
		}
		for k, v := range fields {
			r[k] = v
		}
		return r
	}
	all := append([]map[string]any{
		route("plan", "/plan/", "streaming", engineName, map[string]any{"max_attempts": 1}),
		route("order", "/order/", "unsafe", plainName, map[string]any{"timeout_ms": 2500, "target_latency_ms": 150, "max_attempts": 1}),
		route("look", "/look/", "safe", plainName, map[string]any{"timeout_ms": 2500, "target_latency_ms": 150}),
	}, routes...)
	for i, r := range routes {
		all[len(all)-len(routes)+i] = route(r["name"].(string), r["prefix"].(string), r["route_type"].(string), r["service"].(string), r)
	}
	text := must(json.Marshal(map[string]any{
		"version": f.version, "routes": all,
		"services": []map[string]any{
			engineService(engineName), plainService(plainName), plainService(secondPlainName),
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}))
	f.store.put("op/config", text)
	f.note("the operator writes version %d", f.version)
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": kvCapacity, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "moves": true, "backups": true,
			"stride": stride, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
		},
	}
}

// addWorkers starts n workers of a service.
func (f *fleet) addWorkers(service string, n, slots int, step time.Duration) {
	for i := range n {
		k := &worker{id: fmt.Sprintf("i-%s%d", service, i), service: service, zone: machineZones[i%len(machineZones)], slots: slots, step: step, fleet: f}
		k.start("")
		f.workers = append(f.workers, k)
	}
}

// daemon is a process of the system on a machine.
type daemon struct {
	f                             *fleet
	name, zone                    string
	callers, ready, mesh, metrics string
	starts                        int
	cmd                           *exec.Cmd
	done                          chan struct{}
}

// startFleet starts n machines and waits until they are ready.
func (f *fleet) startFleet(n int) {
	for i := range n {
		d := &daemon{f: f, name: fmt.Sprintf("front-%s-%d", machineZones[i], i), zone: machineZones[i]}
		d.callers, d.ready, d.mesh, d.metrics = freeAddr(), freeAddr(), freeAddr(), freeAddr()
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		d.start()
	}
	for _, d := range f.daemons {
		if !d.awaitReady(10 * time.Second) {
			f.unusable("%s is not ready", d.name)
		}
	}
	f.note("%d machines are ready", n)
}

// Ports of the machines: below those that the kernel gives to outgoing connections, and apart
// from those of other cases that run at the same time.
const (
	firstPort    = 12000
	portsOfACase = 200
	casesAtOnce  = 90
)

var nextPort = firstPort + os.Getpid()%casesAtOnce*portsOfACase

// freeAddr returns a free loopback address.
func freeAddr() string {
	for range portsOfACase {
		nextPort++
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort)); err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	return must("", errors.New("no free port"))
}

// settings fills in the template of the deploy file.
func (d *daemon) settings() string {
	var seeds []string
	for _, other := range d.f.daemons[:min(3, len(d.f.daemons))] {
		seeds = append(seeds, other.mesh)
	}
	quoted := func(v any) string { return string(must(json.Marshal(v))) }
	host, port, _ := net.SplitHostPort(d.metrics)
	text := string(must(os.ReadFile("deploy/settings.toml")))
	return strings.NewReplacer(
		"{{node_name|json}}", quoted(d.name), "{{zone|json}}", quoted(d.zone), "{{region|json}}", quoted("tt-north"),
		"{{bootstrap}}", fmt.Sprint(d.starts == 0), "{{listen.front|json}}", quoted(d.callers), "{{listen.ready|json}}", quoted(d.ready),
		"{{listen.control|json}}", quoted(d.mesh), "{{seeds|json}}", quoted(seeds), "{{ip}}", host, "{{internal_ports.0}}", port,
		"{{platform.address|json}}", quoted(d.f.storeAddr), "{{limits.memory_mb}}", "284",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "54", "{{bounds.retry_window_s}}", "10",
		"{{bounds.grace_s}}", "8", "{{bounds.config_ms}}", "2000", "{{bounds.drain_ms}}", "2000",
	).Replace(text)
}

func (d *daemon) start() {
	file := filepath.Join(d.f.dir, d.name+".json")
	if err := os.WriteFile(file, []byte(d.settings()), 0o600); err != nil {
		d.f.unusable("settings: %v", err)
	}
	d.starts++
	out := must(os.Create(filepath.Join(d.f.dir, fmt.Sprintf("%s.%d.log", d.name, d.starts))))
	defer out.Close()
	d.cmd = exec.Command(d.f.program, "front", "--settings", file)
	d.cmd.Env = append(os.Environ(), "AZUREHATCH_BOOT="+file)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		d.f.unusable("%s: %v", d.name, err)
	}
	d.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(d.cmd, d.done)
	d.f.log("%s starts (start %d)", d.name, d.starts)
}

func (d *daemon) signal(s syscall.Signal) {
	d.f.log("%s gets %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.done
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}
