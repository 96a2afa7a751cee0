package front

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/routing"
	wire "github.com/azurehatch/azurehatch/platform"
)

// restore brings a copy of the store back and waits until all daemons have read it.
func (f *fleet) restore(c memstore.Copy) {
	f.t.Helper()
	if err := f.store.Restore(c); err != nil {
		f.t.Fatal(err)
	}
	f.eventually("all daemons have read the restored store", func() bool {
		for _, d := range f.daemons {
			if d.configFeed.currentRevision().Era() != f.store.Era() || d.endpointFeed.currentRevision().Era() != f.store.Era() {
				return false
			}
		}
		return true
	})
}

// serves reports whether all daemons serve a path.
func (f *fleet) serves(path string) bool {
	for i := range f.daemons {
		if f.send(i, path, true) != http.StatusOK {
			return false
		}
	}
	return true
}

// Guards against a store that is restored from an older copy and brings a former version of the
// configuration back: at running daemons, at one that starts meanwhile, and after two restores;
// and against a later change that is ignored since its revision is lower.
func TestRestoredStoreKeepsTheNewestConfiguration(t *testing.T) {
	f := newFleet(t, 1_000_000)
	copied := f.store.Copy()
	for n := range 5 { // so that the revisions of the copy are far behind
		f.put("servers/bad", n)
	}
	f.configure(2, 1_000_000, "/added/")
	f.eventually("the added route is served", func() bool { return f.serves("/added/x") })
	for range 2 {
		f.restore(copied)
		for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); {
			if !f.serves("/added/x") {
				t.Fatal("a route that was added is not served after the restore")
			}
		}
	}
	f.daemons[2].Close()
	f.start(2, false)
	f.eventually("a daemon that starts has the version that its peers know", func() bool { return f.send(2, "/added/x", true) == http.StatusOK })
	f.configure(2, 1_000_000, "/added/")
	f.configure(3, 1_000_000, "/third/")
	f.eventually("the next change is in force", func() bool { return f.serves("/third/x") })
}

// configItem is the item of a version of the configuration.
func configItem(version int, at platform.Revision) platform.Item {
	return platform.Item{Key: wire.ConfigKey, Revision: at, Value: fmt.Appendf(nil,
		`{"version":%d,"routes":[{"name":"r","host":"h","prefix":"/a/","route_type":"safe","service":"s"}],"services":[{"name":"s"}]}`, version)}
}

// Guards against a daemon that ignores the newer version in a peer's copy since its revision is
// of a former era, or returns to an older one by a list, a push or a copy.
func TestVersionsAcrossEras(t *testing.T) {
	c := &configuration{
		wire: Wire{ConfigKey: wire.ConfigKey, DecodeConfig: wire.DecodeConfig}, log: zerolog.Nop(), onInstall: func(*routing.Table) {},
	}
	f := newFeed(wire.ConfigPrefix, nil, c, fixedFleet{}, func() {}, zerolog.Nop())
	for n, step := range []struct {
		from    origin
		item    platform.Item
		at      platform.Revision
		version int64
		held    platform.Revision
	}{
		{fromList, configItem(4, inEra(1, 5)), inEra(1, 7), 4, inEra(1, 5)},
		{fromPeerCopy, configItem(6, 9), 9, 6, 9},
		{fromPeerCopy, configItem(3, 8), 8, 6, 9},
		{fromList, configItem(4, inEra(1, 5)), inEra(1, 8), 6, 9},
		{fromPush, configItem(5, inEra(1, 9)), inEra(1, 9), 6, 9},
		{fromPush, configItem(6, inEra(1, 10)), inEra(1, 10), 6, inEra(1, 10)},
		{fromList, configItem(6, inEra(2, 4)), inEra(2, 4), 6, inEra(2, 4)},
		{fromPush, configItem(7, inEra(2, 5)), inEra(2, 5), 7, inEra(2, 5)},
	} {
		if step.from == fromPush {
			f.applyPushed(mesh.ChangeList{Events: []platform.Event{{Item: step.item}}}, step.at)
		} else {
			f.replace(step.from, []platform.Item{step.item}, step.at)
		}
		items, _ := f.snapshot()
		if c.version() != step.version || len(items) != 1 || items[0].Revision != step.held {
			t.Errorf("step %d: version %d, items %v, want version %d by the item of revision %s", n, c.version(), items, step.version, step.held)
		}
	}
}

// entryItem is the item of an endpoint's entry.
func entryItem(state string, born, sequence int, at platform.Revision) platform.Item {
	return platform.Item{Key: wire.EndpointPrefix + "i-1", Revision: at, Value: fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":%q,"born":%d,"sequence":%d}`, state, born, sequence)}
}

// Guards against a restored store that brings back an endpoint that has left or is leaving, or
// takes one away that is not registered again yet.
func TestRestoredStoreAndEndpoints(t *testing.T) {
	ready := func(sequence int, at platform.Revision) platform.Item { return entryItem("ready", 100, sequence, at) }
	put := func(i platform.Item) platform.Event { return platform.Event{Item: i} }
	gone := platform.Event{Item: platform.Item{Key: ready(0, 0).Key, Revision: 9}, Deleted: true}
	rev := func(number platform.Revision) platform.Revision { return inEra(1, number) }
	for _, c := range []struct {
		name     string
		before   []platform.Event
		restored []platform.Item
		after    []platform.Event
		// used and usedLater tell whether requests go to the endpoint after the restore, and
		// once staleEntryPeriod is over.
		used, usedLater bool
	}{
		{"leaving, ready in the copy", []platform.Event{put(entryItem("draining", 100, 7, 9))}, []platform.Item{ready(3, rev(5))}, nil, false, false},
		{"leaving, and says so again", []platform.Event{put(entryItem("draining", 100, 7, 9))}, []platform.Item{ready(3, rev(5))},
			[]platform.Event{put(entryItem("draining", 100, 8, rev(6)))}, false, false},
		{"gone, in the copy", []platform.Event{gone}, []platform.Item{ready(3, rev(5))}, nil, false, true},
		{"gone, in the copy, and removed again", []platform.Event{gone}, []platform.Item{ready(3, rev(5))},
			[]platform.Event{{Item: platform.Item{Key: gone.Item.Key, Revision: rev(6)}, Deleted: true}}, false, false},
		{"gone, and registered again", []platform.Event{gone}, []platform.Item{ready(3, rev(5))}, []platform.Event{put(ready(4, rev(6)))}, true, true},
		{"restarted, former start in the copy", []platform.Event{put(entryItem("draining", 200, 1, 9))}, []platform.Item{ready(30, rev(5))}, nil, false, false},
		{"not in the copy", nil, nil, nil, true, false},
		{"not in the copy, and registered again", nil, nil, []platform.Event{put(ready(3, rev(6)))}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoints(wire.DecodeEndpoint, newPools("z", zerolog.Nop(), tally.NoopScope), zerolog.Nop())
			f := newFeed(wire.EndpointPrefix, nil, e, fixedFleet{}, func() {}, zerolog.Nop())
			f.stalePeriod = staleEntryPeriod
			f.replace(fromList, []platform.Item{ready(3, 5)}, 5)
			f.apply(c.before)
			f.replace(fromList, c.restored, rev(5))
			f.apply(c.after)
			now := time.Now()
			e.tick(now.Add(time.Second))
			if f.admitHeld(now.Add(time.Second)); e.pools.hasEndpoints() != c.used {
				t.Errorf("used after the restore: %v, want %v", !c.used, c.used)
			}
			e.tick(now.Add(3 * time.Second))
			if f.admitHeld(now.Add(staleEntryPeriod + time.Second)); e.pools.hasEndpoints() != c.usedLater {
				t.Errorf("used later: %v, want %v", !c.usedLater, c.usedLater)
			}
		})
	}
}

// Guards against a registration that a restored store has lost and its daemon does not write again,
// which a daemon that starts later would not find; and against writes of the others.
func TestRegistrationsAreWrittenAgain(t *testing.T) {
	f := newFleet(t, 1_000_000)
	kept, err := f.store.Get(t.Context(), registryPrefix+"d1")
	if err != nil {
		t.Fatal(err)
	}
	f.remove(registryPrefix + "d0")
	f.restore(f.store.Copy())
	f.eventually("the lost registration is back", func() bool {
		i, err := f.store.Get(t.Context(), registryPrefix+"d0")
		return err == nil && string(i.Value) == string(registration(f.daemons[0].meshListener.Addr().String(), "z0"))
	})
	i, err := f.store.Get(t.Context(), registryPrefix+"d1")
	if err != nil || i.Revision.Number() != kept.Revision.Number() {
		t.Errorf("a registration that was not lost is at revision %s, was at %s (%v)", i.Revision, kept.Revision, err)
	}
	for _, d := range f.daemons {
		if n := d.mesh.Count(); n != 3 {
			t.Errorf("a daemon knows %d daemons after the restore, want 3", n)
		}
	}
}

// refusingLog is a store that answers probes and lists, and refuses each poll.
type refusingLog struct {
	err          error
	lists, polls atomic.Int64
}

func (l *refusingLog) Range(context.Context, string) ([]platform.Item, platform.Revision, error) {
	l.lists.Add(1)
	return nil, 1, nil
}

func (*refusingLog) Probe(context.Context) error { return nil }

func (l *refusingLog) Poll(context.Context, string, platform.Revision, time.Duration) (platform.Changes, error) {
	l.polls.Add(1)
	return platform.Changes{}, l.err
}

// Guards against a feed that reads without a pause while the store refuses its polls: a restored
// store got 475 lists a second from seven daemons and refused writes above its rate.
func TestRefusedPollsAreSlowedDown(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
	}{{"history gone", platform.ErrCompacted}, {"above the rate", platform.ErrUnavailable}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			log := &refusingLog{err: c.err}
			f := newFeed("p/", log, recorder{}, fixedFleet{follows: true, daemons: 6, small: true}, func() {}, zerolog.Nop())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go f.run(ctx)
			pause.Sleep(ctx, 3*time.Second)
			if lists, polls := log.lists.Load(), log.polls.Load(); lists > 8 || polls > 8 {
				t.Errorf("%d lists and %d polls in 3 s, want at most 8 of each", lists, polls)
			}
		})
	}
}
