package platform

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of a Store. Each of them except ErrOutcomeUnknown means that the
// operation had no effect.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable means that the store did not execute the call.
	ErrUnavailable = errors.New("platform store unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrLimited means that the daemon's own call limit refused the call.
	ErrLimited = errors.New("platform call limit reached")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value exceeds 1 MiB")
)

// ConflictError is returned by a compare-and-swap or a delete whose expected
// revision did not match.
type ConflictError struct {
	Key      string
	Expected Revision
	// Actual is the current item; its Revision is 0 if the key does not exist.
	Actual Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has revision %s, expected %s", e.Key, e.Actual.Revision, e.Expected)
}

// AsConflict returns the ConflictError in err's chain, if any.
func AsConflict(err error) (*ConflictError, bool) {
	var c *ConflictError
	ok := errors.As(err, &c)
	return c, ok
}

// MultiConflictError is returned by a compare-and-swap of several keys if at
// least one of them did not have its expected revision.
type MultiConflictError struct {
	// Actual holds the current items of those keys that exist.
	Actual []Item
}

// Error implements error.
func (e *MultiConflictError) Error() string {
	return fmt.Sprintf("one of %d keys does not have its expected revision", len(e.Actual))
}

// AsMultiConflict returns the MultiConflictError in err's chain, if any.
func AsMultiConflict(err error) (*MultiConflictError, bool) {
	var c *MultiConflictError
	ok := errors.As(err, &c)
	return c, ok
}
