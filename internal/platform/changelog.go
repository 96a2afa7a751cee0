package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the store no longer has the changes asked for; the
// caller reads the keys again.
var ErrCompacted = errors.New("history no longer available")

// Changes are the changes of keys with a prefix.
type Changes struct {
	Events []Event
	// Revision is the store revision up to which Events is complete.
	Revision Revision
}

// ChangeLog reads keys and their changes in batches, so that a reader that was
// cut off goes on where it stopped.
type ChangeLog interface {
	// Range returns the items with the prefix and a store revision that is not
	// newer than any of the pages read.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Poll returns the changes after a revision as soon as there is one, or
	// none after the wait. ErrCompacted means that Range is needed.
	Poll(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
}

// MaxSwapKeys bounds the keys of one CompareAndSwapAll: the users' platform takes
// 32 entries in a transaction, a condition and a write for each key.
const MaxSwapKeys = 16

// ErrTooManyKeys means that a write names more keys than MaxSwapKeys.
var ErrTooManyKeys = errors.New("too many keys in one write")

// Records is the part of a store that keeps single records.
type Records interface {
	// Get returns the key's item or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// CompareAndSwap writes one key if it has the expected revision.
	CompareAndSwap(ctx context.Context, w Write) (Item, error)
	// CompareAndSwapAll writes all keys or, if one has not its expected
	// revision, none. A conflict is a *MultiConflictError.
	CompareAndSwapAll(ctx context.Context, writes []Write) (Revision, error)
	// Delete removes a key if it has the expected revision.
	Delete(ctx context.Context, key string, expected Revision) error
}
