// Package balance chooses the endpoint of a request among the endpoints of its
// service: by the work that it would wait for, by the prompt that the endpoint
// still remembers, and by how the endpoint has fared lately.
//
// A Pool holds the state of one service. It does no input or output; the caller
// holds the lock and passes the time.
package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt, in the order of the prompt. Requests with the
// same part ids at the front share the work of reading them.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Endpoint is a member of a pool.
type Endpoint struct {
	ID, Addr, Domain string
	Slots            int
	// Leaving endpoints finish what they have and get no new work.
	Leaving bool
}

// Work describes a request to choose an endpoint for.
type Request struct {
	// Prompt is the request's prompt; empty for a plain service.
	Prompt []PromptPart
	// PromptTokens is the size of the whole prompt.
	PromptTokens int64
	// Repeatable requests may be tried at an endpoint of doubtful health.
	Idempotent bool
	// Tried are the endpoints that the request was sent to before.
	Tried map[string]bool
}

// shared returns the parts that other requests may have too: the last part
// belongs to the request itself.
func (w Request) sharedPrefix() []PromptPart {
	if len(w.Prompt) == 0 {
		return nil
	}
	return w.Prompt[:len(w.Prompt)-1]
}

// Load is what a peer tells of its own requests at an endpoint.
type Load struct {
	Requests int
	// Reading is the number of prompt tokens not yet read.
	PrefillTokens int64
	// OK and Failed count recent outcomes.
	Succeeded, Failed float64
}

// Report is an endpoint's own view of its load, as of its last answer.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowness is the time that work takes there now over the usual time.
	Slowdown float64
}

// Options configure a Pool.
type Options struct {
	// Domain is the daemon's own failure domain.
	Domain string
	Limits
}

// Limits are what a service's endpoints can take.
type Limits struct {
	// KVTokens is an engine's prompt memory; 0 for plain services.
	KVTokens int64
	// MaxConnections bounds the connections to one endpoint from all daemons;
	// 0 means no bound.
	MaxConnections int
}

// Pool is the state of one service's endpoints.
type Pool struct {
	opts      Options
	endpoints map[string]*endpointState
	// daemons is the number of daemons that share the pool.
	daemons int
}

// New returns an empty pool.
func New(o Options) *Pool {
	return &Pool{opts: o, endpoints: make(map[string]*endpointState), daemons: 1}
}

// SetDaemons sets the number of daemons that share the pool.
func (p *Pool) SetDaemons(n int) { p.daemons = max(n, 1) }

// SetLimits sets what the endpoints can take.
func (p *Pool) SetLimits(l Limits) { p.opts.Limits = l }

// full tells whether the daemon uses its share of an endpoint's connections.
func (p *Pool) atConnectionLimit(m *endpointState) bool {
	return p.opts.MaxConnections > 0 && m.openRequests >= max(1, p.opts.MaxConnections/p.daemons)
}

// Put adds an endpoint or changes its entry.
func (p *Pool) Put(e Endpoint) {
	m, ok := p.endpoints[e.ID]
	if !ok {
		m = newEndpointState(e)
		p.endpoints[e.ID] = m
	}
	m.Endpoint = e
}

// Remove removes an endpoint; its open requests end on their own.
func (p *Pool) Remove(id string) { delete(p.endpoints, id) }

// Reset forgets what was learned of an endpoint, which has started anew.
func (p *Pool) Reset(id string) {
	if m, ok := p.endpoints[id]; ok {
		p.endpoints[id] = newEndpointState(m.Endpoint)
	}
}

// Len returns the number of endpoints that take new work.
func (p *Pool) Available() int {
	n := 0
	for _, m := range p.endpoints {
		if !m.Leaving {
			n++
		}
	}
	return n
}

// Choice is the endpoint chosen for a request, with what decided it.
type Choice struct {
	Endpoint
	// Reading is the part of the prompt that the endpoint probably has to read.
	PrefillTokens int64
	// Cost is the predicted time to the first token or answer, in ms, with
	// penalties.
	Cost float64
	// Candidates is the number of endpoints considered.
	Candidates int
}

// Choose returns the endpoint with the least cost and records the request
// there. The caller calls Done exactly once. It returns false if no endpoint
// may be tried.
func (p *Pool) Choose(now time.Time, w Request) (Choice, bool) {
	best, c := p.best(now, w)
	if best == nil {
		return Choice{}, false
	}
	best.openRequests++
	best.pendingPrefill += c.PrefillTokens
	best.recordPrompt(now, w.Prompt, p.opts.KVTokens)
	return c, true
}

func (p *Pool) best(now time.Time, w Request) (*endpointState, Choice) {
	preferred := p.preferredEndpoint(w.sharedPrefix())
	var best *endpointState
	choice := Choice{Cost: math.Inf(1)}
	maxEjected := p.maxEjected()
	for _, m := range p.endpoints {
		if m.Leaving || w.Tried[m.ID] || p.atConnectionLimit(m) {
			continue
		}
		choice.Candidates++
		prefill := m.uncachedTokens(now, w, m == preferred)
		cost := p.cost(now, m, w, prefill)
		if m.ejected(now) {
			if maxEjected <= 0 {
				cost += ejectedCostMs / 2
			} else {
				cost += ejectedCostMs
			}
		}
		if cost < choice.Cost || cost == choice.Cost && m.ID < choice.ID {
			best, choice.Endpoint, choice.PrefillTokens, choice.Cost = m, m.Endpoint, prefill, cost
		}
	}
	return best, choice
}

// ejectable returns how many endpoints may be avoided for their failures: when
// more fail, the pool is in trouble and avoiding them only moves the load.
func (p *Pool) maxEjected() int { return (len(p.endpoints) + 1) / 2 }

// home returns the endpoint on which the daemons agree for a shared prompt:
// the first in rendezvous order of the last shared part.
func (p *Pool) preferredEndpoint(shared []PromptPart) *endpointState {
	if len(shared) == 0 {
		return nil
	}
	key := shared[len(shared)-1].ID
	var best *endpointState
	var highest uint64
	for _, m := range p.endpoints {
		if m.Leaving {
			continue
		}
		if score := xxhash.Sum64String(key + "\x00" + m.ID); best == nil || score > highest {
			best, highest = m, score
		}
	}
	return best
}

// Done ends a request that Choose recorded. read tells whether the endpoint
// has read the prompt, as its first token shows.
func (p *Pool) Done(c Choice, prefilled bool) {
	m, ok := p.endpoints[c.ID]
	if !ok {
		return
	}
	m.openRequests = max(0, m.openRequests-1)
	if !prefilled {
		m.pendingPrefill = max(0, m.pendingPrefill-c.PrefillTokens)
	}
}

// Started records that the endpoint has read the prompt, elapsed after the
// request was sent.
func (p *Pool) FirstToken(c Choice, elapsed time.Duration) {
	m, ok := p.endpoints[c.ID]
	if !ok {
		return
	}
	m.pendingPrefill = max(0, m.pendingPrefill-c.PrefillTokens)
	m.observeLatency(float64(elapsed.Milliseconds()), c.Cost)
}

// Reported records an endpoint's own view of its load.
func (p *Pool) RecordReport(now time.Time, id string, r LoadReport) {
	if m, ok := p.endpoints[id]; ok {
		m.report, m.reportAt = r, now
	}
}

// Merge records the load that a peer has at an endpoint.
func (p *Pool) SetPeerLoad(now time.Time, peer, id string, l Load) {
	if m, ok := p.endpoints[id]; ok {
		m.peerLoads[peer] = peerLoad{Load: l, receivedAt: now}
		m.peerSumAt = time.Time{}
	}
}

// Loads returns this daemon's own load at each endpoint that has any.
func (p *Pool) OwnLoads(now time.Time) map[string]Load {
	loads := make(map[string]Load)
	for id, m := range p.endpoints {
		m.decay(now)
		if m.openRequests > 0 || m.succeeded+m.failed > minOutcomeWeight {
			loads[id] = Load{Requests: m.openRequests, PrefillTokens: m.pendingPrefill, Succeeded: m.succeeded, Failed: m.failed}
		}
	}
	return loads
}

// ForgetPeer drops the load that a peer told of before.
func (p *Pool) RemovePeer(peer string) {
	for _, m := range p.endpoints {
		delete(m.peerLoads, peer)
		m.peerSumAt = time.Time{}
	}
}
