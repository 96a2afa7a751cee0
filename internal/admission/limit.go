package admission

import (
	"math"
	"time"
)

const (
	// sampleTimeConstant is the time constant of the exponentially weighted
	// regression. It must span the batch sizes before a load swing: over a few
	// seconds the batch size hardly changes, and the slope, and with it the
	// limit, varied by a factor of 2.
	sampleTimeConstant = 30 * time.Second
	// minSampleWeight is the total weight of the gaps required to use the
	// model.
	minSampleWeight = 300
	// minBatchVariance is the variance of the batch sizes required to use the
	// slope of the model.
	minBatchVariance = 1
	// headroomStdDevs is the number of standard deviations between the mean gap
	// and the target. The 95th percentile of a normal distribution lies at
	// 1.65, but with 1.65 the 95th percentile over a load swing reached 76 ms.
	headroomStdDevs = 1.8
	// outlierRatio is the ratio to the mean above which a gap is attributed to
	// a slow endpoint and ignored, since it does not depend on the batch size.
	outlierRatio = 4
	// outlierShareGain is the weight of a new gap in the moving average of the
	// share of outliers.
	outlierShareGain = 0.01
	// feedbackWindow is the interval at which the correction of the model is
	// adjusted.
	feedbackWindow = 500 * time.Millisecond
	// minWindowGaps is the number of gaps required for an adjustment.
	minWindowGaps = 40
	// decreaseAbove and increaseBelow are the shares of gaps above the target
	// that lower and raise the limit. They are below the 5% of the target
	// because gaps above it cannot be made up for: with 5%, the 95th percentile
	// over a load swing was 76 to 77 ms with digests every 900 ms.
	decreaseAbove = 0.035
	increaseBelow = 0.02
	// decreaseFactor and increaseStep adjust the correction by multiplicative
	// decrease and additive increase.
	decreaseFactor, increaseStep = 0.9, 0.01
	minCorrection, maxCorrection = 0.4, 1.2
	// minPerEndpoint keeps every endpoint in use.
	minPerEndpoint = 1
)

// limiter computes the adaptive limit of requests per endpoint. It predicts the
// inter-token latency for a batch size by a regression over observed gaps, so
// that the limit is known before the load reaches it, and corrects the
// prediction by the share of gaps above the target.
type limiter struct {
	target       float64 // ns
	plainService bool
	// Exponentially decayed sums of the regression of the gap y on the batch
	// size x.
	sumWeight, sumX, sumY, sumXX, sumXY, sumYY float64

	// lastSampleAt is the time to which the sums are decayed.
	lastSampleAt time.Time
	// outlierShare is a moving average of the share of gaps that are outliers.
	outlierShare float64
	// correction multiplies the limit predicted by the model.
	correction float64
	windowEnd  time.Time
	// gaps and gapsOverTarget count the inter-token gaps in the current feedback
	// window, which ends at windowEnd. queuedInWindow is true if requests were
	// queued in it.
	gaps, gapsOverTarget int
	queuedInWindow       bool
}

func newLimiter(o Options) limiter {
	return limiter{target: float64(o.InterTokenTarget), plainService: o.PlainService, correction: 1}
}

// observe records a gap. It returns true if the feedback window has ended and
// the caller must call closeWindow.
func (l *limiter) observe(now time.Time, gap time.Duration, inFlight int, queued bool) bool {
	y, x := float64(gap), float64(inFlight)
	l.queuedInWindow = l.queuedInWindow || queued
	if l.isOutlier(y) {
		return false
	}
	l.gaps++
	if y > l.target {
		l.gapsOverTarget++
	}
	decay := 1.0
	if dt := now.Sub(l.lastSampleAt); !l.lastSampleAt.IsZero() && dt > 0 {
		decay = math.Exp(-float64(dt) / float64(sampleTimeConstant))
	}
	l.lastSampleAt = now
	l.sumWeight = l.sumWeight*decay + 1
	l.sumX = l.sumX*decay + x
	l.sumY = l.sumY*decay + y
	l.sumXX = l.sumXX*decay + x*x
	l.sumXY = l.sumXY*decay + x*y
	l.sumYY = l.sumYY*decay + y*y
	return now.After(l.windowEnd)
}

// isOutlier reports whether a gap is attributed to a slow endpoint. If more
// than half of the gaps are that long, the pool as a whole is slow, and none is
// an outlier.
func (l *limiter) isOutlier(y float64) bool {
	if l.sumWeight < minSampleWeight {
		return false
	}
	outlier := 0.0
	if y > outlierRatio*l.sumY/l.sumWeight {
		outlier = 1
	}
	l.outlierShare += outlierShareGain * (outlier - l.outlierShare)
	return outlier == 1 && l.outlierShare < 0.5
}

// closeWindow adjusts the correction. It does not lower the limit while more
// requests run than it allows: those were admitted under an earlier limit, so
// their gaps do not reflect the current one.
func (l *limiter) closeWindow(now time.Time, overLimit bool) {
	if l.gaps >= minWindowGaps {
		overShare := float64(l.gapsOverTarget) / float64(l.gaps)
		switch {
		case overShare > decreaseAbove && overLimit:
		case overShare > decreaseAbove:
			l.correction = max(minCorrection, l.correction*decreaseFactor)
		case overShare < increaseBelow && l.queuedInWindow:
			l.correction = min(maxCorrection, l.correction+increaseStep)
		case overShare < increaseBelow:
			l.correction += (1 - l.correction) * increaseStep
		}
	}
	l.gaps, l.gapsOverTarget, l.queuedInWindow = 0, 0, false
	l.windowEnd = now.Add(feedbackWindow)
}

// perEndpoint returns the limit of concurrent requests for one endpoint of the
// pool.
func (l *limiter) perEndpoint(c Capacity) float64 {
	if c.Endpoints <= 0 {
		return 0
	}
	slots := c.Slots / c.Endpoints
	if l.plainService {
		return slots
	}
	limit := slots
	if m, ok := l.modelLimit(); ok {
		limit = m
	}
	return max(minPerEndpoint, min(slots, limit*l.correction))
}

// modelLimit returns the batch size at which the predicted gap plus headroom
// reaches the target. It returns false while the samples do not suffice.
func (l *limiter) modelLimit() (float64, bool) {
	if l.sumWeight < minSampleWeight {
		return 0, false
	}
	mx, my := l.sumX/l.sumWeight, l.sumY/l.sumWeight
	varX := l.sumXX/l.sumWeight - mx*mx
	if varX < minBatchVariance {
		return 0, false
	}
	slope := (l.sumXY/l.sumWeight - mx*my) / varX
	if slope <= 0 {
		return 0, false
	}
	varY := max(0, l.sumYY/l.sumWeight-my*my-slope*slope*varX)
	base := my - slope*mx
	if base >= l.target {
		return minPerEndpoint, true
	}
	// Prefills cause most of the spread, and their number grows with the
	// batch size, so the standard deviation grows with its square root. The
	// limit b solves base + slope*b + k*sqrt(b) = target.
	k := headroomStdDevs * math.Sqrt(varY/max(mx, 1))
	root := (math.Sqrt(k*k+4*slope*(l.target-base)) - k) / (2 * slope)
	return root * root, true
}

// drainRate measures the rate at which work leaves the queue.
type drainRate struct {
	windowStart  time.Time
	windowTokens int
	rate         float64 // tokens per second; 0 if not measured
}

const (
	drainWindow = 500 * time.Millisecond
	drainGain   = 0.3
)

// record counts an admitted request; queued is true if other requests are
// waiting.
func (d *drainRate) record(now time.Time, tokens int, queued bool) {
	if !queued {
		// Without a queue the rate is that of arrivals, not of the pool.
		d.windowStart, d.windowTokens = now, 0
		return
	}
	d.windowTokens += tokens
	span := now.Sub(d.windowStart)
	if span < drainWindow {
		return
	}
	r := float64(d.windowTokens) / span.Seconds()
	if d.rate == 0 || span > 4*drainWindow {
		d.rate = r
	} else {
		d.rate += drainGain * (r - d.rate)
	}
	d.windowStart, d.windowTokens = now, 0
}

// expectedWait estimates the time until e would start, 0 if unknown: the queued
// work that precedes it under fair sharing, divided by the drain rate.
func (q *Queue) expectedWait(e *entry) time.Duration {
	if q.drain.rate <= 0 || len(q.queued) == 0 {
		return 0
	}
	own := float64(e.account.workBefore(e.orderKey))
	// start is the account's virtual time when e is its next request.
	start := max(e.account.virtualTime, q.virtualTime-maxCreditTokens) + own/e.account.weight
	work := own
	for _, a := range q.backlogged {
		if a != e.account {
			work += min(float64(a.queuedTokens), max(0, (start-a.virtualTime)*a.weight))
		}
	}
	return time.Duration(work / q.drain.rate * float64(time.Second))
}

// retryAfter returns the delay suggested to a refused caller: the time to drain
// the queue, spread by the request ID so that refused callers do not return at
// the same moment.
func (q *Queue) retryAfter(id RequestID) time.Duration {
	base := minRetryAfter
	if q.drain.rate > 0 {
		base = time.Duration(float64(q.queuedTokens) / q.drain.rate * float64(time.Second))
	}
	base = min(max(base, minRetryAfter), maxRetryAfter)
	h := (uint64(id) + 1) * 0x9e3779b97f4a7c15
	return base + time.Duration(float64(base)*float64(h>>40)/float64(1<<24))
}
