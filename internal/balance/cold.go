package balance

import "time"

// ColdLimits describe the endpoints of a service that take few requests while they are cold.
type ColdLimits struct {
	// Period is how long an endpoint is cold after its start.
	Period time.Duration
	// Rate is the number of requests a second that a cold endpoint takes from all daemons
	// together; 0 if coldness makes no difference.
	Rate float64
}

const (
	// coldReportDelay is the age that an endpoint's entry may have when it arrives. An entry
	// that arrives sooner after a suspicion does not show that the endpoint is warm.
	coldReportDelay = 2 * time.Second
	// coldToldFor is how long after a response a daemon tells its peers that an endpoint is cold.
	coldToldFor = limitToldFor
)

// coldState is what is known of the coldness of one endpoint. It outlives the endpoint's entry,
// which may lapse while the endpoint is down.
type coldState struct {
	endpoint Endpoint
	// sequence is that of the last report of the endpoint, reported is false before the first.
	sequence int64
	reported bool
	// until is the end of the cold period, also of one that is only suspected.
	until time.Time
	// restartSuspected is true from a broken or failed connection to the next answer: the process
	// may have restarted, so that it would be cold for a whole period from then on.
	restartSuspected bool
	// suspectedAt is when the endpoint was last suspected to be cold, heardAt when a response to
	// this daemon last said that it is.
	suspectedAt, heardAt time.Time
}

func (p *Pool) coldState(e Endpoint) *coldState {
	s, ok := p.coldStates[e.ID]
	if !ok {
		s = &coldState{endpoint: e}
		p.coldStates[e.ID] = s
	}
	return s
}

// Report is what an endpoint reports of its state in its entry.
type Report struct {
	// Sequence increases with each report of an incarnation.
	Sequence int64
	// ColdFor is how long the endpoint stays cold; 0 if it is not cold.
	ColdFor time.Duration
	// Initial is true if the report is in the first list that the daemon has read.
	Initial bool
}

// RecordEntry records what an endpoint's entry says of its state. A report that is known already is
// ignored. It returns true if the endpoint has become cold.
func (p *Pool) RecordEntry(now time.Time, e Endpoint, r Report) bool {
	s := p.coldState(e)
	sameLife := s.endpoint.Incarnation == e.Incarnation
	if s.reported && sameLife && s.sequence == r.Sequence {
		return false
	}
	if s.endpoint.Incarnation > e.Incarnation && r.ColdFor == 0 && now.Before(s.until) {
		return false // a late report of an earlier life says nothing of this one
	}
	if state, ok := p.endpoints[e.ID]; ok && !r.Initial && (!s.reported || !sameLife) {
		state.cameBackAt = now
	}
	was := p.coldUntil(now, s)
	s.endpoint, s.sequence, s.reported = e, r.Sequence, true
	switch {
	case r.ColdFor > 0:
		s.until, s.restartSuspected = now.Add(r.ColdFor), false
	case !sameLife || now.Sub(s.suspectedAt) >= coldReportDelay:
		s.until, s.restartSuspected = time.Time{}, false
	}
	p.pruneCold(now)
	return !was && p.coldUntil(now, s)
}

// RecordCold records that an endpoint was told to be cold for a time: by a peer, which counts for at most
// the service's cold period, or by a response to this daemon if heard is true. It returns true if the
// endpoint has become cold.
func (p *Pool) RecordCold(now time.Time, e Endpoint, coldFor time.Duration, heard bool) bool {
	s := p.coldState(e)
	switch {
	case s.endpoint.Incarnation > e.Incarnation:
		return false
	case s.endpoint.Incarnation < e.Incarnation:
		s.endpoint, s.reported = e, false
	}
	if !heard {
		coldFor = min(coldFor, p.opts.Cold.Period)
	}
	was := p.coldUntil(now, s)
	if until := now.Add(coldFor); until.After(s.until) {
		s.until = until
	}
	if s.suspectedAt = now; heard {
		s.heardAt = now
	}
	return !was && p.coldUntil(now, s)
}

// HeardCold returns the endpoints that said in responses to this daemon within coldToldFor that
// they are cold, with the rest of their cold periods.
func (p *Pool) HeardCold(now time.Time) map[Endpoint]time.Duration {
	if p.opts.Cold.Rate == 0 {
		return nil
	}
	heard := make(map[Endpoint]time.Duration)
	for _, s := range p.coldStates {
		if now.Sub(s.heardAt) < coldToldFor && now.Before(s.until) {
			heard[s.endpoint] = s.until.Sub(now)
		}
	}
	return heard
}

// Recovered records that the endpoints of a failure domain get requests again after it was out
// of use. They may be cold, and what their entries say may be older. They get requests at a pace.
func (p *Pool) Recovered(now time.Time, domain string) {
	for _, e := range p.endpoints {
		if e.Domain == domain {
			e.cameBackAt = now
			p.RecordCold(now, e.Endpoint, p.opts.Cold.Period, false)
		}
	}
}

// Cold returns the number of endpoints that are cold or may be.
func (p *Pool) Cold(now time.Time) int {
	n := 0
	for _, e := range p.endpoints {
		if p.cold(now, e) {
			n++
		}
	}
	return n
}

// cold reports whether an endpoint is cold or may be.
func (p *Pool) cold(now time.Time, e *endpointState) bool {
	if p.opts.Cold.Rate == 0 {
		return false
	}
	s, ok := p.coldStates[e.ID]
	return ok && p.coldUntil(now, s)
}

func (p *Pool) coldUntil(now time.Time, s *coldState) bool {
	return p.opts.Cold.Rate > 0 && (s.restartSuspected || now.Before(s.until))
}

// suspectRestart records that a connection to an endpoint failed or broke.
func (p *Pool) suspectRestart(now time.Time, e *endpointState) {
	if p.opts.Cold.Rate == 0 {
		return
	}
	s := p.coldState(e.Endpoint)
	s.restartSuspected, s.suspectedAt = true, now
}

// answeredAfterRestart begins the cold period of an endpoint that answers after a suspected
// restart.
func (p *Pool) answeredAfterRestart(now time.Time, e *endpointState) {
	if p.opts.Cold.Rate == 0 {
		return
	}
	s, ok := p.coldStates[e.ID]
	if !ok || !s.restartSuspected {
		return
	}
	s.restartSuspected, s.suspectedAt = false, now
	if until := now.Add(p.opts.Cold.Period); until.After(s.until) {
		s.until = until
	}
}

// pruneCold forgets endpoints that have been gone for maxPause.
func (p *Pool) pruneCold(now time.Time) {
	if len(p.coldStates) <= 2*len(p.endpoints) {
		return
	}
	for id, s := range p.coldStates {
		if _, ok := p.endpoints[id]; !ok && now.Sub(s.until) > maxPause && now.Sub(s.suspectedAt) > maxPause {
			delete(p.coldStates, id)
		}
	}
}
