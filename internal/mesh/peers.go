package mesh

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
)

// wide tells whether the fleet is a wide one. The caller holds m.mu.
func (m *Mesh) wide() bool { return len(m.peers) >= wideFleetThreshold }

// Wide tells whether the fleet has more than wideFleet daemons.
func (m *Mesh) Wide() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wide()
}

// near tells whether peers of a failure domain are told all; in a wide fleet
// these are those of the own one. The caller holds m.mu.
func (m *Mesh) isLocal(domain string) bool { return !m.wide() || domain == m.Domain }

// live tells whether a peer was heard lately. The caller holds m.mu.
func (m *Mesh) live(now time.Time, p *peer) bool {
	if m.isLocal(p.domain) {
		return now.Sub(p.lastReceived) < liveTimeout
	}
	return now.Sub(p.lastReceived) < remoteLiveTimeout
}

// neighbours returns the live peers of the own failure domain that a condition
// holds for. The caller holds m.mu.
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

// storeSeen tells whether the store lately answered a peer.
func (p *peer) storeReachable(now time.Time) bool {
	return now.Sub(p.lastStoreContact) < storeContactTimeout
}

// Richest returns the live peers, the one with the most tokens first. One that
// holds none may be able to draw some.
func (m *Mesh) PeersByTokens(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addrs(m.livePeersByTokens(account))
}

// Keeps tells whether this daemon draws tokens of an account from the store. In
// a wide fleet one daemon of each failure domain does, for all of them: writes
// of 64 daemons to one record mostly met conflicts.
func (m *Mesh) Owns(account string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.wide() || len(m.higherRanked(account)) == 0
}

// Lenders returns the near peers to ask for tokens of an account before the
// store: none if this daemon keeps the account.
func (m *Mesh) TransferSources(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return nil
	}
	sources := m.higherRanked(account)
	return m.addrs(sources[:min(len(sources), maxTransferSources)])
}

// before returns the live near peers that come before this daemon in the
// rendezvous order of an account. The caller holds m.mu.
func (m *Mesh) higherRanked(account string) []*peer {
	own := ownerScore(account, m.Addr)
	list := m.localPeers(func(p *peer) bool { return !p.stopping && ownerScore(account, p.addr) > own })
	sort.Slice(list, func(i, j int) bool { return ownerScore(account, list[i].addr) > ownerScore(account, list[j].addr) })
	return list
}

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

// Pollers returns the number of daemons that follow the store.
func (m *Mesh) Followers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return m.count()
	}
	return followersPerDomain * m.domainCount()
}

// domains is the number of live failure domains. The caller holds m.mu.
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

// Rich returns at most n live peers of the own failure domain that hold tokens
// of an account, the one with the most first.
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

// Count returns the number of daemons that take work, this one included.
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

// Follows tells whether this daemon should follow the store itself. In a wide
// fleet those with the first addresses of each failure domain do, as long as
// the store answers them.
func (m *Mesh) FollowsStore() bool {
	now := time.Now()
	return m.isPreferred(func(p *peer) bool { return p.followsStore && p.storeReachable(now) })
}

// First tells whether this daemon would follow the store if it answered all.
func (m *Mesh) PreferredFollower() bool { return m.isPreferred(func(*peer) bool { return true }) }

// StoreSeen tells whether the store lately answered a live peer of the own
// failure domain of a wide fleet.
func (m *Mesh) StoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.wide() && len(m.localPeers(func(p *peer) bool { return p.storeReachable(now) })) > 0
}

func (m *Mesh) isPreferred(eligible func(*peer) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	preferred := func(p *peer) bool { return p.addr < m.Addr && !p.stopping && eligible(p) }
	return !m.wide() || len(m.localPeers(preferred)) < followersPerDomain
}

// Spread passes changes on to the live peers of the own failure domain.
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
		m.Log.Debug().Err(failure.At(err, "mesh.push", p.addr)).Msg("changes not passed on")
	}
}
