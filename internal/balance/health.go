package balance

import (
	"math"
	"time"
)

// Parameters of the judgement of endpoints.
const (
	// minOutcomes is the weight of outcomes below which a record says nothing.
	minOutcomeWeight = 0.05
	// priorOutcomes is the weight of the assumption that an endpoint is sound.
	priorSuccessWeight = 4.0
	// unreachableEject is the number of failed connections in a row that eject
	// an endpoint; brokenEject the same for broken requests.
	maxUnreachableInRow = 2
	maxInvalidInRow     = 3
	// firstEjection doubles with each ejection up to maxEjection.
	firstEjection = 1500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// slowGain is the weight of a new measurement in the estimate of slowness;
	// maxSlow bounds the estimate.
	slowEstimateGain = 0.2
	maxSlowEstimate  = 8.0
	// minMeasuredMs is the shortest prediction that a measurement is held
	// against: below it fixed costs prevail.
	minPredictedMs = 60.0
)

// Outcome is how a request ended at an endpoint.
type Outcome uint8

// The outcomes of a request at an endpoint.
const (
	// Succeeded: the whole answer came.
	Succeeded Outcome = iota
	// Refused: the endpoint said that it did not run the request.
	Refused
	// FailedAnswer: the endpoint answered with a failure of its own.
	ErrorResponse
	// Broken: the connection ended before the whole answer, or the answer was
	// not one to this request, or none came in time.
	NoValidResponse
	// Unreachable: no connection could be made.
	Unreachable
)

// health is the record of an endpoint's outcomes.
type health struct {
	// ok and failed are outcomes that fade with outcomeLife.
	succeeded, failed float64
	decayedAt         time.Time
	// inRow counts failures of one kind in a row.
	unreachableInRow, invalidInRow int
	ejections                      int
	ejectedUntil                   time.Time
	// slow is the ratio of measured to predicted times, at least 1.
	slowEstimate float64
}

func (h *health) decay(now time.Time) {
	if !h.decayedAt.IsZero() {
		f := math.Exp(-now.Sub(h.decayedAt).Seconds() / outcomeDecay.Seconds())
		h.succeeded *= f
		h.failed *= f
	}
	h.decayedAt = now
}

// failureShare is the part of recent requests that failed, the peers' included.
func (h *health) failureShare(peers Load) float64 {
	failed, ok := h.failed+peers.Failed, h.succeeded+peers.Succeeded
	return failed / (failed + ok + priorSuccessWeight)
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) eject(now time.Time) {
	d := min(firstEjection<<min(h.ejections, 4), maxEjection)
	h.ejectedUntil = now.Add(d)
	h.ejections++
	h.unreachableInRow, h.invalidInRow = 0, 0
}

// observeTime compares a measured time with the prediction.
func (h *health) observeLatency(ms, predicted float64) {
	if predicted > ejectedCostMs/2 {
		return
	}
	ratio := math.Min(maxSlowEstimate, ms/math.Max(predicted*2, minPredictedMs*2))
	h.slowEstimate = math.Max(1, h.slowEstimate+slowEstimateGain*(math.Max(ratio, 0.5)-h.slowEstimate))
}

// Observe records the outcome of a request at an endpoint. It returns true if
// the endpoint is ejected by it.
func (p *Pool) RecordOutcome(now time.Time, id string, o Outcome) bool {
	m, ok := p.endpoints[id]
	if !ok {
		return false
	}
	m.decay(now)
	switch o {
	case Succeeded:
		m.succeeded++
		m.unreachableInRow, m.invalidInRow, m.ejections = 0, 0, 0
		m.ejectedUntil = time.Time{}
	case Refused:
		m.unreachableInRow = 0
	case ErrorResponse:
		m.failed++
		m.unreachableInRow = 0
	case NoValidResponse:
		m.failed++
		m.invalidInRow++
	case Unreachable:
		m.failed++
		m.unreachableInRow++
	}
	if m.unreachableInRow >= maxUnreachableInRow || m.invalidInRow >= maxInvalidInRow {
		m.eject(now)
		return true
	}
	return false
}
