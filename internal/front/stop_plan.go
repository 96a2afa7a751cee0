package front

import (
	"sync/atomic"
	"time"
)

const (
	// takingPeriod is the time from a stop's signal for which new requests are served. The
	// load balancer probes every second and takes a daemon out after two failures. Callers
	// are told that requests sent in the first 3 s are served.
	takingPeriod = 2700 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the steps after the last
	// request.
	exitMargin = 700 * time.Millisecond
	// finalPart is the part of the grace period, its last sixth, in which requests may be
	// cut.
	finalPart = 6
)

// tickTimes are the times of the last two ticks of the housekeeping. A signal that had been
// waiting before the older one would have been handled by now.
type tickTimes struct{ last, previous atomic.Pointer[time.Time] }

func (t *tickTimes) record(now time.Time) { t.previous.Store(t.last.Swap(&now)) }

// signalNotBefore returns the earliest time at which a signal that is handled now may have
// been sent.
func (t *tickTimes) signalNotBefore(now time.Time) time.Time {
	if previous := t.previous.Load(); previous != nil {
		return *previous
	}
	return now
}

// stopPlan is the schedule of a planned stop.
type stopPlan struct {
	// refuseAt is when requests that were not sent to an endpoint are refused, endAt when
	// those in progress are ended.
	refuseAt, endAt time.Time
}

// newStopPlan returns the schedule of a stop whose signal was sent between notBefore and
// handled. A daemon short of CPU handles it late, which must not move the cut-off; the
// requests in progress must not be cut before the last part of the grace period.
func newStopPlan(notBefore, handled time.Time, grace time.Duration) stopPlan {
	endAt := notBefore.Add(grace - exitMargin)
	if earliest := handled.Add(grace - grace/finalPart); endAt.Before(earliest) {
		endAt = earliest
	}
	return stopPlan{refuseAt: notBefore.Add(min(takingPeriod, grace/2)), endAt: endAt}
}
