package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerEndpoint is the number of ring points per endpoint.
	pointsPerEndpoint = 4
	// prefixAssociativity is the number of entries in each bucket of the prefix
	// table.
	prefixAssociativity = 4
	// prefixTTL is the time after its last use or cache event at which a prefix
	// is no longer expected in a cache.
	prefixTTL = int64(2 * time.Minute)
	// minScoreWeight keeps the score of an ejected endpoint finite.
	minScoreWeight = 0.05
)

// ringPoint is a point of the consistent hash ring, by which the daemons choose
// the same endpoints for a prefix without exchanging state.
type ringPoint struct {
	hash  uint64
	index int32
}

func (p *Pool) buildRing() {
	p.ring = p.ring[:0]
	for _, i := range p.layout {
		if p.endpoints[i].State != Live {
			continue
		}
		h := xxhash.Sum64String(string(p.endpoints[i].ID))
		for range pointsPerEndpoint {
			p.ring = append(p.ring, ringPoint{hash: h, index: i})
			h = splitmix64(h)
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return int(a.index - b.index)
	})
}

// splitmix64 is the finalizer of the SplitMix64 generator.
func splitmix64(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// chooseAffinity returns the endpoint with the lowest score among those that
// are likely to have the prefix cached and are within the load bound, or -1.
// Endpoints in the prefix table take precedence over those on the ring.
func (p *Pool) chooseAffinity(now int64, r *Request) int32 {
	best, bestScore := int32(-1), 0.0
	consider := func(i int32) {
		if p.isExcluded(i, r) || !p.withinLoadBound(now, i) {
			return
		}
		if s := p.score(now, i, r); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	bucket := p.prefixes.bucket(r.PrefixHash)
	for k := range bucket {
		e := &bucket[k]
		if e.hash == r.PrefixHash && now-e.usedAt < prefixTTL && p.endpoints[e.index].generation == e.generation {
			consider(e.index)
		}
	}
	if best >= 0 {
		return best
	}
	p.ringCandidates(r, consider)
	return best
}

// ringCandidates passes the first ready endpoints after the ring position of
// the prefix to consider.
func (p *Pool) ringCandidates(r *Request, consider func(int32)) {
	n := len(p.ring)
	if n == 0 {
		return
	}
	localOnly := len(p.domains[r.Domain]) >= minLocalRing
	start, _ := slices.BinarySearchFunc(p.ring, r.PrefixHash, func(pt ringPoint, h uint64) int {
		if pt.hash < h {
			return -1
		}
		return 1
	})
	considered, last := 0, int32(-1)
	for k := 0; k < min(maxRingPoints, n) && considered < maxRingEndpoints; k++ {
		i := p.ring[(start+k)%n].index
		ep := &p.endpoints[i]
		if i == last || ep.readyIndex < 0 || (localOnly && ep.Domain != r.Domain) {
			continue
		}
		consider(i)
		last = i
		considered++
	}
}

// withinLoadBound reports whether endpoint i may be chosen for a prefix: it is
// ready, not slow, has a free slot, and its load including the request is at
// most LoadBound times the mean, plus one.
func (p *Pool) withinLoadBound(now int64, i int32) bool {
	ep := &p.endpoints[i]
	if ep.readyIndex < 0 || p.detector.SlowdownRatio(now, i) > maxAffinitySlowness {
		return false
	}
	if p.broken == "bound" {
		return true
	}
	count := float64(ep.inFlight() + 1)
	mean := float64(p.ownInFlight+p.peersInFlight) / float64(len(p.ready)) * float64(ep.weight)
	return count <= p.opts.LoadBound*mean+1 && count <= float64(ep.slots*ep.weight)
}

// RecordCacheEvent updates the prefix table from a cache event of an endpoint.
func (p *Pool) RecordCacheEvent(now time.Time, e CacheEvent) {
	i, ok := p.byID[e.Endpoint]
	if !ok || e.Prefix == 0 {
		return
	}
	if e.Evicted {
		p.prefixes.remove(e.Prefix, i)
		return
	}
	p.prefixes.put(now.UnixNano(), e.Prefix, i, p.endpoints[i].generation)
}

// prefixEntry records that an endpoint is likely to have a prefix cached.
type prefixEntry struct {
	hash       uint64
	usedAt     int64
	index      int32
	generation uint32
}

// prefixTable is a set-associative table of fixed size.
type prefixTable struct {
	entries []prefixEntry
	mask    uint64
}

func newPrefixTable(size int) prefixTable {
	n := prefixAssociativity
	for n < size {
		n *= 2
	}
	return prefixTable{entries: make([]prefixEntry, n), mask: uint64(n/prefixAssociativity - 1)}
}

func (t *prefixTable) bucket(h uint64) []prefixEntry {
	at := (splitmix64(h) & t.mask) * prefixAssociativity
	return t.entries[at : at+prefixAssociativity]
}

// put adds or refreshes an entry; a new entry replaces the oldest one of its
// bucket.
func (t *prefixTable) put(now int64, h uint64, i int32, generation uint32) {
	b := t.bucket(h)
	victim := 0
	for k := range b {
		if b[k].hash == h && b[k].index == i {
			victim = k
			break
		}
		if b[k].usedAt < b[victim].usedAt {
			victim = k
		}
	}
	b[victim] = prefixEntry{hash: h, usedAt: now, index: i, generation: generation}
}

func (t *prefixTable) remove(h uint64, i int32) {
	b := t.bucket(h)
	for k := range b {
		if b[k].hash == h && b[k].index == i {
			b[k] = prefixEntry{}
		}
	}
}
