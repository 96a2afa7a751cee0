package balance

import (
	"math"
	"time"
)

// Parameters of the cost estimate, in ms unless the name or comment says
// otherwise.
const (
	// prefillTokensPerMs is the rate at which engines process prompts, as given
	// in the data sheets of the deployments.
	prefillTokensPerMs = 92.1
	// stepMsPerRequest is the time that each running request adds to a decoding
	// step.
	stepMsPerRequest = 0.121
	// stepsPerPrefill is the number of decoding steps of the running requests
	// for which a new prompt waits before its first token.
	stepsPerPrefill = 8
	// plainRequestMs is the usual processing time of a request to a plain
	// service, from the data sheets.
	plainRequestMs = 30.0
	// remoteDomainMs is the penalty for an endpoint in another failure domain:
	// the network round trip.
	remoteDomainMs = 3.0
	// excessRequestMs is the penalty for each request beyond the endpoint's
	// slots.
	excessRequestMs = 40.0
	// ejectedCostMs keeps requests away from an ejected endpoint while another
	// endpoint is eligible.
	ejectedCostMs = 1e7
	// failureCostMs is the cost of a certain failure of a request that can't be
	// repeated; for idempotent requests it is multiplied by idempotentRisk.
	failureCostMs  = 4000.0
	idempotentRisk = 0.3
	// preferredCredit is the fraction of the unseen shared prefix that is
	// assumed to be cached at the preferred endpoint of the prefix.
	preferredCredit = 0.8
	// repeatedPrefillWeight makes processing a shared prefix count for more
	// than its time, because the same tokens are already cached at another
	// endpoint and displace other prompts from this one's KV cache. A prefix
	// moves away from its preferred endpoint only if the wait there is longer
	// than this cost.
	repeatedPrefillWeight = 7.0
	// stallCostMs is the cost of interrupting the decoding of a running request
	// for longer than callers tolerate; it is about the cost of processing a
	// shared prefix of 5,000 tokens again. A prefill of stallPrefillMs or
	// longer counts in full. A shorter one counts with the cube of its ratio to
	// stallPrefillMs, as other prompts may be processed in the same step.
	stallCostMs    = 350.0
	stallPrefillMs = 500.0
)

// Lifetimes of the state kept for each endpoint.
const (
	// reportMaxAge is the age at which an endpoint's load report is ignored.
	reportMaxAge = 600 * time.Millisecond
	// peerLoadMaxAge is the age at which the load received from a peer is
	// dropped.
	peerLoadMaxAge = 1500 * time.Millisecond
	// peerSumMaxAge is the age at which the sum of the peers' loads is
	// recomputed even if no new load arrived. It is cached because summing the
	// loads of 64 daemons for every choice is expensive.
	peerSumMaxAge = 100 * time.Millisecond
	// promptTTL is the time after its last use at which a prompt part is
	// assumed to have left the KV cache.
	promptTTL = 30 * time.Second
	// outcomeDecay is the time constant of the exponentially decayed outcome
	// counts.
	outcomeDecay = 4 * time.Second
)

// endpointState is the daemon's view of one endpoint.
type endpointState struct {
	Endpoint

	// openRequests counts this daemon's open requests at the endpoint;
	// pendingPrefill is the number of their prompt tokens still to be
	// processed.
	openRequests   int
	pendingPrefill int64

	report    LoadReport
	reportAt  time.Time
	peerLoads map[string]peerLoad
	// peerSum is the sum of peerLoads as of peerSumAt; a zero time means that
	// it has to be recomputed.
	peerSum   Load
	peerSumAt time.Time

	// cachedParts holds the prompt parts that are probably in the endpoint's KV
	// cache, by part ID; cachedTokens is their total size.
	cachedParts  map[string]cachedPart
	cachedTokens int64

	// evacuated is true while the endpoint's failure domain is evacuated.
	evacuated bool

	// deniedUntil is the end of the time for which no permit is to be had.
	deniedUntil time.Time

	health
	speed
}

type peerLoad struct {
	Load
	receivedAt time.Time
}

type cachedPart struct {
	tokens int64
	usedAt time.Time
}

func newEndpointState(e Endpoint) *endpointState {
	return &endpointState{
		Endpoint: e, peerLoads: make(map[string]peerLoad), cachedParts: make(map[string]cachedPart),
		health: health{slowEstimate: 1},
	}
}

// estimatedRequests returns the number of requests at the endpoint: those known
// to this daemon and its peers, or those in a recent load report if that number
// is larger.
func (e *endpointState) estimatedRequests(now time.Time) int {
	n := e.openRequests + e.peerTotal(now).Requests
	if now.Sub(e.reportAt) < reportMaxAge {
		n = max(n, e.report.Running+e.report.Waiting)
	}
	return n
}

// peerTotal returns the total load of the peers, without those whose load is
// older than peerLoadMaxAge.
func (e *endpointState) peerTotal(now time.Time) Load {
	if now.Sub(e.peerSumAt) < peerSumMaxAge {
		return e.peerSum
	}
	var sum Load
	for peer, l := range e.peerLoads {
		if now.Sub(l.receivedAt) > peerLoadMaxAge {
			delete(e.peerLoads, peer)
			continue
		}
		sum.Requests += l.Requests
		sum.PrefillTokens += l.PrefillTokens
		sum.Succeeded += l.Succeeded
		sum.Failed += l.Failed
	}
	e.peerSum, e.peerSumAt = sum, now
	return sum
}

// uncachedTokens estimates how many prompt tokens the endpoint has to process.
// preferred is true for the preferred endpoint of the prompt's shared
// prefix.
func (e *endpointState) uncachedTokens(now time.Time, r Request, preferred bool) int64 {
	if len(r.Prompt) == 0 {
		return r.PromptTokens
	}
	var cached int64
	var uncached int64
	prefixCached := true
	for _, part := range r.sharedPrefix() {
		c, ok := e.cachedParts[part.ID]
		prefixCached = prefixCached && ok && now.Sub(c.usedAt) < promptTTL
		if prefixCached {
			cached += part.Tokens
		} else {
			uncached += part.Tokens
		}
	}
	if preferred {
		cached += int64(preferredCredit * float64(uncached))
	}
	return max(0, r.PromptTokens-cached)
}

// recordPrompt records that the endpoint processes a prompt, and evicts the
// least recently used parts beyond the capacity of its KV cache.
func (e *endpointState) recordPrompt(now time.Time, prompt []PromptPart, capacity int64) {
	for _, part := range prompt {
		if _, ok := e.cachedParts[part.ID]; !ok {
			e.cachedTokens += part.Tokens
		}
		e.cachedParts[part.ID] = cachedPart{tokens: part.Tokens, usedAt: now}
	}
	for capacity > 0 && e.cachedTokens > capacity && len(e.cachedParts) > len(prompt) {
		e.evictOldest()
	}
}

func (e *endpointState) evictOldest() {
	var oldest string
	var at time.Time
	for id, part := range e.cachedParts {
		if oldest == "" || part.usedAt.Before(at) {
			oldest, at = id, part.usedAt
		}
	}
	e.cachedTokens -= e.cachedParts[oldest].tokens
	delete(e.cachedParts, oldest)
}

// cost predicts the time in ms to the first token or to a plain response, plus
// penalties for the effect on other requests and for the risk of a failure.
func (p *Pool) cost(now time.Time, e *endpointState, r Request, prefill int64) float64 {
	var cost float64
	peers := e.peerTotal(now)
	requests := e.estimatedRequests(now)
	factor := e.slowness(now, p.medianTime)
	if len(r.Prompt) == 0 {
		cost = plainRequestMs * float64(1+requests) / float64(max(e.Slots, 1))
		if e.Slots > 0 && requests >= e.Slots {
			cost += plainRequestMs
		}
		cost *= factor
	} else {
		cost = p.promptCost(e, r, prefill, peers, requests, factor)
	}
	if e.Slots > 0 && requests >= e.Slots {
		cost += excessRequestMs * float64(requests-e.Slots+1)
	}
	if e.Domain != p.opts.Domain {
		cost += remoteDomainMs
	}
	risk := failureCostMs
	if r.Idempotent {
		risk *= idempotentRisk
	}
	return cost + risk*e.failureShare(peers)
}

// promptCost predicts the time for a request with a prompt at an endpoint at which work takes
// factor times as long as the data sheet says.
func (p *Pool) promptCost(e *endpointState, r Request, prefill int64, peers Load, requests int, factor float64) float64 {
	var shared int64
	for _, part := range r.sharedPrefix() {
		shared += part.Tokens
	}
	own := r.PromptTokens - shared
	repeated := float64(max(0, prefill-own)) * (repeatedPrefillWeight - 1)
	queue := float64(e.pendingPrefill+peers.PrefillTokens) + float64(prefill) + repeated
	cost := queue / prefillTokensPerMs
	cost += float64(requests) * stepMsPerRequest * stepsPerPrefill
	stall := math.Min(1, factor*float64(prefill)/prefillTokensPerMs/stallPrefillMs)
	return factor*cost + stallCostMs*float64(requests)*stall*stall*stall
}

// slowness returns the factor by which work takes longer at the endpoint than its data sheet
// says, given the service's median.
func (e *endpointState) slowness(now time.Time, median float64) float64 {
	return e.slowEstimate * e.timeNow(now, e.report.Slowdown, now.Sub(e.reportAt), median)
}
