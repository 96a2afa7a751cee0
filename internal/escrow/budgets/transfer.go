package budgets

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
)

// ask is a peer's ask that the holding does not cover yet.
type ask struct {
	tokens int64
	done   chan escrow.Transfer
}

// Give answers a peer's ask. What this daemon does not hold is drawn from the
// store, for all asks that wait together.
func (m *Manager) Transfer(ctx context.Context, account string, tokens int64) escrow.Transfer {
	m.mu.Lock()
	a, ok := m.accounts[account]
	if !ok || m.closed {
		m.mu.Unlock()
		return escrow.Transfer{}
	}
	gift := m.hand(a, tokens)
	if gift.Tokens >= tokens || gift.StoreUnreachable || !m.Peers.Owns(account) {
		m.mu.Unlock()
		return m.given(account, tokens, gift)
	}
	w := &ask{tokens: tokens - gift.Tokens, done: make(chan escrow.Transfer, 1)}
	a.asks = append(a.asks, w)
	m.lend(a)
	m.mu.Unlock()
	more := m.awaitLoan(ctx, a, w)
	more.Tokens += gift.Tokens
	return m.given(account, tokens, more)
}

// hand takes out what the holding covers. The caller holds m.mu.
func (m *Manager) hand(a *account, tokens int64) escrow.Transfer {
	now := time.Now()
	gift := escrow.Transfer{StoreUnreachable: now.Before(m.storeDown)}
	if !m.Peers.Wide() {
		gift.Tokens = a.holding.TransferOut(tokens)
		return gift
	}
	gift.Tokens = a.holding.TransferExact(tokens)
	if m.Peers.Owns(a.name) {
		a.holding.RecordTransfer(now, gift.Tokens)
	}
	return gift
}

func (m *Manager) given(account string, tokens int64, g escrow.Transfer) escrow.Transfer {
	m.Log.Info().Str("account", account).Int64("asked", tokens).Int64("given", g.Tokens).Bool("store_away", g.StoreUnreachable).
		Bool("store_empty", g.BudgetExhausted).Msg("tokens given")
	return g
}

// awaitLoan waits for the draw, a short time only: the peer has other ways.
func (m *Manager) awaitLoan(ctx context.Context, a *account, w *ask) escrow.Transfer {
	patience := lendPatience
	if m.Peers.Wide() {
		patience = keeperPatience
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case g := <-w.done:
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if remove(&a.asks, w) {
		return escrow.Transfer{}
	}
	return <-w.done
}

// lend starts the goroutine that draws for peers, if none runs.
func (m *Manager) lend(a *account) {
	if a.lending || m.closed {
		return
	}
	a.lending = true
	m.wg.Go(func() { m.lendLoop(a) })
}

func (m *Manager) lendLoop(a *account) {
	for {
		result := m.drawAtLeast(a, a.asked)
		if result == storeEmpty && m.gather(a) {
			result = storeDrawn
		}
		m.mu.Lock()
		m.serveAsks(a, result)
		if len(a.asks) == 0 {
			a.lending = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// gather takes what near peers hold beyond their needs, once the store has no
// more for the asks; it returns true if that covers one of them.
func (m *Manager) gather(a *account) bool {
	if !m.Peers.Wide() {
		return false
	}
	for _, peer := range m.Peers.LocalPeersByTokens(a.name, gatherPeers) {
		lack := m.lack(a)
		if lack <= 0 {
			break
		}
		_, _ = m.ask(a, peer, lack)
	}
	return m.lack(a) <= 0
}

// lack is what the holding misses for the first ask.
func (m *Manager) lack(a *account) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(a.asks) == 0 {
		return 0
	}
	return a.asks[0].tokens - a.holding.Available()
}

// asked is what the asks lack, or as much of it as the record leaves.
func (a *account) asked() int64 {
	var sum int64
	for _, w := range a.asks {
		sum += w.tokens
	}
	lack := max(0, sum-max(0, a.holding.Available()))
	if left := a.holding.Undrawn(); left > 0 {
		lack = min(lack, left)
	}
	return lack
}

// serveAsks answers the asks after a draw. After one that brought nothing all
// get what is left.
func (m *Manager) serveAsks(a *account, result drawResult) {
	kept := a.asks[:0]
	for _, w := range a.asks {
		if result == storeDrawn && a.holding.Available() < w.tokens {
			kept = append(kept, w)
			continue
		}
		gift := m.hand(a, w.tokens)
		gift.BudgetExhausted, gift.StoreUnreachable = result == storeEmpty, result == storeAway
		w.done <- gift
	}
	a.asks = kept
}
