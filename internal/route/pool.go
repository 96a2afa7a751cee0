package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/outlier"
	"github.com/cespare/xxhash/v2"
)

// Options configures a Pool. Zero values mean the defaults.
type Options struct {
	// DefaultSlots is the number of slots of an endpoint that specifies none.
	// Default 16.
	DefaultSlots int
	// Candidates is the number of random endpoints compared for a choice.
	// Default 3.
	Candidates int
	// LoadBound is the ratio to the mean load above which a prompt prefix no
	// longer attracts requests to an endpoint. Default 1.25.
	LoadBound float64
	// RemotePenalty multiplies the score of endpoints outside the daemon's
	// failure domain. Default 1.1.
	RemotePenalty float64
	// DigestMaxAge is the age at which a peer's digest is dropped. Default 3 s.
	DigestMaxAge time.Duration
	// PrefixEntries limits the prefix table, rounded up to a power of two.
	// Default 8192 entries of 24 bytes.
	PrefixEntries int
	// PlainService marks a pool of endpoints without a model, whose complete
	// response counts as one token. Endpoints are compared by their time per
	// predicted token, so Request.PredictedTokens must be proportional to the
	// expected duration.
	PlainService bool
	// Outlier configures the detection of slow and failed endpoints.
	Outlier outlier.Options
}

func (o Options) withDefaults() Options {
	if o.DefaultSlots <= 0 {
		o.DefaultSlots = 16
	}
	if o.Candidates <= 0 {
		o.Candidates = 3
	}
	if o.LoadBound <= 1 {
		o.LoadBound = 1.25
	}
	if o.RemotePenalty < 1 {
		o.RemotePenalty = 1.1
	}
	if o.DigestMaxAge <= 0 {
		o.DigestMaxAge = 3 * time.Second
	}
	if o.PrefixEntries <= 0 {
		o.PrefixEntries = 8192
	}
	if o.PlainService && o.Outlier.MinFirstTokenStallTime == 0 {
		o.Outlier.MinFirstTokenStallTime = serviceStallTimeout
	}
	return o
}

// serviceStallTimeout is the time without a response after which an endpoint of
// a plain service is considered stalled. An endpoint with one slot that runs a
// long request sends nothing until the request ends, which is not a stall.
const serviceStallTimeout = 10 * time.Second

// endpoint is the pool's state of one endpoint.
type endpoint struct {
	Endpoint
	// inUse is false for a free array element. generation changes whenever the
	// element is assigned or freed, which invalidates earlier attempts and
	// prefix entries.
	inUse      bool
	generation uint32
	slots      float32
	weight     float32

	// ownInFlight and ownTokens are the open attempts of this daemon and their
	// predicted tokens not yet received. Invariant: both are the sums over the
	// open attempts.
	ownInFlight int32
	ownTokens   int64
	// peersInFlight and peersTokens are the load of the other daemons according
	// to their digests. Invariant: both are the sums over the entries of
	// Pool.peers.
	peersInFlight int32
	peersTokens   int64

	// unattributed is the part of the last load report, received at reportedAt
	// (Unix nanoseconds), that exceeds the load known at the time of the
	// report.
	unattributed int32
	reportedAt   int64
	history      loadHistory

	// readyIndex and localIndex are the positions in Pool.ready and in the list
	// of the failure domain, -1 if the endpoint is in neither.
	readyIndex, localIndex int32
}

// Pool is the state of one daemon for the endpoints of one service.
type Pool struct {
	opts Options
	// endpoints is indexed by the numbers in the other fields; freeIndexes
	// lists its unused elements.
	endpoints   []endpoint
	byID        map[EndpointID]int32
	freeIndexes []int32
	detector    *outlier.Detector

	// ready lists the endpoints that accept new requests, live and not ejected;
	// domains lists the same endpoints by failure domain. liveCount includes
	// ejected endpoints.
	ready     []int32
	domains   map[string][]int32
	liveCount int

	// layout lists the endpoints sorted by failure domain and ID; layoutHash
	// identifies it in digests.
	layout     []int32
	layoutHash uint32

	ring     []ringPoint
	prefixes prefixTable
	peers    map[string]*peerLoad

	// ownInFlight and peersInFlight are sums over the endpoints.
	ownInFlight   int
	peersInFlight int
	// runnerUp is the second best endpoint of the last choice, which is a
	// candidate for the next one; -1 if there is none.
	runnerUp int32
	// broken selects a deliberately faulty variant in tests.
	broken string
}

// New returns a Pool without endpoints.
func New(opts Options) *Pool {
	opts = opts.withDefaults()
	return &Pool{
		opts:     opts,
		byID:     make(map[EndpointID]int32),
		domains:  make(map[string][]int32),
		detector: outlier.New(opts.Outlier),
		peers:    make(map[string]*peerLoad),
		prefixes: newPrefixTable(opts.PrefixEntries),
		runnerUp: -1,
	}
}

// Update replaces the set of endpoints. Endpoints added after the first call
// ramp up; endpoints that are missing are dropped together with their load. A
// call with an unchanged set is cheap, so the caller may pass the complete list
// every second.
func (p *Pool) Update(now time.Time, set []Endpoint) {
	t := now.UnixNano()
	first, changed := len(p.byID) == 0, false
	seen := make(map[EndpointID]bool, len(set))
	for _, e := range set {
		if seen[e.ID] {
			continue
		}
		seen[e.ID] = true
		i, ok := p.byID[e.ID]
		if !ok {
			i = p.add(t, e, !first)
		}
		ep := &p.endpoints[i]
		if ok && ep.State == Leaving && e.State == Live {
			p.detector.Remove(i)
			p.detector.Add(t, i, true)
		}
		changed = changed || ep.Endpoint != e
		ep.Endpoint = e
		ep.slots = float32(e.Slots)
		if e.Slots <= 0 {
			ep.slots = float32(p.opts.DefaultSlots)
		}
	}
	for i := range p.endpoints {
		if ep := &p.endpoints[i]; ep.inUse && !seen[ep.ID] {
			p.remove(ep.ID, int32(i))
			changed = true
		}
	}
	if changed {
		p.rebuild(t)
	}
}

func (p *Pool) add(now int64, e Endpoint, ramp bool) int32 {
	var i int32
	if n := len(p.freeIndexes); n > 0 {
		i, p.freeIndexes = p.freeIndexes[n-1], p.freeIndexes[:n-1]
	} else {
		i = int32(len(p.endpoints))
		p.endpoints = append(p.endpoints, endpoint{})
	}
	p.endpoints[i] = endpoint{inUse: true, generation: p.endpoints[i].generation + 1, readyIndex: -1, localIndex: -1}
	p.byID[e.ID] = i
	p.detector.Add(now, i, ramp)
	return i
}

func (p *Pool) remove(id EndpointID, i int32) {
	ep := &p.endpoints[i]
	p.ownInFlight -= int(ep.ownInFlight)
	p.peersInFlight -= int(ep.peersInFlight)
	for _, peer := range p.peers {
		peer.removeEndpoint(i)
	}
	p.detector.Remove(i)
	*ep = endpoint{generation: ep.generation + 1, readyIndex: -1, localIndex: -1}
	delete(p.byID, id)
	p.freeIndexes = append(p.freeIndexes, i)
}

// rebuild recomputes the lists of selectable endpoints, the hash ring and the
// layout of load digests after endpoints were added, removed or changed.
func (p *Pool) rebuild(now int64) {
	p.ready, p.liveCount, p.runnerUp = p.ready[:0], 0, -1
	clear(p.domains)
	p.layout = p.layout[:0]
	for i := range p.endpoints {
		ep := &p.endpoints[i]
		ep.readyIndex, ep.localIndex = -1, -1
		if !ep.inUse {
			continue
		}
		p.layout = append(p.layout, int32(i))
		if ep.State == Live {
			p.liveCount++
		}
		p.updateReady(now, int32(i))
	}
	slices.SortFunc(p.layout, func(a, b int32) int {
		x, y := &p.endpoints[a], &p.endpoints[b]
		return cmp.Or(cmp.Compare(x.Domain, y.Domain), cmp.Compare(x.ID, y.ID))
	})
	h := xxhash.New()
	for _, i := range p.layout {
		_, _ = h.WriteString(string(p.endpoints[i].ID))
		_, _ = h.Write([]byte{0})
	}
	p.layoutHash = uint32(h.Sum64())
	p.buildRing()
}

// updateReady updates the weight of endpoint i and adds it to the lists or
// removes it from them.
func (p *Pool) updateReady(now int64, i int32) {
	ep := &p.endpoints[i]
	ep.weight = 0
	if ep.inUse && (ep.State == Live || p.broken == "leaving") {
		ep.weight = float32(p.detector.Weight(now, i))
	}
	listed := ep.readyIndex >= 0
	switch {
	case ep.weight > 0 && !listed:
		ep.readyIndex = int32(len(p.ready))
		p.ready = append(p.ready, i)
		local := p.domains[ep.Domain]
		ep.localIndex = int32(len(local))
		p.domains[ep.Domain] = append(local, i)
	case ep.weight == 0 && listed:
		p.removeReady(i)
	}
}

// removeReady removes endpoint i from the lists; the last element takes its
// place.
func (p *Pool) removeReady(i int32) {
	ep := &p.endpoints[i]
	last := p.ready[len(p.ready)-1]
	p.ready[ep.readyIndex] = last
	p.endpoints[last].readyIndex = ep.readyIndex
	p.ready = p.ready[:len(p.ready)-1]
	local := p.domains[ep.Domain]
	last = local[len(local)-1]
	local[ep.localIndex] = last
	p.endpoints[last].localIndex = ep.localIndex
	p.domains[ep.Domain] = local[:len(local)-1]
	ep.readyIndex, ep.localIndex = -1, -1
	if p.runnerUp == i {
		p.runnerUp = -1
	}
}

// Tick updates the outlier detection and drops expired digests. It must be
// called every 100 ms.
func (p *Pool) Tick(now time.Time) {
	t := now.UnixNano()
	for _, i := range p.detector.Tick(t) {
		p.updateReady(t, i)
	}
	for name, peer := range p.peers {
		if t-peer.receivedAt > int64(p.opts.DigestMaxAge) {
			p.applyPeerLoad(peer, -1)
			delete(p.peers, name)
		}
	}
	for i := range p.endpoints {
		ep := &p.endpoints[i]
		if !ep.inUse {
			continue
		}
		ep.history.record(t, ep.ownInFlight+ep.peersInFlight)
		if ep.unattributed > 0 && t-ep.reportedAt > unattributedMaxAge {
			ep.unattributed = 0
		}
	}
}

// Capacity returns the summary of the pool for admission.
func (p *Pool) Capacity() Capacity {
	c := Capacity{OwnInFlight: p.ownInFlight, PeersInFlight: p.peersInFlight, Peers: len(p.peers)}
	for _, i := range p.ready {
		ep := &p.endpoints[i]
		c.Endpoints += float64(ep.weight)
		c.Slots += float64(ep.weight * ep.slots)
	}
	return c
}

// Status returns the pool's view of each endpoint, sorted by failure domain and
// ID.
func (p *Pool) Status() []EndpointStatus {
	out := make([]EndpointStatus, 0, len(p.layout))
	for _, i := range p.layout {
		ep := &p.endpoints[i]
		out = append(out, EndpointStatus{
			Endpoint: ep.Endpoint, OwnInFlight: int(ep.ownInFlight), PeersInFlight: int(ep.peersInFlight),
			OwnTokens: int(ep.ownTokens), PeersTokens: int(ep.peersTokens), Weight: float64(ep.weight),
			FirstToken: p.detector.FirstTokenTime(i), InterToken: p.detector.TokenGap(i), EjectReason: p.detector.Reason(i).String(),
		})
	}
	return out
}
