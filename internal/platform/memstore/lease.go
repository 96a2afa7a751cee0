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

// ExpireLease ends a lease before its TTL has passed, as if its holder had paused
// for long.
func (s *Store) ExpireLease(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLease(id)
}

// ExpireDueLeases ends the leases whose deadline has passed. Each call of the
// store does so too. A server calls it periodically so that watchers are notified
// of an expiry when no other call arrives.
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
