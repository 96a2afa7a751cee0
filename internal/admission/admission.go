// Package admission decides when a request of a pool may start: at once, after
// a bounded wait, or not at all.
//
// A Queue is the admission state of one daemon for one pool. It does no input
// or output. The caller holds the lock and passes the time. Each request has
// the caller's own number, which the Queue returns when the request may start
// or is refused.
package admission

import "time"

// Ticket is the caller's number of a request, unique within the Queue while
// the request is queued or running.
type RequestID uint64

// Reason says why a request was refused. The request did not run.
type Reason uint8

const (
	// None means that the request is not refused.
	None Reason = iota
	// QueueFull means that the queue holds as much work as its bounds allow.
	QueueFull
	// WaitedTooLong means that the request reached the bound on waiting time.
	WaitedTooLong
	// DeadlineUnreachable means that the request cannot start in time for its
	// deadline.
	DeadlineUnreachable
	// NoCapacity means that the pool has no endpoint that takes work.
	NoCapacity
	// Displaced means that the request had to make room in a full queue for
	// a request of an account below its fair share.
	Displaced
)

var reasonNames = [...]string{"none", "queue-full", "waited-too-long", "deadline-unreachable", "no-capacity", "displaced"}

// String returns the name of r for logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Item is a request that asks for admission.
type Request struct {
	ID      RequestID
	Account string
	// Weight is the account's share against other accounts; 0 means 1.
	Weight float64
	// Tokens is the predicted work: answer tokens and the prompt's share.
	Tokens int
	// Long marks work of the long class (see route.Class).
	Long bool
	// Deadline is the time by which the request must start; zero means none
	// beyond Options.MaxWait.
	Deadline time.Time
}

// Verdict is the kind of a Decision.
type Verdict uint8

const (
	// Admitted means that the request may start now.
	Admitted Verdict = iota
	// Queued means that a later call returns the request as started or refused.
	Queued
	// Refused means that the request does not run.
	Refused
)

// Decision is the answer to Offer.
type Decision struct {
	Verdict Verdict
	// Reason and RetryAfter are set if the request is refused.
	Reason     Reason
	RetryAfter time.Duration
	// Displaced lists queued requests that are refused to make room.
	Displaced []Refusal
}

// Refusal is a queued request that does not run.
type Refusal struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration
}

// Usage is the actual work of a finished request.
type Usage struct {
	// Tokens is the work in the unit of Item.Tokens.
	Tokens int
	// Ran is false if the request was not dispatched after admission.
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
	// MaxWait bounds the time in the queue. Default 900 ms, which leaves
	// 400 ms of the bound of 1300 ms to first token for dispatch and prefill.
	MaxWait time.Duration
	// MaxLongWait bounds the time in the queue of long work. Default 30 s.
	MaxLongWait time.Duration
	// MaxQueuedTokens bounds the predicted work in the queue. Default 200,000.
	MaxQueuedTokens int
	// InterTokenTarget is the inter-token latency that 95 in 100 tokens must
	// keep. Default 75 ms. 0 in a pool of plain services: set Services.
	InterTokenTarget time.Duration
	// Services marks a pool of plain services, whose limit is their slots.
	PlainService bool
	// AgingRate is the predicted work, in tokens, that one second of waiting
	// makes up for in the order of an account's requests. Default 500.
	AgingRate float64
}

// Stats is the state of a Queue for display and metrics.
type Stats struct {
	Running      int
	Queued       int
	QueuedTokens int
	// Limit is the number of requests that this daemon may run now.
	Limit int
	// PerEndpoint is the adaptive limit of requests per endpoint.
	LimitPerEndpoint float64
	// RetryAfter is the present advice to refused callers.
	RetryAfter time.Duration
}
