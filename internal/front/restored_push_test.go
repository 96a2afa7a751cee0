package front

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/platform"
	wire "github.com/azurehatch/azurehatch/platform"
)

// Guards against requests to an endpoint that has left: the copy still has its entry, and a
// list that another daemon passes on shows that the entry is gone again.
func TestListPassedOnRemovesHeldEntries(t *testing.T) {
	e := newEndpoints(wire.DecodeEndpoint, newPools("z", zerolog.Nop(), tally.NoopScope), zerolog.Nop())
	f := newFeed(wire.EndpointPrefix, nil, e, fixedFleet{}, func() {}, zerolog.Nop())
	f.stalePeriod = staleEntryPeriod
	f.replace(fromList, []platform.Item{entryItem("ready", 100, 3, 5)}, 5)
	f.apply([]platform.Event{{Item: platform.Item{Key: entryItem("", 0, 0, 0).Key, Revision: 9}, Deleted: true}})
	f.replace(fromList, []platform.Item{entryItem("ready", 100, 3, inEra(1, 5))}, inEra(1, 5))
	f.applyPushed(mesh.ChangeList{Listed: true}, inEra(1, 8))
	now := time.Now()
	e.tick(now.Add(3 * time.Second))
	f.admitHeld(now.Add(staleEntryPeriod + time.Second))
	if e.pools.hasEndpoints() {
		t.Error("an endpoint is used whose entry the newest list does not have")
	}
}
