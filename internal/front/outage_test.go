package front

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
	wire "github.com/azurehatch/azurehatch/platform"
)

// lapsedEntry is an endpoint's entry that removalLog removes.
var lapsedEntry = entryItem("ready", 100, 3, 5)

var lapsedRemoval = platform.Event{Item: platform.Item{Key: lapsedEntry.Key, Revision: 9}, Deleted: true}

// removalLog is a store with the entry of one endpoint. It can be read unless it is away. The
// entry is gone once the store was away.
type removalLog struct{ away, wasAway atomic.Bool }

func (l *removalLog) setAway(away bool) {
	l.away.Store(away)
	if away {
		l.wasAway.Store(true)
	}
}

func (l *removalLog) Range(context.Context, string) ([]platform.Item, platform.Revision, error) {
	return []platform.Item{lapsedEntry}, 5, nil
}

func (l *removalLog) Probe(context.Context) error {
	if l.away.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

func (l *removalLog) Poll(
	ctx context.Context, _ string, after platform.Revision, wait time.Duration,
) (platform.Changes, error) {
	if after < lapsedRemoval.Item.Revision && l.wasAway.Load() && !l.away.Load() {
		return platform.Changes{Events: []platform.Event{lapsedRemoval}, Revision: lapsedRemoval.Item.Revision}, nil
	}
	pause.Sleep(ctx, min(wait, 20*time.Millisecond))
	if l.away.Load() {
		return platform.Changes{}, platform.ErrUnavailable
	}
	return platform.Changes{Revision: after}, nil
}

// startEndpointFeed runs a feed of a store's endpoints until the test ends. It returns once the
// feed has an endpoint.
func startEndpointFeed(t *testing.T, log platform.ChangeLog, fleet fixedFleet) (*feed, *endpoints) {
	t.Helper()
	e := newEndpoints(wire.DecodeEndpoint, newPools("z", zerolog.Nop(), tally.NoopScope), zerolog.Nop())
	f := newFeed(wire.EndpointPrefix, log, e, fleet, func() {}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	awaitCondition(t, "the endpoint is known", e.pools.hasEndpoints)
	return f, e
}

// loseStore makes the store unreachable for a feed that does not read it by itself.
func loseStore(f *feed) {
	f.recordFailure(time.Now().Add(-5*time.Second), platform.ErrUnavailable)
	f.recordFailure(time.Now(), platform.ErrUnavailable)
}

// pushOfRemoval is the message of a follower that has read the removal of lapsedEntry.
func pushOfRemoval(t *testing.T, storeRegainedMs int64) *meshpb.Changes {
	t.Helper()
	packed, err := mesh.Pack(mesh.ChangeList{Events: []platform.Event{lapsedRemoval}})
	if err != nil {
		t.Fatal(err)
	}
	return &meshpb.Changes{
		Prefix: wire.EndpointPrefix, Since: 5, Revision: int64(lapsedRemoval.Item.Revision), BackAgeMs: storeRegainedMs, Packed: packed,
	}
}

// Guards against receivers that drop endpoints which have only to register again after an outage.
func TestFirstChangesAfterAnOutageTellOfTheReturn(t *testing.T) {
	store := &removalLog{}
	pushed := make(chan *meshpb.Changes, 8)
	startEndpointFeed(t, store, fixedFleet{follows: true, daemons: 63, broadcast: pushed})
	store.setAway(true)
	time.Sleep(storeUnreachableAfter + 500*time.Millisecond)
	store.setAway(false)
	select {
	case c := <-pushed:
		if c.BackAgeMs < 0 || c.BackAgeMs > 500 {
			t.Errorf("the store came back %d ms before the message, want up to 500 ms", c.BackAgeMs)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("the removal was not passed on")
	}
}

// Guards against requests to an endpoint that has left, from a daemon that the store turns away.
func TestRemovalThatAPeerReadIsAppliedWhileTheStoreIsLost(t *testing.T) {
	f, e := startEndpointFeed(t, &removalLog{}, fixedFleet{daemons: 63})
	loseStore(f)
	f.receive(time.Now(), pushOfRemoval(t, -1))
	if e.pools.hasEndpoints() {
		t.Error("the endpoint is used after a peer has read its removal from a store that was never away")
	}
}

// Guards against a grace period that is missing, or never ends, at a daemon that the store turns away.
func TestRemovalAfterAnOutageHasItsGracePeriodWhileTheStoreIsLost(t *testing.T) {
	f, e := startEndpointFeed(t, &removalLog{}, fixedFleet{daemons: 63})
	loseStore(f)
	f.receive(time.Now(), pushOfRemoval(t, 200))
	if !e.pools.hasEndpoints() {
		t.Error("the endpoint was dropped 0.2 s after the store's return")
	}
	e.tick(time.Now().Add(2500 * time.Millisecond))
	if e.pools.hasEndpoints() {
		t.Error("the endpoint is used 2.7 s after the store's return")
	}
}

// Guards against removals that all daemons defer because the store had turned one of them away.
func TestReturnOfAStoreThatWasNotAwayIsNotTold(t *testing.T) {
	f, _ := startEndpointFeed(t, &removalLog{}, fixedFleet{daemons: 63})
	loseStore(f)
	f.receive(time.Now(), pushOfRemoval(t, -1))
	f.recordContact(time.Now())
	if age := f.regainedAge(time.Now()); age >= 0 {
		t.Errorf("a return of the store %d ms ago is told, want none: a peer has read it meanwhile", age)
	}
}

// Guards against a grace period that daemons prolong which notice the store's return late.
func TestReturnOfAStoreIsToldAsThePeerThatSawItFirst(t *testing.T) {
	f, _ := startEndpointFeed(t, &removalLog{}, fixedFleet{daemons: 63})
	loseStore(f)
	f.receive(time.Now(), pushOfRemoval(t, 1500))
	f.recordContact(time.Now())
	if age := f.regainedAge(time.Now()); age < 1500 || age > 2500 {
		t.Errorf("the store came back %d ms ago, want 1,500 ms as the peer said", age)
	}
}
