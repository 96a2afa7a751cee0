// Package failure annotates errors with the step that failed and the peer involved,
// so that log lines and error responses can name both.
package failure

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error annotated with the step that failed and the peer involved.
type Error struct {
	// Step is the operation that failed, for example "budget.reserve".
	Step string
	// Peer is the address or name of the remote side; empty if there is none.
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

// At annotates err with step, peer and a stack trace. It returns nil if err is nil.
func At(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&Error{Step: step, Peer: peer, Err: err})
}

// Location returns the step and peer of the outermost Error in err's chain; both are
// empty if there is none.
func Location(err error) (step, peer string) {
	var e *Error
	if errors.As(err, &e) {
		return e.Step, e.Peer
	}
	return "", ""
}
