package front

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/discovery"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
)

// permitNet connects the permits of daemons. Each daemon ranks the others as its entry in rank says,
// the highest first; daemons that are down refuse connections, frozen ones give no answer, and older
// ones know nothing of cold endpoints.
type permitNet struct {
	daemons             map[string]*permits
	rank                map[string][]string
	down, frozen, older map[string]bool
}

// permitNode is one daemon's view of a permitNet.
type permitNode struct {
	net     *permitNet
	addr    string
	suspect map[string]bool
}

func (n *permitNode) HighestRanked(_ string, self bool) string {
	for _, addr := range n.net.rank[n.addr] {
		switch {
		case addr == n.addr && self:
			return ""
		case addr != n.addr && !n.suspect[addr]:
			return addr
		}
	}
	return ""
}

func (n *permitNode) Grantor(_, _ string, self bool) (string, bool) {
	addr := n.HighestRanked("", self)
	return addr, addr != "" || self
}

func (n *permitNode) GrantsAlone(_, _ string) bool { return n.HighestRanked("", true) == "" }

func (n *permitNode) RequestPermit(ctx context.Context, addr string, r *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	if n.net.down[addr] {
		n.suspect[addr] = true
		return nil, errors.New("no answer")
	}
	if n.net.frozen[addr] {
		<-ctx.Done()
	}
	if n.net.older[addr] {
		r = &meshpb.PermitRequest{Endpoint: r.Endpoint, Incarnation: r.Incarnation, Limit: r.Limit}
	}
	reply, err := n.net.daemons[addr].serve(ctx, r)
	if ctx.Err() != nil {
		reply, err = nil, ctx.Err()
	}
	if err != nil {
		n.suspect[addr] = true
	}
	return reply, err
}

func newPermitNet(addrs ...string) (*permitNet, map[string]*atomic.Bool) {
	n := &permitNet{
		daemons: make(map[string]*permits), rank: make(map[string][]string),
		down: make(map[string]bool), frozen: make(map[string]bool), older: make(map[string]bool),
	}
	stopping := make(map[string]*atomic.Bool)
	for _, addr := range addrs {
		stopping[addr] = &atomic.Bool{}
		node := &permitNode{net: n, addr: addr, suspect: make(map[string]bool)}
		n.daemons[addr] = newPermits(node, stopping[addr].Load, zerolog.Nop())
		n.rank[addr] = addrs
	}
	return n, stopping
}

var cappedEngine = balance.Endpoint{ID: "e", Incarnation: 1}

func limitOf(perSecond float64) balance.RateLimit {
	return balance.RateLimit{PerSecond: perSecond, StatedAt: time.Now()}
}

// takeFor lets daemons ask for permits for a time and returns the number granted.
func (n *permitNet) takeFor(t *testing.T, d time.Duration, l balance.RateLimit, addrs ...string) int {
	t.Helper()
	granted := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, addr := range addrs {
			if n.daemons[addr].acquire(t.Context(), cappedEngine, l).granted {
				granted++
			}
		}
	}
	return granted
}

// Guards against a limit that each of several daemons grants by itself: because their lists of peers
// differ, or because the first daemon stops or does not answer.
func TestOneDaemonGrantsThePermitsOfAnEndpoint(t *testing.T) {
	const limit, span = 20, time.Second
	for _, c := range []struct {
		name    string
		prepare func(n *permitNet, stopping map[string]*atomic.Bool)
	}{
		{"all agree", func(*permitNet, map[string]*atomic.Bool) {}},
		{"one does not know the first", func(n *permitNet, _ map[string]*atomic.Bool) { n.rank["c"] = []string{"b", "c"} }},
		{"the first is stopping", func(_ *permitNet, stopping map[string]*atomic.Bool) { stopping["a"].Store(true) }},
		{"the first gives no answer", func(n *permitNet, _ map[string]*atomic.Bool) { n.down["a"] = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, stopping := newPermitNet("a", "b", "c")
			c.prepare(n, stopping)
			asking := []string{"b", "c"}
			got := n.takeFor(t, span, limitOf(limit), asking...)
			if got > 2*limit || got < limit/2 {
				t.Errorf("%d permits in %v at a limit of %d a second", got, span, limit)
			}
		})
	}
}

// Guards against a daemon that goes on asking for permits after others were told that the limit has
// ended, and against one that takes the limit for ended before it is.
func TestEndOfALimitIsTold(t *testing.T) {
	n, _ := newPermitNet("a", "b", "c")
	l := limitOf(0.1)
	if r := n.daemons["b"].acquire(t.Context(), cappedEngine, l); r.granted || r.wait <= 0 || r.limit.PerSecond != 0.1 {
		t.Fatalf("got %+v at the begin of a limit, want a time to wait", r)
	}
	time.Sleep(5 * time.Millisecond)
	n.daemons["c"].report(t.Context(), cappedEngine, balance.RateLimit{StatedAt: time.Now()})
	if r := n.daemons["b"].acquire(t.Context(), cappedEngine, l); !r.granted || r.limit.PerSecond != 0 {
		t.Errorf("got %+v after another daemon was told that the limit has ended, want no limit", r)
	}
}

// Guards against a request that waits or is sent on where no daemon answers.
func TestNoPermitWithoutAnAnswer(t *testing.T) {
	n, stopping := newPermitNet("a", "b", "c")
	n.down["a"], n.down["b"] = true, true
	stopping["c"].Store(true)
	if r := n.daemons["c"].acquire(t.Context(), cappedEngine, limitOf(5)); r.granted || r.wait != permitRetryDelay {
		t.Errorf("got %+v, want no permit for %v", r, permitRetryDelay)
	}
}

// Guards against requests without a permit to an endpoint whose limit only other daemons have heard.
func TestLimitsAreToldToPeers(t *testing.T) {
	newTold := func() *pools {
		p := newPools("z", zerolog.Nop(), tally.NoopScope)
		p.applyChange(discovery.Put, "llm", cappedEngine)
		return p
	}
	limitAt := func(p *pools) float64 {
		c, ok := p.Choose("llm", balance.Request{})
		if !ok {
			t.Fatal("no endpoint")
		}
		p.Done("llm", c, false)
		return c.Limit.PerSecond
	}
	heard, told, third := newTold(), newTold(), newTold()
	choice := balance.Choice{Endpoint: cappedEngine}
	now := time.Now()
	heard.Announced("llm", choice, balance.Announcement{Limit: 2.5})
	told.merge(now, "heard", heard.loads(time.Now()))
	if got := limitAt(told); got != 2.5 {
		t.Errorf("limit %v at a daemon that was told by a peer, want 2.5", got)
	}
	if loads := told.loads(now); len(loads) != 0 {
		t.Errorf("hearsay is passed on: %v", loads)
	}
	third.merge(now, "heard", heard.loads(time.Now().Add(time.Minute)))
	if got := limitAt(third); got != 0 {
		t.Errorf("limit %v after a minute without a response, want none told", got)
	}
	time.Sleep(5 * time.Millisecond)
	heard.Announced("llm", choice, balance.Announcement{UnlimitedSince: time.Now()})
	told.merge(time.Now(), "heard", heard.loads(time.Now()))
	if got := limitAt(told); got != 0 {
		t.Errorf("limit %v after a peer told of its end, want none", got)
	}
}
