package mesh

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
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
		return now.Sub(p.lastReceived) < liveTimeout
	}
	return now.Sub(p.lastReceived) < remoteLiveTimeout
}

// localPeers returns the live peers of this daemon's failure domain for which match
// returns true. The caller holds m.mu.
func (m *Mesh) localPeers(match func(*peer) bool) []*peer {
	now := time.Now()
	var list []*peer
	for _, p := range m.peers {
		if p.domain == m.Domain && m.live(now, p) && match(p) {
			list = append(list, p)
		}
	}
	return list
}

// storeReachable reports whether the store recently answered the peer.
func (p *peer) storeReachable(now time.Time) bool {
	return now.Sub(p.lastStoreContact) < storeContactTimeout
}

// PeersByTokens returns the live peers in descending order of their tokens of an
// account. It includes those without tokens, which may be able to draw some.
func (m *Mesh) PeersByTokens(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addrs(m.livePeersByTokens(account))
}

// Owns reports whether this daemon draws tokens of an account from the store. In a wide
// fleet one daemon of each failure domain draws for the whole domain, because most
// writes of 64 daemons to one record conflicted.
func (m *Mesh) Owns(account string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.wide() || len(m.higherRanked(account)) == 0
}

// TransferSources returns the local peers to ask for tokens of an account before the
// store. There are none if this daemon owns the account.
func (m *Mesh) TransferSources(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return nil
	}
	sources := m.higherRanked(account)
	return m.addrs(sources[:min(len(sources), maxTransferSources)])
}

// higherRanked returns the live peers of this daemon's failure domain that precede it in
// the rendezvous order of an account, in that order. The caller holds m.mu.
func (m *Mesh) higherRanked(account string) []*peer {
	own := ownerScore(account, m.Addr)
	list := m.localPeers(func(p *peer) bool { return !p.stopping && ownerScore(account, p.addr) > own })
	sort.Slice(list, func(i, j int) bool { return ownerScore(account, list[i].addr) > ownerScore(account, list[j].addr) })
	return list
}

// ownerScore is the rendezvous hash of an account and a daemon. The daemon with the
// highest score in a failure domain owns the account there.
func ownerScore(account, addr string) uint64 { return xxhash.Sum64String(account + "\x00" + addr) }

// Holders returns the number of daemons that draw each account's tokens.
func (m *Mesh) Holders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return m.count()
	}
	return m.domainCount()
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

// LocalPeersByTokens returns at most n live peers of this daemon's failure domain that
// hold tokens of an account, in descending order of their tokens.
func (m *Mesh) LocalPeersByTokens(account string, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var holders []*peer
	for _, p := range m.livePeersByTokens(account) {
		if len(holders) < n && p.domain == m.Domain && p.balances[account] > 0 {
			holders = append(holders, p)
		}
	}
	return m.addrs(holders)
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

// FollowsStore reports whether this daemon should follow the store itself. In a wide
// fleet the daemons with the lowest addresses in each failure domain do, as long as the
// store answers them.
func (m *Mesh) FollowsStore() bool {
	now := time.Now()
	return m.isPreferred(func(p *peer) bool { return p.followsStore && p.storeReachable(now) })
}

// PreferredFollower reports whether this daemon would follow the store if the store
// answered all daemons.
func (m *Mesh) PreferredFollower() bool { return m.isPreferred(func(*peer) bool { return true }) }

// StoreReachable reports whether the fleet is wide and the store recently answered a
// live peer of this daemon's failure domain.
func (m *Mesh) StoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.wide() && len(m.localPeers(func(p *peer) bool { return p.storeReachable(now) })) > 0
}

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
		m.Log.Debug().Err(failure.At(err, "mesh.push", p.addr)).Msg("changes not pushed to peer")
	}
}
