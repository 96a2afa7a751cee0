package budgets

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
)

// ask is a peer's ask that the holding does not cover yet.
type transferRequest struct {
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
	transfer := m.transferAvailable(a, tokens)
	if transfer.Tokens >= tokens || transfer.StoreUnreachable || !m.Peers.Owns(account) {
		m.mu.Unlock()
		return m.logTransfer(account, tokens, transfer)
	}
	r := &transferRequest{tokens: tokens - transfer.Tokens, done: make(chan escrow.Transfer, 1)}
	a.transferRequests = append(a.transferRequests, r)
	m.startTransferDraw(a)
	m.mu.Unlock()
	more := m.awaitTransfer(ctx, a, r)
	more.Tokens += transfer.Tokens
	return m.logTransfer(account, tokens, more)
}

// hand takes out what the holding covers. The caller holds m.mu.
func (m *Manager) transferAvailable(a *account, tokens int64) escrow.Transfer {
	now := time.Now()
	transfer := escrow.Transfer{StoreUnreachable: now.Before(m.storeRetryAt)}
	if !m.Peers.Wide() {
		transfer.Tokens = a.holding.TransferOut(tokens)
		return transfer
	}
	transfer.Tokens = a.holding.TransferExact(tokens)
	if m.Peers.Owns(a.name) {
		a.holding.RecordTransfer(now, transfer.Tokens)
	}
	return transfer
}

func (m *Manager) logTransfer(account string, tokens int64, t escrow.Transfer) escrow.Transfer {
	m.Log.Info().Str("account", account).Int64("asked", tokens).Int64("given", t.Tokens).Bool("store_away", t.StoreUnreachable).
		Bool("store_empty", t.BudgetExhausted).Msg("tokens given")
	return t
}

// awaitLoan waits for the draw, a short time only: the peer has other ways.
func (m *Manager) awaitTransfer(ctx context.Context, a *account, r *transferRequest) escrow.Transfer {
	wait := transferWait
	if m.Peers.Wide() {
		wait = ownerTransferWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case t := <-r.done:
		return t
	case <-timer.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if remove(&a.transferRequests, r) {
		return escrow.Transfer{}
	}
	return <-r.done
}

// lend starts the goroutine that draws for peers, if none runs.
func (m *Manager) startTransferDraw(a *account) {
	if a.transferDrawing || m.closed {
		return
	}
	a.transferDrawing = true
	m.wg.Go(func() { m.transferDrawLoop(a) })
}

func (m *Manager) transferDrawLoop(a *account) {
	for {
		result := m.drawAtLeast(a, a.requestsShortfall)
		if result == storeExhausted && m.collectFromPeers(a) {
			result = storeDrawn
		}
		m.mu.Lock()
		m.serveTransferRequests(a, result)
		if len(a.transferRequests) == 0 {
			a.transferDrawing = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// gather takes what near peers hold beyond their needs, once the store has no
// more for the asks; it returns true if that covers one of them.
func (m *Manager) collectFromPeers(a *account) bool {
	if !m.Peers.Wide() {
		return false
	}
	for _, peer := range m.Peers.LocalPeersByTokens(a.name, maxCollectPeers) {
		shortfall := m.firstRequestShortfall(a)
		if shortfall <= 0 {
			break
		}
		_, _ = m.requestTokens(a, peer, shortfall)
	}
	return m.firstRequestShortfall(a) <= 0
}

// lack is what the holding misses for the first ask.
func (m *Manager) firstRequestShortfall(a *account) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(a.transferRequests) == 0 {
		return 0
	}
	return a.transferRequests[0].tokens - a.holding.Available()
}

// asked is what the asks lack, or as much of it as the record leaves.
func (a *account) requestsShortfall() int64 {
	var sum int64
	for _, w := range a.transferRequests {
		sum += w.tokens
	}
	shortfall := max(0, sum-max(0, a.holding.Available()))
	if undrawn := a.holding.Undrawn(); undrawn > 0 {
		shortfall = min(shortfall, undrawn)
	}
	return shortfall
}

// serveAsks answers the asks after a draw. After one that brought nothing all
// get what is left.
func (m *Manager) serveTransferRequests(a *account, result drawResult) {
	kept := a.transferRequests[:0]
	for _, w := range a.transferRequests {
		if result == storeDrawn && a.holding.Available() < w.tokens {
			kept = append(kept, w)
			continue
		}
		transfer := m.transferAvailable(a, w.tokens)
		transfer.BudgetExhausted, transfer.StoreUnreachable = result == storeExhausted, result == storeUnreachable
		w.done <- transfer
	}
	a.transferRequests = kept
}
