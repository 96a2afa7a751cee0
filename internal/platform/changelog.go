package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the store no longer has the requested changes. The
// caller must read the keys again with Range.
var ErrCompacted = errors.New("history no longer available")

// Changes holds the changes of the keys with a prefix.
type Changes struct {
	Events []Event
	// Revision is the store revision up to which Events is complete.
	Revision Revision
}

// ChangeLog reads keys and their changes in batches, so that a reader that lost
// its connection can continue from the last revision it read.
type ChangeLog interface {
	// Range returns the items with the prefix and a store revision that is not
	// newer than any of the pages read.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Poll returns the changes after a revision. If there is none yet, it waits
	// for the first one for up to wait and returns no events when the wait ends.
	// After ErrCompacted the caller must start again with Range.
	Poll(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Probe returns nil if the store responds. It is the cheapest call of the store.
	Probe(ctx context.Context) error
}

// MaxSwapKeys is the maximum number of keys of one CompareAndSwapAll. The users'
// platform accepts 32 entries in a transaction, and each key needs two: a
// condition and a write.
const MaxSwapKeys = 16

// ErrTooManyKeys means that a write names more keys than MaxSwapKeys.
var ErrTooManyKeys = errors.New("too many keys in one write")

// Records reads and writes single records of a store.
type Records interface {
	// Get returns the key's item or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// CompareAndSwap writes a key if it has the expected revision.
	CompareAndSwap(ctx context.Context, w Write) (Item, error)
	// CompareAndSwapAll writes all keys, or none if one of them does not have its
	// expected revision. It then returns a *MultiConflictError.
	CompareAndSwapAll(ctx context.Context, writes []Write) (Revision, error)
	// Delete removes a key if it has the expected revision.
	Delete(ctx context.Context, key string, expected Revision) error
}
