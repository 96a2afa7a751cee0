package budgets

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/problem"
)

// waiter is a reservation that the holding does not cover yet.
type waiter struct {
	tokens int64
	urgent bool
	done   chan error
}

func (m *Manager) awaitTokens(ctx context.Context, a *account, w *waiter) error {
	timer := time.NewTimer(maxReservationWait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	if m.dequeue(a, w) {
		return problem.New(problem.BudgetUnavailable, "no tokens of account %q could be drawn in time", a.name).WithRetryAfter(retryAfterSlowDraw)
	}
	return <-w.done
}

// dequeue removes a waiter from the queue. It returns false if the waiter has been
// served.
func (m *Manager) dequeue(a *account, w *waiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return remove(&a.waiters, w)
}

// remove deletes an element from a queue and reports whether it was there.
func remove[T comparable](queue *[]T, x T) bool {
	i := slices.Index(*queue, x)
	if i < 0 {
		return false
	}
	*queue = slices.Delete(*queue, i, i+1)
	return true
}

// enqueue adds a waiter to the queue: an urgent one before those that are not, and after
// the urgent ones that came earlier.
func (a *account) enqueue(w *waiter) {
	at := len(a.waiters)
	if w.urgent {
		if i := slices.IndexFunc(a.waiters, func(other *waiter) bool { return !other.urgent }); i >= 0 {
			at = i
		}
	}
	a.waiters = slices.Insert(a.waiters, at, w)
}

// serveWaiters reserves tokens for the waiters that the holding covers, in the order of
// the queue.
func (m *Manager) serveWaiters(a *account) {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		if a.holding.Reserve(time.Now(), w.tokens) {
			w.done <- nil
		} else {
			kept = append(kept, w)
		}
	}
	a.waiters = kept
}

// shortfall returns the tokens missing to cover all waiters.
func (a *account) shortfall() int64 { return a.shortfallOf(false) }

// shortfallOf returns the tokens missing to cover all waiters, or only the urgent ones.
func (a *account) shortfallOf(urgentOnly bool) int64 {
	var sum int64
	for _, w := range a.waiters {
		if w.urgent || !urgentOnly {
			sum += w.tokens
		}
	}
	return max(0, sum-a.holding.Available())
}

// smallestShortfall returns the tokens missing to cover the smallest waiter, or the
// smallest urgent one.
func (a *account) smallestShortfall(urgentOnly bool) int64 {
	least := int64(math.MaxInt64)
	for _, w := range a.waiters {
		if w.urgent || !urgentOnly {
			least = min(least, w.tokens)
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return max(0, least-a.holding.Available())
}

// hasUrgentWaiter reports whether an urgent request waits; urgent ones are first.
func (a *account) hasUrgentWaiter() bool { return len(a.waiters) > 0 && a.waiters[0].urgent }

func (m *Manager) hasWaiters(a *account) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(a.waiters) > 0
}

// shortage is what is known of an account's tokens when none could be obtained.
type shortage struct {
	// drawnUp is true if neither the store nor the peers that were asked have enough.
	drawnUp bool
	// available are the tokens of this daemon.
	available int64
	// elsewhere are the tokens that live peers have by their last digests, allHeard is false
	// if a peer is silent, which may have others.
	elsewhere int64
	allHeard  bool
	// holders are the peers that have most of these tokens.
	holders []escrow.KnownHolding
}

// shortageOf returns what is known of an account's tokens elsewhere.
func (m *Manager) shortageOf(a *account, drawnUp bool) shortage {
	s := shortage{drawnUp: drawnUp}
	s.elsewhere, s.allHeard = m.Peers.KnownBalance(a.name)
	holders := m.Peers.KnownHoldings(a.name)
	s.holders = holders[:min(len(holders), maxLoggedHoldings)]
	return s
}

// exhausts reports whether the budget has no tokens for a request anywhere.
func (s shortage) exhausts(tokens int64) bool {
	return s.drawnUp && s.allHeard && s.elsewhere+max(0, s.available) < tokens
}

// refuseWaiters refuses all waiters. The caller holds m.mu.
func (m *Manager) refuseWaiters(a *account, s shortage) {
	s.available = a.holding.Available()
	for _, w := range a.waiters {
		m.Log.Warn().Str("account", a.name).Int64("tokens", w.tokens).Int64("available", s.available).
			Int64("undrawn", a.holding.Undrawn()).Int64("elsewhere", s.elsewhere).Interface("holders", s.holders).
			Bool("all_heard", s.allHeard).
			Bool("certain", s.drawnUp).Bool("exhausted", s.exhausts(w.tokens)).Msg("reservation refused")
		w.done <- refusal(a.name, w.tokens, s)
	}
	a.waiters = a.waiters[:0]
}

// refusal returns the error for a waiter. Where no repeat can succeed without a top-up, the
// caller is told so and does not come back in vain.
func refusal(account string, tokens int64, s shortage) *problem.Error {
	switch {
	case s.exhausts(tokens):
		return problem.New(problem.BudgetExhausted, "the rest of account %q's budget does not cover %d tokens", account, tokens)
	case s.drawnUp:
		return problem.New(problem.BudgetUnavailable, "no tokens of account %q are left here for a request of %d", account, tokens).
			WithRetryAfter(retryAfterNoTokens)
	default:
		return problem.New(problem.BudgetUnavailable, "no tokens of account %q can be drawn now", account).WithRetryAfter(retryAfterNoTokens)
	}
}
