package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
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

// Guards against a peer that is asked again and again for tokens that it has given already or keeps for its
// own requests, and against taking the tokens that it keeps for used up.
func TestRepliesCorrectKnownHoldings(t *testing.T) {
	n := &node{}
	n.Mesh = New(Options{Addr: "127.0.0.1:1", Domain: "z0", State: n, Log: zerolog.Nop()})
	m := n.Mesh
	defer m.Close()
	for i := range wideFleetThreshold {
		m.Add(fmt.Sprintf("127.0.0.1:%d", i+2), "z0")
	}
	m.peers["127.0.0.1:2"].lastReceived, m.peers["127.0.0.1:2"].balances = time.Now(), map[string]int64{"t": 30}
	for _, c := range []struct{ requested, given, want int64 }{{10, 10, 20}, {15, 4, 0}} {
		m.recordTransfer("127.0.0.1:2", "t", c.requested, c.given)
		var known int64
		for _, k := range m.KnownHoldings("t") {
			known += k.Tokens
		}
		if known != c.want {
			t.Errorf("%d tokens known after %d of %d were given, want %d", known, c.given, c.requested, c.want)
		}
	}
	if tokens, _ := m.KnownBalance("t"); tokens != 16 {
		t.Errorf("%d tokens elsewhere, want 16, which the peer has kept", tokens)
	}
	m.merge(&meshpb.Digest{Id: "p", Address: "127.0.0.1:2", Domain: "z0", Balances: map[string]int64{"t": 16}, StoreAgeMs: -1})
	if known := m.KnownHoldings("t"); len(known) != 1 || known[0].Tokens != 16 {
		t.Errorf("known holdings %+v after the peer's next digest, want 16 tokens", known)
	}
}
