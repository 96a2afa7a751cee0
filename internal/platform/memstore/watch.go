package memstore

import (
	"context"
	"strings"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// maxHistoryEvents is the number of events kept for watches that start at an
// earlier revision. A watch that starts before them is refused with
// ErrUnavailable, as for a compacted revision.
const maxHistoryEvents = 8192

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Revision) (<-chan platform.Event, error) {
	if err := s.beginCall(ctx, &s.calls.Watches); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	w := &watcher{prefix: prefix, ch: make(chan platform.Event, watchBufferEvents)}
	if !s.replay(w, after) {
		return nil, platform.ErrUnavailable
	}
	s.watchers[w] = struct{}{}
	context.AfterFunc(ctx, func() { s.stopWatch(w, nil) })
	return w.ch, nil
}

func (s *Store) replay(w *watcher, after platform.Revision) bool {
	if !s.hasHistory(after) {
		return false
	}
	for _, ev := range s.history {
		if ev.Item.Revision <= after || !strings.HasPrefix(ev.Item.Key, w.prefix) {
			continue
		}
		if len(w.ch) == cap(w.ch) {
			return false
		}
		w.ch <- ev
	}
	return true
}

// hasHistory reports whether the store has all changes after a revision.
func (s *Store) hasHistory(after platform.Revision) bool {
	return after >= s.historyFrom && after <= s.revision
}

func (s *Store) stopWatch(w *watcher, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopWatchLocked(w, cause)
}

func (s *Store) stopWatchLocked(w *watcher, cause error) {
	if _, ok := s.watchers[w]; !ok {
		return
	}
	delete(s.watchers, w)
	if cause != nil && len(w.ch) < cap(w.ch) {
		w.ch <- platform.Event{Err: cause}
	}
	close(w.ch)
}

func (s *Store) publish(ev platform.Event) {
	s.history = append(s.history, ev)
	if len(s.history) > maxHistoryEvents {
		dropped := maxHistoryEvents / 4
		s.historyFrom = s.history[dropped-1].Item.Revision
		s.history = append([]platform.Event(nil), s.history[dropped:]...)
	}
	for w := range s.watchers {
		if !strings.HasPrefix(ev.Item.Key, w.prefix) {
			continue
		}
		if len(w.ch) >= cap(w.ch)-1 {
			s.stopWatchLocked(w, platform.ErrUnavailable)
			continue
		}
		w.ch <- ev
	}
}

func (s *Store) breakWatches() {
	for w := range s.watchers {
		s.stopWatchLocked(w, platform.ErrUnavailable)
	}
}
