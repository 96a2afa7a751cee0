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
	// Objective is the time in which callers want the answer to begin; 0 if the route names none.
	Objective time.Duration
	// WithoutLimited leaves out the endpoints to which requests need permits.
	WithoutLimited bool
	// Domains holds the failure domains to which the request may go; nil means all, an empty
	// map none.
	Domains map[string]bool
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
	// Incarnation is that of the endpoint to which UsualTime applies; 0 without one.
	Incarnation int64
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
	// Cold applies to endpoints that have just started.
	Cold ColdLimits
	// Paced endpoints get requests at a pace after they have started or come back.
	Paced bool
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
	// domainDaemons is the number of those whose loads are heard, with this one; 0 if it must not use more
	// than an even share.
	domainDaemons int
	// speedChanged holds the ids of endpoints that were classified anew.
	speedChanged map[string]bool
	// notices holds what endpoints announced.
	notices map[incarnation]notice
	// evacuated holds the failure domains whose endpoints get no new requests.
	evacuated map[string]bool
	// coldStates holds what is known of the coldness of endpoints, by ID.
	coldStates map[string]*coldState
}

// New returns an empty pool.
func New(o Options) *Pool {
	return &Pool{
		opts: o, endpoints: make(map[string]*endpointState), daemons: 1, speedChanged: make(map[string]bool),
		notices: make(map[incarnation]notice), coldStates: make(map[string]*coldState),
	}
}

// SetDaemons sets the number of daemons that share the pool.
func (p *Pool) SetDaemons(n int) { p.daemons = max(n, 1) }

// SetDomainDaemons sets the number of daemons whose loads are heard, including this one; 0 means that
// each daemon uses at most an even share of an endpoint's connections.
func (p *Pool) SetDomainDaemons(n int) { p.domainDaemons = n }

// SetLimits sets the capacity limits of the endpoints.
func (p *Pool) SetLimits(l Limits) { p.opts.Limits = l }

// Shares of what a failure domain's daemons may connect to one endpoint together. One daemon uses
// at most half, and a quarter is left for what the others have opened since their last digests, which are
// a second old.
const (
	maxOwnConnectionShare = 0.5
	usedConnectionShare   = 0.75
)

// atConnectionLimit reports whether this daemon has used up its share of an endpoint's connections: an
// even one, or more if the daemons whose loads it hears use less than theirs. The load it answers is a
// daemon that gets most of its domain's requests while connections of idle daemons are unused.
func (p *Pool) atConnectionLimit(now time.Time, e *endpointState) bool {
	own, limit := e.openRequests, p.opts.MaxConnections
	if limit <= 0 || own < max(1, limit/p.daemons) {
		return false
	}
	domain := float64(limit) * float64(p.domainDaemons) / float64(p.daemons)
	return float64(own) >= maxOwnConnectionShare*domain || float64(own+e.peerTotal(now).Requests) >= usedConnectionShare*domain
}

// Put adds an endpoint or updates its description.
func (p *Pool) Put(e Endpoint) {
	state, ok := p.endpoints[e.ID]
	if !ok {
		state = newEndpointState(e)
		p.endpoints[e.ID] = state
	}
	state.Endpoint, state.evacuated = e, p.evacuated[e.Domain]
}

// Remove removes an endpoint. Its open requests are not affected.
func (p *Pool) Remove(id string) { delete(p.endpoints, id) }

// Reset discards the state of an endpoint whose process has restarted.
func (p *Pool) Reset(id string) {
	if e, ok := p.endpoints[id]; ok {
		state := newEndpointState(e.Endpoint)
		state.evacuated = e.evacuated
		p.endpoints[id] = state
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
	// Restriction is set if no endpoint is eligible: why none may get the request.
	Restriction Restriction
	// Limit is what is known of the endpoint's limit of requests a second.
	Limit RateLimit
	// Cold is true if the endpoint is cold or may be.
	Cold bool
	// Paced is true if the endpoint has come back, at ReturnedAt, and gets requests at a pace.
	Paced      bool
	ReturnedAt time.Time
	// ChosenAt is when the choice was made, Objective the latency objective of the request.
	ChosenAt  time.Time
	Objective time.Duration
}

// NeedsPermit reports whether a request needs a permit before it is sent to the endpoint.
func (c Choice) NeedsPermit() bool { return c.Limit.PerSecond > 0 || c.Cold || c.Paced }

// Choose returns the endpoint with the lowest cost and counts the request
// there. The caller must call Done exactly once for each choice, and Permitted before it
// sends a request that needs a permit. It returns false if no endpoint is eligible.
func (p *Pool) Choose(now time.Time, r Request) (Choice, bool) {
	e, c := p.best(now, r)
	if e == nil {
		return Choice{RetryAfter: p.shortestPause(now, r), Restriction: p.Restriction(r.Domains)}, false
	}
	e.openRequests++
	e.pendingPrefill += c.PrefillTokens
	if !c.NeedsPermit() {
		e.recordPrompt(now, r.Prompt, p.opts.KVTokens)
	}
	return c, true
}

func (p *Pool) best(now time.Time, r Request) (*endpointState, Choice) {
	p.updateMedian(now)
	preferred := p.preferredEndpoint(r)
	var best *endpointState
	choice := Choice{Cost: math.Inf(1)}
	for _, e := range p.endpoints {
		if r.Tried[e.ID] || !r.admits(e) || p.atConnectionLimit(now, e) || p.withheld(now, e) || r.WithoutLimited && p.limited(now, e) {
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
		choice.Limit, choice.Cold, choice.Paced = p.LimitOf(best.Endpoint), p.cold(now, best), p.paced(now, best)
		choice.ReturnedAt, choice.ChosenAt, choice.Objective = p.returnedAt(now, best), now, r.Objective
	}
	return best, choice
}

// preferredEndpoint returns the endpoint that all daemons prefer for the shared
// prefix of a request: the first one in the order of rendezvous hashing by its
// last part, among those to which the request may go. One that counts as slow is
// preferred only if all of them do.
func (p *Pool) preferredEndpoint(r Request) *endpointState {
	shared := r.sharedPrefix()
	if len(shared) == 0 {
		return nil
	}
	key := shared[len(shared)-1].ID
	var best *endpointState
	var highest uint64
	for _, e := range p.endpoints {
		if p.leaves(e) || !r.admits(e) || best != nil && e.slow && !best.slow {
			continue
		}
		if score := xxhash.Sum64String(key + "\x00" + e.ID); best == nil || best.slow && !e.slow || score > highest {
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

// SetPeerLoad replaces the load that a peer puts on an endpoint. The usual time of another incarnation
// is ignored: a peer may hear of a restart some seconds later.
func (p *Pool) SetPeerLoad(now time.Time, peer, id string, l Load) {
	if e, ok := p.endpoints[id]; ok {
		e.peerLoads[peer] = peerLoad{Load: l, receivedAt: now}
		if l.Incarnation == e.Incarnation {
			e.tell(now, l.UsualTime, l.Reports)
		}
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
			l := Load{Requests: e.openRequests, PrefillTokens: e.pendingPrefill, Succeeded: e.succeeded, Failed: e.failed}
			if e.usual > 0 {
				l.UsualTime, l.Reports, l.Incarnation = e.usual, min(e.count, speedReports), e.Incarnation
			}
			loads[id] = l
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
