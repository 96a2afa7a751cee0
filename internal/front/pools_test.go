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
