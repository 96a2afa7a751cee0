package ledger

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// claimRetryInterval is the wait after a failed attempt to claim the holder's id.
const claimRetryInterval = time.Second

// holderPrefix is the key prefix of holder ids in the store.
const holderPrefix = "holder/"

// ErrIDReused means that another process used this instance's id before.
var ErrIDReused = errors.New("the instance id was used before; each start needs a new one")

// claimID records in the store that this process uses the holder's id. The
// settlements of two processes with the same id can't be distinguished: those of
// the second would be taken for duplicates and not billed. No reservation is
// made until the id is recorded.
func (l *Ledger) claimID() {
	write := platform.Write{Key: holderPrefix + l.opts.ID, Value: []byte(l.opts.Domain), OpID: uuid.NewString()}
	for {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		_, err := l.opts.Store.CompareAndSwap(ctx, write)
		cancel()
		if err == nil {
			close(l.idClaimed)
			return
		}
		if c, ok := platform.AsConflict(err); ok && c.Actual.OpID != write.OpID {
			l.opts.Log.Error().Str("holder", l.opts.ID).Msg(ErrIDReused.Error())
			close(l.idReused)
			return
		}
		l.opts.Log.Warn().Err(err).Msg("holder id not recorded in the store; retrying")
		if !pause.Sleep(l.ctx, claimRetryInterval) {
			return
		}
	}
}

// IDReused returns a channel that is closed if another process has used the
// holder's id.
func (l *Ledger) IDReused() <-chan struct{} { return l.idReused }

// idRecorded reports whether the holder's id is recorded.
func (l *Ledger) idRecorded() bool {
	select {
	case <-l.idClaimed:
		return true
	default:
		return false
	}
}

// awaitID waits until the holder's id is recorded.
func (l *Ledger) awaitID(ctx context.Context) error {
	select {
	case <-l.idClaimed:
		return nil
	case <-l.idReused:
		return ErrIDReused
	case <-ctx.Done():
		return ctx.Err()
	}
}
