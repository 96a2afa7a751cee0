package balance

import (
	"math"
	"time"
)

// Figures of the cost, in ms unless another unit is given.
const (
	// readTokensPerMs is the rate at which engines read prompts, from the
	// deployments' data sheets.
	readTokensPerMs = 92.1
	// stepPerRequest is what each running request adds to a decoding step.
	stepPerRequest = 0.121
	// stepsPerRead is the number of steps that a newly arrived prompt waits for
	// beside running requests before its first token.
	stepsPerRead = 8
	// plainWork is the usual work of a plain request, from the data sheets.
	plainWork = 30.0
	// otherDomain is the penalty of another failure domain: the round trip.
	otherDomain = 3.0
	// fullPenalty is the cost of each place that is missing at an endpoint.
	fullPenalty = 40.0
	// ejectedCost keeps requests off an ejected endpoint while another one
	// takes them.
	ejectedCost = 1e7
	// failureCost is the cost of a certain failure for a request that can't be
	// repeated; a repeatable one counts it at repeatableShare.
	failureCost     = 4000.0
	repeatableShare = 0.3
	// homeCredit is the part of a shared prompt that is taken as read at the
	// endpoint that all daemons prefer for it.
	homeCredit = 0.8
	// sharedWeight counts the reading of a shared prompt more than its time:
	// the same tokens were read elsewhere, and take memory that other prompts
	// need. It leaves a prompt's home only when the wait there is longer.
	sharedWeight = 7.0
	// pauseCost is the cost of making a request pause for longer than its
	// callers bear, about that of reading a shared prompt of 5,000 tokens again;
	// a prompt that is read for pauseMs surely does so, a shorter one by the
	// cube of its part, as others may be read beside it.
	pauseCost = 350.0
	pauseMs   = 500.0
)

// Times of the state kept for an endpoint.
const (
	// reportLife is the age at which an endpoint's report is of no use.
	reportLife = 600 * time.Millisecond
	// peerLife is the age at which a peer's load is dropped.
	peerLife = 1500 * time.Millisecond
	// sumLife is the age at which the sum of the peers' loads is made anew
	// though none came; with 64 daemons a sum for each choice is dear.
	sumLife = 100 * time.Millisecond
	// promptLife is the time for which an unused prompt is taken as kept.
	promptLife = 30 * time.Second
	// outcomeLife is the time constant of the record of outcomes.
	outcomeLife = 4 * time.Second
)

// member is an endpoint with what the daemon knows of it.
type member struct {
	Endpoint

	// requests and reading are the daemon's own open requests there and their
	// prompt tokens that are not read yet.
	requests int
	reading  int64

	report   LoadReport
	reportAt time.Time
	peers    map[string]peerLoad
	// summed is the sum of peers as of summedAt; the zero time means that it has
	// to be made anew.
	summed   Load
	summedAt time.Time

	// prompts are the parts of prompts that were sent there, with the time of
	// their last use.
	prompts      map[string]keptPart
	promptTokens int64

	health
}

type peerLoad struct {
	Load
	at time.Time
}

type keptPart struct {
	tokens int64
	used   time.Time
}

func newMember(e Endpoint) *member {
	return &member{Endpoint: e, peers: make(map[string]peerLoad), prompts: make(map[string]keptPart), health: health{slow: 1}}
}

// known is the number of requests at the endpoint, as far as the daemon knows:
// its own and its peers', or the endpoint's fresh report if that is larger.
func (m *member) known(now time.Time) int {
	n := m.requests + m.others(now).Requests
	if now.Sub(m.reportAt) < reportLife {
		n = max(n, m.report.Running+m.report.Waiting)
	}
	return n
}

// others is the load of the peers that told of it lately.
func (m *member) others(now time.Time) Load {
	if now.Sub(m.summedAt) < sumLife {
		return m.summed
	}
	var sum Load
	for peer, l := range m.peers {
		if now.Sub(l.at) > peerLife {
			delete(m.peers, peer)
			continue
		}
		sum.Requests += l.Requests
		sum.PrefillTokens += l.PrefillTokens
		sum.Succeeded += l.Succeeded
		sum.Failed += l.Failed
	}
	m.summed, m.summedAt = sum, now
	return sum
}

// unread is the part of the prompt that the endpoint probably has to read.
func (m *member) unread(now time.Time, w Request, home bool) int64 {
	if len(w.Prompt) == 0 {
		return w.PromptTokens
	}
	var kept int64
	var rest int64
	whole := true
	for _, part := range w.shared() {
		k, ok := m.prompts[part.ID]
		whole = whole && ok && now.Sub(k.used) < promptLife
		if whole {
			kept += part.Tokens
		} else {
			rest += part.Tokens
		}
	}
	if home {
		kept += int64(homeCredit * float64(rest))
	}
	return max(0, w.PromptTokens-kept)
}

// remember records that the endpoint reads a prompt, and forgets the least
// recently used parts beyond its memory.
func (m *member) remember(now time.Time, prompt []PromptPart, limit int64) {
	for _, part := range prompt {
		if _, ok := m.prompts[part.ID]; !ok {
			m.promptTokens += part.Tokens
		}
		m.prompts[part.ID] = keptPart{tokens: part.Tokens, used: now}
	}
	for limit > 0 && m.promptTokens > limit && len(m.prompts) > len(prompt) {
		m.forgetOldest()
	}
}

func (m *member) forgetOldest() {
	var oldest string
	var at time.Time
	for id, k := range m.prompts {
		if oldest == "" || k.used.Before(at) {
			oldest, at = id, k.used
		}
	}
	m.promptTokens -= m.prompts[oldest].tokens
	delete(m.prompts, oldest)
}

// cost predicts the time until the first token or the answer, with penalties
// for what the choice costs others.
func (p *Pool) cost(now time.Time, m *member, w Request, reading int64) float64 {
	var cost float64
	others := m.others(now)
	n := m.known(now)
	if len(w.Prompt) == 0 {
		cost = plainWork * float64(1+n) / float64(max(m.Slots, 1))
		if m.Slots > 0 && n >= m.Slots {
			cost += plainWork
		}
	} else {
		cost = p.readCost(m, w, reading, others, n)
	}
	cost *= m.slowness(now)
	if m.Slots > 0 && n >= m.Slots {
		cost += fullPenalty * float64(n-m.Slots+1)
	}
	if m.Domain != p.opts.Domain {
		cost += otherDomain
	}
	risk := failureCost
	if w.Idempotent {
		risk *= repeatableShare
	}
	return cost + risk*m.failureShare(others)
}

func (p *Pool) readCost(m *member, w Request, reading int64, others Load, n int) float64 {
	var shared int64
	for _, part := range w.shared() {
		shared += part.Tokens
	}
	own := w.PromptTokens - shared
	again := float64(max(0, reading-own)) * (sharedWeight - 1)
	queue := float64(m.reading+others.PrefillTokens) + float64(reading) + again
	cost := queue / readTokensPerMs
	cost += float64(n) * stepPerRequest * stepsPerRead
	part := math.Min(1, float64(reading)/readTokensPerMs/pauseMs)
	return cost + pauseCost*float64(n)*part*part*part
}

// slowness is the factor by which the endpoint is slower than usual.
func (m *member) slowness(now time.Time) float64 {
	s := m.slow
	if now.Sub(m.reportAt) < reportLife/2 && m.report.Slowdown > 0 {
		s = math.Max(s, math.Sqrt(m.report.Slowdown))
	}
	return s
}
