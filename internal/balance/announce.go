package balance

import "time"

// maxPause bounds the time for which an endpoint's announcement keeps requests away, in
// case its number is wrong.
const maxPause = time.Hour

// Announcement is what an endpoint says in a response about further requests.
type Announcement struct {
	// Leaving is true if the endpoint is about to leave.
	Leaving bool
	// RetryAfter is the time for which the endpoint wants no requests from this daemon; 0
	// if it did not say so.
	RetryAfter time.Duration
}

// notice is the announcement of one incarnation of an endpoint. It outlives the endpoint's
// entry, which may lapse and come back while the store is in trouble.
type notice struct {
	incarnation int64
	leaving     bool
	pausedUntil time.Time
	receivedAt  time.Time
}

// RecordAnnouncement records what the endpoint e, as it was chosen, announced. It returns
// true if the announcement changes whether the endpoint gets requests.
func (p *Pool) RecordAnnouncement(now time.Time, e Endpoint, a Announcement) bool {
	n := p.notices[e.ID]
	if n.incarnation != e.Incarnation {
		if current, ok := p.endpoints[e.ID]; ok && current.Incarnation != e.Incarnation {
			return false // a late response of an earlier incarnation
		}
		n = notice{incarnation: e.Incarnation}
	}
	former := n
	n.leaving = n.leaving || a.Leaving
	if until := now.Add(min(a.RetryAfter, maxPause)); a.RetryAfter > 0 && until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	if n == former {
		return false
	}
	n.receivedAt = now
	p.pruneNotices(now)
	p.notices[e.ID] = n
	return true
}

// pruneNotices removes the notices of endpoints that have been gone for maxPause.
func (p *Pool) pruneNotices(now time.Time) {
	for id, n := range p.notices {
		if _, ok := p.endpoints[id]; !ok && now.Sub(n.receivedAt) > maxPause {
			delete(p.notices, id)
		}
	}
}

// leaves reports whether the endpoint leaves, by its entry or by its own announcement.
func (p *Pool) leaves(e *endpointState) bool {
	if e.Leaving || len(p.notices) == 0 {
		return e.Leaving
	}
	n, ok := p.notices[e.ID]
	return ok && n.incarnation == e.Incarnation && n.leaving
}

// pause returns the time for which the endpoint still wants no requests.
func (p *Pool) pause(now time.Time, e *endpointState) time.Duration {
	if len(p.notices) == 0 {
		return 0
	}
	n, ok := p.notices[e.ID]
	if !ok || n.incarnation != e.Incarnation {
		return 0
	}
	return max(0, n.pausedUntil.Sub(now))
}

// shortestPause returns the time until the first of the paused endpoints wants requests
// again, 0 if none is paused.
func (p *Pool) shortestPause(now time.Time) time.Duration {
	var shortest time.Duration
	for _, e := range p.endpoints {
		if d := p.pause(now, e); d > 0 && !p.leaves(e) && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}
