package route

import (
	"math/rand/v2"
	"time"
)

const (
	// crowdedCost is the score of one more request for each slot beyond an
	// endpoint's slots: it waits for a whole request, while a batch that is
	// not full only slows down.
	excessRequestCost = 4
	// shortCountShare and longCountShare weigh the number of requests against
	// outstanding tokens. A short request is over before much of the
	// outstanding work is done, so the present batch decides.
	shortCountShare = 0.8
	longCountShare  = 0.4
	// assumedTokens is the length of an answer that one unit of outstanding
	// work stands for.
	tokensPerRequest = 256
	// minPrefixTokens is the shortest prefix worth an affinity: its prefill
	// costs about one decoding step.
	minAffinityTokens = 64
	// affinitySlowness is the slowness from which prefix affinity is ignored.
	maxAffinitySlowness = 1.5
	// ringWalk bounds the ring points looked at for a prefix.
	maxRingPoints = 24
	// ringHomes is the number of ring endpoints weighed for a prefix.
	maxRingEndpoints = 2
	// localRing is the number of ready endpoints in the daemon's failure
	// domain from which prefixes stay in it.
	minLocalRing = 8
)

// Choose returns the endpoint for r. It weighs random candidates of the
// daemon's failure domain and of the whole pool, and the runner-up of the last
// choice; a prompt prefix attracts the request to an endpoint that is likely
// to have it cached and is not loaded above the bound. It does not allocate.
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

// sample passes the candidates of a choice to consider: Options.Candidates of
// the daemon's failure domain, as many of the whole pool, and the memory.
func (p *Pool) sample(r *Request, rng *rand.Rand, consider func(int32)) {
	local := p.domains[r.Domain]
	if len(local) < len(p.ready) {
		sampleList(local, p.opts.Candidates, rng, consider)
	}
	sampleList(p.ready, p.opts.Candidates, rng, consider)
	consider(p.runnerUp)
}

// sampleList passes n random entries of list, or all of a short list.
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

// scan looks at every endpoint when sampling found none: first at those that
// take work, then at ejected ones, because an ejection may be wrong and the
// alternative is to refuse.
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
	s := load / slots * p.detector.Slowness(now, i)
	if ep.Domain != r.Domain {
		s *= p.opts.RemotePenalty
	}
	return s
}

// inFlight is the estimated number of requests of all daemons on the endpoint.
func (ep *endpoint) inFlight() int32 {
	return ep.ownInFlight + ep.peersInFlight + ep.unattributed
}
