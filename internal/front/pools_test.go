package front

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/discovery"
)

// Guards against operators who can't see why endpoints of a service get no requests.
func TestGaugesOfEndpointsThatWantNoRequests(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	p := newPools("z", zerolog.Nop(), scope)
	for _, id := range []string{"a", "b", "c", "d"} {
		p.applyChange(discovery.Put, "llm", balance.Endpoint{ID: id, Slots: 4, Leaving: id == "a"})
	}
	announce := func(id string, a balance.Announcement) {
		p.Announced("llm", balance.Choice{Endpoint: balance.Endpoint{ID: id}}, a)
	}
	announce("b", balance.Announcement{Leaving: true})
	announce("c", balance.Announcement{RetryAfter: time.Minute})
	for _, step := range []struct {
		at                       time.Time
		wantLeaving, wantPausing float64
	}{{time.Now(), 2, 1}, {time.Now().Add(time.Hour), 2, 0}} {
		p.updateGauges(step.at)
		gauges := scope.Snapshot().Gauges()
		leaving, paused := gauges["endpoints_leaving+service=llm"].Value(), gauges["endpoints_paused+service=llm"].Value()
		if leaving != step.wantLeaving || paused != step.wantPausing {
			t.Errorf("%v leave and %v want no requests, want %v and %v", leaving, paused, step.wantLeaving, step.wantPausing)
		}
	}
}

// Guards against usual times of endpoints that peers lose, or take for those of another life, on their way.
func TestUsualTimesReachPeersOfTheSameLife(t *testing.T) {
	newPool := func(incarnation int64) *pools {
		p := newPools("z", zerolog.Nop(), tally.NoopScope)
		p.applyChange(discovery.Put, "llm", balance.Endpoint{ID: "e", Slots: 4, Incarnation: incarnation})
		return p
	}
	sender := newPool(2)
	if _, ok := sender.Choose("llm", balance.Request{}); !ok {
		t.Fatal("no endpoint chosen")
	}
	sender.Reported("llm", "e", balance.LoadReport{Slots: 4, Slowdown: 2})
	for incarnation, want := range map[int64]float64{1: 1, 2: 2, 3: 1} {
		p := newPool(incarnation)
		p.merge(time.Now(), "sender", sender.loads(time.Now()))
		p.Choose("llm", balance.Request{})
		if got := p.pool("llm").SlowEndpoints().Median; got != want {
			t.Errorf("usual time %v at incarnation %d, want %v", got, incarnation, want)
		}
	}
}
