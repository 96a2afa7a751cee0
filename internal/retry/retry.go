// Package retry decides whether a failed request is retried and whether a slow
// one is hedged, that is sent to a second endpoint.
//
// A Budget limits the retries and hedges of one daemon for one pool; a Window
// limits the retries of a service across the fleet. They do no input or output:
// the caller holds the lock and passes the time and the random source.
package retry

import "time"

// Attempt describes the request whose last attempt failed or is slow.
type Attempt struct {
	// Attempts is the number of attempts so far, at least 1.
	Attempts int
	// Idempotent is true if the request may be executed more than once.
	Idempotent bool
	// Dispatched is true if any byte of the request may have reached an
	// endpoint.
	Dispatched bool
	// AnswerStarted is true if any byte of the answer was sent to the caller.
	AnswerStarted bool
	// OtherLayerRetries is true if the caller or another layer retries this
	// request itself, so that retries would multiply.
	OtherLayerRetries bool
	// Suspect is true if the poison registry suspects the request of crashing
	// endpoints.
	Suspect bool
	// Work is the predicted work in tokens.
	Work int
	// Short is true if the request is of the short class.
	Short bool
	// Deadline is the time after which an answer is useless; zero means none.
	Deadline time.Time
}

// Reason is the reason for which a retry or hedge is denied.
type Reason uint8

const (
	// Allowed means that the retry or hedge may be made.
	Allowed Reason = iota
	// NotIdempotent denies a request that is not idempotent and may have run.
	NotIdempotent
	// AnswerStarted denies a request whose answer has begun to reach the caller.
	AnswerStarted
	// OtherLayer denies a request that another layer retries.
	OtherLayer
	// TooManyAttempts denies a request at the limit of attempts.
	TooManyAttempts
	// BudgetExhausted denies a request because the retry or hedge budget is
	// exhausted.
	BudgetExhausted
	// DeadlinePassed denies a request that cannot be answered before its deadline.
	DeadlinePassed
	// PoisonSuspect denies a request that is suspected of crashing endpoints.
	PoisonSuspect
	// TooLong denies a hedge of a request of the long class.
	TooLong
	// TooEarly denies a hedge before the hedge delay has passed.
	TooEarly
	// AlreadyHedged denies a second hedge of the same request.
	AlreadyHedged
)

var reasonNames = [...]string{"allowed", "not-idempotent", "answer-started", "other-layer", "too-many-attempts",
	"budget-spent", "deadline-passed", "poison-suspect", "too-long", "too-early", "already-hedged"}

// String returns the name of r for logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the result of Budget.Retry and Budget.Hedge.
type Decision struct {
	OK     bool
	Reason Reason
	// Delay is the time to wait before the retry, or for TooEarly before Hedge
	// may be called again.
	Delay time.Duration
}
