package mesh

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/escrow/budgets"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/overload"
)

// wide implements Wide. The caller holds m.mu.
func (m *Mesh) wide() bool { return len(m.peers) >= wideFleetThreshold }

// Wide reports whether the fleet has more than wideFleetThreshold daemons.
func (m *Mesh) Wide() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wide()
}

// isLocal reports whether peers of a failure domain are treated as local and get full
// digests. In a wide fleet these are the peers in this daemon's own failure domain,
// otherwise all. The caller holds m.mu.
func (m *Mesh) isLocal(domain string) bool { return !m.wide() || domain == m.Domain }

// live reports whether a digest of the peer was received recently. The caller holds
// m.mu.
func (m *Mesh) live(now time.Time, p *peer) bool {
	if m.isLocal(p.domain) {
		return now.Sub(p.lastReceived) < m.localLiveTimeout()
	}
	return now.Sub(p.lastReceived) < m.remoteLiveTimeout()
}

// countLocalPeers returns the number of peers in this daemon's failure domain. The caller holds
// m.mu.
func (m *Mesh) countLocalPeers() int {
	n := 0
	for _, p := range m.peers {
		if p.domain == m.Domain {
			n++
		}
	}
	return n
}

// localLiveTimeout is the time without a digest after which a local peer no longer counts as
// live. The caller holds m.mu.
func (m *Mesh) localLiveTimeout() time.Duration {
	if !m.wide() {
		return liveTimeout
	}
	return max(liveRounds*meanDigestInterval(m.localPeerCount, localFanout), liveTimeout)
}

// meanDigestInterval is the mean time between two digests of a peer: each of two peers calls
// the other once in peers/fanout rounds of exchanges.
func meanDigestInterval(peers, fanout int) time.Duration {
	return exchangeInterval * time.Duration(peers) / time.Duration(2*fanout)
}

// remoteLiveTimeout is the time without a digest after which a peer in another failure
// domain of a wide fleet no longer counts as live. The caller holds m.mu.
func (m *Mesh) remoteLiveTimeout() time.Duration {
	return max(liveRounds*meanDigestInterval(len(m.peers), remoteFanout), minRemoteLiveTimeout)
}

// presumedLive reports whether a peer is live, or was added so recently that no digest
// is to be expected yet. Without the latter, all daemons that start together would take
// the same work before they hear each other. The caller holds m.mu.
func (m *Mesh) presumedLive(now time.Time, p *peer) bool {
	return m.live(now, p) || p.lastReceived.IsZero() && now.Sub(p.addedAt) < liveTimeout
}

// localPeers returns the peers of this daemon's failure domain that are presumed live and
// for which match returns true. The caller holds m.mu.
func (m *Mesh) localPeers(match func(*peer) bool) []*peer {
	now := time.Now()
	var list []*peer
	for _, p := range m.peers {
		if p.domain == m.Domain && m.presumedLive(now, p) && match(p) {
			list = append(list, p)
		}
	}
	return list
}

// storeReachable reports whether the store recently answered a local peer, as far as its last
// digest can tell. The caller holds m.mu.
func (m *Mesh) storeReachable(now time.Time, p *peer) bool {
	return now.Sub(p.lastStoreContact) < storeContactTimeout+m.localLiveTimeout()-liveTimeout
}

// PeersByTokens returns the live peers in descending order of their tokens of an
// account. It includes those without tokens, which may be able to draw some.
func (m *Mesh) PeersByTokens(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addrs(m.livePeersByTokens(account))
}

// Owns reports whether this daemon draws tokens of an account from the store. In a wide
// fleet one daemon draws for all: of the writes of several daemons to one record, more
// than half conflicted.
func (m *Mesh) Owns(account string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.wide() || len(m.higherRanked(account, true)) == 0 && len(m.higherRanked(account, false)) == 0
}

// Distributes reports whether this daemon obtains tokens of an account for its failure
// domain, from the account's owner or, if it is the owner, from the store.
func (m *Mesh) Distributes(account string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.wide() || len(m.higherRanked(account, true)) == 0
}

// TransferSources returns the peers to ask for tokens of an account before the store: the
// distributor of the failure domain and the next in rank or, for the distributor itself,
// the account's owner. There are none for the owner.
func (m *Mesh) TransferSources(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return nil
	}
	if local := m.higherRanked(account, true); len(local) > 0 {
		return m.addrs(local[:min(len(local), maxTransferSources)])
	}
	remote := m.higherRanked(account, false)
	return m.addrs(remote[:min(len(remote), 1)])
}

// higherRanked returns the peers that precede this daemon in the rendezvous order of an
// account, in that order: those of its failure domain, or those of all others. Peers that
// stop or have not answered are left out. The caller holds m.mu.
func (m *Mesh) higherRanked(account string, local bool) []*peer {
	now, key := time.Now(), xxhash.Sum64String(account)
	own := ownerScore(key, m.addrHash)
	var list []*peer
	for _, p := range m.peers {
		if (p.domain == m.Domain) == local && m.rankable(now, p) && ownerScore(key, p.addrHash) > own {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return ownerScore(key, list[i].addrHash) > ownerScore(key, list[j].addrHash)
	})
	return list
}

// rankable reports whether a peer takes part in the rendezvous order: it is not known to stop, has
// answered its last request, and is presumed live. The caller holds m.mu.
func (m *Mesh) rankable(now time.Time, p *peer) bool {
	return p.domain != "" && !p.stopping && !now.Before(p.suspectUntil) && m.presumedLive(now, p)
}

// ownerScore is the rendezvous hash of an account and a daemon. The daemon with the
// highest score owns the account, and the one with the highest score in a failure domain
// distributes its tokens there. It mixes two hashes by the finalizer of splitmix64, since it
// is computed for each daemon with each request for tokens.
func ownerScore(account, addr uint64) uint64 {
	h := account ^ addr
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Holders returns the number of daemons that draw each account's tokens.
func (m *Mesh) Holders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return m.count()
	}
	return 1
}

// Followers returns the number of daemons that follow the store.
func (m *Mesh) Followers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return m.count()
	}
	return followersPerDomain * m.domainCount()
}

// domainCount returns the number of failure domains with live daemons. The caller holds
// m.mu.
func (m *Mesh) domainCount() int {
	now := time.Now()
	domains := map[string]bool{m.Domain: true}
	for _, p := range m.peers {
		if m.live(now, p) {
			domains[p.domain] = true
		}
	}
	return len(domains)
}

// KnownHoldings returns the tokens of an account that live peers have, in descending order,
// without peers that have none or gave less than was asked for since their last digests.
func (m *Mesh) KnownHoldings(account string) []escrow.KnownHolding {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var known []escrow.KnownHolding
	for _, p := range m.livePeersByTokens(account) {
		if p.balances[account] > 0 && !p.drained[account] && !now.Before(p.suspectUntil) {
			known = append(known, escrow.KnownHolding{
				Peer: p.addr, Domain: p.domain, Local: p.domain == m.Domain, Tokens: p.balances[account], AgeMs: now.Sub(p.lastReceived).Milliseconds(),
			})
		}
	}
	return known
}

// KnownBalance returns the tokens of an account that live peers have by their last digests.
// complete is false if a peer that was heard once is silent: it may be cut off and have others.
func (m *Mesh) KnownBalance(account string) (tokens int64, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	complete = true
	for _, p := range m.peers {
		switch {
		case m.live(now, p):
			tokens += p.balances[account]
		case !p.lastReceived.IsZero():
			complete = false
		}
	}
	return tokens, complete
}

// livePeersByTokens returns the live peers in descending order of their tokens of an
// account. The caller holds m.mu.
func (m *Mesh) livePeersByTokens(account string) []*peer {
	now := time.Now()
	var live []*peer
	for _, p := range m.peers {
		if m.live(now, p) {
			live = append(live, p)
		}
	}
	sort.Slice(live, func(i, j int) bool {
		if live[i].balances[account] != live[j].balances[account] {
			return live[i].balances[account] > live[j].balances[account]
		}
		return live[i].addr < live[j].addr
	})
	return live
}

func (m *Mesh) addrs(peers []*peer) []string {
	addrs := make([]string, 0, len(peers))
	for _, p := range peers {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// Members returns all daemons that are known, except this one.
func (m *Mesh) Members() []budgets.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	members := make([]budgets.Member, 0, len(m.peers))
	for _, p := range m.peers {
		heard := p.lastReceived
		if heard.IsZero() {
			heard = p.addedAt
		}
		members = append(members, budgets.Member{Addr: p.addr, Holder: p.id, Silent: now.Sub(heard)})
	}
	return members
}

// Count returns the number of live daemons that are not stopping, including this one.
func (m *Mesh) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count()
}

func (m *Mesh) count() int {
	now := time.Now()
	n := 1
	for _, p := range m.peers {
		if !p.stopping && m.live(now, p) {
			n++
		}
	}
	return n
}

// LocalLinks describes the links of the live daemons in this daemon's failure domain that are not
// stopping, as far as their last digests tell.
func (m *Mesh) LocalLinks() overload.Peers {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var peers overload.Peers
	for _, p := range m.peers {
		if p.domain == m.Domain && !p.stopping && m.live(now, p) {
			peers = append(peers, p.link)
		}
	}
	return peers
}

// FollowsStore reports whether this daemon should follow the store itself. In a wide
// fleet the daemons with the lowest addresses in each failure domain do, as long as the
// store answers them.
func (m *Mesh) FollowsStore() bool {
	now := time.Now()
	return m.isPreferred(func(p *peer) bool {
		return p.lastReceived.IsZero() || p.followsStore && m.storeReachable(now, p)
	})
}

// PreferredFollower reports whether this daemon would follow the store if the store
// answered all daemons.
func (m *Mesh) PreferredFollower() bool { return m.isPreferred(func(*peer) bool { return true }) }

// isPreferred reports whether fewer than followersPerDomain eligible local peers have a
// lower address than this daemon.
func (m *Mesh) isPreferred(eligible func(*peer) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	preferred := func(p *peer) bool { return p.addr < m.Addr && !p.stopping && eligible(p) }
	return !m.wide() || len(m.localPeers(preferred)) < followersPerDomain
}

// Broadcast pushes changes to the live peers of this daemon's failure domain. In a fleet
// that is not wide it does nothing, since all daemons follow the store.
func (m *Mesh) Broadcast(c *meshpb.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() || m.ctx.Err() != nil {
		return
	}
	for _, p := range m.localPeers(func(*peer) bool { return true }) {
		m.wg.Go(func() { m.push(p, c) })
	}
}

func (m *Mesh) push(p *peer, c *meshpb.Changes) {
	ctx, cancel := context.WithTimeout(m.ctx, exchangeTimeout)
	defer cancel()
	if _, err := meshpb.NewMeshClient(p.conn).Push(ctx, c); err != nil {
		m.counters.pushesFailed.Inc(1)
		m.Log.Debug().Err(failure.At(err, "mesh.push", p.addr)).Msg("changes not pushed to peer")
		return
	}
	m.counters.pushes.Inc(1)
}
