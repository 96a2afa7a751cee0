package memstore

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// GrantLease implements platform.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.beginCall(ctx, &s.calls.Writes); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, deadline: s.now().Add(ttl)}
	return s.lastLeaseID, nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.beginCall(ctx, &s.calls.Writes); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return platform.ErrLeaseExpired
	}
	l.deadline = s.now().Add(l.ttl)
	return nil
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.beginCall(ctx, &s.calls.Writes); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.expireLease(id)
	return nil
}

// ExpireLease ends a lease before its time, as after a long pause of its holder.
func (s *Store) ExpireLease(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLease(id)
}

// ExpireDueLeases ends the leases whose deadline has passed. Each call does so too;
// a server calls it on a timer so that watchers hear of it in time.
func (s *Store) ExpireDueLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDueLeases()
}

func (s *Store) expireDueLeases() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.deadline) {
			s.expireLease(id)
		}
	}
}

func (s *Store) expireLease(id platform.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.items {
		if e.lease == id && id != 0 {
			s.deleteKey(key)
		}
	}
}
