package front

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

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
