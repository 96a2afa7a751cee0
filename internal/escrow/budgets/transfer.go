package budgets

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
)

// transferRequest is a peer's request for tokens that the holding does not cover yet.
type transferRequest struct {
	escrow.TransferRequest
	done chan escrow.Transfer
}

// Transfer answers a peer's request for tokens. If this daemon distributes the account's
// tokens, it obtains missing ones together for all requests that wait.
func (m *Manager) Transfer(ctx context.Context, account string, asked escrow.TransferRequest) escrow.Transfer {
	m.mu.Lock()
	a, ok := m.accounts[account]
	if !ok || m.closed {
		m.mu.Unlock()
		return escrow.Transfer{}
	}
	if asked.HeldOnly && a.waits() {
		m.mu.Unlock() // what is available is being collected here too
		return m.logTransfer(account, asked.Tokens, escrow.Transfer{})
	}
	if a.waits() {
		asked.Ahead = 0 // the needs of those that wait go first
	}
	transfer := m.transferAvailable(a, asked)
	if transfer.Tokens >= asked.Tokens || asked.HeldOnly || !m.mayObtain(account, transfer) {
		m.mu.Unlock()
		return m.logTransfer(account, asked.Tokens, transfer)
	}
	r := &transferRequest{TransferRequest: asked, done: make(chan escrow.Transfer, 1)}
	r.Tokens -= transfer.Tokens
	a.transferRequests = append(a.transferRequests, r)
	m.startTransferDraw(a)
	m.mu.Unlock()
	more := m.awaitTransfer(ctx, a, r)
	more.Tokens += transfer.Tokens
	return m.logTransfer(account, asked.Tokens, more)
}

// mayObtain reports whether this daemon may obtain tokens that a transfer lacks: as the
// account's distributor, from the store, the owner or, in a wide fleet, other peers.
func (m *Manager) mayObtain(account string, t escrow.Transfer) bool {
	return m.Peers.Distributes(account) && (!t.StoreUnreachable || !m.Peers.Owns(account) || m.Peers.Wide())
}

// transferAvailable removes the tokens that the holding covers. The caller holds m.mu.
func (m *Manager) transferAvailable(a *account, asked escrow.TransferRequest) escrow.Transfer {
	now := time.Now()
	transfer := escrow.Transfer{StoreUnreachable: now.Before(m.storeRetryAt)}
	if !m.Peers.Wide() {
		transfer.Tokens = a.holding.TransferOut(asked.Tokens)
		return transfer
	}
	transfer.Tokens = a.holding.TransferExact(asked.Tokens)
	if m.Peers.Distributes(a.name) {
		if transfer.Tokens == asked.Tokens {
			transfer.Tokens += a.holding.TransferAhead(asked.Ahead)
		}
		if !asked.HeldOnly {
			a.holding.RecordTransfer(now, transfer.Tokens)
		}
	}
	return transfer
}

func (m *Manager) logTransfer(account string, tokens int64, t escrow.Transfer) escrow.Transfer {
	m.Log.Info().Str("account", account).Int64("asked", tokens).Int64("given", t.Tokens).Bool("store_away", t.StoreUnreachable).
		Bool("store_empty", t.BudgetExhausted).Msg("tokens given")
	return t
}

// awaitTransfer waits a short time for the draw; afterwards the peer can obtain tokens
// elsewhere.
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

// startTransferDraw starts the goroutine that draws for peers unless one is running. The
// caller holds m.mu.
func (m *Manager) startTransferDraw(a *account) {
	if a.transferDrawing || m.closed {
		return
	}
	a.transferDrawing = true
	m.wg.Go(func() { m.transferDrawLoop(a) })
}

func (m *Manager) transferDrawLoop(a *account) {
	for {
		result := m.obtainForPeers(a)
		if result != storeDrawn && m.Peers.Wide() && m.collect(a, a.requestsLack).gave() {
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

// obtainForPeers obtains the tokens that waiting requests of peers lack: from the
// account's owner or, if this daemon is the owner or the owner does not answer, from the
// store.
func (m *Manager) obtainForPeers(a *account) drawResult {
	if owner := m.Peers.TransferSources(a.name); len(owner) > 0 {
		result, exhausted := m.requestFromPeers(a, owner, a.requestsShortfall, m.aheadOf(a))
		switch {
		case result.gave():
			return storeDrawn
		case exhausted:
			return storeExhausted
		}
	}
	if m.storeLost() && m.collect(a, a.requestsLack).gave() {
		return storeDrawn // a probe of the store takes longer than the requests wait
	}
	return m.drawAtLeast(a, func() (int64, bool) { return a.requestsShortfall(), false })
}

// requestsShortfall returns the tokens missing to cover all requests, limited to what
// the record leaves if it leaves any.
func (a *account) requestsShortfall() int64 {
	var sum int64
	for _, r := range a.transferRequests {
		sum += r.Tokens
	}
	shortfall := max(0, sum-max(0, a.holding.Available()))
	if undrawn := a.holding.Undrawn(); undrawn > 0 {
		shortfall = min(shortfall, undrawn)
	}
	return shortfall
}

// serveTransferRequests answers requests after a draw. If the draw succeeded, only those
// that the holding covers are answered. Otherwise all are, with the tokens that are
// left, in a wide fleet the smallest first. The caller holds m.mu.
func (m *Manager) serveTransferRequests(a *account, result drawResult) {
	if result != storeDrawn && m.Peers.Wide() {
		slices.SortStableFunc(a.transferRequests, func(r, s *transferRequest) int { return cmp.Compare(r.Tokens, s.Tokens) })
	}
	kept := a.transferRequests[:0]
	for _, r := range a.transferRequests {
		if result == storeDrawn && a.holding.Available() < r.Tokens {
			kept = append(kept, r)
			continue
		}
		if result != storeDrawn {
			r.Ahead = 0 // what is left is for the needs of the others
		}
		transfer := m.transferAvailable(a, r.TransferRequest)
		transfer.BudgetExhausted, transfer.StoreUnreachable = result == storeExhausted, result == storeUnreachable
		r.done <- transfer
	}
	a.transferRequests = kept
}
