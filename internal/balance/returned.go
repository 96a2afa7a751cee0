package balance

import "time"

// paceTimeout is the time after its return in which an endpoint may need a pace. One that has had no
// requests for so long has been up for long enough.
const paceTimeout = 10 * time.Second

// returnedAt returns when an endpoint last came back: it started, its pause or its ejection ended, or its failure
// domain got requests again. It is zero if it did not.
func (p *Pool) returnedAt(now time.Time, e *endpointState) time.Time {
	at := e.cameBackAt
	for _, until := range []time.Time{p.notices[e.incarnation()].pausedUntil, e.ejectedUntil} {
		if !until.After(now) && until.After(at) {
			at = until
		}
	}
	return at
}

// paced reports whether an endpoint has come back and gets requests at a pace.
func (p *Pool) paced(now time.Time, e *endpointState) bool {
	if !p.opts.Paced {
		return false
	}
	at := p.returnedAt(now, e)
	return now.Sub(at) < paceTimeout && at.After(e.paceOverAt)
}

// PaceOver records that an endpoint that had returned when it was chosen needs no pace any more.
func (p *Pool) PaceOver(now time.Time, c Choice) {
	if e, ok := p.endpoints[c.ID]; ok && e.incarnation() == c.incarnation() && !p.returnedAt(now, e).After(c.ReturnedAt) {
		e.paceOverAt = c.ReturnedAt
	}
}

// Paced reports whether the endpoint of a choice still gets requests at a pace.
func (p *Pool) Paced(now time.Time, c Choice) bool {
	e, ok := p.endpoints[c.ID]
	return ok && e.incarnation() == c.incarnation() && p.paced(now, e)
}
