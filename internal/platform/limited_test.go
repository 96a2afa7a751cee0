package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Calls beyond the limit must fail or wait and must not reach the store, and
// reads must not consume the limit of the writes.
func TestLimited(t *testing.T) {
	for _, tc := range []struct {
		name        string
		wait        bool
		deadline    time.Duration
		want        platform.CallCounts
		wantElapsed time.Duration
	}{
		{"fail immediately", false, time.Hour, platform.CallCounts{Reads: 2, Writes: 4, Limited: 6}, 0},
		{"wait", true, time.Hour, platform.CallCounts{Reads: 6, Writes: 6}, 2500 * time.Millisecond},
		{"wait until the deadline", true, 1200 * time.Millisecond,
			platform.CallCounts{Reads: 4, Writes: 6, Limited: 2}, 1500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := memstore.New(nil)
				s := platform.NewLimitedStore(inner, platform.LimitOptions{
					ReadsPerSecond: 2, WritesPerSecond: 4, Wait: tc.wait,
				})
				ctx, cancel := context.WithTimeout(t.Context(), tc.deadline)
				defer cancel()
				start := time.Now()
				_, getErr := s.Get(ctx, "k")
				_, listErr := s.List(ctx, "")
				for range 4 {
					_, err := s.Instances(ctx)
					wantNilOr(t, err, platform.ErrLimited)
				}
				wantNilOr(t, getErr, platform.ErrNotFound)
				wantNilOr(t, listErr, nil)
				ctx = context.WithoutCancel(ctx)
				_, grantErr := s.GrantLease(ctx, time.Minute)
				_, swapErr := s.CompareAndSwap(ctx, platform.Write{Key: "k"})
				wantNilOr(t, grantErr, nil)
				wantNilOr(t, swapErr, nil)
				wantNilOr(t, s.KeepAlive(ctx, 1), nil)
				wantNilOr(t, s.Revoke(ctx, 1), nil)
				wantNilOr(t, s.Revoke(ctx, 1), platform.ErrLimited)
				wantNilOr(t, s.Delete(ctx, "k", 1), platform.ErrLimited)
				if diff := cmp.Diff(tc.want, s.Counts()); diff != "" {
					t.Errorf("counts (-want +got):\n%s", diff)
				}
				if got := inner.Calls(); got.Reads != tc.want.Reads || got.Writes != tc.want.Writes {
					t.Errorf("calls that reached the store: %+v", got)
				}
				if got := time.Since(start); got != tc.wantElapsed {
					t.Errorf("took %v, want %v", got, tc.wantElapsed)
				}
			})
		})
	}
}

// wantNilOr checks that err is nil or the allowed error.
func wantNilOr(t *testing.T, err, allowed error) {
	t.Helper()
	if err != nil && (allowed == nil || !errors.Is(err, allowed)) {
		t.Errorf("error %v, want none or %v", err, allowed)
	}
}

// A limited watch must deliver its last event, which carries the error, and
// must be counted as open until it ends.
func TestLimitedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memstore.New(nil)
		s := platform.NewLimitedStore(inner, platform.LimitOptions{})
		events, err := s.Watch(t.Context(), "", 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Counts(); got.Watches != 1 || got.OpenWatches != 1 {
			t.Errorf("counts %+v, want one open watch", got)
		}
		inner.SetFaults(memstore.Faults{Outage: true})
		if ev := <-events; !errors.Is(ev.Err, platform.ErrUnavailable) {
			t.Errorf("event %+v, want ErrUnavailable", ev)
		}
		synctest.Wait()
		if _, open := <-events; open || s.Counts().OpenWatches != 0 {
			t.Errorf("channel open %v, counts %+v after the end", open, s.Counts())
		}
	})
}
