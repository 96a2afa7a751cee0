package front

import (
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/routing"
)

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
