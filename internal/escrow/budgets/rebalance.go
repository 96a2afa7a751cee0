package budgets

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Tick starts a write that brings the holdings to their targets, if one is due. In a wide
// fleet an owner brings its accounts to their targets more often than other daemons return
// what they don't need: with a loss of the store the fleet has what the owners hold.
func (m *Manager) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.rebalancing || now.Before(m.storeRetryAt) {
		return
	}
	if m.needsReconcile() {
		m.startReconcile()
		return
	}
	all := now.Sub(m.rebalancedAt) >= m.rebalanceInterval
	owned := m.Peers.Wide() && now.Sub(m.ownedRebalancedAt) >= ownedRebalanceInterval
	if !all && !owned {
		return
	}
	m.rebalancing, m.ownedRebalancedAt = true, now
	if all {
		m.rebalancedAt, m.rebalanceInterval = now, rebalanceIntervalFor(m.Peers.Count())
	}
	m.wg.Go(func() { m.rebalance(!all) })
}

// rebalanceIntervalFor returns the time between two rebalancing writes of one daemon. In
// larger fleets it has a random jitter, because the daemons' writes would otherwise
// conflict repeatedly.
func rebalanceIntervalFor(daemons int) time.Duration {
	interval := time.Duration(daemons) * rebalanceIntervalPerDaemon
	if interval <= minRebalanceInterval {
		return minRebalanceInterval
	}
	return time.Duration((0.75 + rand.Float64()/2) * float64(interval))
}

// accountWrite is the write of one account's record within a write of several.
type accountWrite struct {
	account *account
	write   escrow.Write
}

// rebalance writes the records of the holdings that are off their targets, of all or only
// of the accounts that this daemon owns, and retries after a conflict.
func (m *Manager) rebalance(ownedOnly bool) {
	defer func() {
		m.mu.Lock()
		m.rebalancing = false
		m.mu.Unlock()
	}()
	for range maxRebalanceAttempts {
		writes := m.rebalanceWrites(ownedOnly)
		if len(writes) == 0 || m.writeAll(writes, "level") {
			return
		}
	}
}

// rebalanceWrites returns the writes that bring the holdings to their targets. Only the
// owner of an account draws ahead of need, but each daemon draws what it used and the record lacks.
func (m *Manager) rebalanceWrites(ownedOnly bool) []accountWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, holders, wide := time.Now(), m.Peers.Holders(), m.Peers.Wide()
	var writes []accountWrite
	for _, a := range m.accounts {
		owns := m.Peers.Owns(a.name)
		a.holding.SetHolders(holders)
		a.holding.SetOwner(wide && owns)
		if len(writes) == platform.MaxSwapKeys {
			break
		}
		if !m.recordKnown(a) {
			continue
		}
		inDebt := a.holding.Available() < 0
		if !owns && (ownedOnly || a.holding.BelowTarget(now) && !inDebt) {
			continue
		}
		if w, ok := a.holding.Rebalance(now); ok {
			writes = append(writes, accountWrite{account: a, write: w})
		}
	}
	return writes
}

// writeAll writes several accounts' records of one era atomically. It returns false after a
// conflict.
func (m *Manager) writeAll(wanted []accountWrite, purpose string) bool {
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
	conflicts, isConflict := platform.AsMultiConflict(err)
	if isConflict {
		for _, w := range wanted {
			w.account.holding.Failed()
		}
		m.adoptConflicts(conflicts.Actual)
		m.eraStale = m.eraStale || lacksRecord(writes, conflicts.Actual)
		return false
	}
	for _, w := range wanted {
		if err == nil && revision.Era() != w.write.Era {
			m.discardWrite(w.account, w.write, revision)
			continue
		}
		m.recordOutcome(w.account, w.write, revision, err, purpose)
	}
	return true
}

func encodeAll(wanted []accountWrite) ([]platform.Write, error) {
	writes := make([]platform.Write, 0, len(wanted))
	for _, w := range wanted {
		write, err := w.account.encodeWrite(w.write)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	return writes, nil
}

// lacksRecord reports whether a record that a write expected to change does not exist.
func lacksRecord(writes []platform.Write, actual []platform.Item) bool {
	for _, w := range writes {
		exists := func(i platform.Item) bool { return i.Key == w.Key && i.Revision != 0 }
		if w.Expected != 0 && !slices.ContainsFunc(actual, exists) {
			return true
		}
	}
	return false
}

// adoptConflicts takes over the actual records after a conflict. The caller holds m.mu.
func (m *Manager) adoptConflicts(actual []platform.Item) {
	for _, item := range actual {
		era, name, ok := parseRecordKey(item.Key)
		if a := m.accounts[name]; ok && a != nil {
			m.adoptRecord(a, era, item)
		}
	}
}

// recordOutcome records the outcome of a write that did not conflict. The caller holds
// m.mu.
func (m *Manager) recordOutcome(
	a *account, w escrow.Write, revision platform.Revision, err error, purpose string,
) drawResult {
	switch {
	case err == nil:
		m.storeSuspect = false
		a.holding.Written(w, int64(revision))
		m.Scope.Counter("budget_writes").Inc(1)
		m.Log.Info().Str("account", a.name).Str("write", purpose).Stringer("revision", revision).
			Int64("available", a.holding.Available()).Int64("reserved", a.holding.Reserved()).
			Int64("undrawn", a.holding.Undrawn()).Msg("budget record written")
		m.serveWaiters(a)
		return storeDrawn
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.holding.Unknown()
	case errors.Is(err, platform.ErrUnavailable):
		a.holding.Failed()
	default:
		a.holding.Failed()
		m.Log.Error().Err(err).Str("account", a.name).Str("write", purpose).Msg("budget record refused")
		return storeUnreachable
	}
	m.markStoreUnreachable()
	m.Log.Warn().Err(err).Str("account", a.name).Str("write", purpose).Msg("budget record not written")
	return storeUnreachable
}
