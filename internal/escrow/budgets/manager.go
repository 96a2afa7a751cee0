// Package budgets is the shell of package escrow: it keeps this daemon's holdings,
// draws tokens from the store and from other daemons, and answers their asks.
package budgets

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/relay"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// Times of the bank.
const (
	// storeTimeout bounds a write of a record; the store answers in 4 ms.
	storeTimeout = 400 * time.Millisecond
	// storePause is the time after a failed call before the next one, unless
	// the store is heard of in between.
	storeRetryPause = 2 * time.Second
	// storePatience is the wait for the store before the peers are asked too.
	peerFallbackDelay = 50 * time.Millisecond
	// peerTimeout bounds an ask of a peer, a few ms away; repeatTimeout that of
	// its repeat, and peersTimeout all asks for one draw.
	peerTimeout      = 150 * time.Millisecond
	peerRetryTimeout = 600 * time.Millisecond
	allPeersTimeout  = 400 * time.Millisecond
	// maxWait bounds the wait of one reservation.
	maxReservationWait = 500 * time.Millisecond
	// retryLater is when a caller may come again whose budget is used up or
	// can't be drawn on while the store is away: a loss of the store lasts
	// about ten seconds. Callers wait a third of their time at most.
	retryAfterNoTokens = 5 * time.Second
	// retryUnavailable is the same where a draw took too long.
	retryAfterSlowDraw = 300 * time.Millisecond
	// lendPatience is the wait of a peer's ask for a draw, keeperPatience that in
	// a wide fleet, where the asks of a failure domain are drawn for together.
	transferWait      = 50 * time.Millisecond
	ownerTransferWait = 120 * time.Millisecond
	// gatherPeers bounds the peers asked for their rest once the store has no
	// more: asks that wait allow a few exchanges within a failure domain.
	maxCollectPeers = 6
	// busyPause is the pause of a draw beside another write of the same record,
	// busyTries bounds them by storeTimeout.
	pendingWritePause     = 4 * time.Millisecond
	maxPendingWritePauses = int(storeTimeout / pendingWritePause)
	// conflictTries bounds the repeats of a write that met other daemons'.
	maxWriteAttempts = 6
	// levelPause is the least time between two writes that bring holdings near
	// their targets, and levelTries bounds the repeats of one after conflicts.
	// The time grows by levelPerDaemon, which keeps the fleet's writes at about
	// seven a second and so far below the platform's limit.
	minRebalanceInterval       = 2 * time.Second
	rebalanceIntervalPerDaemon = 150 * time.Millisecond
	maxRebalanceAttempts       = 3
)

// keyPrefix is the prefix of the accounts' records.
const keyPrefix = "azurehatch/budget/"

// Peers are the other daemons.
type Peers interface {
	// Richest returns the peers that may hold tokens of an account, the one
	// with the most first.
	PeersByTokens(account string) []string
	// Wide tells whether keepers draw for other daemons. Keeps tells whether this
	// daemon draws the account's tokens from the store, Lenders which peers to
	// ask first if not.
	Wide() bool
	Owns(account string) bool
	TransferSources(account string) []string
	// Rich returns at most n near peers that hold tokens, the richest first.
	LocalPeersByTokens(account string, n int) []string
	// Holders is the number of daemons that draw each account's tokens.
	Holders() int
	// Count returns the number of live daemons, this one included.
	Count() int
	// Ask asks a peer for tokens. A repeat under the same id returns what the
	// first ask took.
	RequestTokens(ctx context.Context, peer, id, account string, tokens int64) (escrow.Transfer, error)
}

// Options configure a Bank.
type Options struct {
	// Holder is the id of this start of this instance.
	Holder string
	Store  platform.Records
	Peers  Peers
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Bank holds this daemon's part of each account's budget.
type Manager struct {
	Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	accounts     map[string]*account
	storeRetryAt time.Time
	// suspect is true from a failed call until one succeeds; probing is true
	// while a draw tries whether the store is back, as only one does at a time.
	storeSuspect, storeProbing bool
	closed                     bool
	// leveling is true while Tick's write is in flight; leveled is when it began.
	rebalancing  bool
	rebalancedAt time.Time
	// pause is the time to the next one.
	rebalanceInterval time.Duration
}

// account is one holding with the reservations that wait for it.
type account struct {
	name    string
	holding *escrow.Holding
	waiters []*waiter
	// filling is true while a goroutine draws tokens.
	drawing bool
	// asks are those of peers that wait for a draw; lending is true while a
	// goroutine makes it.
	transferRequests []*transferRequest
	transferDrawing  bool
}

// waiter is a reservation that the holding does not cover yet.
type waiter struct {
	tokens int64
	done   chan error
}

// New returns a bank without holdings.
func New(o Options) *Manager {
	m := &Manager{Options: o, accounts: make(map[string]*account)}
	if m.Scope == nil {
		m.Scope = tally.NoopScope
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Configure sets the budgets of the accounts.
func (m *Manager) Configure(accounts []routing.Account) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range accounts {
		if a.Unlimited {
			continue
		}
		if former, changed := m.account(a.Name).holding.SetPrepaid(a.Prepaid); changed {
			m.Log.Info().Str("account", a.Name).Int64("prepaid", a.Prepaid).Int64("former", former).Msg("budget changed")
		}
	}
}

func (m *Manager) account(name string) *account {
	a, ok := m.accounts[name]
	if !ok {
		a = &account{name: name, holding: escrow.NewHolding(time.Now(), m.Holder)}
		m.accounts[name] = a
	}
	return a
}

// hold is a reservation.
type reservation struct {
	m      *Manager
	a      *account
	tokens int64
}

// Settle implements relay.Hold.
func (h *reservation) Settle(used int64) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.a.holding.Settle(time.Now(), h.tokens, used)
	h.m.serveWaiters(h.a)
}

// Reserve implements relay.Bank.
func (m *Manager) Reserve(ctx context.Context, ra *routing.Account, tokens int64) (relay.Hold, error) {
	if tokens > ra.Prepaid {
		return nil, problem.New(problem.BudgetExhausted, "the request may use %d tokens, the whole budget is %d", tokens, ra.Prepaid)
	}
	m.mu.Lock()
	a := m.account(ra.Name)
	if len(a.waiters) == 0 && a.holding.Reserve(time.Now(), tokens) {
		m.mu.Unlock()
		return &reservation{m: m, a: a, tokens: tokens}, nil
	}
	w := &waiter{tokens: tokens, done: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	m.startDraw(a)
	m.mu.Unlock()
	if err := m.awaitTokens(ctx, a, w); err != nil {
		return nil, err
	}
	return &reservation{m: m, a: a, tokens: tokens}, nil
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
		return problem.New(problem.BudgetUnavailable, "no tokens of account %q could be drawn in time", a.name).After(retryAfterSlowDraw)
	}
	return <-w.done
}

// leave takes a waiter out of the queue; false means that it was served.
func (m *Manager) dequeue(a *account, w *waiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return remove(&a.waiters, w)
}

// remove takes an element out of a queue; it returns false if it is not there.
func remove[T comparable](queue *[]T, x T) bool {
	i := slices.Index(*queue, x)
	if i < 0 {
		return false
	}
	*queue = slices.Delete(*queue, i, i+1)
	return true
}

// serveWaiting gives tokens to the waiters that the holding covers.
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

// need is what the waiters lack.
func (a *account) shortfall() int64 {
	var sum int64
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return max(0, sum-a.holding.Available())
}

// least is what the smallest waiter lacks.
func (a *account) smallestShortfall() int64 {
	least := a.waiters[0].tokens
	for _, w := range a.waiters {
		least = min(least, w.tokens)
	}
	return max(0, least-a.holding.Available())
}

func (m *Manager) hasWaiters(a *account) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(a.waiters) > 0
}

// refuseWaiting ends the wait of all; certain means that the budget is used up.
func (m *Manager) refuseWaiters(a *account, certain bool) {
	for _, w := range a.waiters {
		m.Log.Warn().Str("account", a.name).Int64("tokens", w.tokens).Int64("available", a.holding.Available()).
			Int64("undrawn", a.holding.Undrawn()).Bool("certain", certain).Msg("reservation refused")
		p := problem.New(problem.BudgetUnavailable, "no tokens of account %q can be drawn now", a.name).After(retryAfterNoTokens)
		if certain {
			p = problem.New(problem.BudgetUnavailable, "the rest of account %q's budget does not cover %d tokens", a.name, w.tokens).After(retryAfterNoTokens)
		}
		w.done <- p
	}
	a.waiters = a.waiters[:0]
}

// Balances returns the tokens held, by account.
func (m *Manager) Balances() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	balances := make(map[string]int64)
	for name, a := range m.accounts {
		if n := a.holding.Available(); n > 0 {
			balances[name] = n
		}
	}
	return balances
}

// StoreHeard records that the store answers, so that draws are tried again.
func (m *Manager) StoreContacted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeRetryAt, m.storeSuspect = time.Time{}, false
}

// storeLost records a call that failed. The caller holds m.mu.
func (m *Manager) markStoreUnreachable() {
	m.storeRetryAt, m.storeSuspect = time.Now().Add(storeRetryPause), true
}

// Close returns what was not spent to the store.
func (m *Manager) Close(ctx context.Context) {
	m.mu.Lock()
	m.closed = true
	names := make([]string, 0, len(m.accounts))
	for name := range m.accounts {
		names = append(names, name)
	}
	m.mu.Unlock()
	sort.Strings(names)
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() { m.returnTokens(ctx, m.accounts[name]) })
	}
	wg.Wait()
	m.cancel()
	m.wg.Wait()
}

// retire returns an account's tokens, after a write of its record that is in
// flight.
func (m *Manager) returnTokens(ctx context.Context, a *account) {
	for attempts, pauses := 0, 0; attempts < maxWriteAttempts && pauses < maxPendingWritePauses && ctx.Err() == nil; {
		m.mu.Lock()
		busy := a.holding.WriteInFlight()
		w, ok := a.holding.Return()
		m.mu.Unlock()
		switch {
		case busy:
			pauses++
			time.Sleep(pendingWritePause)
			continue
		case !ok:
			return
		}
		attempts++
		if done, _ := m.write(a, w, "return"); done {
			return
		}
	}
}
