package etcdhttp

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
)

// GrantLease implements platform.Store. If the response is lost, nobody keeps the
// lease alive and it expires.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var out etcdjson.Lease
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := s.do(ctx, call{
		step: "platform.grant-lease", path: etcdjson.PathLeaseGrant, write: true,
		in: etcdjson.Lease{TTL: max(1, seconds)}, out: &out,
		validate: func() error {
			if out.ID == 0 {
				return errors.New("granted lease has no ID")
			}
			return nil
		},
	})
	return platform.LeaseID(out.ID), err
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	const step = "platform.keep-alive"
	var out etcdjson.KeepAliveResponse
	err := s.do(ctx, call{
		step: step, path: etcdjson.PathLeaseKeepAlive, write: true, in: etcdjson.Lease{ID: int64(id)}, out: &out,
		validate: func() error {
			switch {
			case out.Error != nil:
				return errors.Errorf("code %d: %s", out.Error.Code, out.Error.Message)
			case out.Result == nil || out.Result.ID != int64(id):
				return errors.New("keep-alive response is for another lease")
			}
			return nil
		},
	})
	if err == nil && out.Result.TTL <= 0 {
		return failure.At(platform.ErrLeaseExpired, step, "")
	}
	return err
}

// Revoke implements platform.Store. It succeeds if the lease no longer exists.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	var out etcdjson.HeaderOnly
	err := s.do(ctx, call{
		step: "platform.revoke-lease", path: etcdjson.PathLeaseRevoke, write: true,
		in: etcdjson.Lease{ID: int64(id)}, out: &out,
	})
	if errors.Is(err, platform.ErrLeaseExpired) {
		return nil
	}
	return err
}
