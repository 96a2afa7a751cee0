// Package hangup catches SIGHUP from the initialization of the process on. Until a handler is
// registered, the signal ends a Go process: a daemon that had just been started and was then told
// that its settings had changed exited.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals receives the signals of a process that handles SIGHUP.
var signals = make(chan os.Signal, 4)

// This runs before packages that depend on most of the program are initialized. For other commands
// SIGHUP keeps its default, so that they end with their terminal.
func init() {
	if len(os.Args) > 1 && os.Args[1] == "front" {
		signal.Notify(signals, syscall.SIGHUP)
	}
}

// Signals returns the channel that receives SIGHUP, also those before the call, and the given
// signals from now on.
func Signals(others ...os.Signal) <-chan os.Signal {
	signal.Notify(signals, append(others, syscall.SIGHUP)...)
	return signals
}
