// Package platform defines the interface that azurehatch requires of the users'
// platform: a small key-value store with compare-and-swap, leases and watches,
// and a list of instances that lags behind the actual state. Adapters and fakes
// are in sub-packages.
package platform

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Item is a key with its value at a revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the key's last write.
	Revision Revision
	// OpID is the operation ID of the key's last write.
	OpID string
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have; 0 means that the key
	// must not exist.
	Expected Revision
	// OpID identifies the operation across attempts. If the key's last write has
	// the same OpID, a retry succeeds without a second write.
	OpID string
	// Lease, if not 0, is the lease whose end deletes the key.
	Lease LeaseID
}

// Event is a change reported by a watch.
type Event struct {
	Item Item
	// Deleted is true if the key was deleted; Item.Value is then empty.
	Deleted bool
	// Err is set on the last event of a watch that failed. The caller must read
	// the keys again and start a new watch.
	Err error
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance in the platform's list. An instance that has ended
// is no longer in the list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Role is the kind of process that an instance runs.
type Role string

// The roles of an instance.
const (
	RoleDaemon  Role = "daemon"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Instance is an entry of the platform's instance list, which lags behind the
// actual state.
type Instance struct {
	// ID identifies one incarnation of the instance; a replacement has a new ID.
	ID string `json:"id"`
	// Addr is the IP address and port; for a daemon, those of its peer listener.
	Addr string `json:"addr"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Region is the region that contains the failure domain.
	Region string        `json:"region"`
	Role   Role          `json:"role"`
	State  InstanceState `json:"state"`
}

// Store is the interface to the platform's store and instance list. Its errors
// are *ConflictError, ErrNotFound, ErrUnavailable, ErrOutcomeUnknown,
// ErrLeaseExpired, ErrLimited or ErrTooLarge, possibly wrapped.
type Store interface {
	// Get returns the key's item or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// CompareAndSwap applies w and returns the written item.
	CompareAndSwap(ctx context.Context, w Write) (Item, error)
	// Delete removes the key if it has the expected revision.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch sends the changes of keys with the prefix whose revision is higher
	// than after, until ctx is done. The channel is closed when the watch ends.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error)
	// GrantLease creates a lease that expires after ttl unless it is kept alive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the lease's TTL.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Instances returns the platform's instance list, which lags behind the actual
	// state.
	Instances(ctx context.Context) ([]Instance, error)
}
