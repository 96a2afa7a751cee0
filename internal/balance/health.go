package balance

import (
	"math"
	"time"
)

// Parameters of the judgement of endpoints.
const (
	// minOutcomes is the weight of outcomes below which a record says nothing.
	minOutcomes = 0.05
	// priorOutcomes is the weight of the assumption that an endpoint is sound.
	priorOutcomes = 4.0
	// unreachableEject is the number of failed connections in a row that eject
	// an endpoint; brokenEject the same for broken requests.
	unreachableEject = 2
	brokenEject      = 3
	// firstEjection doubles with each ejection up to maxEjection.
	firstEjection = 1500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// slowGain is the weight of a new measurement in the estimate of slowness;
	// maxSlow bounds the estimate.
	slowGain = 0.2
	maxSlow  = 8.0
	// minMeasuredMs is the shortest prediction that a measurement is held
	// against: below it fixed costs prevail.
	minMeasuredMs = 60.0
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
	ok, failed float64
	at         time.Time
	// inRow counts failures of one kind in a row.
	unreachable, broken int
	ejections           int
	until               time.Time
	// slow is the ratio of measured to predicted times, at least 1.
	slow float64
}

func (h *health) decay(now time.Time) {
	if !h.at.IsZero() {
		f := math.Exp(-now.Sub(h.at).Seconds() / outcomeLife.Seconds())
		h.ok *= f
		h.failed *= f
	}
	h.at = now
}

// failureShare is the part of recent requests that failed, the peers' included.
func (h *health) failureShare(others Load) float64 {
	failed, ok := h.failed+others.Failed, h.ok+others.Succeeded
	return failed / (failed + ok + priorOutcomes)
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

func (h *health) eject(now time.Time) {
	d := min(firstEjection<<min(h.ejections, 4), maxEjection)
	h.until = now.Add(d)
	h.ejections++
	h.unreachable, h.broken = 0, 0
}

// observeTime compares a measured time with the prediction.
func (h *health) observeTime(ms, predicted float64) {
	if predicted > ejectedCost/2 {
		return
	}
	ratio := math.Min(maxSlow, ms/math.Max(predicted*2, minMeasuredMs*2))
	h.slow = math.Max(1, h.slow+slowGain*(math.Max(ratio, 0.5)-h.slow))
}

// Observe records the outcome of a request at an endpoint. It returns true if
// the endpoint is ejected by it.
func (p *Pool) RecordOutcome(now time.Time, id string, o Outcome) bool {
	m, ok := p.members[id]
	if !ok {
		return false
	}
	m.decay(now)
	switch o {
	case Succeeded:
		m.ok++
		m.unreachable, m.broken, m.ejections = 0, 0, 0
		m.until = time.Time{}
	case Refused:
		m.unreachable = 0
	case ErrorResponse:
		m.failed++
		m.unreachable = 0
	case NoValidResponse:
		m.failed++
		m.broken++
	case Unreachable:
		m.failed++
		m.unreachable++
	}
	if m.unreachable >= unreachableEject || m.broken >= brokenEject {
		m.eject(now)
		return true
	}
	return false
}
