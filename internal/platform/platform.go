// Package platform defines what azurehatch needs from the users' platform: a
// small key-value store with compare-and-swap, leases and watches, and a
// lagging list of instances. Adapters and fakes live in sub-packages.
package platform

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// Revision orders the writes of the whole store. It only grows; 0 stands for a
// key that does not exist.
type Revision int64

// LeaseID names a lease; 0 stands for no lease.
type LeaseID int64

// Item is a key with its value at a revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the key's last write.
	Revision Revision
	// OpID is the operation id of the key's last write.
	OpID string
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have; 0 means that the key
	// must not exist.
	Expected Revision
	// OpID identifies the attempted operation. A retry with the same OpID
	// recognises its own effect and succeeds.
	OpID string
	// Lease, if set, deletes the key when the lease expires.
	Lease LeaseID
}

// Event is one change seen by a watch.
type Event struct {
	Item Item
	// Deleted is true if the key was deleted; Item.Value is then empty.
	Deleted bool
	// Err is set on the last event of a watch that broke; the caller reads the
	// keys again and starts a new watch.
	Err error
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance in the platform's list. An instance that is gone
// is no longer in the list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Role tells what an instance runs.
type Role string

// The roles of an instance.
const (
	RoleDaemon  Role = "daemon"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Instance is one entry of the platform's lagging list.
type Instance struct {
	// ID is unique for the life of the instance; a replacement has a new ID.
	ID string `json:"id"`
	// Addr is IP:port; for a daemon that of its peer listener.
	Addr string `json:"addr"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Region holds the failure domain.
	Region string        `json:"region"`
	Role   Role          `json:"role"`
	State  InstanceState `json:"state"`
}

// Store is the platform as azurehatch uses it. Errors are *ConflictError,
// ErrNotFound, ErrUnavailable, ErrOutcomeUnknown, ErrLeaseExpired, ErrLimited
// or ErrTooLarge, possibly wrapped.
type Store interface {
	// Get returns the key's item or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// CompareAndSwap applies w and returns the item written.
	CompareAndSwap(ctx context.Context, w Write) (Item, error)
	// Delete removes the key if it has the expected revision.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch sends changes of keys with the prefix whose revision is above
	// after, until ctx is done. The channel is closed at the end.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error)
	// GrantLease creates a lease that expires after ttl unless kept alive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the lease's ttl.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Instances returns the platform's lagging list.
	Instances(ctx context.Context) ([]Instance, error)
}
