// Package bank is the shell of package escrow: it keeps this daemon's holdings,
// draws tokens from the store and from other daemons, and answers their asks.
package bank

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
	storePause = 2 * time.Second
	// storePatience is the wait for the store before the peers are asked too.
	storePatience = 50 * time.Millisecond
	// peerTimeout bounds an ask of a peer, a few ms away; repeatTimeout that of
	// its repeat, and peersTimeout all asks for one draw.
	peerTimeout   = 150 * time.Millisecond
	repeatTimeout = 600 * time.Millisecond
	peersTimeout  = 400 * time.Millisecond
	// maxWait bounds the wait of one reservation.
	maxWait = 500 * time.Millisecond
	// retryLater is when a caller may come again whose budget is used up or
	// can't be drawn on while the store is away: a loss of the store lasts
	// about ten seconds. Callers wait a third of their time at most.
	retryLater = 5 * time.Second
	// retryUnavailable is the same where a draw took too long.
	retryUnavailable = 300 * time.Millisecond
	// lendPatience is the wait of a peer's ask for a draw, keeperPatience that in
	// a wide fleet, where the asks of a failure domain are drawn for together.
	lendPatience   = 50 * time.Millisecond
	keeperPatience = 120 * time.Millisecond
	// gatherPeers bounds the peers asked for their rest once the store has no
	// more: asks that wait allow a few exchanges within a failure domain.
	gatherPeers = 6
	// busyPause is the pause of a draw beside another write of the same record,
	// busyTries bounds them by storeTimeout.
	busyPause = 4 * time.Millisecond
	busyTries = int(storeTimeout / busyPause)
	// conflictTries bounds the repeats of a write that met other daemons'.
	conflictTries = 6
	// levelPause is the least time between two writes that bring holdings near
	// their targets, and levelTries bounds the repeats of one after conflicts.
	// The time grows by levelPerDaemon, which keeps the fleet's writes at about
	// seven a second and so far below the platform's limit.
	levelPause     = 2 * time.Second
	levelPerDaemon = 150 * time.Millisecond
	levelTries     = 3
)

// keyPrefix is the prefix of the accounts' records.
const keyPrefix = "azurehatch/budget/"

// Peers are the other daemons.
type Peers interface {
	// Richest returns the peers that may hold tokens of an account, the one
	// with the most first.
	Richest(account string) []string
	// Wide tells whether keepers draw for other daemons. Keeps tells whether this
	// daemon draws the account's tokens from the store, Lenders which peers to
	// ask first if not.
	Wide() bool
	Keeps(account string) bool
	Lenders(account string) []string
	// Rich returns at most n near peers that hold tokens, the richest first.
	Rich(account string, n int) []string
	// Holders is the number of daemons that draw each account's tokens.
	Holders() int
	// Count returns the number of live daemons, this one included.
	Count() int
	// Ask asks a peer for tokens. A repeat under the same id returns what the
	// first ask took.
	Ask(ctx context.Context, peer, id, account string, tokens int64) (escrow.Gift, error)
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
type Bank struct {
	Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	accounts  map[string]*account
	storeDown time.Time
	// suspect is true from a failed call until one succeeds; probing is true
	// while a draw tries whether the store is back, as only one does at a time.
	suspect, probing bool
	closed           bool
	// leveling is true while Tick's write is in flight; leveled is when it began.
	leveling bool
	leveled  time.Time
	// pause is the time to the next one.
	pause time.Duration
}

// account is one holding with the reservations that wait for it.
type account struct {
	name    string
	holding *escrow.Holding
	waiting []*waiter
	// filling is true while a goroutine draws tokens.
	filling bool
	// asks are those of peers that wait for a draw; lending is true while a
	// goroutine makes it.
	asks    []*ask
	lending bool
}

// waiter is a reservation that the holding does not cover yet.
type waiter struct {
	tokens int64
	done   chan error
}

// New returns a bank without holdings.
func New(o Options) *Bank {
	b := &Bank{Options: o, accounts: make(map[string]*account)}
	if b.Scope == nil {
		b.Scope = tally.NoopScope
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

// Configure sets the budgets of the accounts.
func (b *Bank) Configure(accounts []routing.Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range accounts {
		if a.Unlimited {
			continue
		}
		if former, changed := b.account(a.Name).holding.SetPrepaid(a.PrepaidTokens); changed {
			b.Log.Info().Str("account", a.Name).Int64("prepaid", a.PrepaidTokens).Int64("former", former).Msg("budget changed")
		}
	}
}

func (b *Bank) account(name string) *account {
	a, ok := b.accounts[name]
	if !ok {
		a = &account{name: name, holding: escrow.NewHolding(time.Now(), b.Holder)}
		b.accounts[name] = a
	}
	return a
}

// hold is a reservation.
type hold struct {
	b      *Bank
	a      *account
	tokens int64
}

// Settle implements relay.Reservation.
func (h *hold) Settle(used int64) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.a.holding.Settle(time.Now(), h.tokens, used)
	h.b.serveWaiting(h.a)
}

// Reserve implements relay.Budgets.
func (b *Bank) Reserve(ctx context.Context, ra *routing.Account, tokens int64) (relay.Reservation, error) {
	if tokens > ra.PrepaidTokens {
		return nil, problem.New(problem.BudgetExhausted, "the request may use %d tokens, the whole budget is %d", tokens, ra.PrepaidTokens)
	}
	b.mu.Lock()
	a := b.account(ra.Name)
	if len(a.waiting) == 0 && a.holding.Reserve(time.Now(), tokens) {
		b.mu.Unlock()
		return &hold{b: b, a: a, tokens: tokens}, nil
	}
	w := &waiter{tokens: tokens, done: make(chan error, 1)}
	a.waiting = append(a.waiting, w)
	b.fill(a)
	b.mu.Unlock()
	if err := b.await(ctx, a, w); err != nil {
		return nil, err
	}
	return &hold{b: b, a: a, tokens: tokens}, nil
}

func (b *Bank) await(ctx context.Context, a *account, w *waiter) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	if b.leave(a, w) {
		return problem.New(problem.BudgetUnavailable, "no tokens of account %q could be drawn in time", a.name).After(retryUnavailable)
	}
	return <-w.done
}

// leave takes a waiter out of the queue; false means that it was served.
func (b *Bank) leave(a *account, w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return remove(&a.waiting, w)
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
func (b *Bank) serveWaiting(a *account) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if a.holding.Reserve(time.Now(), w.tokens) {
			w.done <- nil
		} else {
			kept = append(kept, w)
		}
	}
	a.waiting = kept
}

// need is what the waiters lack.
func (a *account) need() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.tokens
	}
	return max(0, sum-a.holding.Available())
}

// least is what the smallest waiter lacks.
func (a *account) least() int64 {
	least := a.waiting[0].tokens
	for _, w := range a.waiting {
		least = min(least, w.tokens)
	}
	return max(0, least-a.holding.Available())
}

func (b *Bank) waits(a *account) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(a.waiting) > 0
}

// refuseWaiting ends the wait of all; certain means that the budget is used up.
func (b *Bank) refuseWaiting(a *account, certain bool) {
	for _, w := range a.waiting {
		b.Log.Warn().Str("account", a.name).Int64("tokens", w.tokens).Int64("available", a.holding.Available()).
			Int64("undrawn", a.holding.Undrawn()).Bool("certain", certain).Msg("reservation refused")
		p := problem.New(problem.BudgetUnavailable, "no tokens of account %q can be drawn now", a.name).After(retryLater)
		if certain {
			p = problem.New(problem.BudgetUnavailable, "the rest of account %q's budget does not cover %d tokens", a.name, w.tokens).After(retryLater)
		}
		w.done <- p
	}
	a.waiting = a.waiting[:0]
}

// Balances returns the tokens held, by account.
func (b *Bank) Balances() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	balances := make(map[string]int64)
	for name, a := range b.accounts {
		if n := a.holding.Available(); n > 0 {
			balances[name] = n
		}
	}
	return balances
}

// StoreHeard records that the store answers, so that draws are tried again.
func (b *Bank) StoreHeard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeDown, b.suspect = time.Time{}, false
}

// storeLost records a call that failed. The caller holds b.mu.
func (b *Bank) storeLost() { b.storeDown, b.suspect = time.Now().Add(storePause), true }

// Close returns what was not spent to the store.
func (b *Bank) Close(ctx context.Context) {
	b.mu.Lock()
	b.closed = true
	names := make([]string, 0, len(b.accounts))
	for name := range b.accounts {
		names = append(names, name)
	}
	b.mu.Unlock()
	sort.Strings(names)
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() { b.retire(ctx, b.accounts[name]) })
	}
	wg.Wait()
	b.cancel()
	b.wg.Wait()
}

// retire returns an account's tokens, after a write of its record that is in
// flight.
func (b *Bank) retire(ctx context.Context, a *account) {
	for tries, waits := 0, 0; tries < conflictTries && waits < busyTries && ctx.Err() == nil; {
		b.mu.Lock()
		busy := a.holding.Busy()
		w, ok := a.holding.Return()
		b.mu.Unlock()
		switch {
		case busy:
			waits++
			time.Sleep(busyPause)
			continue
		case !ok:
			return
		}
		tries++
		if done, _ := b.write(a, w, "return"); done {
			return
		}
	}
}
