package memstore

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

var _ platform.ChangeLog = (*Store)(nil)

// CompareAndSwapAll implements platform.Records.
func (s *Store) CompareAndSwapAll(ctx context.Context, writes []platform.Write) (platform.Revision, error) {
	if len(writes) > platform.MaxSwapKeys {
		return 0, platform.ErrTooManyKeys
	}
	if err := s.beginCall(ctx, &s.calls.Writes); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	conflict := &platform.MultiConflictError{}
	failed := false
	for _, w := range writes {
		current := s.items[w.Key].item
		failed = failed || current.Revision != w.Expected
		if current.Revision > 0 {
			conflict.Actual = append(conflict.Actual, copyItem(current))
		}
	}
	if failed {
		s.calls.Conflicts++
		return 0, conflict
	}
	s.revision++
	for _, w := range writes {
		item := platform.Item{Key: w.Key, Value: append([]byte(nil), w.Value...), Revision: s.revision, OpID: w.OpID}
		s.items[w.Key] = entry{item: item, lease: w.Lease}
		s.publish(platform.Event{Item: item})
	}
	if s.consumeLostResponse() {
		return 0, platform.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// Range implements platform.ChangeLog.
func (s *Store) Range(ctx context.Context, prefix string) ([]platform.Item, platform.Revision, error) {
	if err := s.beginCall(ctx, &s.calls.Reads); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var items []platform.Item
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, copyItem(e.item))
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, s.revision, nil
}

// Poll implements platform.ChangeLog.
func (s *Store) Poll(
	ctx context.Context, prefix string, after platform.Revision, wait time.Duration,
) (platform.Changes, error) {
	if err := s.beginCall(ctx, &s.calls.Watches); err != nil {
		return platform.Changes{}, err
	}
	if !s.hasHistory(after) {
		s.mu.Unlock()
		return platform.Changes{}, platform.ErrCompacted
	}
	c := s.changesSince(prefix, after)
	if len(c.Events) > 0 || wait <= 0 {
		s.mu.Unlock()
		return c, nil
	}
	w := &watcher{prefix: prefix, ch: make(chan platform.Event, watchBufferEvents)}
	s.watchers[w] = struct{}{}
	s.mu.Unlock()
	defer s.stopWatch(w, nil)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ev := <-w.ch:
		if ev.Err != nil {
			return platform.Changes{}, ev.Err
		}
	case <-timer.C:
	case <-ctx.Done():
		return platform.Changes{}, platform.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changesSince(prefix, after), nil
}

// Probe implements platform.ChangeLog.
func (s *Store) Probe(ctx context.Context) error {
	if err := s.beginCall(ctx, &s.calls.Reads); err != nil {
		return err
	}
	s.mu.Unlock()
	return nil
}

func (s *Store) changesSince(prefix string, after platform.Revision) platform.Changes {
	c := platform.Changes{Revision: s.revision}
	for _, ev := range s.history {
		if ev.Item.Revision > after && strings.HasPrefix(ev.Item.Key, prefix) {
			c.Events = append(c.Events, ev)
		}
	}
	return c
}
