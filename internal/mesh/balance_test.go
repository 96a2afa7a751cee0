package mesh

import (
	"testing"
	"time"
)

// Guards against taking a budget for exhausted while a daemon that may have tokens of it is
// cut off, or counting tokens of daemons that have gone.
func TestKnownBalanceTellsOfSilentPeers(t *testing.T) {
	m := New(Options{Addr: "127.0.0.1:1", Domain: "z0"})
	defer m.Close()
	now := time.Now()
	for _, p := range []*peer{
		{addr: "127.0.0.1:2", lastReceived: now, balances: map[string]int64{"t": 30, "u": 7}},
		{addr: "127.0.0.1:3", lastReceived: now, balances: map[string]int64{"t": 12}},
		{addr: "127.0.0.1:4", addedAt: now}, // a seed that was never heard
	} {
		m.Add(p.addr, "z0")
		p.conn = m.peers[p.addr].conn
		m.peers[p.addr] = p
	}
	if tokens, complete := m.KnownBalance("t"); tokens != 42 || !complete {
		t.Errorf("%d tokens, complete %v, want 42 and true", tokens, complete)
	}
	m.peers["127.0.0.1:3"].lastReceived = now.Add(-liveTimeout)
	if tokens, complete := m.KnownBalance("t"); tokens != 30 || complete {
		t.Errorf("%d tokens, complete %v while a peer is silent, want 30 and false", tokens, complete)
	}
}
