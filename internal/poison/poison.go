// Package poison isolates poison requests, which crash the endpoints that run
// them.
//
// A Registry holds, by request digest, the crashes that the daemons of one
// failure domain have observed. It does no input or output; the caller holds the
// lock and passes the time. A poison request crashes at most three endpoints if
// the caller of the package does the following:
//
//   - It sends the result of TakePending to the other daemons at once.
//   - It delays the failure answer of a crashed request by FailureAnswerDelay,
//     so that every daemon knows of the crash when the caller retries.
//   - When RecordCrash or Merge is called with a digest of which another copy
//     runs, and no byte of that copy's answer was sent to its caller, it cancels
//     the copy, waits for RestartDelay plus a random part of RestartJitter, and
//     restarts it only if Verdict is below Suspect.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// FailureAnswerDelay is the time by which a daemon delays the failure answer to a
// request whose endpoint crashed. It covers one message to each daemon of the
// failure domain, about 1.5 ms one way, and leaves time for a busy receiver.
const FailureAnswerDelay = 100 * time.Millisecond

// RestartDelay and RestartJitter determine when a cancelled copy of a request is
// restarted. A poison request crashes its endpoint within a few decoding steps of
// about 50 ms, so that the result of one restart is mostly known before the next.
const (
	RestartDelay  = 200 * time.Millisecond
	RestartJitter = 600 * time.Millisecond
)

// Digest identifies the content of a request. Requests with the same content have
// the same digest, whoever sends them.
type Digest uint64

// DigestOf returns the digest of a request to a service or host with the given content.
func DigestOf(target string, body []byte) Digest {
	h := xxhash.New()
	_, _ = h.WriteString(target)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// Entry is a crash or a completion of a request with a digest, as exchanged
// between daemons. Merging an entry is idempotent.
type Entry struct {
	Digest Digest
	// Endpoint is the endpoint that crashed while it ran the request; empty for
	// a completion.
	Endpoint string
	// Completed is true if the request completed, which clears its crashes.
	Completed bool
	// At is the time of the crash or completion.
	At time.Time
}

// Verdict says how a request may be handled. Higher values are more restrictive.
type Verdict uint8

const (
	// Allowed means that the request may run, be retried and be hedged.
	Allowed Verdict = iota
	// Watched means that one endpoint crashed while it ran the request: the
	// request may run and be retried once, and must not be hedged.
	Watched
	// Suspect means that several endpoints crashed while they ran the request
	// and also others: the request may run, and must not be retried or hedged.
	Suspect
	// Isolated means that the request must be refused without being run.
	Isolated
)

// Decision is a Verdict and, for Isolated, the time after which the request may
// be tried again.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Options configures a Registry. Zero values mean the defaults.
type Options struct {
	// IsolationTime is the duration of a first isolation. Default 60 s, which
	// limits the delay of a healthy request that happened to run on two
	// endpoints when they crashed.
	IsolationTime time.Duration
	// LongIsolationTime is the duration of an isolation after maxCrashes
	// crashes. Default 1 h.
	LongIsolationTime time.Duration
	// CrashWindow is the time for which a crash is counted. Default 1 h.
	CrashWindow time.Duration
	// MaxDigests bounds the number of digests whose crashes are stored. Default
	// 4096.
	MaxDigests int
	// CrashesToIsolate is the number of crashes that isolate a digest if no
	// other digest was running at the same crashes. Default 2.
	CrashesToIsolate int
}
