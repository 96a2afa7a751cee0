// Package outlier detects endpoints that are slow or dead relative to their
// pool, from the daemon's own measurements, and returns them gradually.
//
// A Detector holds the state of all endpoints of one pool, each under the
// index that its pool gave it. It does no input or output; the caller holds
// the lock and passes the time, in nanoseconds, of any steady origin.
package outlier

import "time"

// Reason says why an endpoint is ejected.
type Reason uint8

const (
	// None means that the endpoint is not ejected.
	None Reason = iota
	// Slow means that its tokens come several times slower than the pool's.
	Slow
	// Stalled means that it has work and makes no progress.
	Stalled
	// Unreachable means that connections to it fail.
	Unreachable
	// Failing means that it breaks off requests.
	Failing
)

var reasonNames = [...]string{"", "slow", "stalled", "unreachable", "failing"}

// String returns the name of r, empty for None.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Options configures a Detector. Zero values mean the defaults.
type Options struct {
	// SlowRatio is the ratio to the pool's median inter-token time from which
	// an endpoint is slow. Default 3: batch sizes within a pool explain a
	// ratio of up to 2.
	SlowRatio float64
	// StallFloor is the least time without progress that counts as a stall.
	// Default 250 ms.
	MinStallTime time.Duration
	// FirstTokenFloor is the least time without progress that counts as a
	// stall while an endpoint has only requests without a first token.
	// Default 700 ms.
	MinFirstTokenStallTime time.Duration
	// MaxSlowShare caps the share of endpoints ejected as slow or stalled.
	// Default 0.3: when more are slow, the pool is loaded, not broken.
	MaxSlowShare float64
	// MaxFailedShare caps the share ejected for any reason. Default 0.8.
	MaxFailedShare float64
	// BaseEjection is the time of a first ejection; it doubles up to
	// MaxEjection for repeats. Defaults 2 s and 16 s.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// RampUp is the time in which the weight of a new or returning endpoint
	// rises from MinWeight to 1. Default 5 s.
	RampUpTime time.Duration
	// Failures is the number of connect errors, or of broken requests, in a
	// row that eject an endpoint. Default 2.
	ConsecutiveFailures int
}

const (
	// MinWeight is the weight at the start of ramp-up.
	MinWeight = 0.1
	// minSamples is the number of token gaps in a row behind a verdict.
	minSlowGaps = 3
	// stallRatio relates a stall to the pool's median inter-token time. A
	// prefill that blocks decoding for several steps stays below it.
	stallRatio = 8
	// firstTokenRatio relates a stall to the pool's median first-token time.
	firstTokenStallRatio = 4
	// gapWeight is the weight of a new token gap in the moving average: an
	// endpoint that slows down 10 times passes a ratio of 3 with the first
	// gap, and minSamples gaps decide.
	averageWeight = 0.25
	// baselineEndpoints is the number of measured endpoints from which the
	// pool's median is taken.
	minMeasuredEndpoints = 3
	// medianSample is the number of endpoints of which the medians are taken;
	// sorting all of 4,300 took most of the millisecond of a Tick.
	medianSampleSize = 256
	// recoveredRatio is the ratio to the median below which an ejected
	// endpoint returns early, by its remaining streams.
	recoveredRatio = 1.8
	// recoveredSamples is the number of gaps behind an early return.
	recoveredGaps = 8
	// recentWindow is the age up to which a measurement counts.
	maxSampleAge = int64(2 * time.Second)
	// repeatWindow is the time after a return in which a further ejection
	// doubles the ejection time.
	repeatEjectionWindow = int64(20 * time.Second)
)

func (o Options) withDefaults() Options {
	setFloat(&o.SlowRatio, 3)
	setFloat(&o.MaxSlowShare, 0.3)
	setFloat(&o.MaxFailedShare, 0.8)
	setDuration(&o.MinStallTime, 250*time.Millisecond)
	setDuration(&o.MinFirstTokenStallTime, 700*time.Millisecond)
	setDuration(&o.BaseEjectionTime, 2*time.Second)
	setDuration(&o.MaxEjectionTime, 16*time.Second)
	setDuration(&o.RampUpTime, 5*time.Second)
	if o.ConsecutiveFailures <= 0 {
		o.ConsecutiveFailures = 2
	}
	return o
}

func setFloat(value *float64, def float64) {
	if *value <= 0 {
		*value = def
	}
}

func setDuration(value *time.Duration, def time.Duration) {
	if *value <= 0 {
		*value = def
	}
}

// state is the state of one endpoint.
type state struct {
	present bool
	reason  Reason
	// until is the end of the ejection; meaningful while reason is not None.
	ejectedUntil int64
	// rampFrom is the start of ramp-up; 0 after it has ended.
	rampStart       int64
	returnedAt      int64
	repeatEjections int

	inFlight           int   // attempts in progress
	awaitingFirstToken int   // of these, without a first token
	lastProgress       int64 // last progress, or start of the first open attempt

	averageGap        float64 // moving average in ns; 0 without samples
	lastGapAt         int64
	slowStreak        int // gaps in a row above SlowRatio
	fastStreak        int // gaps in a row below recoveredRatio
	averageFirstToken float64
	connectFailures   int // connect errors in a row
	requestFailures   int // broken requests in a row
}

// Detector is the state of all endpoints of a pool.
type Detector struct {
	opts   Options
	states []state
	// present counts endpoints; slow and failed count ejections by kind.
	endpoints, slowEjected, failedEjected int
	medianGap                             float64
	medianFirstToken                      float64
	// gaps and firsts are the buffers of updateMedians; offset is the first
	// endpoint of its present sample.
	gapBuf, firstTokenBuf []float64
	sampleOffset          int
	// changed collects endpoints for the next Tick, reported is the result of
	// the last one.
	changed, lastChanged []int32
	// broken selects a deliberately broken variant in tests.
	broken string
}

// New returns a Detector without endpoints.
func New(opts Options) *Detector {
	return &Detector{opts: opts.withDefaults()}
}

// Add adds endpoint i. If ramp is true its weight rises gradually.
func (d *Detector) Add(now int64, i int32, ramp bool) {
	for int(i) >= len(d.states) {
		d.states = append(d.states, state{})
	}
	d.states[i] = state{present: true}
	if ramp {
		d.states[i].rampStart = now
	}
	d.endpoints++
}

// Remove removes endpoint i.
func (d *Detector) Remove(i int32) {
	s := &d.states[i]
	if !s.present {
		return
	}
	d.uncountEjection(s.reason)
	*s = state{}
	d.endpoints--
}

// Weight returns the share of a full endpoint's work that endpoint i may get:
// 0 while ejected, below 1 during ramp-up, else 1.
func (d *Detector) Weight(now int64, i int32) float64 {
	s := &d.states[i]
	if !s.present || s.reason != None {
		return 0
	}
	if s.rampStart == 0 {
		return 1
	}
	f := float64(now-s.rampStart) / float64(d.opts.RampUpTime)
	return min(1, max(MinWeight, f))
}

// Ramping reports whether the weight of endpoint i still rises.
func (d *Detector) RampingUp(i int32) bool { return d.states[i].rampStart != 0 }

// Reason returns why endpoint i is ejected.
func (d *Detector) Reason(i int32) Reason { return d.states[i].reason }

// Gap returns the recent inter-token time of endpoint i, 0 if unknown.
func (d *Detector) TokenGap(i int32) time.Duration { return time.Duration(d.states[i].averageGap) }

// FirstTokenTime returns the recent first-token time of endpoint i.
func (d *Detector) FirstTokenTime(i int32) time.Duration {
	return time.Duration(d.states[i].averageFirstToken)
}

// MedianGap returns the pool's median inter-token time, 0 if unknown.
func (d *Detector) MedianTokenGap() time.Duration { return time.Duration(d.medianGap) }

// Slowness returns the ratio of endpoint i's inter-token time to the pool's
// median, at least 1; 1 if either is unknown or old.
func (d *Detector) SlowdownRatio(now int64, i int32) float64 {
	s := &d.states[i]
	if s.averageGap == 0 || d.medianGap == 0 || now-s.lastGapAt > maxSampleAge {
		return 1
	}
	return max(1, s.averageGap/d.medianGap)
}
