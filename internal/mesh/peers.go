package mesh

import (
	"context"
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
)

// wide tells whether the fleet is a wide one. The caller holds m.mu.
func (m *Mesh) wide() bool { return len(m.peers) >= wideFleet }

// Wide tells whether the fleet has more than wideFleet daemons.
func (m *Mesh) Wide() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wide()
}

// near tells whether a peer is told all; in a wide fleet these are the peers of
// the own failure domain. The caller holds m.mu.
func (m *Mesh) near(p *peer) bool { return !m.wide() || p.domain == m.Domain }

// live tells whether a peer was heard lately. The caller holds m.mu.
func (m *Mesh) live(now time.Time, p *peer) bool {
	if m.near(p) {
		return now.Sub(p.heard) < liveFor
	}
	return now.Sub(p.heard) < farLiveFor
}

// Richest returns the live peers, the one with the most tokens first. One that
// holds none may be able to draw some.
func (m *Mesh) Richest(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addrs(m.rank(account, func(*peer) bool { return true }))
}

// Lenders returns at most n live peers of the own failure domain that hold at
// least tokens of an account, the one with the most first. It returns none
// unless the fleet is wide.
func (m *Mesh) Lenders(account string, tokens int64, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return nil
	}
	lenders := m.rank(account, func(p *peer) bool { return p.domain == m.Domain && p.balances[account] >= tokens })
	return m.addrs(lenders[:min(len(lenders), n)])
}

func (m *Mesh) rank(account string, keep func(*peer) bool) []*peer {
	now := time.Now()
	var live []*peer
	for _, p := range m.peers {
		if m.live(now, p) && keep(p) {
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
func (m *Mesh) Follows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() {
		return true
	}
	now := time.Now()
	before := 0
	for _, p := range m.peers {
		if p.domain == m.Domain && p.addr < m.Addr && p.follows && !p.stopping && m.live(now, p) && now.Sub(p.storeHeard) < followFresh {
			before++
		}
	}
	return before < followers
}

// Spread passes changes on to the live peers of the own failure domain.
func (m *Mesh) Spread(c *meshpb.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.wide() || m.ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, p := range m.peers {
		if p.domain == m.Domain && m.live(now, p) {
			m.wg.Go(func() { m.push(p, c) })
		}
	}
}

func (m *Mesh) push(p *peer, c *meshpb.Changes) {
	ctx, cancel := context.WithTimeout(m.ctx, exchangeTimeout)
	defer cancel()
	if _, err := meshpb.NewMeshClient(p.conn).Push(ctx, c); err != nil {
		m.Log.Debug().Err(failure.At(err, "mesh.push", p.addr)).Msg("changes not passed on")
	}
}
