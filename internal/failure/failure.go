// Package failure attaches to an error the step that failed and the peer with
// which it failed, so that a log line or a refusal can name both.
package failure

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with the step and the peer at which it arose.
type Error struct {
	// Step is the operation that failed, for example "budget.reserve".
	Step string
	// Peer is the address or name of the other side; empty if there is none.
	Peer string
	// Err is the cause; never nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// At returns err with step, peer and a stack trace; nil stays nil.
func At(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&Error{Step: step, Peer: peer, Err: err})
}

// Location returns the outermost step and peer recorded in err, empty if none.
func Location(err error) (step, peer string) {
	var e *Error
	if errors.As(err, &e) {
		return e.Step, e.Peer
	}
	return "", ""
}
