// Package retry decides whether a failed request is tried again and whether a
// slow one is sent to a second endpoint (a hedge).
//
// A Budget is the state of one daemon for one pool. It does no input or
// output; the caller holds the lock, passes the time and the random source.
package retry

import "time"

// Attempt describes the request whose last attempt failed or is slow.
type Attempt struct {
	// Number of attempts so far, at least 1.
	Attempts int
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Dispatched is true if any byte of the request may have reached an
	// endpoint.
	Dispatched bool
	// BytesToCaller is true if any byte of the answer went to the caller.
	AnswerStarted bool
	// OtherLayerRetries is true if the caller or another layer repeats this
	// request itself, so that retries would multiply.
	OtherLayerRetries bool
	// Suspect is true if the poison registry suspects the request.
	Suspect bool
	// Work is the predicted work in tokens.
	Work int
	// Short is true if the request is of the short class.
	Short bool
	// Deadline is the time after which an answer is of no use; zero means none.
	Deadline time.Time
}

// Reason says why a retry or hedge is denied.
type Reason uint8

const (
	// Allowed means that the retry or hedge may be made.
	Allowed Reason = iota
	// NotIdempotent denies a request that may have run and must not run twice.
	NotIdempotent
	// AnswerStarted denies a request whose answer has begun to reach the caller.
	AnswerStarted
	// OtherLayer denies a request that another layer repeats.
	OtherLayer
	// TooManyAttempts denies a request at the limit of attempts.
	TooManyAttempts
	// BudgetSpent denies a request because the budget is used up.
	BudgetExhausted
	// DeadlinePassed denies a request that cannot be answered in time.
	DeadlinePassed
	// PoisonSuspect denies a request that may crash endpoints.
	PoisonSuspect
	// TooLong denies a hedge of a request of the long class.
	TooLong
	// TooEarly denies a hedge before the delay has passed.
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

// Decision is the answer to Retry and Hedge.
type Decision struct {
	OK     bool
	Reason Reason
	// Delay is the time to wait before the attempt.
	Delay time.Duration
}
