// Package upstream sends requests to endpoints over HTTP and relays their
// responses. It reports for each failure whether the endpoint may have run the
// request.
package upstream

import "github.com/pkg/errors"

// Headers that the daemon and an endpoint exchange in addition to HTTP's own.
const (
	HeaderRequestID   = "X-Request-ID"
	HeaderLastEventID = "Last-Event-ID"
	HeaderResumable   = "X-Resumable"
	HeaderPriority    = "X-Priority"
	HeaderDeadline    = "X-Deadline-Ms"
)

// Ran says whether an endpoint ran a request.
type Ran string

// The values of Ran. RanNo is used only if it is certain that the request did not
// run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failed exchange with an endpoint.
type Error struct {
	// Endpoint is the endpoint's ID.
	Endpoint string
	// Ran says whether the endpoint ran the request.
	Ran Ran
	// Connected is true if a connection was established, Reused if it had carried an
	// earlier request.
	Connected, Reused bool
	// Written is the number of bytes of the request that were written, and that the
	// endpoint may have received.
	Written int64
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return "endpoint " + e.Endpoint + " (ran: " + string(e.Ran) + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RanOf returns the Ran of the *Error in err's chain, RanUnknown if there is none.
func RanOf(err error) Ran {
	var e *Error
	if errors.As(err, &e) {
		return e.Ran
	}
	return RanUnknown
}

// ErrConnectTime is the cause of a call that had no connection within Call.ConnectWithin. It says
// nothing about the endpoint.
var ErrConnectTime = errors.New("no connection within the time for it")

// Errors of responses.
var (
	// ErrStatus means that the endpoint is up and answered with an error status.
	ErrStatus = errors.New("the endpoint answered with an error status")
	// ErrOtherResponse means that a response belongs to an earlier request.
	ErrOtherResponse = errors.New("the endpoint's response belongs to an earlier request")
	// ErrInvalidStatus means that a status is not that of a final response, 200 to 599.
	ErrInvalidStatus = errors.New("the endpoint answered with a status outside of the protocol")
)
