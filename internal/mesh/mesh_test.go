package mesh

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one daemon of a test.
type node struct {
	*Mesh
	mu sync.Mutex
	// storeUnreachable is true if the store does not answer this daemon.
	storeUnreachable bool
	pushed           []*meshpb.Changes
	// remoteLoads counts digests with loads from other failure domains.
	remoteLoads int
	transferred int64
}

func (n *node) Digest(loads bool) *meshpb.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := &meshpb.Digest{Follows: n.FollowsStore(), Balances: map[string]int64{"t": 100}, BackAgeMs: -1}
	if n.storeUnreachable {
		d.StoreAgeMs = 2 * storeContactTimeout.Milliseconds()
	}
	if loads {
		d.Loads = []*meshpb.EndpointLoad{{Service: "s", Endpoint: "e", Requests: 1}}
	}
	return d
}

func (n *node) Merge(d *meshpb.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d.Domain != n.Domain && len(d.Loads) > 0 {
		n.remoteLoads++
	}
}

func (n *node) TransferTokens(_ context.Context, _ string, tokens int64) escrow.Transfer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transferred += tokens
	return escrow.Transfer{Tokens: tokens, BudgetExhausted: true}
}

func (n *node) Items(prefix string) ([]platform.Item, platform.Revision) {
	return []platform.Item{{Key: prefix + "a", Value: []byte("1"), Revision: 3}}, 4
}

func (n *node) Pushed(c *meshpb.Changes) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pushed = append(n.pushed, c)
}

// newNodes starts daemons, assigned to failure domains in turn. Each knows the first.
func newNodes(t *testing.T, count, domains int) []*node {
	t.Helper()
	var nodes []*node
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &node{}
		n.Mesh = New(Options{
			ID: fmt.Sprint("d-", i), Addr: l.Addr().String(), Domain: fmt.Sprint("z", i%domains), State: n, Log: zerolog.Nop(),
		})
		if i > 0 {
			n.Add(nodes[0].Addr)
		}
		n.Serve(l)
		nodes = append(nodes, n)
	}
	t.Cleanup(func() {
		for _, n := range nodes {
			n.Close()
		}
	})
	eventually(t, "all daemons know each other", func() bool {
		for _, n := range nodes {
			if n.Count() != count {
				return false
			}
		}
		return true
	})
	return nodes
}

func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !check(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 30 s: %s", condition)
		}
	}
}

// followersIn returns the daemons of a failure domain that follow the store.
func followersIn(nodes []*node, domain string) []*node {
	var list []*node
	for _, n := range nodes {
		if n.Domain == domain && n.FollowsStore() {
			list = append(list, n)
		}
	}
	return list
}

// Guards against a small fleet in which a daemon relies on others to follow the store or
// asks peers for tokens before the store, and against a retried token request that takes
// tokens twice.
func TestSmallFleet(t *testing.T) {
	nodes := newNodes(t, 3, 3)
	for _, n := range nodes {
		if !n.FollowsStore() {
			t.Errorf("%s does not follow the store", n.ID)
		}
	}
	if l := nodes[0].TransferSources("t"); len(l) > 0 || !nodes[0].Owns("t") || nodes[0].Holders() != 3 ||
		nodes[0].Followers() != 3 {
		t.Errorf("sources %v, owns %v, %d holders; in a small fleet each daemon draws from the store itself",
			l, nodes[0].Owns("t"), nodes[0].Holders())
	}
	if l := nodes[0].PeersByTokens("t"); len(l) != 2 {
		t.Errorf("peers by tokens %v, want both peers", l)
	}
	got, err := nodes[0].RequestTokens(t.Context(), nodes[1].Addr, "id", "t", 7)
	if err != nil || got.Tokens != 7 || !got.BudgetExhausted || got.StoreUnreachable {
		t.Errorf("got %+v, %v", got, err)
	}
	r := &meshpb.TakeRequest{Id: "once", Account: "t", Tokens: 5}
	for range 2 {
		if reply, err := nodes[1].TakeTokens(t.Context(), r); err != nil || reply.Tokens != 5 {
			t.Errorf("reply %v, %v", reply, err)
		}
	}
	if nodes[1].transferred != 12 {
		t.Errorf("%d tokens transferred, want 12: a request with the same id counts once", nodes[1].transferred)
	}
	items, at, err := nodes[0].FetchItems(nodes[2].Addr, "p/")
	if err != nil || at != 4 || len(items) != 1 || items[0].Revision != 3 {
		t.Errorf("items %v at %d, %v", items, at, err)
	}
}

// Guards against a wide fleet in which all daemons follow the store or none does, also
// after a follower loses contact with the store or stops, and against changes that do
// not reach all daemons of the failure domain.
func TestWideFleet(t *testing.T) {
	nodes := newNodes(t, wideFleetThreshold+4, 2)
	for _, domain := range []string{"z0", "z1"} {
		eventually(t, "two daemons follow the store in "+domain, func() bool {
			return len(followersIn(nodes, domain)) == followersPerDomain
		})
	}
	disconnected := followersIn(nodes, "z0")[0]
	disconnected.mu.Lock()
	disconnected.storeUnreachable = true
	disconnected.mu.Unlock()
	eventually(t, "another daemon follows in addition to the one that the store does not answer", func() bool {
		list := followersIn(nodes, "z0")
		return len(list) == followersPerDomain+1
	})
	closed := followersIn(nodes, "z1")[0]
	closed.Close()
	eventually(t, "another daemon follows in place of the closed one", func() bool {
		n := 0
		for _, f := range followersIn(nodes, "z1") {
			if f != closed {
				n++
			}
		}
		return n == followersPerDomain
	})
	sender := followersIn(nodes, "z0")[1]
	sender.Broadcast(&meshpb.Changes{Prefix: "p/", Revision: 5})
	for _, n := range nodes {
		if n == sender || n.Domain != sender.Domain {
			continue
		}
		eventually(t, n.ID+" receives the change", func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.pushed) == 1
		})
	}
	eventually(t, "one daemon of each domain owns an account", func() bool {
		owners := map[string]int{}
		for _, n := range nodes {
			if n != closed && n.Owns("t") {
				owners[n.Domain]++
			}
		}
		return owners["z0"] == 1 && owners["z1"] == 1 && sender.Holders() == 2 && sender.Followers() == 2*followersPerDomain
	})
}

// Guards against packed changes that are decoded wrongly and against malformed ones that
// crash a daemon.
func TestPackedChanges(t *testing.T) {
	events := []platform.Event{
		{Item: platform.Item{Key: "p/a", Value: []byte("1"), Revision: 7}},
		{Item: platform.Item{Key: "p/b", Revision: 8}, Deleted: true},
	}
	packed, err := Pack(events)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unpack(packed)
	if err != nil || len(got) != 2 || got[0].Item.Key != "p/a" || string(got[0].Item.Value) != "1" || got[0].Item.Revision != 7 ||
		got[0].Deleted || got[1].Item.Key != "p/b" || !got[1].Deleted {
		t.Errorf("got %+v, %v, want %+v", got, err, events)
	}
	for _, bad := range [][]byte{nil, []byte("x"), packed[:len(packed)/2]} {
		if _, err := Unpack(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
