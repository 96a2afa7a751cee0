package memstore

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// GrantLease implements platform.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.enter(ctx, &s.calls.Writes); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, deadline: s.now().Add(ttl)}
	return s.nextLease, nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.enter(ctx, &s.calls.Writes); err != nil {
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
	if err := s.enter(ctx, &s.calls.Writes); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.expire(id)
	return nil
}

// ExpireLease ends a lease before its time, as after a long pause of its holder.
func (s *Store) ExpireLease(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(id)
}

// ExpireDueLeases ends the leases whose deadline has passed. Each call does so too;
// a server calls it on a timer so that watchers hear of it in time.
func (s *Store) ExpireDueLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireDue()
}

func (s *Store) expireDue() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.deadline) {
			s.expire(id)
		}
	}
}

func (s *Store) expire(id platform.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.items {
		if e.lease == id && id != 0 {
			s.remove(key)
		}
	}
}
