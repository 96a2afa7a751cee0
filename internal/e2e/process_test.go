package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout limits each wait for an event. No test asserts on durations.
const waitTimeout = 90 * time.Second

const pollInterval = 50 * time.Millisecond

// binaryPath is the path of the azurehatch binary that TestMain builds.
var binaryPath string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "azurehatch-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryPath = filepath.Join(dir, "azurehatch")
	build := exec.Command("go", "build", "-o", binaryPath, "github.com/azurehatch/azurehatch/cmd/azurehatch")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// eventually polls until check returns nil, and fails the test with its last error
// after waitTimeout.
func eventually(t *testing.T, check func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(pollInterval)
	}
}

// process is a running or exited process of the binary.
type process struct {
	name    string
	cmd     *exec.Cmd
	logPath string

	exited   chan struct{}
	killOnce sync.Once
}

// startProcess starts the binary with args. The process is killed at the end of
// the test, and also shortly before the deadline of the test binary, because a test
// that times out runs no cleanup.
func startProcess(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	p := &process{
		name: name, cmd: exec.Command(binaryPath, args...), logPath: filepath.Join(dir, name+".log"),
		exited: make(chan struct{}),
	}
	out, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // the exit code is read from ProcessState
		close(p.exited)
	}()
	stopWatch := func() bool { return true }
	if deadline, ok := t.Deadline(); ok {
		stopWatch = time.AfterFunc(time.Until(deadline)-time.Second, p.kill).Stop
	}
	t.Cleanup(func() {
		p.kill()
		stopWatch()
		if t.Failed() {
			t.Logf("last part of the log of %s:\n%s", name, p.logTail())
		}
	})
	return p
}

// kill ends the process with SIGKILL and waits until it has exited.
func (p *process) kill() {
	p.killOnce.Do(func() { _ = p.cmd.Process.Kill() }) // fails only if the process has already exited
	<-p.exited
}

// signal sends a signal; the process must be running.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// awaitExit waits until the process exits by itself and returns its exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit in time", p.name)
		return 0
	}
}

func (p *process) logTail() []byte {
	const limit = 3000
	text, _ := os.ReadFile(p.logPath) // best effort: only used to report failures
	return text[max(0, len(text)-limit):]
}

// logLines returns the decoded log lines that have this message.
func (p *process) logLines(message string) []map[string]any {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return nil
	}
	var found []map[string]any
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for scanner.Scan() {
		var line map[string]any
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line["message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// awaitLog waits for a log line with this message and returns the first one.
func (p *process) awaitLog(t *testing.T, message string) map[string]any {
	t.Helper()
	var line map[string]any
	eventually(t, func() error {
		lines := p.logLines(message)
		if len(lines) == 0 {
			if !p.running() {
				t.Fatalf("%s exited early: %s", p.name, p.logTail())
			}
			return fmt.Errorf("%s has not logged %q", p.name, message)
		}
		line = lines[0]
		return nil
	})
	return line
}
