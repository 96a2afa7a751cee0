package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/azurehatch/azurehatch/internal/failure"
)

// LimitOptions set the call limits of one daemon.
type LimitOptions struct {
	// ReadsPerSecond limits Get, List, Instances and the start of a watch; 0
	// means no limit.
	ReadsPerSecond float64
	// WritesPerSecond limits the other calls; 0 means no limit.
	WritesPerSecond float64
	// Burst is the burst size of each of the two limits, in calls; 0 means the
	// calls of one second, at least 1.
	Burst int
	// Wait makes a call above the limit wait until the limit admits it, within
	// the context's deadline, instead of failing immediately with ErrLimited.
	Wait bool
}

// CallCounts counts a daemon's calls.
type CallCounts struct {
	// Reads, Writes and Watches count the calls passed to the store. A call that
	// the limit refused is counted in Limited only.
	Reads, Writes, Watches, Limited int64
	// OpenWatches is the number of watches that are currently open.
	OpenWatches int64
}

// LimitedStore is a Store that counts the calls of one daemon and limits their
// rate, so that one daemon cannot exhaust the call capacity of all.
type LimitedStore struct {
	store         Store
	wait          bool
	reads, writes *rate.Limiter

	mu     sync.Mutex
	counts CallCounts
}

var _ Store = (*LimitedStore)(nil)

// NewLimitedStore returns a Store that forwards calls to store within the limits.
func NewLimitedStore(store Store, o LimitOptions) *LimitedStore {
	return &LimitedStore{
		store:  store,
		wait:   o.Wait,
		reads:  newLimiter(o.ReadsPerSecond, o.Burst),
		writes: newLimiter(o.WritesPerSecond, o.Burst),
	}
}

func newLimiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if burst <= 0 {
		burst = max(1, int(perSecond))
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Counts returns the number of calls since the store was created.
func (l *LimitedStore) Counts() CallCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *LimitedStore) addCount(counter *int64, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter += n
}

// admit applies the rate limit to a call and counts it.
func (l *LimitedStore) admit(ctx context.Context, step string, limiter *rate.Limiter, counter *int64) error {
	// Wait fails immediately if the limiter would admit the call after the deadline.
	if l.wait && limiter.Wait(ctx) != nil || !l.wait && !limiter.Allow() {
		l.addCount(&l.counts.Limited, 1)
		return failure.At(ErrLimited, step, "")
	}
	l.addCount(counter, 1)
	return nil
}

// Get implements Store.
func (l *LimitedStore) Get(ctx context.Context, key string) (Item, error) {
	if err := l.admit(ctx, "platform.get", l.reads, &l.counts.Reads); err != nil {
		return Item{}, err
	}
	return l.store.Get(ctx, key)
}

// List implements Store.
func (l *LimitedStore) List(ctx context.Context, prefix string) ([]Item, error) {
	if err := l.admit(ctx, "platform.list", l.reads, &l.counts.Reads); err != nil {
		return nil, err
	}
	return l.store.List(ctx, prefix)
}

// CompareAndSwap implements Store.
func (l *LimitedStore) CompareAndSwap(ctx context.Context, w Write) (Item, error) {
	if err := l.admit(ctx, "platform.compare-and-swap", l.writes, &l.counts.Writes); err != nil {
		return Item{}, err
	}
	return l.store.CompareAndSwap(ctx, w)
}

// Delete implements Store.
func (l *LimitedStore) Delete(ctx context.Context, key string, expected Revision) error {
	if err := l.admit(ctx, "platform.delete", l.writes, &l.counts.Writes); err != nil {
		return err
	}
	return l.store.Delete(ctx, key, expected)
}

// Watch implements Store.
func (l *LimitedStore) Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error) {
	if err := l.admit(ctx, "platform.watch", l.reads, &l.counts.Watches); err != nil {
		return nil, err
	}
	events, err := l.store.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	l.addCount(&l.counts.OpenWatches, 1)
	out := make(chan Event)
	go func() {
		defer close(out)
		defer l.addCount(&l.counts.OpenWatches, -1)
		for ev := range events {
			select {
			case out <- ev:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// GrantLease implements Store.
func (l *LimitedStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := l.admit(ctx, "platform.grant-lease", l.writes, &l.counts.Writes); err != nil {
		return 0, err
	}
	return l.store.GrantLease(ctx, ttl)
}

// KeepAlive implements Store.
func (l *LimitedStore) KeepAlive(ctx context.Context, id LeaseID) error {
	if err := l.admit(ctx, "platform.keep-alive", l.writes, &l.counts.Writes); err != nil {
		return err
	}
	return l.store.KeepAlive(ctx, id)
}

// Revoke implements Store.
func (l *LimitedStore) Revoke(ctx context.Context, id LeaseID) error {
	if err := l.admit(ctx, "platform.revoke-lease", l.writes, &l.counts.Writes); err != nil {
		return err
	}
	return l.store.Revoke(ctx, id)
}

// Instances implements Store.
func (l *LimitedStore) Instances(ctx context.Context) ([]Instance, error) {
	if err := l.admit(ctx, "platform.instances", l.reads, &l.counts.Reads); err != nil {
		return nil, err
	}
	return l.store.Instances(ctx)
}
