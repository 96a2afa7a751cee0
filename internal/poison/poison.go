// Package poison isolates requests that crash the endpoints that run them.
//
// A Registry holds the crashes that the daemons of one failure domain have
// seen for each request digest. It does no input or output; the caller holds
// the lock and passes the time. The bound of three endpoints for a poison
// request depends on the caller of the package in three points:
//
//   - It sends the result of Pending to the other daemons at once.
//   - It holds the failure answer of a crashed request for HoldFailure, so that
//     a repeat finds every daemon informed.
//   - When Crashed or Merge names a digest of which another copy runs without
//     a byte sent to its caller, it cancels that copy, waits for CallBackDelay
//     plus a random time of CallBackSpread, and starts it again only if
//     Verdict is below Suspect.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HoldFailure is the time for which a daemon holds the answer to a request
// whose endpoint crashed. It covers one message to each daemon of the failure
// domain, about 1.5 ms one way, with room for a busy receiver.
const FailureAnswerDelay = 100 * time.Millisecond

// CallBackDelay and CallBackSpread time the restart of a copy that was called
// back. A poison request crashes its endpoint within a few decoding steps of
// about 50 ms, so most restarts see the result of the one before.
const (
	RestartDelay  = 200 * time.Millisecond
	RestartJitter = 600 * time.Millisecond
)

// Digest identifies the content of a request. Two callers that send the same
// content have the same digest.
type Digest uint64

// DigestOf returns the digest of a request to service with the given body.
func DigestOf(service string, body []byte) Digest {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// Entry is a fact about a digest that daemons exchange. Merging an entry twice
// has no further effect.
type Entry struct {
	Digest Digest
	// Endpoint is the endpoint that failed while it ran the request; empty
	// for a completion.
	Endpoint string
	// Completed means that the request completed, which clears its crashes.
	Completed bool
	// At is the time of the crash or completion.
	At time.Time
}

// Verdict is the answer to Begin.
type Verdict uint8

const (
	// Allow means that the request may run, be retried and be hedged.
	Allowed Verdict = iota
	// Watched means that an endpoint crashed once with the request: it may
	// run and be retried once, and must not be hedged.
	Watched
	// Suspect means that several endpoints crashed with the request and with
	// others: it may run, and must not be retried or hedged.
	Suspect
	// Isolated means that the request must be refused as not run.
	Isolated
)

// Decision is a Verdict and, if isolated, the time until the next trial.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Options configures a Registry. Zero values mean the defaults.
type Options struct {
	// Isolation is the time of a first isolation. Default 60 s: a healthy
	// request that two endpoints crashed with by coincidence waits no longer.
	IsolationTime time.Duration
	// LongIsolation is the time of an isolation after maxCrashes crashes.
	// Default 1 h.
	LongIsolationTime time.Duration
	// Window is the time for which a crash counts. Default 1 h.
	CrashWindow time.Duration
	// MaxDigests bounds the number of digests with crashes. Default 4096.
	MaxDigests int
	// Crashes is the number of crashes that isolate a digest if no other digest
	// was present at the same ones. Default 2.
	CrashesToIsolate int
}
