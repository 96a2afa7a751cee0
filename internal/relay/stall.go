package relay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/routing"
)

// Timeouts of endpoints that send nothing.
const (
	// firstByteTimeoutFactor times the route's latency objective is the time
	// after which an attempt is canceled if no byte of the response body has
	// arrived and the request is idempotent.
	firstByteTimeoutFactor = 2.5
	// stallTimeoutFactor times the route's longest event gap is the time
	// without events after which a stream is canceled that another endpoint
	// can resume; it is at least minStallTimeout.
	stallTimeoutFactor = 3.0
	minStallTimeout    = time.Second
)

// errEndpointStalled is the cause of an attempt canceled by its timer.
var errEndpointStalled = errors.New("the endpoint sent no response data in time")

// firstByteTimeout returns the time without a response body after which an
// endpoint counts as failed.
func firstByteTimeout(r *routing.Route) time.Duration {
	return time.Duration(firstByteTimeoutFactor * float64(r.LatencyObjective))
}

// stallTimeout returns the time without events after which a stream moves on.
func stallTimeout(r *routing.Route) time.Duration {
	return max(time.Duration(stallTimeoutFactor*float64(r.MaxEventGap)), minStallTimeout)
}

// startTimer starts the first-byte timeout if the request is idempotent and the
// route has a latency objective.
func (a *attempt) startTimer() {
	r := a.x.route
	if !r.Idempotent() || r.LatencyObjective <= 0 {
		return
	}
	a.timer = time.AfterFunc(firstByteTimeout(r), a.moveOn)
}

// moveOn cancels the attempt, so that another endpoint serves the request. If the caller
// has a part of the answer and no other attempt is allowed, the attempt goes on until the
// deadline instead: the endpoint may continue, and the caller would lose the answer.
func (a *attempt) moveOn() {
	if a.begun.Load() {
		if a.last {
			return
		}
		if !a.x.handler.RetryBudget.Take(a.x.service) {
			a.timer.Reset(stallTimeout(a.x.route))
			return
		}
		a.retryTaken.Store(true)
	}
	a.cancel(errEndpointStalled)
}

// resetStallTimer restarts the stall timeout of a stream that another endpoint can
// resume; it is called whenever events have arrived.
func (a *attempt) resetStallTimer() {
	if !a.x.route.Idempotent() || a.timer == nil {
		return
	}
	a.timer.Reset(stallTimeout(a.x.route))
}

func (a *attempt) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}
