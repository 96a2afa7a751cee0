package budgets

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// fill starts the goroutine that draws tokens for an account, if none runs.
func (m *Manager) fill(a *account) {
	if a.filling || m.closed {
		return
	}
	a.filling = true
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.fillLoop(a)
	}()
}

// fillLoop draws until no reservation waits or no more tokens can be had.
func (m *Manager) fillLoop(a *account) {
	for {
		fromStore, fromPeers := m.drawOnce(a)
		m.mu.Lock()
		if len(a.waiting) == 0 {
			a.filling = false
			m.mu.Unlock()
			return
		}
		if fromStore != storeDrawn && fromPeers != peersGave {
			m.refuseWaiting(a, fromStore == storeEmpty && fromPeers == peersEmpty)
			a.filling = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// drawOnce draws from the store, and from the peers if the store gives nothing
// or takes long.
func (m *Manager) drawOnce(a *account) (drawResult, peersResult) {
	if r, done := m.borrow(a); done {
		return r, peersEmpty
	}
	drawn := make(chan drawResult, 1)
	m.wg.Go(func() { drawn <- m.drawFromStore(a) })
	patience := time.NewTimer(storePatience)
	defer patience.Stop()
	fromPeers := peersSilent
	select {
	case r := <-drawn:
		if m.waits(a) {
			fromPeers = m.drawFromPeers(a)
		}
		return r, fromPeers
	case <-patience.C:
	}
	if m.waits(a) {
		fromPeers = m.drawFromPeers(a)
	}
	return <-drawn, fromPeers
}

// borrow asks the lenders; done is true if no reservation waits then, or the
// store has nothing for them.
func (m *Manager) borrow(a *account) (r drawResult, done bool) {
	lenders := m.Peers.TransferSources(a.name)
	if len(lenders) == 0 {
		return storeDrawn, false
	}
	result, empty := m.askPeers(a, lenders)
	switch {
	case !m.waits(a):
		return storeDrawn, true
	case empty && result != peersGave:
		return storeEmpty, true
	}
	return storeDrawn, false
}

// drawResult is the outcome of a draw from the store.
type drawResult uint8

const (
	storeDrawn drawResult = iota
	storeEmpty
	storeAway
)

// drawFromStore takes what the waiters lack from the account's record, or as
// much of it as helps one of them.
func (m *Manager) drawFromStore(a *account) drawResult {
	return m.drawAtLeast(a, func() int64 {
		need := a.need()
		if len(a.waiting) > 0 && a.holding.Undrawn() < need {
			need = min(need, max(a.least(), a.holding.Undrawn()))
		}
		return need
	})
}

// drawAtLeast takes tokens from the account's record; need is asked for under
// the lock before each write.
func (m *Manager) drawAtLeast(a *account, need func() int64) drawResult {
	for tries, waits := 0, 0; tries < conflictTries && waits < busyTries; {
		m.mu.Lock()
		if a.holding.WriteInFlight() {
			m.mu.Unlock()
			waits++
			time.Sleep(busyPause)
			continue
		}
		if !m.tryStore() {
			m.mu.Unlock()
			return storeAway
		}
		tokens := need()
		w, ok := a.holding.Draw(time.Now(), tokens)
		m.mu.Unlock()
		if !ok && !m.refresh(a, tokens) {
			m.tried()
			return storeEmpty
		}
		if !ok {
			continue
		}
		tries++
		if done, result := m.write(a, w, "draw"); done {
			m.tried()
			return result
		}
	}
	m.tried()
	return storeAway
}

// tryStore tells whether the store may be asked: it answers as far as is known,
// or its pause is over and no other draw tries it. The caller holds m.mu.
func (m *Manager) tryStore() bool {
	if time.Now().Before(m.storeDown) || m.suspect && m.probing {
		return false
	}
	m.probing = m.suspect
	return true
}

// tried ends the draw that tried the store.
func (m *Manager) tried() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = false
}

// refresh reads an account's record again, since other daemons may have
// returned tokens; it tells whether the record now leaves what is needed.
func (m *Manager) refresh(a *account, need int64) bool {
	m.mu.Lock()
	skip := need <= 0 || !a.holding.MayRefresh(time.Now())
	m.mu.Unlock()
	if skip {
		return false
	}
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	item, err := m.Store.Get(ctx, keyPrefix+a.name)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.storeLost()
		m.Log.Warn().Err(err).Str("account", a.name).Msg("budget record not read")
		return false
	}
	m.adopt(a, item)
	if a.holding.Undrawn() >= need {
		return true
	}
	a.holding.MarkExhausted(time.Now())
	return false
}

// write makes one conditional write of a record; done is false after a
// conflict.
func (m *Manager) write(a *account, w escrow.Write, what string) (done bool, r drawResult) {
	write, err := a.storeWrite(w)
	if err != nil {
		m.Log.Error().Err(err).Str("account", a.name).Msg("budget record not encoded")
		return true, storeAway
	}
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	item, err := m.Store.CompareAndSwap(ctx, write)
	m.mu.Lock()
	defer m.mu.Unlock()
	if conflict, ok := platform.AsConflict(err); ok {
		m.suspect = false
		m.adopt(a, conflict.Actual)
		return false, storeAway
	}
	return true, m.written(a, w, item.Revision, err, what)
}

// storeWrite is a write of the account's record as the store takes it.
func (a *account) storeWrite(w escrow.Write) (platform.Write, error) {
	value, err := w.Record.Encode()
	return platform.Write{Key: keyPrefix + a.name, Value: value, Expected: platform.Revision(w.Expected)}, err
}

func (m *Manager) adopt(a *account, actual platform.Item) {
	record, err := escrow.ParseRecord(actual.Value)
	if err != nil {
		m.Log.Error().Err(err).Str("account", a.name).Int64("revision", int64(actual.Revision)).Msg("budget record not readable")
		a.holding.Failed()
		return
	}
	a.holding.Conflict(record, int64(actual.Revision))
	m.serveWaiting(a)
}

// peersResult is the outcome of asking the peers.
type peersResult uint8

const (
	peersGave peersResult = iota
	peersEmpty
	peersSilent
)

// drawFromPeers asks the peers for what the waiters lack.
func (m *Manager) drawFromPeers(a *account) peersResult {
	result, _ := m.askPeers(a, m.Peers.PeersByTokens(a.name))
	return result
}

// askPeers asks peers in turn until no reservation waits or peersTimeout has
// passed; empty tells whether one of them saw that the store has no more.
func (m *Manager) askPeers(a *account, peers []string) (result peersResult, empty bool) {
	result = peersEmpty
	end := time.Now().Add(peersTimeout)
	for _, peer := range peers {
		m.mu.Lock()
		need := a.need()
		m.mu.Unlock()
		switch {
		case need == 0:
			return peersGave, empty
		case time.Now().After(end):
			return result, empty
		}
		gift, err := m.ask(a, peer, need)
		if err != nil {
			if result == peersEmpty {
				result = peersSilent
			}
			continue
		}
		empty = empty || gift.BudgetExhausted
		if gift.Tokens > 0 {
			result = peersGave
		}
	}
	return result, empty
}

// ask asks one peer for tokens and takes them over. An ask without an answer is
// repeated once under the same id beside the caller, so that the tokens are not
// lost with the answer.
func (m *Manager) ask(a *account, peer string, tokens int64) (escrow.Transfer, error) {
	id := uuid.NewString()
	gift, err := m.askOnce(a, peer, id, tokens, peerTimeout)
	if err != nil {
		m.wg.Go(func() { _, _ = m.askOnce(a, peer, id, tokens, repeatTimeout) })
	}
	return gift, err
}

func (m *Manager) askOnce(a *account, peer, id string, tokens int64, limit time.Duration) (escrow.Transfer, error) {
	ctx, cancel := context.WithTimeout(m.ctx, limit)
	defer cancel()
	gift, err := m.Peers.RequestTokens(ctx, peer, id, a.name, tokens)
	if err != nil {
		m.Log.Info().Err(err).Str("account", a.name).Str("peer", peer).Msg("peer not asked for tokens")
		return gift, err
	}
	if gift.Tokens > 0 {
		m.receive(a, peer, tokens, gift.Tokens)
	}
	return gift, nil
}

func (m *Manager) receive(a *account, peer string, need, got int64) {
	m.mu.Lock()
	a.holding.Receive(got)
	m.serveWaiting(a)
	m.mu.Unlock()
	m.Log.Info().Str("account", a.name).Str("peer", peer).Int64("asked", need).Int64("got", got).Msg("tokens received")
}
