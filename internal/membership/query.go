package membership

import (
	"slices"
	"sort"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/cespare/xxhash/v2"
)

// Self returns this daemon as a member.
func (t *Table) Self() Member { return t.self.Member }

// Member returns the member with the ID.
func (t *Table) Member(id string) (Member, bool) {
	if n := t.nodes[id]; n != nil {
		return n.Member, true
	}
	return Member{}, false
}

// Members returns all members ordered by ID. Dead ones are included until they
// are forgotten.
func (t *Table) Members() []Member {
	members := make([]Member, len(t.sortedNodes))
	for i, n := range t.sortedNodes {
		members[i] = n.Member
	}
	return members
}

// LiveIn returns the live members of a failure domain ordered by ID, including
// this daemon.
func (t *Table) LiveIn(name string) []Member {
	var live []Member
	if d := t.domains[name]; d != nil {
		for _, n := range d.members {
			if n.State == Live {
				live = append(live, n.Member)
			}
		}
	}
	return live
}

// Domains returns the names of the known failure domains in order.
func (t *Table) Domains() []string {
	names := make([]string, len(t.sortedDomains))
	for i, d := range t.sortedDomains {
		names[i] = d.name
	}
	return names
}

// DomainUnreachable reports whether no messages arrive from the failure domain.
// It is always false for this daemon's failure domain.
func (t *Table) DomainUnreachable(name string) bool {
	d := t.domains[name]
	return d != nil && d.unreachable
}

// Owner returns the live member of the failure domain that owns the key by
// rendezvous hashing.
func (t *Table) Owner(name, key string) (Member, bool) {
	var owner *node
	var best uint64
	if d := t.domains[name]; d != nil {
		keyHash := xxhash.Sum64String(key)
		for _, n := range d.members {
			if w := hashPair(keyHash, uint64(n.hash)); n.State == Live && (owner == nil || w > best) {
				owner, best = n, w
			}
		}
	}
	if owner == nil {
		return Member{}, false
	}
	return owner.Member, true
}

// Ranked returns up to n live members of all failure domains with the highest
// rendezvous weights for the key, highest first. They are the candidates for a
// duty, so that only they, not all daemons, poll its key.
func (t *Table) Ranked(key string, n int) []Member {
	keyHash := xxhash.Sum64String(key)
	var live []*node
	for _, m := range t.sortedNodes {
		if m.State == Live {
			live = append(live, m)
		}
	}
	sort.SliceStable(live, func(i, j int) bool {
		return hashPair(keyHash, uint64(live[i].hash)) > hashPair(keyHash, uint64(live[j].hash))
	})
	members := make([]Member, min(n, len(live)))
	for i := range members {
		members[i] = live[i].Member
	}
	return members
}

// Endpoints returns the endpoints that the list shows as live or leaving,
// ordered by ID.
func (t *Table) Endpoints() []Endpoint {
	var endpoints []Endpoint
	for _, e := range t.entries {
		if !e.removed && e.instance.Role != platform.RoleDaemon {
			endpoints = append(endpoints, e.endpoint())
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
	return endpoints
}

// candidates returns the members of a failure domain that may represent it:
// the live ones, or all but the dead if none is live.
func (t *Table) candidates(name string) []*node {
	var live, rest []*node
	d := t.domains[name]
	if d == nil {
		return nil
	}
	for _, n := range d.members {
		switch {
		case n.State == Live:
			live = append(live, n)
		case !n.dead:
			rest = append(rest, n)
		}
	}
	if len(live) == 0 {
		return rest
	}
	return live
}

// representatives returns the candidates with the highest weights, and leaving
// members if there are too few, so that the last member of a failure domain
// still receives messages from others.
func (t *Table) representatives(name string) []*node {
	candidates := t.candidates(name)
	if d := t.domains[name]; d != nil && len(candidates) < t.options.Representatives {
		for _, n := range d.members {
			if n.State == Leaving && !slices.Contains(candidates, n) {
				candidates = append(candidates, n)
			}
		}
	}
	weight := func(n *node) uint64 {
		w := hashPair(1, uint64(n.hash)) >> 1
		if n.State == Live {
			w |= 1 << 63
		}
		return w
	}
	sort.Slice(candidates, func(i, j int) bool { return weight(candidates[i]) > weight(candidates[j]) })
	return candidates[:min(len(candidates), t.options.Representatives)]
}

// rank returns this daemon's index among the representatives of its failure
// domain, which are also the list readers, or -1 if it is not one of them.
func (t *Table) rank() int {
	for i, n := range t.representatives(t.self.Domain) {
		if n == t.self {
			return i
		}
	}
	return -1
}

func (t *Table) isRepresentative() bool { return t.rank() >= 0 }

// currentViewHash returns Message.ViewHash, recomputed if the view has changed.
func (t *Table) currentViewHash() uint64 {
	if t.viewDirty {
		t.viewDirty = false
		t.viewHash = 1
		for _, n := range t.sortedNodes {
			if !n.dead && n.Incarnation > 0 {
				t.viewHash ^= hashPair(uint64(n.hash)<<32|uint64(n.Incarnation), boolToUint64(n.Leaving))
			}
		}
	}
	return t.viewHash
}

func boolToUint64(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// mix hashes two numbers into one with the finalizer of splitmix64.
func hashPair(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
