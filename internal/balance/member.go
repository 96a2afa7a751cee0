package balance

import (
	"math"
	"time"
)

// Figures of the cost, in ms unless another unit is given.
const (
	// readTokensPerMs is the rate at which engines read prompts, from the
	// deployments' data sheets.
	prefillTokensPerMs = 92.1
	// stepPerRequest is what each running request adds to a decoding step.
	stepMsPerRequest = 0.121
	// stepsPerRead is the number of steps that a newly arrived prompt waits for
	// beside running requests before its first token.
	stepsPerPrefill = 8
	// plainWork is the usual work of a plain request, from the data sheets.
	plainRequestMs = 30.0
	// otherDomain is the penalty of another failure domain: the round trip.
	remoteDomainMs = 3.0
	// fullPenalty is the cost of each place that is missing at an endpoint.
	excessRequestMs = 40.0
	// ejectedCost keeps requests off an ejected endpoint while another one
	// takes them.
	ejectedCostMs = 1e7
	// failureCost is the cost of a certain failure for a request that can't be
	// repeated; a repeatable one counts it at repeatableShare.
	failureCostMs  = 4000.0
	idempotentRisk = 0.3
	// homeCredit is the part of a shared prompt that is taken as read at the
	// endpoint that all daemons prefer for it.
	preferredCredit = 0.8
	// sharedWeight counts the reading of a shared prompt more than its time:
	// the same tokens were read elsewhere, and take memory that other prompts
	// need. It leaves a prompt's home only when the wait there is longer.
	repeatedPrefillWeight = 7.0
	// pauseCost is the cost of making a request pause for longer than its
	// callers bear, about that of reading a shared prompt of 5,000 tokens again;
	// a prompt that is read for pauseMs surely does so, a shorter one by the
	// cube of its part, as others may be read beside it.
	stallCostMs    = 350.0
	stallPrefillMs = 500.0
)

// Times of the state kept for an endpoint.
const (
	// reportLife is the age at which an endpoint's report is of no use.
	reportMaxAge = 600 * time.Millisecond
	// peerLife is the age at which a peer's load is dropped.
	peerLoadMaxAge = 1500 * time.Millisecond
	// sumLife is the age at which the sum of the peers' loads is made anew
	// though none came; with 64 daemons a sum for each choice is dear.
	peerSumMaxAge = 100 * time.Millisecond
	// promptLife is the time for which an unused prompt is taken as kept.
	promptTTL = 30 * time.Second
	// outcomeLife is the time constant of the record of outcomes.
	outcomeDecay = 4 * time.Second
)

// member is an endpoint with what the daemon knows of it.
type endpointState struct {
	Endpoint

	// requests and reading are the daemon's own open requests there and their
	// prompt tokens that are not read yet.
	openRequests   int
	pendingPrefill int64

	report    LoadReport
	reportAt  time.Time
	peerLoads map[string]peerLoad
	// summed is the sum of peers as of summedAt; the zero time means that it has
	// to be made anew.
	peerSum   Load
	peerSumAt time.Time

	// prompts are the parts of prompts that were sent there, with the time of
	// their last use.
	cachedParts  map[string]cachedPart
	cachedTokens int64

	health
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
	return &endpointState{Endpoint: e, peerLoads: make(map[string]peerLoad), cachedParts: make(map[string]cachedPart), health: health{slowEstimate: 1}}
}

// known is the number of requests at the endpoint, as far as the daemon knows:
// its own and its peers', or the endpoint's fresh report if that is larger.
func (m *endpointState) estimatedRequests(now time.Time) int {
	n := m.openRequests + m.peerTotal(now).Requests
	if now.Sub(m.reportAt) < reportMaxAge {
		n = max(n, m.report.Running+m.report.Waiting)
	}
	return n
}

// others is the load of the peers that told of it lately.
func (m *endpointState) peerTotal(now time.Time) Load {
	if now.Sub(m.peerSumAt) < peerSumMaxAge {
		return m.peerSum
	}
	var sum Load
	for peer, l := range m.peerLoads {
		if now.Sub(l.receivedAt) > peerLoadMaxAge {
			delete(m.peerLoads, peer)
			continue
		}
		sum.Requests += l.Requests
		sum.PrefillTokens += l.PrefillTokens
		sum.Succeeded += l.Succeeded
		sum.Failed += l.Failed
	}
	m.peerSum, m.peerSumAt = sum, now
	return sum
}

// unread is the part of the prompt that the endpoint probably has to read.
func (m *endpointState) uncachedTokens(now time.Time, w Request, preferred bool) int64 {
	if len(w.Prompt) == 0 {
		return w.PromptTokens
	}
	var cached int64
	var uncached int64
	prefixCached := true
	for _, part := range w.sharedPrefix() {
		c, ok := m.cachedParts[part.ID]
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
	return max(0, w.PromptTokens-cached)
}

// remember records that the endpoint reads a prompt, and forgets the least
// recently used parts beyond its memory.
func (m *endpointState) recordPrompt(now time.Time, prompt []PromptPart, capacity int64) {
	for _, part := range prompt {
		if _, ok := m.cachedParts[part.ID]; !ok {
			m.cachedTokens += part.Tokens
		}
		m.cachedParts[part.ID] = cachedPart{tokens: part.Tokens, usedAt: now}
	}
	for capacity > 0 && m.cachedTokens > capacity && len(m.cachedParts) > len(prompt) {
		m.evictOldest()
	}
}

func (m *endpointState) evictOldest() {
	var oldest string
	var at time.Time
	for id, part := range m.cachedParts {
		if oldest == "" || part.usedAt.Before(at) {
			oldest, at = id, part.usedAt
		}
	}
	m.cachedTokens -= m.cachedParts[oldest].tokens
	delete(m.cachedParts, oldest)
}

// cost predicts the time until the first token or the answer, with penalties
// for what the choice costs others.
func (p *Pool) cost(now time.Time, m *endpointState, w Request, prefill int64) float64 {
	var cost float64
	peers := m.peerTotal(now)
	requests := m.estimatedRequests(now)
	if len(w.Prompt) == 0 {
		cost = plainRequestMs * float64(1+requests) / float64(max(m.Slots, 1))
		if m.Slots > 0 && requests >= m.Slots {
			cost += plainRequestMs
		}
	} else {
		cost = p.promptCost(m, w, prefill, peers, requests)
	}
	cost *= m.slowness(now)
	if m.Slots > 0 && requests >= m.Slots {
		cost += excessRequestMs * float64(requests-m.Slots+1)
	}
	if m.Domain != p.opts.Domain {
		cost += remoteDomainMs
	}
	risk := failureCostMs
	if w.Idempotent {
		risk *= idempotentRisk
	}
	return cost + risk*m.failureShare(peers)
}

func (p *Pool) promptCost(m *endpointState, w Request, prefill int64, peers Load, requests int) float64 {
	var shared int64
	for _, part := range w.sharedPrefix() {
		shared += part.Tokens
	}
	own := w.PromptTokens - shared
	repeated := float64(max(0, prefill-own)) * (repeatedPrefillWeight - 1)
	queue := float64(m.pendingPrefill+peers.PrefillTokens) + float64(prefill) + repeated
	cost := queue / prefillTokensPerMs
	cost += float64(requests) * stepMsPerRequest * stepsPerPrefill
	stall := math.Min(1, float64(prefill)/prefillTokensPerMs/stallPrefillMs)
	return cost + stallCostMs*float64(requests)*stall*stall*stall
}

// slowness is the factor by which the endpoint is slower than usual.
func (m *endpointState) slowness(now time.Time) float64 {
	s := m.slowEstimate
	if now.Sub(m.reportAt) < reportMaxAge/2 && m.report.Slowdown > 0 {
		s = math.Max(s, math.Sqrt(m.report.Slowdown))
	}
	return s
}
