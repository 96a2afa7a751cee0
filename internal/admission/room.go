package admission

import (
	"math"
	"time"
)

// hasRoom reports whether one more request of the class may run.
func (q *Queue) hasRoom(now time.Time, long bool) bool {
	limit := q.runLimit()
	if len(q.running) >= limit && q.endedOverLimit < endsPerStart {
		return false
	}
	if !long || now.Sub(q.lastShortAt) > reserveDuration {
		return true
	}
	if q.broken == "reserve" {
		return false
	}
	if float64(q.runningLong) < max(1, longFloorShare*q.evenShare()) {
		return true
	}
	free := q.poolLimit() - float64(len(q.running)) - float64(q.capacity.PeersInFlight)
	return free >= 1+q.shortReserve()
}

// shortReserve returns the number of free slots in the pool that long requests
// leave to short ones, extrapolated from the short requests of this daemon.
func (q *Queue) shortReserve() float64 {
	return longReserveStdDevs * math.Sqrt(q.shortMean*float64(q.capacity.Peers+1))
}

// updateShortMean updates the mean number of running short requests. It must be
// called before that number changes.
func (q *Queue) updateShortMean(now time.Time) {
	dt := now.Sub(q.shortMeanAt)
	if q.shortMeanAt.IsZero() || dt < 0 {
		dt = 0
	}
	q.shortMeanAt = now
	w := 1 - math.Exp(-float64(dt)/float64(shortMeanTimeConstant))
	q.shortMean += w * (float64(len(q.running)-q.runningLong) - q.shortMean)
}

// mayBorrow reports whether a short request of account a may exceed the limit:
// the pool is full, and a runs less than its share of it. weight is the result
// of activeWeight.
func (q *Queue) mayBorrow(a *account, weight float64) bool {
	if q.opts.PlainService || len(q.running) < q.runLimit() {
		return false
	}
	if float64(len(q.running)) >= float64(q.runLimit())+max(1, borrowShare*q.evenShare()) &&
		q.endedOverLimit < endsPerStartBelowShare {
		return false
	}
	return float64(a.running+1) <= q.evenShare()*a.weight/weight
}

// activeWeight returns the total weight of a and of all accounts with running
// or queued requests.
func (q *Queue) activeWeight(a *account) float64 {
	sum := 0.0
	for _, x := range q.accounts {
		if x == a || x.running > 0 || !x.hasNoQueue() {
			sum += x.weight
		}
	}
	return sum
}

// evenShare returns this daemon's share of the pool's limit if it is divided
// equally among the daemons.
func (q *Queue) evenShare() float64 {
	return q.poolLimit() / float64(q.capacity.Peers+1)
}

// poolLimit returns the number of concurrent requests of all daemons that the
// pool may run.
func (q *Queue) poolLimit() float64 {
	return q.limit.perEndpoint(q.capacity) * q.capacity.Endpoints
}

// runLimit returns the number of requests that this daemon may run: its even
// share of the pool's limit, or more while the other daemons use less than
// theirs.
func (q *Queue) runLimit() int {
	if q.broken == "limit" {
		return 1 << 30
	}
	c := q.capacity
	total := q.poolLimit()
	share := total / float64(c.Peers+1)
	if c.Peers == 0 {
		return max(1, int(total))
	}
	free := total - float64(len(q.running)) - float64(c.PeersInFlight)
	return max(1, int(share), int(float64(len(q.running))+free))
}
