package balance

import "time"

const (
	// maxPause bounds the time for which an endpoint's announcement keeps requests away, in
	// case its number is wrong.
	maxPause = time.Hour
	// returnTime is the time after a pause in which the requests that a daemon may have
	// open at the endpoint grow from one to its share of the slots. All daemons that wait
	// for an endpoint would otherwise fill it at once, and it would refuse again. Where endpoints that come
	// back get requests at a pace, that takes its place.
	returnTime = 2 * time.Second
)

// Announcement is what an endpoint says in a response about further requests.
type Announcement struct {
	// Leaving is true if the endpoint is about to leave.
	Leaving bool
	// RetryAfter is the time for which the endpoint wants no requests from this daemon; 0
	// if it did not say so.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the endpoint takes from all daemons
	// together; 0 if it named none.
	Limit float64
	// UnlimitedSince is set if the response names no limit: when its request was sent. A
	// response that was under way does not end a limit that was named meanwhile.
	UnlimitedSince time.Time
	// ColdFor is how long the endpoint stays cold; 0 if it did not say so.
	ColdFor time.Duration
}

// incarnation is one life of an endpoint's process.
type incarnation struct {
	id     string
	number int64
}

func (e Endpoint) incarnation() incarnation { return incarnation{id: e.ID, number: e.Incarnation} }

// notice is the announcement of one incarnation of an endpoint. It outlives the endpoint's
// entry, which may lapse and come back while the store is in trouble.
type notice struct {
	leaving     bool
	pausedUntil time.Time
	limit       RateLimit
	// limitHeardAt is when a response to this daemon last told about the limit.
	limitHeardAt time.Time
	receivedAt   time.Time
}

// RateLimit is what is known of the limit of an incarnation.
type RateLimit struct {
	// PerSecond is the number of requests a second that the endpoint takes from all daemons
	// together; 0 if there is no limit.
	PerSecond float64
	// StatedAt is when a response last told so.
	StatedAt time.Time
}

// limitToldFor is how long after a response a daemon tells its peers of a limit: all daemons that
// exchange loads hear of it in this time.
const limitToldFor = 5 * time.Second

// restatementAge is the age by which a statement of the same limit must be newer to replace
// another one. Ages are passed on with the time of a message added, so that a statement that two
// daemons tell each other would become newer each time.
const restatementAge = time.Second

// Supersedes reports whether a statement replaces a former one.
func (l RateLimit) Supersedes(former RateLimit) bool {
	newer := l.StatedAt.Sub(former.StatedAt)
	return newer > restatementAge || newer > 0 && l.PerSecond != former.PerSecond
}

// update returns the limit after an announcement.
func (l RateLimit) update(now time.Time, a Announcement) RateLimit {
	switch {
	case a.Limit > 0:
		return RateLimit{PerSecond: a.Limit, StatedAt: now}
	case a.UnlimitedSince.After(l.StatedAt):
		return RateLimit{StatedAt: now}
	}
	return l
}

// RecordAnnouncement records what the endpoint e, as it was chosen, announced. It returns
// true if the announcement changes whether the endpoint gets requests.
func (p *Pool) RecordAnnouncement(now time.Time, e Endpoint, a Announcement) bool {
	cold := a.ColdFor > 0 && p.RecordCold(now, e, a.ColdFor, true)
	former := p.notices[e.incarnation()]
	n := former
	n.leaving = n.leaving || a.Leaving
	if until := now.Add(min(a.RetryAfter, maxPause)); a.RetryAfter > 0 && until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	if n.limit = n.limit.update(now, a); n.limit != former.limit {
		n.limitHeardAt = now
	}
	if n == former {
		return cold
	}
	n.receivedAt = now
	p.pruneNotices(now)
	p.notices[e.incarnation()] = n
	return cold || n.leaving != former.leaving || n.pausedUntil != former.pausedUntil || n.limit.PerSecond != former.limit.PerSecond
}

// HeardLimits returns the limits of which responses to this daemon told within limitToldFor, also
// those that have ended, by endpoint.
func (p *Pool) HeardLimits(now time.Time) map[Endpoint]RateLimit {
	if len(p.notices) == 0 {
		return nil
	}
	heard := make(map[Endpoint]RateLimit)
	for _, e := range p.endpoints {
		if n, ok := p.notices[e.incarnation()]; ok && now.Sub(n.limitHeardAt) < limitToldFor {
			heard[e.Endpoint] = n.limit
		}
	}
	return heard
}

// LimitOf returns what is known of the limit of the endpoint e, as it was chosen.
func (p *Pool) LimitOf(e Endpoint) RateLimit {
	if len(p.notices) == 0 {
		return RateLimit{}
	}
	return p.notices[e.incarnation()].limit
}

// limited reports whether requests to the endpoint need permits.
func (p *Pool) limited(now time.Time, e *endpointState) bool {
	return p.LimitOf(e.Endpoint).PerSecond > 0 || p.cold(now, e) || p.paced(now, e)
}

// pruneNotices removes the notices of incarnations that have been gone for maxPause.
func (p *Pool) pruneNotices(now time.Time) {
	for of, n := range p.notices {
		current, ok := p.endpoints[of.id]
		if (!ok || current.incarnation() != of) && now.Sub(n.receivedAt) > maxPause {
			delete(p.notices, of)
		}
	}
}

// leaves reports whether the endpoint leaves, by its entry or by its own announcement.
func (p *Pool) leaves(e *endpointState) bool {
	if e.Leaving || len(p.notices) == 0 {
		return e.Leaving
	}
	return p.notices[e.incarnation()].leaving
}

// pause returns the time for which the endpoint still wants no requests.
func (p *Pool) pause(now time.Time, e *endpointState) time.Duration {
	if len(p.notices) == 0 {
		return 0
	}
	return max(0, p.notices[e.incarnation()].pausedUntil.Sub(now))
}

// returningSlots returns the number of requests that this daemon may have open at an
// endpoint whose pause ended less than returnTime ago, and whether there is such a limit.
func (p *Pool) returningSlots(now time.Time, e *endpointState) (int, bool) {
	since := now.Sub(p.notices[e.incarnation()].pausedUntil)
	if p.opts.Paced || since < 0 || since >= returnTime {
		return 0, false
	}
	share := float64(e.Slots) / float64(p.daemons)
	return 1 + int(share*float64(since)/float64(returnTime)), true
}

// RecordLimit records what a peer knows of an endpoint's limit, unless a newer response of the
// endpoint is known.
func (p *Pool) RecordLimit(now time.Time, e Endpoint, l RateLimit) {
	n := p.notices[e.incarnation()]
	if !l.Supersedes(n.limit) {
		return
	}
	n.limit, n.receivedAt = l, now
	p.pruneNotices(now)
	p.notices[e.incarnation()] = n
}

// Permitted records that a request that needed a permit is sent.
func (p *Pool) Permitted(now time.Time, c Choice, r Request) {
	if e, ok := p.endpoints[c.ID]; ok {
		e.recordPrompt(now, r.Prompt, p.opts.KVTokens)
	}
}

// Denied ends a choice for whose endpoint there is no permit for a time.
func (p *Pool) Denied(now time.Time, c Choice, wait time.Duration) {
	p.Done(c, false)
	if e, ok := p.endpoints[c.ID]; ok && e.incarnation() == c.incarnation() {
		e.deniedUntil = now.Add(wait)
	}
}

// denial returns the time for which no permit is to be had for the endpoint.
func (p *Pool) denial(now time.Time, e *endpointState) time.Duration {
	d := e.deniedUntil.Sub(now)
	if d <= 0 || !p.limited(now, e) {
		return 0
	}
	return d
}

// withheld reports whether what is known of the endpoint forbids to send it a request now.
func (p *Pool) withheld(now time.Time, e *endpointState) bool {
	if e.Leaving || p.denial(now, e) > 0 {
		return true
	}
	if len(p.notices) == 0 {
		return false
	}
	limit, limited := p.returningSlots(now, e)
	return p.leaves(e) || p.pause(now, e) > 0 || limited && e.openRequests >= limit
}

// Announced returns the number of endpoints that leave, by their entries or by their own
// announcements, and of those that want no requests for now.
func (p *Pool) Announced(now time.Time) (leaving, paused int) {
	for _, e := range p.endpoints {
		switch {
		case p.leaves(e):
			leaving++
		case p.pause(now, e) > 0:
			paused++
		}
	}
	return leaving, paused
}

// shortestPause returns the time until the first of the paused endpoints to which the request
// may go wants requests again, or the limit of one allows them, 0 if there is none.
func (p *Pool) shortestPause(now time.Time, r Request) time.Duration {
	var shortest time.Duration
	for _, e := range p.endpoints {
		if d := max(p.pause(now, e), p.denial(now, e)); d > 0 && !p.leaves(e) && r.admits(e) && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}
