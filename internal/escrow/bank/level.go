package bank

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Tick brings the holdings near their targets, in one write for all of them.
func (b *Bank) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.leveling || now.Before(b.storeDown) || now.Sub(b.leveled) < b.pause {
		return
	}
	b.leveled, b.leveling, b.pause = now, true, pauseOf(b.Peers.Count())
	b.wg.Go(b.level)
}

// pauseOf is the time between two levelling writes of one of so many daemons.
// It is spread in larger fleets, whose daemons would meet again and again.
func pauseOf(daemons int) time.Duration {
	pause := time.Duration(daemons) * levelPerDaemon
	if pause <= levelPause {
		return levelPause
	}
	return time.Duration((0.75 + rand.Float64()/2) * float64(pause))
}

// levelWrite is the write of one account within a common one.
type levelWrite struct {
	account *account
	write   escrow.Write
}

// level makes the writes that holdings want, again after a conflict.
func (b *Bank) level() {
	defer func() {
		b.mu.Lock()
		b.leveling = false
		b.mu.Unlock()
	}()
	for range levelTries {
		wanted := b.wantedWrites()
		if len(wanted) == 0 || b.writeAll(wanted) {
			return
		}
	}
}

func (b *Bank) wantedWrites() []levelWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, holders, wide := time.Now(), b.Peers.Holders(), b.Peers.Wide()
	var wanted []levelWrite
	for _, a := range b.accounts {
		keeps := b.Peers.Keeps(a.name)
		a.holding.SetHolders(holders)
		a.holding.SetOwner(wide && keeps)
		if len(wanted) == platform.MaxSwapKeys {
			break
		}
		if a.holding.BelowTarget(now) && !keeps {
			continue
		}
		if w, ok := a.holding.Rebalance(now); ok {
			wanted = append(wanted, levelWrite{account: a, write: w})
		}
	}
	return wanted
}

// writeAll makes the writes of several accounts as one; it returns false after
// a conflict.
func (b *Bank) writeAll(wanted []levelWrite) bool {
	writes, err := encodeAll(wanted)
	if err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, w := range wanted {
			w.account.holding.Failed()
		}
		b.Log.Error().Err(err).Msg("budget records not encoded")
		return true
	}
	ctx, cancel := context.WithTimeout(b.ctx, storeTimeout)
	defer cancel()
	revision, err := b.Store.CompareAndSwapAll(ctx, writes)
	b.mu.Lock()
	defer b.mu.Unlock()
	conflicts, isConflict := platform.AsConflicts(err)
	if isConflict {
		for _, w := range wanted {
			w.account.holding.Failed()
		}
		b.adoptAll(conflicts.Actual)
		return false
	}
	for _, w := range wanted {
		b.written(w.account, w.write, revision, err, "level")
	}
	return true
}

func encodeAll(wanted []levelWrite) ([]platform.Write, error) {
	writes := make([]platform.Write, 0, len(wanted))
	for _, w := range wanted {
		write, err := w.account.storeWrite(w.write)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	return writes, nil
}

// adoptAll takes over the records that a conflict showed.
func (b *Bank) adoptAll(actual []platform.Item) {
	for _, item := range actual {
		if a, ok := b.accounts[strings.TrimPrefix(item.Key, keyPrefix)]; ok {
			b.adopt(a, item)
		}
	}
}

// written records the outcome of a write that met no conflict.
func (b *Bank) written(a *account, w escrow.Write, revision platform.Revision, err error, what string) drawResult {
	switch {
	case err == nil:
		b.suspect = false
		a.holding.Written(w, int64(revision))
		b.Scope.Counter("budget_writes").Inc(1)
		b.Log.Info().Str("account", a.name).Str("write", what).Int64("revision", int64(revision)).
			Int64("available", a.holding.Available()).Int64("undrawn", a.holding.Undrawn()).Msg("budget record written")
		b.serveWaiting(a)
		return storeDrawn
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.holding.Unknown()
	case errors.Is(err, platform.ErrUnavailable):
		a.holding.Failed()
	default:
		a.holding.Failed()
		b.Log.Error().Err(err).Str("account", a.name).Str("write", what).Msg("budget record refused")
		return storeAway
	}
	b.storeLost()
	b.Log.Warn().Err(err).Str("account", a.name).Str("write", what).Msg("budget record not written")
	return storeAway
}
