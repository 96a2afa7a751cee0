package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringPoints is the number of ring points per endpoint.
	ringPoints = 4
	// prefixWays is the number of endpoints remembered for a bucket of
	// prefixes.
	prefixWays = 4
	// prefixTTL is the time after which a prefix is no longer expected in a
	// cache without a cache event or a further use.
	prefixTTL = int64(2 * time.Minute)
	// outlierMinWeight keeps the score of an ejected endpoint finite.
	outlierMinWeight = 0.05
)

// ringPoint is a point of the consistent-hash ring, by which daemons choose
// the same endpoints for a prefix without exchanging their histories.
type ringPoint struct {
	hash  uint64
	index int32
}

func (p *Pool) buildRing() {
	p.ring = p.ring[:0]
	for _, i := range p.layout {
		if p.eps[i].State != Live {
			continue
		}
		h := xxhash.Sum64String(string(p.eps[i].ID))
		for range ringPoints {
			p.ring = append(p.ring, ringPoint{hash: h, index: i})
			h = mix(h)
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

// mix is the finalizer of splitmix64.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// chooseAffinity returns the least loaded endpoint that is likely to have the
// prefix cached and is within the load bound, or -1. Endpoints that this
// daemon used for the prefix come before those of the ring.
func (p *Pool) chooseAffinity(now int64, r *Request) int32 {
	best, bestScore := int32(-1), 0.0
	weigh := func(i int32) {
		if p.excluded(i, r) || !p.withinBound(now, i) {
			return
		}
		if s := p.score(now, i, r); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	bucket := p.prefix.bucket(r.PrefixHash)
	for k := range bucket {
		e := &bucket[k]
		if e.hash == r.PrefixHash && now-e.at < prefixTTL && p.eps[e.index].generation == e.generation {
			weigh(e.index)
		}
	}
	if best >= 0 {
		return best
	}
	p.ringCandidates(r, weigh)
	return best
}

// ringCandidates passes the first ready endpoints after the prefix's point.
func (p *Pool) ringCandidates(r *Request, weigh func(int32)) {
	n := len(p.ring)
	if n == 0 {
		return
	}
	localOnly := len(p.domains[r.Domain]) >= localRing
	at, _ := slices.BinarySearchFunc(p.ring, r.PrefixHash, func(pt ringPoint, h uint64) int {
		if pt.hash < h {
			return -1
		}
		return 1
	})
	homes, last := 0, int32(-1)
	for k := 0; k < min(ringWalk, n) && homes < ringHomes; k++ {
		i := p.ring[(at+k)%n].index
		ep := &p.eps[i]
		if i == last || ep.readyAt < 0 || (localOnly && ep.Domain != r.Domain) {
			continue
		}
		weigh(i)
		last = i
		homes++
	}
}

// withinBound reports whether endpoint i may be chosen for a prefix: it is
// ready, not slow, has a free slot, and its load with the request is at most
// LoadBound times the mean, plus one.
func (p *Pool) withinBound(now int64, i int32) bool {
	ep := &p.eps[i]
	if ep.readyAt < 0 || p.det.Slowness(now, i) > affinitySlowness {
		return false
	}
	if p.broken == "bound" {
		return true
	}
	count := float64(ep.inFlight() + 1)
	mean := float64(p.own+p.peersInFlight) / float64(len(p.ready)) * float64(ep.weight)
	return count <= p.opts.LoadBound*mean+1 && count <= float64(ep.slots*ep.weight)
}

// Cached records a cache event of an endpoint.
func (p *Pool) RecordCacheEvent(now time.Time, e CacheEvent) {
	i, ok := p.byID[e.Endpoint]
	if !ok || e.Prefix == 0 {
		return
	}
	if e.Evicted {
		p.prefix.remove(e.Prefix, i)
		return
	}
	p.prefix.put(now.UnixNano(), e.Prefix, i, p.eps[i].generation)
}

// prefixEntry says that an endpoint is likely to have a prefix cached.
type prefixEntry struct {
	hash       uint64
	at         int64
	index      int32
	generation uint32
}

// prefixTable is a set-associative table of bounded size.
type prefixTable struct {
	entries []prefixEntry
	mask    uint64
}

func newPrefixTable(size int) prefixTable {
	n := prefixWays
	for n < size {
		n *= 2
	}
	return prefixTable{entries: make([]prefixEntry, n), mask: uint64(n/prefixWays - 1)}
}

func (t *prefixTable) bucket(h uint64) []prefixEntry {
	at := (mix(h) & t.mask) * prefixWays
	return t.entries[at : at+prefixWays]
}

// put adds or renews an entry in place of the oldest one of its bucket.
func (t *prefixTable) put(now int64, h uint64, i int32, generation uint32) {
	b := t.bucket(h)
	victim := 0
	for k := range b {
		if b[k].hash == h && b[k].index == i {
			victim = k
			break
		}
		if b[k].at < b[victim].at {
			victim = k
		}
	}
	b[victim] = prefixEntry{hash: h, at: now, index: i, generation: generation}
}

func (t *prefixTable) remove(h uint64, i int32) {
	b := t.bucket(h)
	for k := range b {
		if b[k].hash == h && b[k].index == i {
			b[k] = prefixEntry{}
		}
	}
}
