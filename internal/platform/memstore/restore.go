package memstore

import (
	"maps"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Copy is the content of a store at a revision.
type Copy struct {
	revision platform.Revision
	items    map[string]entry
}

// Copy returns a copy of the store's items.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, items: maps.Clone(s.items)}
}

// Restore replaces the store's content by an older copy. The store loses its history
// and leases, begins the next era, and assigns the numbers after the copy's revision
// again. Open watches fail.
func (s *Store) Restore(c Copy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	revision, err := platform.NewRevision(era, c.revision.Number())
	if err != nil {
		return err
	}
	items := make(map[string]entry, len(c.items))
	for key, e := range c.items {
		item := copyItem(e.item)
		if item.Revision, err = platform.NewRevision(era, item.Revision.Number()); err != nil {
			return err
		}
		items[key] = entry{item: item}
	}
	s.revision, s.historyFrom, s.items, s.history = revision, revision, items, nil
	clear(s.leases)
	s.breakWatches()
	return nil
}

// Era returns the store's era, the number of its restores.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}
