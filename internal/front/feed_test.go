package front

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// deafLog is a store whose watches hear nothing of a change, name a revision
// beyond it, and then lose the history.
type deafLog struct {
	polls int
	lists int
}

func (d *deafLog) Range(context.Context, string) ([]platform.Item, platform.Revision, error) {
	d.lists++
	if d.lists == 1 {
		return []platform.Item{{Key: "p/a", Value: []byte("1"), Revision: 1}}, 1, nil
	}
	return []platform.Item{{Key: "p/a", Value: []byte("2"), Revision: 5}}, 9, nil
}

func (d *deafLog) Poll(ctx context.Context, _ string, after platform.Revision, _ time.Duration) (platform.Changes, error) {
	d.polls++
	switch {
	case d.polls == 1:
		return platform.Changes{At: 7}, nil // the change at 5 is not heard
	case after < 7 && d.lists == 1:
		return platform.Changes{}, platform.ErrCompacted
	}
	<-ctx.Done()
	return platform.Changes{}, platform.ErrUnavailable
}

// recorder keeps the newest value.
type recorder struct{ value chan string }

func (r recorder) replace(_ time.Time, items []platform.Item, _ platform.Revision) {
	for _, i := range items {
		r.value <- string(i.Value)
	}
}
func (recorder) apply(time.Time, []platform.Event, platform.Revision) {}
func (recorder) away()                                                {}
func (recorder) back(time.Time)                                       {}

// Guards against a change that is skipped for good since a watch heard nothing
// of it and the store named a later revision.
func TestFeedDoesNotSkipWhatItMissed(t *testing.T) {
	r := recorder{value: make(chan string, 8)}
	f := newFeed("p/", &deafLog{}, r, func() int { return 1 }, func() {}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.run(ctx)
	for _, want := range []string{"1", "2"} {
		select {
		case got := <-r.value:
			if got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("%q did not come", want)
		}
	}
}

// Guards against a feed that copies from a peer at once, although its own watch
// would bring the change, or not at all.
func TestFeedCopiesWhenBehind(t *testing.T) {
	f := newFeed("p/", &deafLog{}, recorder{value: make(chan string, 8)}, func() int { return 1 }, func() {}, zerolog.Nop())
	f.replace([]platform.Item{{Key: "p/a", Revision: 3}}, 4)
	now := time.Unix(100, 0)
	for _, c := range []struct {
		after   time.Duration
		changed platform.Revision
		want    bool
	}{{0, 4, false}, {0, 6, false}, {fetchPause / 2, 6, false}, {fetchPause, 6, true}, {fetchPause, 6, false}, {3 * fetchPause, 4, false}} {
		if got := f.behind(now.Add(c.after), c.changed); got != c.want {
			t.Errorf("%v after the first notice, peer at %d: copy %v, want %v", c.after, c.changed, got, c.want)
		}
	}
}
