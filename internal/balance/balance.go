// Package balance selects an endpoint for each request among the endpoints of
// its service. The choice weighs the work already queued at an endpoint, the
// part of the prompt that its KV cache probably holds, and its recent failures
// and slowness.
//
// A Pool holds the state of one service. It performs no I/O and is not safe for
// concurrent use: the caller serializes the calls and passes the current time.
package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a contiguous part of a prompt. Requests whose prompts begin
// with the same part IDs can share the KV cache entries of that prefix.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Endpoint is an instance that serves the requests of a pool's service.
type Endpoint struct {
	ID, Addr, Domain string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Leaving endpoints finish their requests in flight and get no new ones.
	Leaving bool
}

// Request holds the properties of a request that affect the choice of an
// endpoint.
type Request struct {
	// Prompt lists the parts of the prompt in order; empty for a plain service.
	Prompt []PromptPart
	// PromptTokens is the size of the whole prompt.
	PromptTokens int64
	// Idempotent requests weigh the risk of a failure less, since they can be
	// retried.
	Idempotent bool
	// Tried holds the IDs of the endpoints that the request was already sent to.
	Tried map[string]bool
}

// sharedPrefix returns the parts that other requests may have in common with
// this one: all but the last, which is specific to the request.
func (w Request) sharedPrefix() []PromptPart {
	if len(w.Prompt) == 0 {
		return nil
	}
	return w.Prompt[:len(w.Prompt)-1]
}

// Load is the load that one daemon puts on an endpoint, as the daemons exchange
// it.
type Load struct {
	// Requests is the number of open requests.
	Requests int
	// PrefillTokens is the number of their prompt tokens still to be processed.
	PrefillTokens int64
	// Succeeded and Failed are exponentially decayed counts of outcomes.
	Succeeded, Failed float64
}

// LoadReport is the load that an endpoint reports with a response.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the endpoint's current processing time to its
	// usual one.
	Slowdown float64
}

// Options configure a Pool.
type Options struct {
	// Domain is the daemon's own failure domain.
	Domain string
	Limits
}

// Limits are the capacity limits of each endpoint of a service.
type Limits struct {
	// KVTokens is the size of an engine's KV cache in tokens; 0 for plain
	// services.
	KVTokens int64
	// MaxConnections limits the connections of all daemons to one endpoint;
	// 0 means no limit.
	MaxConnections int
}

// Pool holds the state of one service's endpoints.
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

// SetLimits sets the capacity limits of the endpoints.
func (p *Pool) SetLimits(l Limits) { p.opts.Limits = l }

// atConnectionLimit reports whether this daemon has used up its share of an
// endpoint's connections.
func (p *Pool) atConnectionLimit(m *endpointState) bool {
	return p.opts.MaxConnections > 0 && m.openRequests >= max(1, p.opts.MaxConnections/p.daemons)
}

// Put adds an endpoint or updates its description.
func (p *Pool) Put(e Endpoint) {
	m, ok := p.endpoints[e.ID]
	if !ok {
		m = newEndpointState(e)
		p.endpoints[e.ID] = m
	}
	m.Endpoint = e
}

// Remove removes an endpoint. Its open requests are not affected.
func (p *Pool) Remove(id string) { delete(p.endpoints, id) }

// Reset discards the state of an endpoint whose process has restarted.
func (p *Pool) Reset(id string) {
	if m, ok := p.endpoints[id]; ok {
		p.endpoints[id] = newEndpointState(m.Endpoint)
	}
}

// Available returns the number of endpoints that are not leaving.
func (p *Pool) Available() int {
	n := 0
	for _, m := range p.endpoints {
		if !m.Leaving {
			n++
		}
	}
	return n
}

// Choice is the endpoint selected for a request, with the estimates behind the
// selection.
type Choice struct {
	Endpoint
	// PrefillTokens is the number of prompt tokens that are probably not in the
	// endpoint's KV cache.
	PrefillTokens int64
	// Cost is the predicted time in ms to the first token, or to the response
	// of a plain service, plus penalties.
	Cost float64
	// Candidates is the number of endpoints considered.
	Candidates int
}

// Choose returns the endpoint with the lowest cost and counts the request
// there. The caller must call Done exactly once for each choice. It returns
// false if no endpoint is eligible.
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

// maxEjected returns the number of endpoints that may be avoided because of
// their failures, half of the pool rounded up. If more of them fail, the whole
// pool is in trouble, and avoiding endpoints only shifts the load to the
// others.
func (p *Pool) maxEjected() int { return (len(p.endpoints) + 1) / 2 }

// preferredEndpoint returns the endpoint that all daemons prefer for a shared
// prefix: the first one in the order of rendezvous hashing by its last part.
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

// Done ends a request counted by Choose. prefilled is true if FirstToken was
// called for the request.
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

// FirstToken records the first token of a response, which shows that the
// endpoint has processed the prompt. elapsed is the time since the request was
// sent.
func (p *Pool) FirstToken(c Choice, elapsed time.Duration) {
	m, ok := p.endpoints[c.ID]
	if !ok {
		return
	}
	m.pendingPrefill = max(0, m.pendingPrefill-c.PrefillTokens)
	m.observeLatency(float64(elapsed.Milliseconds()), c.Cost)
}

// RecordReport stores an endpoint's load report.
func (p *Pool) RecordReport(now time.Time, id string, r LoadReport) {
	if m, ok := p.endpoints[id]; ok {
		m.report, m.reportAt = r, now
	}
}

// SetPeerLoad replaces the load that a peer puts on an endpoint.
func (p *Pool) SetPeerLoad(now time.Time, peer, id string, l Load) {
	if m, ok := p.endpoints[id]; ok {
		m.peerLoads[peer] = peerLoad{Load: l, receivedAt: now}
		m.peerSumAt = time.Time{}
	}
}

// OwnLoads returns the load that this daemon puts on each endpoint. Endpoints
// without load are left out.
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

// RemovePeer discards all load received from a peer.
func (p *Pool) RemovePeer(peer string) {
	for _, m := range p.endpoints {
		delete(m.peerLoads, peer)
		m.peerSumAt = time.Time{}
	}
}
