// Package admission decides when a request of a pool may start: at once, after
// a bounded wait, or not at all.
//
// A Queue is the admission state of one daemon for one pool. It performs no I/O
// and is not safe for concurrent use: the caller serializes the calls and
// passes the current time. The caller assigns each request an ID, which the
// Queue returns when the request may start or is refused.
package admission

import "time"

// RequestID is the caller's ID of a request, unique within the Queue while the
// request is queued or running.
type RequestID uint64

// Reason is the reason for refusing a request. A refused request did not run.
type Reason uint8

const (
	// None means that the request is not refused.
	None Reason = iota
	// QueueFull means that the queue holds as much work as its limit allows.
	QueueFull
	// WaitedTooLong means that the request reached the limit on its waiting
	// time.
	WaitedTooLong
	// DeadlineUnreachable means that the request cannot start before its
	// deadline.
	DeadlineUnreachable
	// NoCapacity means that the pool has no endpoint that accepts requests.
	NoCapacity
	// Displaced means that the request was removed from a full queue in favor
	// of a request of an account below its fair share.
	Displaced
)

var reasonNames = [...]string{"none", "queue-full", "waited-too-long", "deadline-unreachable", "no-capacity", "displaced"}

// String returns the name of r used in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Request is a request for admission.
type Request struct {
	ID      RequestID
	Account string
	// Weight is the account's share relative to other accounts; 0 means 1.
	Weight float64
	// Tokens is the predicted work in tokens: the output tokens plus the
	// equivalent of the prompt.
	Tokens int
	// Long marks requests of the long class (see route.Class).
	Long bool
	// Deadline is the time by which the request must start. Zero means that
	// only Options.MaxWait or Options.MaxLongWait applies.
	Deadline time.Time
}

// Verdict is the result of offering a request for admission.
type Verdict uint8

const (
	// Admitted means that the request may start now.
	Admitted Verdict = iota
	// Queued means that the request waits; a later call returns it as started
	// or refused.
	Queued
	// Refused means that the request must not run.
	Refused
)

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	// Reason and RetryAfter are set if the request is refused.
	Reason     Reason
	RetryAfter time.Duration
	// Displaced lists queued requests that were refused to make room for this
	// one.
	Displaced []Refusal
}

// Refusal describes a queued request that was refused.
type Refusal struct {
	ID     RequestID
	Reason Reason
	// RetryAfter is the delay after which the caller should try again.
	RetryAfter time.Duration
}

// Usage is the actual work of a finished request.
type Usage struct {
	// Tokens is the work in the unit of Request.Tokens.
	Tokens int
	// Dispatched is false if the request was not sent to an endpoint after
	// admission.
	Dispatched bool
}

// Capacity is the state of the pool; see route.Capacity.
type Capacity struct {
	Endpoints     float64
	Slots         float64
	PeersInFlight int
	Peers         int
}

// Options configures a Queue. Zero values mean the defaults.
type Options struct {
	// MaxWait limits the time in the queue. Default 900 ms, which leaves 400 ms
	// of the limit of 1300 ms to the first token for dispatch and prefill.
	MaxWait time.Duration
	// MaxLongWait limits the time in the queue of long requests. Default 30 s.
	MaxLongWait time.Duration
	// MaxQueuedTokens limits the predicted work in the queue. Default 200,000.
	MaxQueuedTokens int
	// InterTokenTarget is the target for the 95th percentile of the inter-token
	// latency. Default 75 ms. It does not apply if PlainService is set.
	InterTokenTarget time.Duration
	// PlainService marks a pool of endpoints without a model, which is limited
	// by the slots of its endpoints only.
	PlainService bool
	// AgingRate is the difference in predicted work, in tokens, that one second
	// of waiting offsets in the order of an account's requests. Default 500.
	AgingRate float64
}

// Stats is the state of a Queue for display and metrics.
type Stats struct {
	Running      int
	Queued       int
	QueuedTokens int
	// Limit is the number of requests that this daemon may run concurrently.
	Limit int
	// LimitPerEndpoint is the adaptive limit of concurrent requests per
	// endpoint.
	LimitPerEndpoint float64
	// RetryAfter is the delay currently suggested to refused callers.
	RetryAfter time.Duration
}
