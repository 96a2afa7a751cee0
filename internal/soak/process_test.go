package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/settings"
	"github.com/azurehatch/azurehatch/internal/unit"
)

// binary is the path of the daemon's binary, which TestMain builds with the race
// detector.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "azurehatch-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "azurehatch")
	build := exec.Command("go", "build", "-race", "-o", binary, "github.com/azurehatch/azurehatch/cmd/azurehatch")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// gracePeriod is the time from SIGTERM to SIGKILL, as on the platform.
const gracePeriod = 8 * time.Second

// daemon is one instance with its current process.
type daemon struct {
	// stops counts the planned stops.
	stops             int
	name, domain, dir string
	// binary is the file of the program.
	binary                          string
	callerAddr, readyAddr, meshAddr string
	store                           *proxy
	seeds                           []string
	// paced is true if endpoints that come back get requests at a pace.
	paced bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
	starts int
	alive  bool
	// lastDisturbed is the last time at which the daemon was started, killed,
	// paused or cut off from the store, or such a fault ended.
	lastDisturbed time.Time
	// lastBehind is the last time at which a pause or a cut from the store began or ended.
	lastBehind time.Time
	// interruptions are the times at which the process was started, killed, paused or
	// resumed.
	interruptions []time.Time
	// stopRequested is when the current planned stop began, or zero.
	stopRequested time.Time
	paused        bool
	// wasReady is true if the process has been ready since its start.
	wasReady bool
	// openStoreFaults is the number of active faults of the path to the store.
	openStoreFaults int
}

func (d *daemon) settings() settings.Front {
	s := settings.DefaultFront()
	s.Instance = settings.FrontInstance{Name: d.name, FailureDomain: d.domain, Region: "r", FirstStart: d.starts == 0}
	s.Listen = settings.FrontListen{Callers: d.callerAddr, Ready: d.readyAddr, Mesh: d.meshAddr, Seeds: d.seeds}
	s.Store.Address = d.store.addr()
	s.Bounds.ColdRatio, s.Bounds.ColdSlack = coldRatio, coldSlack
	s.Pace.Enabled = d.paced
	s.Bounds.Grace = unit.Seconds(int(gracePeriod.Seconds()))
	return s
}

func (d *daemon) writeSettings() (string, error) {
	text, err := d.settings().Format()
	if err != nil {
		return "", err
	}
	file := filepath.Join(d.dir, d.name+".toml")
	return file, os.WriteFile(file, text, 0o600)
}

// start starts a new process of the daemon.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.writeSettings()
	if err != nil {
		return err
	}
	d.starts++
	d.log, err = os.Create(filepath.Join(d.dir, fmt.Sprintf("%s.%d.log", d.name, d.starts)))
	if err != nil {
		return err
	}
	errs, err := os.OpenFile(d.errorFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer errs.Close() // the process has its own copy
	d.cmd, d.exited = exec.Command(d.binary, "front", "--settings", file), make(chan struct{})
	d.cmd.Stdout, d.cmd.Stderr = d.log, errs
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.alive, d.wasReady, d.lastDisturbed, d.stopRequested = true, false, time.Now(), time.Time{}
	d.interruptions = append(d.interruptions, d.lastDisturbed)
	go func(cmd *exec.Cmd, exited chan struct{}, log *os.File) {
		_ = cmd.Wait()
		log.Close()
		d.mu.Lock()
		d.alive = false
		d.mu.Unlock()
		close(exited)
	}(d.cmd, d.exited, d.log)
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.alive {
		_ = d.cmd.Process.Signal(s)
	}
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		d.lastDisturbed = time.Now()
		d.interruptions = append(d.interruptions, d.lastDisturbed)
	}
	if s == syscall.SIGSTOP || s == syscall.SIGCONT {
		d.lastBehind = time.Now()
	}
	if s == syscall.SIGTERM && d.stopRequested.IsZero() {
		d.stopRequested = time.Now()
	}
	d.paused = s == syscall.SIGSTOP
}

// interruptedBetween reports whether the process was started, killed, paused or resumed in a
// span of time.
func (d *daemon) interruptedBetween(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.interruptions, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// recordStoreFault records the beginning (1) or end (-1) of a fault of the daemon's path
// to the store.
func (d *daemon) recordStoreFault(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastDisturbed = time.Now()
	d.lastBehind = d.lastDisturbed
	d.openStoreFaults += change
}

// mayBeBehindSince reports whether a pause or a cut from the store, since a time, may have kept
// changes of the store from the daemon. A start doesn't: a daemon reads the store before it serves.
func (d *daemon) mayBeBehindSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paused || d.openStoreFaults > 0 || d.lastBehind.After(since)
}

// kill kills the process and waits for its exit.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exit()
}

// stop stops the process with SIGTERM and kills it after gracePeriod. It reports whether
// the process exited in time.
func (d *daemon) stop() (inTime bool) {
	d.signal(syscall.SIGTERM)
	if d.stops++; d.stops%2 == 0 { // every other stop is ordered twice
		again := time.AfterFunc(300*time.Millisecond, func() { d.signal(syscall.SIGTERM) })
		defer again.Stop()
	}
	select {
	case <-d.exit():
		return true
	case <-time.After(gracePeriod):
		d.kill()
		return false
	}
}

func (d *daemon) exit() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// disturbedSince reports whether a fault has affected the daemon since a time.
func (d *daemon) disturbedSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paused || d.openStoreFaults > 0 || !d.alive && d.stopRequested.IsZero() || d.lastDisturbed.After(since)
}

// hasBeenReady reports whether the process has been ready, after which callers may send
// requests to it.
func (d *daemon) hasBeenReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wasReady
}

func (d *daemon) markReady() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wasReady = d.alive
}

// stoppingBy reports whether the process has exited or a planned stop had begun by a
// time.
func (d *daemon) stoppingBy(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.alive || !d.stopRequested.IsZero() && !d.stopRequested.After(at)
}

// errorFile holds the standard error of all processes of the daemon.
func (d *daemon) errorFile() string { return filepath.Join(d.dir, d.name+".stderr") }

// checkOutput kills the daemon and reports the standard error of all its processes, to
// which panics and data races are written.
func (d *daemon) checkOutput(t *testing.T) {
	d.kill()
	text, err := os.ReadFile(d.errorFile())
	if err != nil {
		t.Error(err)
	}
	if len(text) > 0 {
		t.Errorf("%s wrote to standard error: %s", d.name, text)
	}
}
