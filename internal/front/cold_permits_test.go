package front

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/discovery"
	"github.com/azurehatch/azurehatch/internal/pace"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// Guards against a cold endpoint that gets more than it bears, or nothing, whether its first daemon
// answers, is not known to one of the others, stops, is lost, or runs older code, which grants each request.
func TestOneDaemonGrantsThePermitsOfAColdEndpoint(t *testing.T) {
	const rate, span = 50, 400 * time.Millisecond
	for name, c := range map[string]struct {
		prepare func(n *permitNet)
		granted bool
	}{
		"all agree":                      {func(*permitNet) {}, true},
		"one does not know the first":    {func(n *permitNet) { n.rank["c"] = []string{"b", "c"} }, true},
		"the first gives no answer":      {func(n *permitNet) { n.down["a"] = true }, true},
		"the first runs older code":      {func(n *permitNet) { n.older["a"] = true }, false},
		"the registered are not known":   {func(n *permitNet) { n.daemons["a"].joined = make(chan struct{}) }, false},
		"each knows only lower ranked":   {func(n *permitNet) { n.rank = map[string][]string{"b": {"c", "b"}, "c": {"a", "c"}, "a": {"b", "a"}} }, false},
		"the asked one passes it on":     {func(n *permitNet) { n.rank["c"] = []string{"b", "c"}; n.rank["b"] = []string{"a", "b"} }, true},
		"asked by the first one as well": {func(n *permitNet) { n.rank["b"] = []string{"a", "b"} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, _ := newPermitNet("a", "b", "c")
				c.prepare(n)
				granted := 0
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
					for _, addr := range []string{"b", "c"} {
						if ok, wait := n.daemons[addr].acquireCold(t.Context(), cappedEngine, rate); ok {
							granted++
						} else if wait <= 0 {
							t.Fatalf("denied for %v", wait)
						}
					}
				}
				if most := int(rate*span.Seconds()) + 1; granted > most || (granted > most/2) != c.granted {
					t.Errorf("%d permits in %v at %d a second, want some: %v", granted, span, rate, c.granted)
				}
			})
		})
	}
}

// Guards against a daemon that passes a request on to a frozen one and is taken for it, so that all daemons of the
// failure domain are passed over one after another.
func TestForwarderOfAFrozenGrantorAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newPermitNet("a", "b", "c")
		n.frozen["a"], n.rank["c"] = true, []string{"b", "c"}
		start := time.Now()
		if granted, _ := n.daemons["c"].acquireCold(t.Context(), cappedEngine, 50); granted || time.Since(start) >= maxColdPermitTime {
			t.Errorf("granted %v after %v, want a denial within %v", granted, time.Since(start), maxColdPermitTime)
		}
		for addr, want := range map[string]map[string]bool{"b": {"a": true}, "c": {}} {
			if diff := cmp.Diff(want, n.daemons[addr].peers.(*permitNode).suspect); diff != "" {
				t.Errorf("passed over by %s (-want +got):\n%s", addr, diff)
			}
		}
	})
}

// Guards against answers of a paced endpoint that the daemon that sets the pace never hears of, and
// against a pace that its daemons don't end.
func TestPaceOfTheFleet(t *testing.T) {
	n, _ := newPermitNet("a", "b")
	newPaced := func(addr string) *pools {
		p := newPools("z", zerolog.Nop(), tally.NoopScope)
		p.permits = n.daemons[addr]
		p.limits["s"] = balance.Limits{Paced: true}
		e := balance.Endpoint{ID: "e", Slots: 8, Incarnation: 2}
		p.applyChange(discovery.Put, "s", e)
		p.recordEntry("s", e, balance.Report{})
		return p
	}
	first, second := newPaced("a"), newPaced("b")
	send := func(p *pools) (balance.Choice, bool) {
		c, ok := p.Choose("s", balance.Request{Objective: time.Second})
		return c, ok && p.Permit(t.Context(), "s", c, balance.Request{})
	}
	c, ok := send(second)
	if !ok || !c.Paced {
		t.Fatalf("first request: sent %v, paced %v", ok, c.Paced)
	}
	if _, ok := send(first); ok {
		t.Error("two daemons send a request to an endpoint that has not answered one")
	}
	second.Started("s", c, 10*time.Millisecond)
	second.Done("s", c, true)
	time.Sleep(250 * time.Millisecond)
	if _, ok := send(first); !ok {
		t.Error("the answer is not known to the daemon that sets the pace")
	}
	key := pace.Key{Endpoint: "e", Incarnation: 2}
	n.daemons["a"].pace.Answered(time.Now(), key, pace.Answers{OnTime: 1})
	time.Sleep(1100 * time.Millisecond)
	if c, ok := send(second); !ok || second.pool("s").Paced(time.Now(), c) {
		t.Error("the end of the pace is not known")
	}
	n.down["a"] = true
	if c, ok := send(newPaced("b")); !ok || !c.Paced {
		t.Error("no request is sent where the daemon that sets the pace gives no answer")
	}
}

// Guards against a cold endpoint that gets requests without a bound where the bound leaves none for it: a peer
// takes a request without a rate for one to an endpoint without a limit, and grants it.
func TestNoPermitOfAColdEndpointWithoutARate(t *testing.T) {
	n, _ := newPermitNet("a", "b")
	for _, addr := range []string{"a", "b"} {
		if granted, wait := n.daemons[addr].acquireCold(t.Context(), cappedEngine, 0); granted || wait <= 0 {
			t.Errorf("daemon %s: granted %v, wait %v at a rate of 0; want a denial with a time to wait", addr, granted, wait)
		}
	}
}

// Guards against settings that are read again and leave the former bound of cold endpoints in force.
func TestReloadAppliesTheBoundOfColdEndpoints(t *testing.T) {
	d := newFleet(t, 1000).daemons[0]
	d.pools.configure([]routing.Service{{Name: "llm", ColdPeriod: time.Minute, ColdRate: 10}})
	s := d.frontSettings
	s.Bounds.ColdRatio, s.Bounds.ColdSlack = 0.1, 1
	if d.Reload(s); d.pools.coldGrantRate("llm") != 0 {
		t.Errorf("a daemon grants %v requests a second to a cold endpoint, want none at 2 for all daemons", d.pools.coldGrantRate("llm"))
	}
}
