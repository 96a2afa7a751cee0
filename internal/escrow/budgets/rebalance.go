package budgets

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
func (m *Manager) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.leveling || now.Before(m.storeDown) || now.Sub(m.leveled) < m.pause {
		return
	}
	m.leveled, m.leveling, m.pause = now, true, pauseOf(m.Peers.Count())
	m.wg.Go(m.level)
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
func (m *Manager) level() {
	defer func() {
		m.mu.Lock()
		m.leveling = false
		m.mu.Unlock()
	}()
	for range levelTries {
		wanted := m.wantedWrites()
		if len(wanted) == 0 || m.writeAll(wanted) {
			return
		}
	}
}

func (m *Manager) wantedWrites() []levelWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, holders, wide := time.Now(), m.Peers.Holders(), m.Peers.Wide()
	var wanted []levelWrite
	for _, a := range m.accounts {
		keeps := m.Peers.Owns(a.name)
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
func (m *Manager) writeAll(wanted []levelWrite) bool {
	writes, err := encodeAll(wanted)
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, w := range wanted {
			w.account.holding.Failed()
		}
		m.Log.Error().Err(err).Msg("budget records not encoded")
		return true
	}
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	revision, err := m.Store.CompareAndSwapAll(ctx, writes)
	m.mu.Lock()
	defer m.mu.Unlock()
	conflicts, isConflict := platform.AsConflicts(err)
	if isConflict {
		for _, w := range wanted {
			w.account.holding.Failed()
		}
		m.adoptAll(conflicts.Actual)
		return false
	}
	for _, w := range wanted {
		m.written(w.account, w.write, revision, err, "level")
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
func (m *Manager) adoptAll(actual []platform.Item) {
	for _, item := range actual {
		if a, ok := m.accounts[strings.TrimPrefix(item.Key, keyPrefix)]; ok {
			m.adopt(a, item)
		}
	}
}

// written records the outcome of a write that met no conflict.
func (m *Manager) written(a *account, w escrow.Write, revision platform.Revision, err error, what string) drawResult {
	switch {
	case err == nil:
		m.suspect = false
		a.holding.Written(w, int64(revision))
		m.Scope.Counter("budget_writes").Inc(1)
		m.Log.Info().Str("account", a.name).Str("write", what).Int64("revision", int64(revision)).
			Int64("available", a.holding.Available()).Int64("undrawn", a.holding.Undrawn()).Msg("budget record written")
		m.serveWaiting(a)
		return storeDrawn
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.holding.Unknown()
	case errors.Is(err, platform.ErrUnavailable):
		a.holding.Failed()
	default:
		a.holding.Failed()
		m.Log.Error().Err(err).Str("account", a.name).Str("write", what).Msg("budget record refused")
		return storeAway
	}
	m.storeLost()
	m.Log.Warn().Err(err).Str("account", a.name).Str("write", what).Msg("budget record not written")
	return storeAway
}
