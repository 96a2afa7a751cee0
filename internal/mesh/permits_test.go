package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
)

// Guards against a request for a permit that is not answered by the daemon it was sent to, and
// against daemons of one fleet that rank different ones first for an endpoint.
func TestPermits(t *testing.T) {
	nodes := newNodes(t, 3, 1)
	first := make(map[string]bool)
	for _, n := range nodes {
		addr := n.HighestRanked("endpoint e", true)
		if addr == "" {
			addr = n.Addr
		}
		first[addr] = true
	}
	if len(first) != 1 {
		t.Errorf("daemons ranked first: %v, want one", first)
	}
	for endpoint, granted := range map[string]bool{"e": true, "f": false} {
		reply, err := nodes[0].RequestPermit(t.Context(), nodes[1].Addr, &meshpb.PermitRequest{Endpoint: endpoint})
		if err != nil || reply.Granted != granted || reply.WaitMs != 7 {
			t.Errorf("%s: %v, %v; want granted %v", endpoint, reply, err, granted)
		}
	}
	if _, err := nodes[0].RequestPermit(t.Context(), "127.0.0.1:1", &meshpb.PermitRequest{}); err == nil {
		t.Error("an unknown peer answered")
	}
}

// Guards against a daemon that does not answer and is asked for all permits of its endpoints.
func TestSilentDaemonIsNotRankedFirst(t *testing.T) {
	nodes := unservedMeshes(t, 5, 1)
	var n *node
	for _, n = range nodes {
		if n.HighestRanked("endpoint e", true) != "" {
			break
		}
	}
	first := n.HighestRanked("endpoint e", true)
	if _, err := n.RequestPermit(t.Context(), first, &meshpb.PermitRequest{Endpoint: "e"}); err == nil {
		t.Fatal("a peer that does not run answered")
	}
	if n.HighestRanked("endpoint e", true) == first {
		t.Errorf("%s is still ranked first", first)
	}
}

// Guards against a grantor that is frozen and costs each request for a permit its caller's deadline; against
// a deadline that was too short for an answer, or a link that was busy, that counts against the peer for more; and
// against a daemon that grants the permits in place of a peer that is passed over.
func TestFrozenGrantorIsPassedOver(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer frozen.Close()
	addr, n, key := frozen.Addr().String(), &node{}, "endpoint"
	n.Mesh = New(Options{ID: "d", Addr: "127.0.0.1:1", Domain: "z", State: n, Log: zerolog.Nop()})
	defer n.Close()
	heard := &meshpb.Digest{Id: "x", Address: addr, Domain: "z", StoreAgeMs: -1}
	n.merge(heard)
	for n.HighestRanked(key, true) != addr {
		key += "e"
	}
	for _, c := range []struct {
		deadline time.Duration
		asked    bool
	}{{5 * time.Millisecond, true}, {75 * time.Millisecond, false}} {
		ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
		if _, err := n.RequestPermit(ctx, addr, &meshpb.PermitRequest{Endpoint: "e"}); err == nil {
			t.Fatal("a frozen peer answered")
		}
		cancel()
		if grantor, _ := n.Grantor(key, "z", true); (grantor == addr) != c.asked {
			t.Errorf("after no answer in %v: asked again at once %v, want %v", c.deadline, !c.asked, c.asked)
		}
	}
	if n.HighestRanked(key, true) != addr || n.Count() != 2 || n.GrantsAlone(key, "z") {
		t.Error("a peer that was late with one permit lost its other roles, or is replaced while it is heard")
	}
	n.merge(heard)
	if grantor, _ := n.Grantor(key, "z", true); grantor != addr {
		t.Error("a peer is not asked after its digest")
	}
}

// Guards against a cold endpoint whose permits several daemons grant, or one of another failure domain, or a
// daemon that has heard nothing of the others yet; and against one whose permits nobody grants.
func TestOneGrantorInTheFailureDomain(t *testing.T) {
	nodes := newNodes(t, 5, 2) // three daemons of z0
	for _, domain := range []string{"z0", "z1", "without daemons"} {
		chosen, alone := make(map[string]bool), 0
		for _, n := range nodes {
			addr, ok := n.Grantor("endpoint e", domain, true)
			if addr == "" {
				addr = n.Addr
			}
			chosen[addr] = ok
			if n.GrantsAlone("endpoint e", domain) {
				alone++
				if chosen[n.Addr] = true; domain == "z0" && n.Domain != "z0" {
					t.Errorf("a daemon of %s grants permits of endpoints in %s", n.Domain, domain)
				}
			}
		}
		if len(chosen) != 1 || alone != 1 {
			t.Errorf("%s: daemons %v chosen, %d grant, want one", domain, chosen, alone)
		}
	}
	for _, n := range unservedMeshes(t, 5, 1) {
		if n.GrantsAlone("endpoint e", "z0") {
			t.Error("a daemon that has heard no other one grants permits")
		}
	}
}
