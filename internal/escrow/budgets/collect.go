package budgets

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
)

// collect collects available tokens of peers: the account's owner from all peers, any other
// daemon from those of its failure domain, whose digests are recent. lack, called with m.mu
// held, returns the tokens that all waiting requests lack and those that the smallest lacks. No
// round begins after ownerTransferWait, since no request of a peer waits longer.
func (m *Manager) collect(a *account, lack func() (need, least int64)) peersResult {
	everywhere := m.Peers.Owns(a.name)
	result, deadline := peersExhausted, time.Now().Add(ownerTransferWait)
	for c := new(escrow.Collect); ; {
		m.mu.Lock()
		need, least := lack()
		closed := m.closed
		m.mu.Unlock()
		switch {
		case closed:
			return result
		case need <= 0 && result == peersTransferred:
			return peersCovered
		case need <= 0 || time.Now().After(deadline):
			return result
		}
		known := m.Peers.KnownHoldings(a.name)
		known = slices.DeleteFunc(known, func(k escrow.KnownHolding) bool { return !k.Local && !everywhere })
		requests := c.Next(need, least, known)
		if len(requests) == 0 {
			return result
		}
		received, answered := m.requestHeld(a, requests)
		c.Received(received)
		switch {
		case received > 0:
			result = peersTransferred
		case !answered && result == peersExhausted:
			result = peersUnreachable
		}
	}
}

// requestHeld requests tokens that peers hold, from all at the same time, and returns the sum
// received. answered reports whether all peers have answered.
func (m *Manager) requestHeld(a *account, requests []escrow.PeerRequest) (received int64, answered bool) {
	var sum, failed atomic.Int64
	var wg sync.WaitGroup
	for _, r := range requests {
		wg.Go(func() {
			t, err := m.requestTokens(a, r.Peer, escrow.TransferRequest{Tokens: r.Tokens, HeldOnly: true})
			if err != nil {
				failed.Add(1)
			}
			sum.Add(t.Tokens)
		})
	}
	wg.Wait()
	return sum.Load(), failed.Load() == 0
}

// waits reports whether requests of this daemon or of peers wait for tokens.
func (a *account) waits() bool { return len(a.waiters) > 0 || len(a.transferRequests) > 0 }

// storeLost reports whether the last call of the store failed a short time ago in a wide fleet, or is being
// repeated.
func (m *Manager) storeLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeSuspect && (m.storeProbing || time.Now().Before(m.storeRetryAt)) && m.Peers.Wide()
}

// requestsLack returns the tokens that the waiting requests of peers lack, and those that the
// smallest of them lacks.
func (a *account) requestsLack() (need, least int64) {
	available := a.holding.Available() // negative if more was used than reserved
	if len(a.transferRequests) == 0 {
		return 0, 0
	}
	least = a.transferRequests[0].Tokens
	for _, r := range a.transferRequests {
		need += r.Tokens
		least = min(least, r.Tokens)
	}
	return max(0, need-available), max(0, least-available)
}
