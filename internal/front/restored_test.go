package front

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
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
