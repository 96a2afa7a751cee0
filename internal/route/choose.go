package route

import (
	"math/rand/v2"
	"time"
)

const (
	// excessRequestCost is the cost of each request beyond the slots of an
	// endpoint, in units of a request within the slots. Such a request waits
	// for another one to finish, while a request in a batch that is not full
	// only slows the others down.
	excessRequestCost = 4
	// shortCountShare and longCountShare are the weights of the number of
	// requests relative to the outstanding tokens. A short request ends before
	// much of the outstanding work is done, so the current batch size matters
	// more.
	shortCountShare = 0.8
	longCountShare  = 0.4
	// tokensPerRequest is the number of outstanding tokens that is as costly as
	// one request in flight.
	tokensPerRequest = 256
	// minAffinityTokens is the shortest prefix for which affinity pays off: its
	// prefill takes about as long as one decoding step.
	minAffinityTokens = 64
	// maxAffinitySlowness is the slowness of an endpoint above which prefix
	// affinity is ignored.
	maxAffinitySlowness = 1.5
	// maxRingPoints limits the number of ring points examined for a prefix.
	maxRingPoints = 24
	// maxRingEndpoints is the number of endpoints on the ring considered for a
	// prefix.
	maxRingEndpoints = 2
	// minLocalRing is the number of ready endpoints in the daemon's failure
	// domain at which prefixes are kept within that domain.
	minLocalRing = 8
)

// Choose returns the endpoint for r. It compares random candidates from the
// daemon's failure domain and from the whole pool, and the runner-up of the
// last choice. A request with a prompt prefix goes to an endpoint that is
// likely to have it cached, unless the load of that endpoint exceeds the bound.
// Choose does not allocate.
//
// It never returns a leaving or excluded endpoint. It returns an ejected one
// only if all other endpoints are excluded or ejected.
func (p *Pool) Choose(now time.Time, r *Request, rng *rand.Rand) (Choice, error) {
	t := now.UnixNano()
	if r.PrefixHash != 0 && r.PrefixTokens >= minAffinityTokens {
		if i := p.chooseAffinity(t, r); i >= 0 {
			return p.newChoice(i, true), nil
		}
	}
	best, second := int32(-1), int32(-1)
	bestScore, secondScore := 0.0, 0.0
	consider := func(i int32) {
		if i < 0 || i == best || i == second || p.isExcluded(i, r) {
			return
		}
		s := p.score(t, i, r)
		switch {
		case best < 0 || s < bestScore:
			second, secondScore = best, bestScore
			best, bestScore = i, s
		case second < 0 || s < secondScore:
			second, secondScore = i, s
		}
	}
	p.sample(r, rng, consider)
	if best < 0 {
		best = p.scanAll(t, r)
	}
	if best < 0 {
		return Choice{}, p.noEndpointError()
	}
	p.runnerUp = second
	return p.newChoice(best, false), nil
}

// sample passes the candidates of a choice to consider: Options.Candidates
// random endpoints of the daemon's failure domain, as many of the whole pool,
// and the runner-up of the last choice.
func (p *Pool) sample(r *Request, rng *rand.Rand, consider func(int32)) {
	local := p.domains[r.Domain]
	if len(local) < len(p.ready) {
		sampleList(local, p.opts.Candidates, rng, consider)
	}
	sampleList(p.ready, p.opts.Candidates, rng, consider)
	consider(p.runnerUp)
}

// sampleList passes n random elements of list to consider, or all of them if
// there are at most n.
func sampleList(list []int32, n int, rng *rand.Rand, consider func(int32)) {
	if len(list) <= n {
		for _, i := range list {
			consider(i)
		}
		return
	}
	for range n {
		consider(list[rng.IntN(len(list))])
	}
}

func (p *Pool) newChoice(i int32, affinity bool) Choice {
	ep := &p.endpoints[i]
	return Choice{
		Endpoint: ep.ID, Domain: ep.Domain, Affinity: affinity, index: i,
		Saturated: float32(ep.inFlight()) >= ep.slots,
	}
}

func (p *Pool) noEndpointError() error {
	if p.liveCount == 0 {
		return ErrNoEndpoint
	}
	return ErrAllExcluded
}

// scanAll examines all endpoints after sampling found none: first those that
// accept requests, then ejected ones, because an ejection may be wrong and the
// alternative is to refuse the request.
func (p *Pool) scanAll(now int64, r *Request) int32 {
	best, bestScore := int32(-1), 0.0
	for _, i := range p.ready {
		if p.isExcluded(i, r) {
			continue
		}
		if s := p.score(now, i, r); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	if best >= 0 {
		return best
	}
	for _, i := range p.layout {
		if p.endpoints[i].State != Live || p.isExcluded(i, r) {
			continue
		}
		if best < 0 || p.endpoints[i].inFlight() < p.endpoints[best].inFlight() {
			best = i
		}
	}
	return best
}

func (p *Pool) isExcluded(i int32, r *Request) bool {
	if p.broken == "excluded" {
		return false
	}
	id := p.endpoints[i].ID
	for _, x := range r.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// score estimates the cost of running r on endpoint i; lower is better.
func (p *Pool) score(now int64, i int32, r *Request) float64 {
	ep := &p.endpoints[i]
	slots := float64(ep.slots * max(ep.weight, minScoreWeight))
	count := float64(ep.inFlight() + 1)
	share := shortCountShare
	if r.Class == Long {
		share = longCountShare
	}
	tokens := float64(ep.ownTokens+ep.peersTokens) + float64(r.PredictedTokens)
	load := share*count + (1-share)*tokens/tokensPerRequest
	load += excessRequestCost * max(0, count-slots)
	s := load / slots * p.detector.SlowdownRatio(now, i)
	if ep.Domain != r.Domain {
		s *= p.opts.RemotePenalty
	}
	return s
}

// inFlight returns the estimated number of requests of all daemons on the
// endpoint.
func (ep *endpoint) inFlight() int32 {
	return ep.ownInFlight + ep.peersInFlight + ep.unattributed
}
