package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Timing of the takeover of shards whose allocator is gone.
const (
	// takeoverReadInterval spaces the reads of records, so that a membership
	// change does not exhaust the daemon's limit of store calls.
	takeoverReadInterval = 25 * time.Millisecond
	// takeoverRetryInterval is the wait after a failed read.
	takeoverRetryInterval = time.Second
)

// takeOverShards reads the records of shards that this daemon has come to own
// and starts allocators for those with budgets. Otherwise the open reservations
// of a lost allocator would wait for the next request to the same shard, and the
// first request after a start would wait for the takeover, the grant and a
// mirror.
func (l *Ledger) takeOverShards() {
	if l.awaitID(l.ctx) != nil {
		return
	}
	for {
		select {
		case <-l.takeoverSignal:
		case <-l.ctx.Done():
			return
		}
		for shard := range budget.Shards {
			for l.ownsWithoutAllocator(shard) {
				if l.takeOverShard(shard) {
					break
				}
				if !pause.Sleep(l.ctx, takeoverRetryInterval) {
					return
				}
			}
		}
	}
}

// signalTakeover makes takeOverShards check all shards again.
func (l *Ledger) signalTakeover() {
	select {
	case l.takeoverSignal <- struct{}{}:
	default:
	}
}

// ownsWithoutAllocator reports whether this daemon owns the shard but has no
// active allocator for it.
func (l *Ledger) ownsWithoutAllocator(shard int) bool {
	m, ok := l.owner(shard)
	if !ok || m.ID != l.opts.ID {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shards[shard]
	return !ok || s.retired
}

// takeOverShard starts an allocator for the shard if its record needs one. It
// returns false if the attempt has to be repeated.
func (l *Ledger) takeOverShard(shard int) bool {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	pause.Sleep(ctx, takeoverReadInterval)
	item, err := l.opts.Store.Get(ctx, Key(shard))
	if errors.Is(err, platform.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	record, err := budget.Unmarshal(item.Value)
	if err != nil {
		l.opts.Log.Error().Err(err).Int("shard", shard).Msg("budget record can't be decoded")
		return true
	}
	if d := record.Domains[l.opts.Domain]; len(record.Budgets) == 0 || (d != nil && d.Owner == l.opts.ID) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.allocator(shard)
	return err == nil || errors.Is(err, ErrNotOwner)
}
