package memstore

import (
	"context"
	"sort"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// instanceChange is a change of the instance list. The changes are kept so that
// the list can be shown with a lag.
type instanceChange struct {
	at       time.Time
	instance platform.Instance
	removed  bool
}

// SetInstance adds an instance to the list or replaces its entry.
func (s *Store) SetInstance(in platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceChanges = append(s.instanceChanges, instanceChange{at: s.now(), instance: in})
}

// RemoveInstance removes an instance from the list.
func (s *Store) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceChanges = append(s.instanceChanges, instanceChange{
		at: s.now(), instance: platform.Instance{ID: id}, removed: true,
	})
}

// Instances implements platform.Store. It returns the list as it was
// Faults.ListLagMillis ago.
func (s *Store) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := s.beginCall(ctx, &s.calls.Reads); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	visibleUntil := s.now().Add(-time.Duration(s.faults.ListLagMillis) * time.Millisecond)
	byID := make(map[string]platform.Instance)
	for _, c := range s.instanceChanges {
		switch {
		case c.at.After(visibleUntil):
		case c.removed:
			delete(byID, c.instance.ID)
		default:
			byID[c.instance.ID] = c.instance
		}
	}
	list := make([]platform.Instance, 0, len(byID))
	for _, in := range byID {
		list = append(list, in)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, nil
}
