package overload

import "slices"

// Shares of a failure domain's daemons that may turn new connections away at the same time.
// Whoever distributes the connections uses all daemons of a domain if it finds fewer than half of them
// ready, and digests of peers are a second old, so it is maxOverloadedShare at most. Where no daemon has
// a link that carries the whole demand, the callers may be one who overloads one daemon after
// the other, so it is narrowOverloadedShare, but at least one daemon.
const (
	maxOverloadedShare    = 0.4
	narrowOverloadedShare = 0.1
)

// Peer describes the link of another daemon in the failure domain.
type Peer struct {
	// Overloaded is true if it wants no new connections.
	Overloaded bool
	// Demand are the bytes a second that are asked of its link, Free those that it carries beyond that.
	Demand, Free float64
}

// Peers describes the links of the other daemons in the failure domain.
type Peers []Peer

// Overloaded returns the number of the daemons that want no new connections.
func (p Peers) Overloaded() (n int) {
	for _, peer := range p {
		if peer.Overloaded {
			n++
		}
	}
	return n
}

// anyOther reports whether match returns true for a daemon that wants new connections.
func (p Peers) anyOther(match func(Peer) bool) bool {
	return slices.ContainsFunc(p, func(peer Peer) bool { return !peer.Overloaded && match(peer) })
}

// allow reports whether one more daemon with a demand in bytes a second may turn connections away.
func (p Peers) allow(demand float64) bool {
	overloaded, share := p.Overloaded()+1, maxOverloadedShare
	if overloaded > 1 && !p.anyOther(func(peer Peer) bool { return peer.Free >= demand }) {
		share = narrowOverloadedShare
	}
	return float64(overloaded) <= share*float64(len(p)+1) && p.carry(demand)
}

// carry reports whether the daemons that want new connections can take the callers of one with a demand in
// bytes a second, after those of the overloaded ones of which more is asked.
func (p Peers) carry(demand float64) bool {
	free, before := 0.0, 1.0
	for _, peer := range p {
		switch {
		case !peer.Overloaded:
			free += peer.Free
		case peer.Demand > demand:
			free -= peer.Demand
			before++
		}
	}
	return free >= demand && before <= max(1, maxOverloadedShare*float64(len(p)+1))
}
