package hangup

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the part of a daemon that is told to reload before it handles signals.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 || os.Args[1] != "front" {
		os.Exit(m.Run())
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		os.Exit(2)
	}
	select {
	case <-Signals(syscall.SIGTERM):
	case <-time.After(5 * time.Second):
		os.Exit(3)
	}
}

// Guards against a daemon that ends, or misses the signal, if SIGHUP arrives before its handler is
// registered.
func TestEarlySIGHUPIsKept(t *testing.T) {
	if out, err := exec.Command(os.Args[0], "front").CombinedOutput(); err != nil {
		t.Errorf("the process ended with %v: %s", err, out)
	}
}
