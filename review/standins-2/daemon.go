package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is one entry daemon, started with the command of the deploy file.
type daemon struct {
	name, zone                   string
	callers, ready, mesh, metric string
	seeds                        []string
	store                        string
	dir                          string
	first                        bool
	cmd                          *exec.Cmd
	exited                       chan struct{}
	exitCode                     int
	starts                       int
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newDaemon(name, zone, store, dir string, seeds []string) *daemon {
	return &daemon{
		name: name, zone: zone, callers: freeAddr(), ready: freeAddr(), mesh: freeAddr(), metric: freeAddr(), seeds: seeds, store: store,
		dir: dir, first: true,
	}
}

// settings renders what the template of the deploy file renders for a small deployment.
func (d *daemon) settings() string {
	var seeds []string
	for _, s := range d.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s))
	}
	return fmt.Sprintf(`[instance]
name = %q
failure_domain = %q
region = "north"
first_start = %v

[instance.regions]
"z1" = "north"
"z2" = "north"

[listen]
callers = %q
ready = %q
mesh = %q
seeds = [%s]
metrics = %q

[store]
address = %q

[machine]
memory = "284MiB"
link_mbps = 1000.0

[bounds]
retry_ratio = 0.2
retry_slack = 54
retry_window = "10s"
grace = "8s"
configuration = "2000ms"
draining = "2000ms"
`, d.name, d.zone, d.first, d.callers, d.ready, d.mesh, strings.Join(seeds, ","), d.metric, d.store)
}

// program is the daemon's program as the deploy file builds it.
func program() string { return filepath.Join("target", "azurehatch") }

func (d *daemon) start() {
	file := filepath.Join(d.dir, d.name+".toml")
	if err := os.WriteFile(file, []byte(d.settings()), 0o600); err != nil {
		fail("settings: %v", err)
	}
	d.starts++
	log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s.%d.log", d.name, d.starts)))
	if err != nil {
		fail("log: %v", err)
	}
	cmd := exec.Command(program(), "front", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log

	if err := cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	d.first, d.cmd, d.exited = false, cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		log.Close()
		d.exitCode = cmd.ProcessState.ExitCode()
		close(exited)
	}(d.exited)
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// awaitReady waits until the readiness probe answers 200.
func (d *daemon) awaitReady(limit time.Duration) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + "/api/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	fail("daemon %s is not ready in %v", d.name, limit)
}
