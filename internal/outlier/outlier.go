// Package outlier implements outlier ejection: it ejects endpoints that are
// slow or unresponsive relative to their pool, according to the daemon's own
// measurements, and reinstates them with gradually increasing weight.
//
// A Detector holds the state of all endpoints of one pool, each under the
// index that the pool assigned to it. It does no input or output; the caller
// holds the lock and passes the time in nanoseconds since any fixed origin.
package outlier

import "time"

// Reason says why an endpoint is ejected.
type Reason uint8

const (
	// None means that the endpoint is not ejected.
	None Reason = iota
	// Slow means that the endpoint's inter-token time is several times the
	// pool's median.
	Slow
	// Stalled means that the endpoint has requests and makes no progress.
	Stalled
	// Unreachable means that connections to the endpoint fail.
	Unreachable
	// Failing means that requests fail after they were dispatched to the endpoint.
	Failing
)

var reasonNames = [...]string{"", "slow", "stalled", "unreachable", "failing"}

// String returns the name of r, which is empty for None.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Options configures a Detector. Zero values mean the defaults.
type Options struct {
	// SlowRatio is the ratio to the pool's median inter-token time above which
	// an endpoint is slow. Default 3: different batch sizes within a pool
	// account for a ratio of up to 2.
	SlowRatio float64
	// MinStallTime is the minimum time without progress that counts as a
	// stall. Default 250 ms.
	MinStallTime time.Duration
	// MinFirstTokenStallTime is the minimum time without progress that counts
	// as a stall while all requests of an endpoint await their first token.
	// Default 700 ms.
	MinFirstTokenStallTime time.Duration
	// MaxSlowShare caps the share of endpoints ejected as slow or stalled.
	// Default 0.3: if more are slow, the cause is the pool's load, not a fault
	// of single endpoints.
	MaxSlowShare float64
	// MaxFailedShare caps the share ejected for any reason. Default 0.8.
	MaxFailedShare float64
	// BaseEjectionTime is the duration of a first ejection. Each repeated
	// ejection doubles it, up to MaxEjectionTime. Defaults 2 s and 16 s.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// RampUpTime is the time in which the weight of a new or reinstated
	// endpoint rises from MinWeight to 1. Default 5 s.
	RampUpTime time.Duration
	// ConsecutiveFailures is the number of consecutive connect errors, or of
	// consecutive failures after dispatch, that eject an endpoint. Default 2.
	ConsecutiveFailures int
}

const (
	// MinWeight is the weight at the start of ramp-up.
	MinWeight = 0.1
	// minSlowGaps is the minimum number of consecutive token gaps above
	// SlowRatio for the ejection of an endpoint as slow.
	minSlowGaps = 3
	// stallRatio is the time without progress that counts as a stall, as a
	// multiple of the pool's median inter-token time. A prefill that blocks
	// decoding for several steps stays below it.
	stallRatio = 8
	// firstTokenStallRatio is the time without a first token that counts as a
	// stall, as a multiple of the pool's median time to first token.
	firstTokenStallRatio = 4
	// averageWeight is the weight of a new sample in the moving averages. An
	// endpoint that becomes 10 times slower exceeds a ratio of 3 with the first
	// gap, so that minSlowGaps alone determines when it is ejected.
	averageWeight = 0.25
	// minMeasuredEndpoints is the minimum number of endpoints with recent
	// measurements for an update of the pool's median.
	minMeasuredEndpoints = 3
	// medianSampleSize is the approximate number of endpoints whose medians are
	// computed. Sorting all of 4,300 endpoints took most of the millisecond
	// that a Tick takes.
	medianSampleSize = 256
	// recoveredRatio is the ratio to the median token gap below which the
	// remaining streams of an ejected endpoint indicate that it has recovered.
	recoveredRatio = 1.8
	// recoveredGaps is the number of consecutive gaps below recoveredRatio that
	// end an ejection early.
	recoveredGaps = 8
	// maxSampleAge is the age in ns up to which a measurement is used.
	maxSampleAge = int64(2 * time.Second)
	// repeatEjectionWindow is the time in ns after a reinstatement within which
	// another ejection doubles the ejection time.
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

// state is the state of one endpoint. Times are in ns.
type state struct {
	present bool
	reason  Reason
	// ejectedUntil is the end of the ejection, valid while reason is not None.
	ejectedUntil int64
	// rampStart is the start of ramp-up; 0 after it has ended.
	rampStart int64
	// returnedAt is the time of the last reinstatement; 0 if there was none.
	returnedAt int64
	// repeatEjections counts the ejections that each followed a reinstatement
	// within repeatEjectionWindow.
	repeatEjections int

	inFlight           int   // requests in flight
	awaitingFirstToken int   // requests in flight without a first token
	lastProgress       int64 // last progress, or dispatch of the first request in flight

	averageGap        float64 // moving average of inter-token times; 0 without samples
	lastGapAt         int64   // time of the last token gap
	slowStreak        int     // consecutive gaps above SlowRatio
	fastStreak        int     // consecutive gaps below recoveredRatio
	averageFirstToken float64 // moving average of times to first token; 0 without samples
	connectFailures   int     // consecutive connect errors
	requestFailures   int     // consecutive failures after dispatch
}

// Detector holds the state of all endpoints of a pool.
type Detector struct {
	opts   Options
	states []state
	// endpoints is the number of endpoints, slowEjected the number of those
	// ejected as slow or stalled, failedEjected of those ejected for other reasons.
	endpoints, slowEjected, failedEjected int
	medianGap                             float64
	medianFirstToken                      float64
	// gapBuf and firstTokenBuf are the buffers of updateMedians; sampleOffset
	// is the index of the first endpoint of its current sample.
	gapBuf, firstTokenBuf []float64
	sampleOffset          int
	// changed collects the endpoints that the next Tick returns; lastChanged is
	// the slice that the last Tick returned.
	changed, lastChanged []int32
	// broken selects a deliberately broken variant in tests.
	broken string
}

// New returns a Detector without endpoints.
func New(opts Options) *Detector {
	return &Detector{opts: opts.withDefaults()}
}

// Add adds endpoint i. If ramp is true its weight rises gradually to 1.
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

// Weight returns the weight of endpoint i in load balancing: 0 while it is
// ejected, below 1 during ramp-up, otherwise 1.
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

// RampingUp reports whether the weight of endpoint i is still rising.
func (d *Detector) RampingUp(i int32) bool { return d.states[i].rampStart != 0 }

// Reason returns the reason for which endpoint i is ejected, or None.
func (d *Detector) Reason(i int32) Reason { return d.states[i].reason }

// TokenGap returns the average inter-token time of endpoint i, 0 if unknown.
func (d *Detector) TokenGap(i int32) time.Duration { return time.Duration(d.states[i].averageGap) }

// FirstTokenTime returns the average time to first token of endpoint i, 0 if
// unknown.
func (d *Detector) FirstTokenTime(i int32) time.Duration {
	return time.Duration(d.states[i].averageFirstToken)
}

// MedianTokenGap returns the pool's median inter-token time, 0 if unknown.
func (d *Detector) MedianTokenGap() time.Duration { return time.Duration(d.medianGap) }

// SlowdownRatio returns the ratio of endpoint i's inter-token time to the pool's
// median, at least 1. It is 1 if either is unknown or the endpoint's is outdated.
func (d *Detector) SlowdownRatio(now int64, i int32) float64 {
	s := &d.states[i]
	if s.averageGap == 0 || d.medianGap == 0 || now-s.lastGapAt > maxSampleAge {
		return 1
	}
	return max(1, s.averageGap/d.medianGap)
}
