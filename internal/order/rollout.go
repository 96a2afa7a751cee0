package order

import (
	"fmt"
	"time"
)

const (
	// healthGrace is how long a changed endpoint may be unhealthy without
	// interruption before it counts against the rollout; engines warm up for
	// tens of seconds.
	healthGrace = time.Minute
	// maxFailedLoads is the number of failed loads of a version that halts its
	// rollout.
	maxFailedLoads = 3
	// retryDelay is the minimum time between a failure and the next order to
	// the same endpoint.
	retryDelay = 30 * time.Second
)

// Progress compares the state of a service with its desired state.
type Progress struct {
	Service string
	// Total counts the endpoints that are not leaving, Ready those in the
	// desired state and healthy.
	Total, Ready int
	// Open counts the open orders, and Unknown those among them whose outcome is
	// unknown.
	Open, Unknown int
	// Failed counts the closed orders in the record that are not Done.
	Failed int
	Halt   *Halt
}

// NewProgress computes the progress from the desired and observed state and the
// record, which may be nil.
func NewProgress(d Desired, observed []Observed, r *Record) Progress {
	p := Progress{Service: d.Service}
	for _, o := range observed {
		if o.Leaving {
			continue
		}
		p.Total++
		if _, more := nextAction(d, o); !more && o.Healthy {
			p.Ready++
		}
	}
	if r == nil {
		return p
	}
	p.Halt = r.Halt
	for i := range r.Orders {
		switch o := &r.Orders[i]; {
		case o.Open():
			p.Open++
			if o.State == Unknown {
				p.Unknown++
			}
		case o.State != Done:
			p.Failed++
		}
	}
	return p
}

// halted reports whether the rollout of the desired version is halted.
func (r *Record) halted(d Desired) bool {
	return r.Halt != nil && r.Halt.Model == d.Model && r.Halt.Version == d.Version &&
		r.Halt.Resume >= d.Resume
}

// clearHalt ends a halt after an operator's resume or a change of the version.
// It reports whether it did.
func (r *Record) clearHalt(d Desired, now time.Time) bool {
	if r.Halt == nil || r.halted(d) {
		return false
	}
	r.Halt, r.ResumedAt = nil, now
	return true
}

// haltIfFailing halts the rollout if too many changed endpoints are unhealthy or
// too many loads failed. It considers changed endpoints only, so that a rollback
// is not blocked by the endpoints that the bad version made unhealthy. It
// reports whether it halted the rollout.
func (r *Record) haltIfFailing(
	d Desired, observed []Observed, unhealthyTooLong func(string) bool, now time.Time,
) bool {
	if r.Halt != nil || d.Version == "" {
		return false
	}
	changed, unhealthy, failed := r.countChanged(d, observed, unhealthyTooLong)
	reason := ""
	switch {
	case unhealthy > 0 && float64(unhealthy) > d.MaxUnhealthyShare*float64(changed):
		reason = fmt.Sprintf("%d of %d changed endpoints are not healthy", unhealthy, changed)
	case failed >= maxFailedLoads:
		reason = fmt.Sprintf("%d loads of the version failed", failed)
	default:
		return false
	}
	r.Halt = &Halt{Model: d.Model, Version: d.Version, Reason: reason, At: now, Resume: d.Resume}
	return true
}

// countChanged counts the endpoints that the rollout changed, those among them
// that have been unhealthy too long, and the failed loads since the last resume.
func (r *Record) countChanged(
	d Desired, observed []Observed, unhealthyTooLong func(string) bool,
) (changed, unhealthy, failed int) {
	reports := byEndpoint(observed)
	for i := range r.Orders {
		o := &r.Orders[i]
		// Only the latest order to an endpoint determines its version.
		if !o.loadsVersion(d) || o.At.Before(r.ResumedAt) ||
			o.State == Done && r.latestOrder(o.Endpoint) != o {
			continue
		}
		report, known := reports[o.Endpoint]
		switch {
		case o.State == Failed:
			failed++
		case o.State == Done && known && !report.Leaving && hasEffect(o.Action, report):
			changed++
			if unhealthyTooLong(o.Endpoint) {
				unhealthy++
			}
		}
	}
	return changed, unhealthy, failed
}

func byEndpoint(observed []Observed) map[string]Observed {
	reports := make(map[string]Observed, len(observed))
	for _, o := range observed {
		reports[o.Endpoint] = o
	}
	return reports
}

// loadsVersion reports whether the order is part of the rollout.
func (o *Order) loadsVersion(d Desired) bool {
	return o.Action == Action{LoadVersion, d.Version} ||
		o.Action == Action{LoadModel, d.Model + "@" + d.Version}
}

// latestOrder returns the latest order to the endpoint, or nil.
func (r *Record) latestOrder(endpoint string) *Order {
	for i := len(r.Orders) - 1; i >= 0; i-- {
		if r.Orders[i].Endpoint == endpoint {
			return &r.Orders[i]
		}
	}
	return nil
}

// backoff returns how much longer the endpoint gets no order after a failure.
func (r *Record) backoff(endpoint string, now time.Time) time.Duration {
	o := r.latestOrder(endpoint)
	if o == nil || o.Open() || o.State == Done {
		return 0
	}
	return max(0, o.At.Add(retryDelay).Sub(now))
}

// needsHigherFence reports whether an order with the current fencing token may
// still arrive at an endpoint that checks tokens, or was refused by it. The next
// order then needs a higher token, so that the endpoint refuses the late one.
func (r *Record) needsHigherFence(o Observed) bool {
	latest := r.latestOrder(o.Endpoint)
	return latest != nil && o.ChecksFencing && (latest.AnswerLost || latest.State == Refused) &&
		latest.Fence >= r.Fence
}

// readyAction returns the action that may be ordered from the endpoint now,
// without regard to the limits of the service.
func (r *Record) readyAction(d Desired, o Observed, now time.Time) (Action, bool) {
	a, ok := nextAction(d, o)
	blocked := o.Leaving || r.openOrder(o.Endpoint) != nil || r.backoff(o.Endpoint, now) > 0
	return a, ok && !blocked
}

// unavailableCount counts the endpoints that are out of service now.
func (r *Record) unavailableCount(observed []Observed) int {
	count := 0
	for _, o := range observed {
		unhealthy := !o.Healthy && o.Model != ""
		if !o.Leaving && (unhealthy || r.openOrder(o.Endpoint) != nil) {
			count++
		}
	}
	return count
}

// addIntents adds the orders that may be sent now. The second result is true if
// one of them needs a higher fencing token first.
func (r *Record) addIntents(d Desired, observed []Observed, now time.Time) (added, renew bool) {
	if r.halted(d) {
		return false, false
	}
	limit, unavailable := maxUnavailable(d, observed), r.unavailableCount(observed)
	for _, o := range sortedByEndpoint(observed) {
		a, ok := r.readyAction(d, o, now)
		if !ok || inService(o) && unavailable >= limit {
			continue
		}
		if r.needsHigherFence(o) {
			renew = true
			continue
		}
		notBefore := now
		if a.readsWeights() {
			// The weight store is rate-limited, so loads are spaced out.
			notBefore = r.LastLoad.Add(d.LoadInterval)
			if notBefore.Before(now) {
				notBefore = now
			}
			if notBefore.Sub(now) >= writeInterval {
				continue
			}
			r.LastLoad = notBefore
		}
		if inService(o) {
			unavailable++
		}
		r.LastID++
		r.Orders = append(r.Orders, Order{
			ID: r.LastID, Endpoint: o.Endpoint, Action: a, Fence: r.Fence, State: Intended, At: now, NotBefore: notBefore,
		})
		added = true
	}
	return added, renew
}

// trackHealth updates the times since when endpoints are unhealthy.
func (c *Controller) trackHealth(now time.Time) {
	unhealthySince := make(map[string]time.Time)
	for _, o := range c.observed {
		if o.Healthy {
			continue
		}
		unhealthySince[o.Endpoint] = now
		if since, known := c.unhealthySince[o.Endpoint]; known {
			unhealthySince[o.Endpoint] = since
		}
	}
	c.unhealthySince = unhealthySince
}

// unhealthyTooLong reports whether the endpoint has been unhealthy for at least
// healthGrace.
func (c *Controller) unhealthyTooLong(endpoint string, now time.Time) bool {
	since, known := c.unhealthySince[endpoint]
	return known && now.Sub(since) >= healthGrace
}
