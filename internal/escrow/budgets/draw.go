package budgets

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// startDraw starts the goroutine that draws tokens for an account's waiters unless one
// is running. The caller holds m.mu.
func (m *Manager) startDraw(a *account) {
	if a.drawing || m.closed {
		return
	}
	a.drawing = true
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.drawLoop(a)
	}()
}

// drawLoop draws until no reservation waits or no more tokens are available.
func (m *Manager) drawLoop(a *account) {
	for {
		fromStore, fromPeers := m.drawOnce(a)
		failed := fromStore != storeDrawn && !fromPeers.gave()
		var s shortage
		if failed {
			s = m.shortageOf(a, fromStore == storeExhausted && fromPeers == peersExhausted)
		}
		m.mu.Lock()
		if len(a.waiters) == 0 {
			a.drawing = false
			m.mu.Unlock()
			return
		}
		if failed {
			m.refuseWaiters(a, s)
			a.drawing = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// drawOnce draws from the store, and from the peers if the waiters need more or the
// store does not answer within peerFallbackDelay.
func (m *Manager) drawOnce(a *account) (drawResult, peersResult) {
	if r, done := m.drawFromSources(a); done {
		return r, peersExhausted
	}
	drawn := make(chan drawResult, 1)
	m.wg.Go(func() { drawn <- m.drawFromStore(a) })
	fallback := time.NewTimer(peerFallbackDelay)
	defer fallback.Stop()
	fromPeers := peersUnreachable
	select {
	case r := <-drawn:
		if m.hasWaiters(a) {
			fromPeers = m.drawFromPeers(a)
		}
		return r, fromPeers
	case <-fallback.C:
	}
	if m.hasWaiters(a) {
		fromPeers = m.drawFromPeers(a)
	}
	return <-drawn, fromPeers
}

// drawFromSources requests tokens from the peers that are asked before the store. done
// is true if they gave all that was asked for, no reservation waits afterwards or the store
// has none left.
func (m *Manager) drawFromSources(a *account) (r drawResult, done bool) {
	sources := m.Peers.TransferSources(a.name)
	if len(sources) == 0 {
		return storeDrawn, false
	}
	result, exhausted := m.requestFromPeers(a, sources, a.shortfall, m.aheadOf(a))
	switch {
	case result == peersCovered, !m.hasWaiters(a):
		// Requests that came meanwhile are asked for in the same way: a busy daemon that
		// drew for them itself would hide its need from the account's owner.
		return storeDrawn, true
	case exhausted && result != peersTransferred:
		return storeExhausted, true
	}
	return storeDrawn, false
}

// drawResult is the outcome of a draw from the store.
type drawResult uint8

const (
	storeDrawn drawResult = iota
	storeExhausted
	storeUnreachable
)

// drawFromStore draws the waiters' shortfall from the account's record. If the record
// does not leave that much, it draws what is left, but at least the shortfall of the
// smallest waiter. What is kept for urgent requests is drawn for these only.
func (m *Manager) drawFromStore(a *account) drawResult {
	return m.drawAtLeast(a, func() (int64, bool) {
		urgent := a.holding.Drawable(false) < a.shortfall() && a.hasUrgentWaiter()
		need, drawable := a.shortfallOf(urgent), a.holding.Drawable(urgent)
		if len(a.waiters) > 0 && drawable < need {
			need = min(need, max(a.smallestShortfall(urgent), drawable))
		}
		return need, urgent
	})
}

// drawAtLeast draws tokens from the account's record; need is called with m.mu held
// before each write and tells whether the tokens are for urgent requests.
func (m *Manager) drawAtLeast(a *account, need func() (tokens int64, urgent bool)) drawResult {
	for attempts, pauses := 0, 0; attempts < maxWriteAttempts && pauses < maxPendingWritePauses; {
		m.mu.Lock()
		if a.holding.WriteInFlight() {
			m.mu.Unlock()
			pauses++
			time.Sleep(pendingWritePause)
			continue
		}
		if !m.recordKnown(a) && !time.Now().Before(m.storeRetryAt) {
			a.wanted = true
			m.startReconcile()
			m.mu.Unlock()
			pauses++
			time.Sleep(pendingWritePause)
			continue
		}
		if !m.recordKnown(a) || !m.beginStoreCall() {
			m.mu.Unlock()
			return storeUnreachable
		}
		tokens, urgent := need()
		w, ok := a.holding.Draw(time.Now(), tokens, urgent)
		m.mu.Unlock()
		if !ok && !m.refreshRecord(a, tokens, urgent) {
			m.endStoreCall()
			return storeExhausted
		}
		if !ok {
			continue
		}
		attempts++
		if done, result := m.write(a, w, "draw"); done {
			m.endStoreCall()
			return result
		}
		if attempts > 1 {
			time.Sleep(rand.N(conflictPause))
		}
	}
	m.endStoreCall()
	return storeUnreachable
}

// beginStoreCall reports whether a draw may call the store: the last call succeeded, or
// the pause after a failed one is over and no other draw is probing the store. The
// caller holds m.mu and ends the call with endStoreCall.
func (m *Manager) beginStoreCall() bool {
	if time.Now().Before(m.storeRetryAt) || m.storeSuspect && m.storeProbing {
		return false
	}
	m.storeProbing = m.storeSuspect
	return true
}

// endStoreCall ends a draw's use of the store.
func (m *Manager) endStoreCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeProbing = false
}

// refreshRecord reads an account's record again, since other daemons may have returned
// tokens, and reports whether the record now leaves the needed tokens.
func (m *Manager) refreshRecord(a *account, need int64, urgent bool) bool {
	m.mu.Lock()
	skip, era := need <= 0 || !a.holding.MayRefresh(time.Now()), m.era
	m.mu.Unlock()
	if skip {
		return false
	}
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	item, err := m.Store.Get(ctx, recordKey(era, a.name))
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, platform.ErrNotFound) {
		m.eraStale = true
		return false
	}
	if err != nil {
		m.markStoreUnreachable()
		m.Log.Warn().Err(err).Str("account", a.name).Msg("budget record not read")
		return false
	}
	m.adoptRecord(a, era, item)
	if a.holding.Drawable(urgent) >= need {
		return true
	}
	a.holding.MarkExhausted(time.Now())
	return false
}

// write performs one conditional write of a record. done is false after a conflict.
func (m *Manager) write(a *account, w escrow.Write, purpose string) (done bool, r drawResult) {
	write, err := a.encodeWrite(w)
	if err != nil {
		m.Log.Error().Err(err).Str("account", a.name).Msg("budget record not encoded")
		return true, storeUnreachable
	}
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	item, err := m.Store.CompareAndSwap(ctx, write)
	m.mu.Lock()
	defer m.mu.Unlock()
	if conflict, ok := platform.AsConflict(err); ok {
		m.storeSuspect = false
		m.adoptRecord(a, w.Era, conflict.Actual)
		return false, storeUnreachable
	}
	if err == nil && item.Revision.Era() != w.Era {
		m.discardWrite(a, w, item.Revision)
		return false, storeUnreachable
	}
	return true, m.recordOutcome(a, w, item.Revision, err, purpose)
}

// encodeWrite converts a write of the account's record to the platform's form.
func (a *account) encodeWrite(w escrow.Write) (platform.Write, error) {
	value, err := w.Record.Encode()
	return platform.Write{Key: recordKey(w.Era, a.name), Value: value, Expected: platform.Revision(w.Expected)}, err
}

// discardWrite records that a write took effect in a newer era than it was meant for, where
// no daemon uses the record of the former one. The caller holds m.mu.
func (m *Manager) discardWrite(a *account, w escrow.Write, revision platform.Revision) {
	a.holding.Unknown()
	m.observeEra(revision.Era())
	m.Log.Warn().Str("account", a.name).Int64("era", w.Era).Stringer("revision", revision).
		Msg("budget record written in a newer era, not counted")
}

// adoptRecord takes over the actual record of an era after a read or a conflict. The caller
// holds m.mu.
func (m *Manager) adoptRecord(a *account, era int64, actual platform.Item) {
	m.observeEra(actual.Revision.Era())
	if actual.Revision == 0 {
		m.eraStale = true
	}
	if m.eraStale || era != m.era || actual.Revision.Era() != era {
		a.holding.Failed()
		return
	}
	record, err := escrow.ParseRecord(actual.Value)
	if err != nil {
		m.Log.Error().Err(err).Str("account", a.name).Stringer("revision", actual.Revision).Msg("budget record not readable")
		a.holding.Failed()
		return
	}
	a.holding.Conflict(record, int64(actual.Revision))
	m.logDebt(a)
	m.serveWaiters(a)
}

// peersResult is the outcome of requests to the peers.
type peersResult uint8

const (
	// peersCovered means that the peers gave all that was asked for, peersTransferred that
	// they gave a part.
	peersCovered peersResult = iota
	peersTransferred
	peersExhausted
	peersUnreachable
)

// gave reports whether the peers gave any tokens.
func (r peersResult) gave() bool { return r == peersCovered || r == peersTransferred }

// drawFromPeers requests the waiters' shortfall from the peers.
func (m *Manager) drawFromPeers(a *account) peersResult {
	if m.Peers.Wide() {
		return m.collect(a, func() (need, least int64) { return a.shortfall(), a.smallestShortfall(false) })
	}
	result, _ := m.requestFromPeers(a, m.Peers.PeersByTokens(a.name), a.shortfall, 0)
	return result
}

// aheadOf returns the number of tokens to request ahead of need in a wide fleet: as the
// distributor of a failure domain, or for many requests of this daemon's own.
func (m *Manager) aheadOf(a *account) int64 {
	if !m.Peers.Wide() {
		return 0
	}
	distributes := m.Peers.Distributes(a.name)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case distributes:
		return a.holding.Ahead(time.Now())
	case len(a.waiters) == 0:
		return 0
	}
	return a.holding.BusyAhead(time.Now(), a.waiters[0].tokens)
}

// requestFromPeers asks peers in turn until shortfall, called with m.mu held, returns 0,
// one has given all that was asked for or allPeersTimeout has passed. exhausted reports
// whether one of them knows that the store has no tokens left.
func (m *Manager) requestFromPeers(
	a *account, peers []string, shortfall func() int64, ahead int64,
) (result peersResult, exhausted bool) {
	result = peersExhausted
	deadline := time.Now().Add(allPeersTimeout)
	for _, peer := range peers {
		m.mu.Lock()
		need := shortfall()
		m.mu.Unlock()
		switch {
		case need == 0:
			return peersCovered, exhausted
		case time.Now().After(deadline):
			return result, exhausted
		}
		transfer, err := m.requestTokens(a, peer, escrow.TransferRequest{Tokens: need, Ahead: ahead})
		if err != nil {
			if result == peersExhausted {
				result = peersUnreachable
			}
			continue
		}
		exhausted = exhausted || transfer.BudgetExhausted
		if transfer.Tokens > 0 {
			result = peersTransferred
		}
		if transfer.Tokens >= need {
			return peersCovered, exhausted
		}
	}
	return result, exhausted
}

// requestTokens requests tokens from one peer and adds them to the holding. A request
// without an answer is retried once in the background with the same id, so that the
// tokens are not lost with the answer.
func (m *Manager) requestTokens(a *account, peer string, r escrow.TransferRequest) (escrow.Transfer, error) {
	id := uuid.NewString()
	transfer, err := m.requestOnce(a, peer, id, r, peerTimeout)
	if err != nil {
		m.wg.Go(func() { _, _ = m.requestOnce(a, peer, id, r, peerRetryTimeout) })
	}
	return transfer, err
}

func (m *Manager) requestOnce(
	a *account, peer, id string, r escrow.TransferRequest, timeout time.Duration,
) (escrow.Transfer, error) {
	ctx, cancel := context.WithTimeout(m.ctx, timeout)
	defer cancel()
	transfer, err := m.Peers.RequestTokens(ctx, peer, id, a.name, r)
	if err != nil {
		m.Log.Info().Err(err).Str("account", a.name).Str("peer", peer).Msg("peer not asked for tokens")
		return transfer, err
	}
	if transfer.Tokens > 0 {
		m.receive(a, peer, r.Tokens, transfer.Tokens)
	}
	return transfer, nil
}

func (m *Manager) receive(a *account, peer string, requested, received int64) {
	m.mu.Lock()
	a.holding.Receive(received)
	m.serveWaiters(a)
	m.mu.Unlock()
	m.Log.Info().Str("account", a.name).Str("peer", peer).Int64("asked", requested).Int64("got", received).
		Msg("tokens received")
}
