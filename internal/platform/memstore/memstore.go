// Package memstore is an in-memory platform.Store whose injected faults can be
// changed at run time. Tests use it directly, and the stand-in platform serves it
// over HTTP.
package memstore

import (
	"context"
	"sync"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// watchBufferEvents is the number of events buffered for a slow watcher. When the
// buffer is full, the watch ends with ErrUnavailable.
const watchBufferEvents = 1024

// Store is an in-memory platform.Store. The zero value is not usable; see New.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	revision platform.Revision
	// historyFrom is the revision after which the history is complete.
	historyFrom     platform.Revision
	items           map[string]entry
	history         []platform.Event
	leases          map[platform.LeaseID]*lease
	lastLeaseID     platform.LeaseID
	watchers        map[*watcher]struct{}
	instanceChanges []instanceChange
	faults          Faults
	calls           Calls
	callLimiter     tokenBucket
}

type entry struct {
	item  platform.Item
	lease platform.LeaseID
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
}

type watcher struct {
	prefix string
	ch     chan platform.Event
}

// Calls counts the calls that reached the store.
type Calls struct {
	Reads, Writes, Watches, Conflicts int64
}

// New returns an empty store with the given clock; nil means time.Now.
func New(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{
		now:      now,
		items:    make(map[string]entry),
		leases:   make(map[platform.LeaseID]*lease),
		watchers: make(map[*watcher]struct{}),
	}
}

// Calls returns the number of calls that reached the store.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Item, error) {
	if err := s.beginCall(ctx, &s.calls.Reads); err != nil {
		return platform.Item{}, err
	}
	defer s.mu.Unlock()
	e, ok := s.items[key]
	if !ok {
		return platform.Item{}, platform.ErrNotFound
	}
	return copyItem(e.item), nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	items, _, err := s.Range(ctx, prefix)
	return items, err
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, w platform.Write) (platform.Item, error) {
	if len(w.Value) > platform.MaxValueBytes {
		return platform.Item{}, platform.ErrTooLarge
	}
	if err := s.beginCall(ctx, &s.calls.Writes); err != nil {
		return platform.Item{}, err
	}
	defer s.mu.Unlock()
	item, err := s.compareAndSwap(w)
	if err == nil && s.consumeLostResponse() {
		return platform.Item{}, platform.ErrOutcomeUnknown
	}
	return item, err
}

func (s *Store) compareAndSwap(w platform.Write) (platform.Item, error) {
	current := s.items[w.Key].item
	if w.OpID != "" && current.OpID == w.OpID {
		return copyItem(current), nil
	}
	if current.Revision != w.Expected {
		s.calls.Conflicts++
		return platform.Item{}, &platform.ConflictError{Key: w.Key, Expected: w.Expected, Actual: copyItem(current)}
	}
	if w.Lease != 0 && s.leases[w.Lease] == nil {
		return platform.Item{}, platform.ErrLeaseExpired
	}
	s.revision++
	item := platform.Item{Key: w.Key, Value: append([]byte(nil), w.Value...), Revision: s.revision, OpID: w.OpID}
	s.items[w.Key] = entry{item: item, lease: w.Lease}
	s.publish(platform.Event{Item: item})
	return copyItem(item), nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expected platform.Revision) error {
	if err := s.beginCall(ctx, &s.calls.Writes); err != nil {
		return err
	}
	defer s.mu.Unlock()
	current := s.items[key].item
	if current.Revision != expected {
		s.calls.Conflicts++
		return &platform.ConflictError{Key: key, Expected: expected, Actual: copyItem(current)}
	}
	s.deleteKey(key)
	if s.consumeLostResponse() {
		return platform.ErrOutcomeUnknown
	}
	return nil
}

func (s *Store) deleteKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.publish(platform.Event{Item: platform.Item{Key: key, Revision: s.revision}, Deleted: true})
}

func copyItem(item platform.Item) platform.Item {
	item.Value = append([]byte(nil), item.Value...)
	return item
}
