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
	// Incarnation differs between two starts of the endpoint's process.
	Incarnation int64
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
	// WithoutLimited leaves out the endpoints that limit the requests they take.
	WithoutLimited bool
}

// sharedPrefix returns the parts that other requests may have in common with
// this one: all but the last, which is specific to the request.
func (r Request) sharedPrefix() []PromptPart {
	if len(r.Prompt) == 0 {
		return nil
	}
	return r.Prompt[:len(r.Prompt)-1]
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
	// UsualTime is the endpoint's usual processing time relative to its data sheet, as the
	// daemon knows it from Reports reports; 0 if it has none.
	UsualTime float64
	Reports   int
}

// LoadReport is the load that an endpoint reports with a response.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the endpoint's current processing time to that of its data
	// sheet; 0 if not stated.
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
	// medianTime is the median of the endpoints' usual times as of medianAt.
	medianTime float64
	medianAt   time.Time
	// speedChanged holds the ids of endpoints that were classified anew.
	speedChanged map[string]bool
	// notices holds what endpoints announced.
	notices map[incarnation]notice
}

// New returns an empty pool.
func New(o Options) *Pool {
	return &Pool{
		opts: o, endpoints: make(map[string]*endpointState), daemons: 1, speedChanged: make(map[string]bool),
		notices: make(map[incarnation]notice),
	}
}

// SetDaemons sets the number of daemons that share the pool.
func (p *Pool) SetDaemons(n int) { p.daemons = max(n, 1) }

// SetLimits sets the capacity limits of the endpoints.
func (p *Pool) SetLimits(l Limits) { p.opts.Limits = l }

// atConnectionLimit reports whether this daemon has used up its share of an
// endpoint's connections.
func (p *Pool) atConnectionLimit(e *endpointState) bool {
	return p.opts.MaxConnections > 0 && e.openRequests >= max(1, p.opts.MaxConnections/p.daemons)
}

// Put adds an endpoint or updates its description.
func (p *Pool) Put(e Endpoint) {
	state, ok := p.endpoints[e.ID]
	if !ok {
		state = newEndpointState(e)
		p.endpoints[e.ID] = state
	}
	state.Endpoint = e
}

// Remove removes an endpoint. Its open requests are not affected.
func (p *Pool) Remove(id string) { delete(p.endpoints, id) }

// Reset discards the state of an endpoint whose process has restarted.
func (p *Pool) Reset(id string) {
	if e, ok := p.endpoints[id]; ok {
		p.endpoints[id] = newEndpointState(e.Endpoint)
	}
}

// Available returns the number of endpoints that are not leaving.
func (p *Pool) Available() int {
	n := 0
	for _, e := range p.endpoints {
		if !p.leaves(e) {
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
	// RetryAfter is set if no endpoint is eligible: the time until one that wants no
	// requests for now accepts them again, 0 if there is none.
	RetryAfter time.Duration
	// Limit is what is known of the endpoint's limit of requests a second.
	Limit RateLimit
}

// Choose returns the endpoint with the lowest cost and counts the request
// there. The caller must call Done exactly once for each choice, and Permitted before it
// sends a request to an endpoint with a limit. It returns false if no endpoint is eligible.
func (p *Pool) Choose(now time.Time, r Request) (Choice, bool) {
	e, c := p.best(now, r)
	if e == nil {
		return Choice{RetryAfter: p.shortestPause(now)}, false
	}
	e.openRequests++
	e.pendingPrefill += c.PrefillTokens
	if c.Limit.PerSecond == 0 {
		e.recordPrompt(now, r.Prompt, p.opts.KVTokens)
	}
	return c, true
}

func (p *Pool) best(now time.Time, r Request) (*endpointState, Choice) {
	p.updateMedian(now)
	preferred := p.preferredEndpoint(r.sharedPrefix())
	var best *endpointState
	choice := Choice{Cost: math.Inf(1)}
	for _, e := range p.endpoints {
		if r.Tried[e.ID] || p.atConnectionLimit(e) || p.withheld(now, e) || r.WithoutLimited && p.limited(e) {
			continue
		}
		choice.Candidates++
		prefill := e.uncachedTokens(now, r, e == preferred)
		cost := p.cost(now, e, r, prefill)
		if e.ejected(now) {
			cost += ejectedCostMs
		}
		if cost < choice.Cost || cost == choice.Cost && e.ID < choice.ID {
			best, choice.Endpoint, choice.PrefillTokens, choice.Cost = e, e.Endpoint, prefill, cost
		}
	}
	if best != nil {
		choice.Limit = p.LimitOf(best.Endpoint)
	}
	return best, choice
}

// preferredEndpoint returns the endpoint that all daemons prefer for a shared
// prefix: the first one in the order of rendezvous hashing by its last part, among those
// that don't count as slow.
func (p *Pool) preferredEndpoint(shared []PromptPart) *endpointState {
	if len(shared) == 0 {
		return nil
	}
	key := shared[len(shared)-1].ID
	var best *endpointState
	var highest uint64
	for _, e := range p.endpoints {
		if p.leaves(e) || e.slow {
			continue
		}
		if score := xxhash.Sum64String(key + "\x00" + e.ID); best == nil || score > highest {
			best, highest = e, score
		}
	}
	return best
}

// Done ends a request counted by Choose. prefilled is true if FirstToken was
// called for the request.
func (p *Pool) Done(c Choice, prefilled bool) {
	e, ok := p.endpoints[c.ID]
	if !ok {
		return
	}
	e.openRequests = max(0, e.openRequests-1)
	if !prefilled {
		e.pendingPrefill = max(0, e.pendingPrefill-c.PrefillTokens)
	}
}

// FirstToken records the first token of a response, which shows that the
// endpoint has processed the prompt. elapsed is the time since the request was
// sent.
func (p *Pool) FirstToken(c Choice, elapsed time.Duration) {
	e, ok := p.endpoints[c.ID]
	if !ok {
		return
	}
	e.pendingPrefill = max(0, e.pendingPrefill-c.PrefillTokens)
	e.observeLatency(float64(elapsed.Milliseconds()), c.Cost)
}

// RecordReport stores an endpoint's load report.
func (p *Pool) RecordReport(now time.Time, id string, r LoadReport) {
	if e, ok := p.endpoints[id]; ok {
		e.report, e.reportAt = r, now
		e.speed.report(now, r.Slowdown)
	}
}

// SetPeerLoad replaces the load that a peer puts on an endpoint.
func (p *Pool) SetPeerLoad(now time.Time, peer, id string, l Load) {
	if e, ok := p.endpoints[id]; ok {
		e.peerLoads[peer] = peerLoad{Load: l, receivedAt: now}
		e.tell(now, l.UsualTime, l.Reports)
		e.peerSumAt = time.Time{}
	}
}

// OwnLoads returns the load that this daemon puts on each endpoint. Endpoints
// without load are left out.
func (p *Pool) OwnLoads(now time.Time) map[string]Load {
	loads := make(map[string]Load)
	for id, e := range p.endpoints {
		e.decay(now)
		if e.openRequests > 0 || e.succeeded+e.failed > minOutcomeWeight {
			loads[id] = Load{
				Requests: e.openRequests, PrefillTokens: e.pendingPrefill, Succeeded: e.succeeded, Failed: e.failed,
				UsualTime: e.usual, Reports: min(e.count, speedReports),
			}
		}
	}
	return loads
}

// RemovePeer discards all load received from a peer.
func (p *Pool) RemovePeer(peer string) {
	for _, e := range p.endpoints {
		delete(e.peerLoads, peer)
		e.peerSumAt = time.Time{}
	}
}
