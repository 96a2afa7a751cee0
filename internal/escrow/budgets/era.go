package budgets

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Timeouts and waits of the reconciliation after the store came back from an older copy.
const (
	// reconcileJitter spreads the daemons of a small fleet, so that mostly one reconciles
	// and the others read the result.
	reconcileJitter = 150 * time.Millisecond
	// reconcileWait is how long peers that don't answer are waited for. In the meantime
	// requests are served from the holdings.
	reconcileWait = 4 * time.Second
	// reconcilePause is the time between two rounds of requests to such peers, and
	// recordsTimeout bounds a request.
	reconcilePause = 250 * time.Millisecond
	recordsTimeout = 400 * time.Millisecond
	// maxRecordRequests bounds the concurrent requests to the peers of a wide fleet.
	maxRecordRequests = 32
	// forgetSilentPeers is the silence of a peer after which its last draws are in the
	// records of others, and in a copy of the store that is some seconds old.
	forgetSilentPeers = 30 * time.Second
)

// unknownEra is the era of a Manager until the store has answered.
const unknownEra = -1

// KeyPrefix is the prefix of the keys of all records in the store.
const KeyPrefix = "azurehatch/budget"

// recordKey returns the key of an account's record. Each era after the first has keys of
// its own.
func recordKey(era int64, account string) string {
	if era == 0 {
		return KeyPrefix + "/" + account
	}
	return KeyPrefix + "@" + strconv.FormatInt(era, 10) + "/" + account
}

// parseRecordKey returns the era and the account of a record's key.
func parseRecordKey(key string) (era int64, account string, ok bool) {
	tag, account, ok := strings.Cut(strings.TrimPrefix(key, KeyPrefix), "/")
	if !ok || !strings.HasPrefix(key, KeyPrefix) {
		return 0, "", false
	}
	if tag == "" {
		return 0, account, true
	}
	era, err := strconv.ParseInt(strings.TrimPrefix(tag, "@"), 10, 64)
	return era, account, err == nil && era > 0 && strings.HasPrefix(tag, "@")
}

// Member is a daemon of the fleet.
type Member struct {
	Addr string
	// Holder is its holder id, empty if it was never heard.
	Holder string
	// Silent is the time since it was last heard.
	Silent time.Duration
}

// ObserveEra records the store's era, which a response of the store or a peer has named. If
// it is new, the accounts are reconciled before anything is drawn or returned.
func (m *Manager) ObserveEra(era int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEra(era)
}

// observeEra implements ObserveEra. The caller holds m.mu.
func (m *Manager) observeEra(era int64) {
	if era <= m.era {
		return
	}
	m.Log.Info().Int64("era", era).Int64("former", m.era).Int("accounts", len(m.accounts)).Msg("store era of the budgets changed")
	m.formerEra = m.formerEra || m.era != unknownEra
	m.era, m.eraSince, m.eraStale = era, time.Now(), false
	for _, a := range m.accounts {
		a.holding.EnterEra(era)
	}
}

// At returns the first revision of the era that this daemon acts in, 0 if it knows none.
func (m *Manager) At() platform.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at()
}

// at implements At. The caller holds m.mu.
func (m *Manager) at() platform.Revision {
	at, err := platform.NewRevision(max(m.era, 0), 0)
	if err != nil {
		m.Log.Error().Err(err).Msg("era of the budgets out of range")
	}
	return at
}

// Records returns the newest records that this daemon knows, and a revision of the era that
// it acts in. Writes of a former era that have not been answered are not counted any more.
func (m *Manager) Records() ([]platform.Item, platform.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.at()
	var items []platform.Item
	for _, a := range m.accounts {
		known, ok := a.holding.Known()
		if !ok {
			continue
		}
		value, err := known.Record.Encode()
		if err != nil {
			m.Log.Error().Err(err).Str("account", a.name).Msg("budget record not encoded")
			continue
		}
		revision := platform.Revision(known.Revision)
		items = append(items, platform.Item{Key: recordKey(revision.Era(), a.name), Value: value, Revision: revision})
	}
	return items, at
}

// recordKnown reports whether the account's record of the current era is known. The caller
// holds m.mu.
func (m *Manager) recordKnown(a *account) bool {
	return m.era != unknownEra && !m.eraStale && a.holding.Reconciled()
}

// startReconcile starts the reconciliation unless it is running. The caller holds m.mu.
func (m *Manager) startReconcile() {
	if m.reconciling || m.closed {
		return
	}
	m.reconciling = true
	m.wg.Go(func() {
		m.reconcile(m.ctx)
		m.mu.Lock()
		m.reconciling = false
		m.mu.Unlock()
	})
}

// needsReconcile reports whether an account's record of the current era is not known. In a
// wide fleet only the accounts that this daemon owns or needs count. The caller holds m.mu.
func (m *Manager) needsReconcile() bool {
	for _, a := range m.accounts {
		if !m.recordKnown(a) && (a.wanted || m.Peers.Owns(a.name)) {
			return true
		}
	}
	return false
}

// reconcile learns the store's era and gives each account that has no record in it the
// newest one that the fleet knows of former eras.
func (m *Manager) reconcile(ctx context.Context) {
	m.mu.Lock()
	former := m.formerEra
	m.mu.Unlock()
	if former && !m.Peers.Wide() {
		pause.Sleep(ctx, rand.N(reconcileJitter))
	}
	copies, ok := m.readRecords(ctx)
	if !ok {
		return
	}
	m.mu.Lock()
	pending, era := m.needsReconcile(), m.era
	former = m.formerEra || len(copies) > 0
	m.mu.Unlock()
	if !pending {
		return
	}
	answers := m.gather(ctx, era, former)
	writes := m.beginEra(era, copies, answers)
	for len(writes) > 0 {
		n := min(len(writes), platform.MaxSwapKeys)
		m.writeAll(writes[:n], "reconcile")
		writes = writes[n:]
	}
}

// readRecords reads all records, adopts those of the current era and returns the newest ones
// of former eras by account, with the revisions that they had then.
func (m *Manager) readRecords(ctx context.Context) (copies map[string]escrow.Known, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, at, err := m.Store.Range(ctx, KeyPrefix)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.markStoreUnreachable()
		m.Log.Warn().Err(err).Msg("budget records not read")
		return nil, false
	}
	m.storeSuspect = false
	m.observeEra(at.Era())
	if at.Era() < m.era {
		return nil, false
	}
	m.eraStale = false
	copies = make(map[string]escrow.Known)
	for _, item := range items {
		era, name, ok := parseRecordKey(item.Key)
		if !ok {
			continue
		}
		record, err := escrow.ParseRecord(item.Value)
		if err != nil {
			m.Log.Error().Err(err).Str("key", item.Key).Msg("budget record not readable")
			continue
		}
		a, listed := m.accounts[name]
		switch {
		case era == m.era && listed:
			a.holding.Read(record, int64(item.Revision))
			m.logDebt(a)
			m.serveWaiters(a)
		case era < m.era:
			if known := (escrow.Known{Record: record, Revision: revisionIn(era, item)}); known.Revision > copies[name].Revision {
				copies[name] = known
			}
		}
	}
	return copies, true
}

// revisionIn returns the revision that a record of an era had when it was written: a
// restored store keeps the number.
func revisionIn(era int64, item platform.Item) int64 {
	revision, err := platform.NewRevision(era, item.Revision.Number())
	if err != nil {
		return 0
	}
	return int64(revision)
}

// beginEra returns the writes that create the records of the accounts without one in the
// era. An account of which nobody knows a record begins empty.
func (m *Manager) beginEra(era int64, copies map[string]escrow.Known, all *answers) []accountWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era != era {
		return nil
	}
	var writes []accountWrite
	for name, a := range m.accounts {
		if m.recordKnown(a) || !a.wanted && !m.Peers.Owns(name) {
			continue
		}
		evidence := escrow.Evidence{Known: all.known[name], Heard: all.heard, Unheard: all.unheard}
		if own, ok := a.holding.Known(); ok {
			evidence.Known = append(evidence.Known, own)
		}
		if c, ok := copies[name]; ok {
			evidence.Copy = &c
		}
		if len(evidence.Known) == 0 && evidence.Copy == nil && (len(all.unheard) == 0 || !all.former) {
			a.holding.BeginEmpty()
			continue
		}
		if w, ok := a.holding.Begin(escrow.Reconcile(evidence, a.holding.Prepaid())); ok {
			m.logReconciled(a, w, evidence)
			writes = append(writes, accountWrite{account: a, write: w})
		}
	}
	return writes
}

// logReconciled logs with which record an account begins an era.
func (m *Manager) logReconciled(a *account, w escrow.Write, e escrow.Evidence) {
	var copied int64
	if e.Copy != nil {
		copied = e.Copy.Record.TotalDrawn()
	}
	m.Log.Info().Str("account", a.name).Int64("era", w.Era).Int64("drawn", w.Record.TotalDrawn()).
		Int64("drawn_in_copy", copied).Int64("drawn_as_known_here", a.holding.Prepaid()-a.holding.Undrawn()).
		Int("heard", len(e.Heard)).Strs("missing", w.Record.Missing(e)).Msg("budget record reconciled")
}

// logDebt logs that a record has fewer tokens for this daemon than it used, which it draws
// first. The caller holds m.mu.
func (m *Manager) logDebt(a *account) {
	if n := a.holding.Available(); n < 0 {
		m.Log.Warn().Str("account", a.name).Int64("tokens", -n).Int64("undrawn", a.holding.Undrawn()).
			Msg("budget record lacks tokens that were used here")
	}
}
