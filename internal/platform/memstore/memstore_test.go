package memstore

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// clock is a manual clock.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func newStore() (*Store, *clock) {
	c := &clock{t: time.Unix(1000, 0)}
	return New(c.now), c
}

// Guards against a lost update: the second write with the same expected revision
// must return a conflict that contains the first writer's value.
func TestCompareAndSwapConflict(t *testing.T) {
	s, _ := newStore()
	ctx := context.Background()
	if _, err := s.CompareAndSwap(ctx, platform.Write{Key: "k", Value: []byte("a"), OpID: "1"}); err != nil {
		t.Fatal(err)
	}
	_, err := s.CompareAndSwap(ctx, platform.Write{Key: "k", Value: []byte("b"), OpID: "2"})
	c, ok := platform.AsConflict(err)
	if !ok {
		t.Fatalf("got %v, want a conflict", err)
	}
	want := platform.Item{Key: "k", Value: []byte("a"), Revision: 1, OpID: "1"}
	if diff := cmp.Diff(want, c.Actual); diff != "" {
		t.Errorf("conflicting item (-want +got):\n%s", diff)
	}
}

// Guards against a write that is applied twice: when the response was lost, a
// retry with the same operation ID must succeed without a second write.
func TestRetryAfterLostResponse(t *testing.T) {
	s, _ := newStore()
	ctx := context.Background()
	s.SetFaults(Faults{LoseAnswers: 1})
	w := platform.Write{Key: "k", Value: []byte("a"), OpID: "1"}
	if _, err := s.CompareAndSwap(ctx, w); !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want ErrOutcomeUnknown", err)
	}
	item, err := s.CompareAndSwap(ctx, w)
	if err != nil || item.Revision != 1 {
		t.Fatalf("retry: item %+v, error %v, want revision 1", item, err)
	}
}

// Guards against a key that remains after its lease has expired.
func TestLeaseExpiryDeletesKeys(t *testing.T) {
	s, c := newStore()
	ctx := context.Background()
	id, err := s.GrantLease(ctx, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(ctx, platform.Write{Key: "duty/a", Lease: id}); err != nil {
		t.Fatal(err)
	}
	c.t = c.t.Add(time.Second)
	if _, err := s.Get(ctx, "duty/a"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("got %v, want ErrNotFound", err)
	}
	if err := s.KeepAlive(ctx, id); !errors.Is(err, platform.ErrLeaseExpired) {
		t.Fatalf("got %v, want ErrLeaseExpired", err)
	}
}

// Guards against missed changes: a watch that starts at an earlier revision must
// replay the events since then, and an outage must end it with an error so that
// the watcher reads the keys again.
func TestWatchReplaysAndBreaks(t *testing.T) {
	s, _ := newStore()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, key := range []string{"a/1", "b/1", "a/2"} {
		if _, err := s.CompareAndSwap(ctx, platform.Write{Key: key}); err != nil {
			t.Fatal(err)
		}
	}
	ch, err := s.Watch(ctx, "a/", 1)
	if err != nil {
		t.Fatal(err)
	}
	if ev := <-ch; ev.Item.Key != "a/2" {
		t.Fatalf("got key %q, want a/2", ev.Item.Key)
	}
	s.SetFaults(Faults{Outage: true})
	if ev := <-ch; !errors.Is(ev.Err, platform.ErrUnavailable) {
		t.Fatalf("got event %+v, want ErrUnavailable", ev)
	}
}

// Guards against an instance list without lag: a fake whose list is always up to
// date would hide faults of the code that reads it.
func TestInstanceListLags(t *testing.T) {
	s, c := newStore()
	s.SetFaults(Faults{ListLagMillis: 2000})
	s.SetInstance(platform.Instance{ID: "d1", State: platform.InstanceLive})
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {2 * time.Second, 1}} {
		c.t = c.t.Add(step.after)
		list, err := s.Instances(context.Background())
		if err != nil || len(list) != step.want {
			t.Errorf("after %v: %d instances, error %v, want %d", step.after, len(list), err, step.want)
		}
	}
}
