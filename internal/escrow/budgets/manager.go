// Package budgets performs the I/O around package escrow: it keeps this daemon's
// holdings, draws tokens from the store, requests them from other daemons and answers
// their requests.
package budgets

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/relay"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// Timeouts, waits and limits.
const (
	// storeTimeout bounds a write of a record; the store usually answers in 4 ms.
	storeTimeout = 400 * time.Millisecond
	// storeRetryPause is the pause after a failed call of the store. It ends early
	// if the store is contacted successfully in the meantime.
	storeRetryPause = 2 * time.Second
	// peerFallbackDelay is how long a draw waits for the store before it asks the
	// peers too.
	peerFallbackDelay = 50 * time.Millisecond
	// peerTimeout bounds a request to a peer, which is a few ms away,
	// peerRetryTimeout its retry and allPeersTimeout all requests of one draw.
	peerTimeout      = 150 * time.Millisecond
	peerRetryTimeout = 600 * time.Millisecond
	allPeersTimeout  = 400 * time.Millisecond
	// maxReservationWait bounds the wait of one reservation.
	maxReservationWait = 500 * time.Millisecond
	// retryAfterNoTokens tells callers when to retry if the budget is exhausted or
	// no tokens can be drawn because the store is unreachable, which lasts about
	// ten seconds. Callers wait at most a third of their time limit.
	retryAfterNoTokens = 5 * time.Second
	// retryAfterSlowDraw tells callers when to retry if a draw took too long.
	retryAfterSlowDraw = 300 * time.Millisecond
	// transferWait is how long a peer's request waits for a draw.
	// ownerTransferWait applies in a wide fleet, where an owner draws for the
	// requests of its failure domain together.
	transferWait      = 50 * time.Millisecond
	ownerTransferWait = 120 * time.Millisecond
	// maxLoggedHoldings bounds the peers' holdings in the log line of a refusal.
	maxLoggedHoldings = 3
	// pendingWritePause is how long a draw waits before it checks again whether
	// another write of the same record has ended; maxPendingWritePauses limits
	// these waits to storeTimeout.
	pendingWritePause     = 4 * time.Millisecond
	maxPendingWritePauses = int(storeTimeout / pendingWritePause)
	// maxWriteAttempts bounds the attempts of a write that conflicts with writes
	// of other daemons. From the second conflict on, the attempts are a random
	// part of conflictPause apart: after the loss of an account's owner, the
	// daemons that it served write at the same time.
	maxWriteAttempts = 10
	conflictPause    = 16 * time.Millisecond
	// minRebalanceInterval is the least time between two writes that rebalance the
	// holdings. The interval grows by rebalanceIntervalPerDaemon, which keeps the
	// fleet at about seven writes per second, far below the platform's limit.
	// ownedRebalanceInterval is the least time between two writes that rebalance the
	// accounts that a daemon of a wide fleet owns: some use up all that may be held of
	// them in a few seconds. maxRebalanceAttempts bounds the attempts of one write after
	// conflicts.
	minRebalanceInterval       = 2 * time.Second
	rebalanceIntervalPerDaemon = 150 * time.Millisecond
	ownedRebalanceInterval     = time.Second
	maxRebalanceAttempts       = 3
)

// Store holds the accounts' records.
type Store interface {
	platform.Records
	// Range returns the items whose keys have the prefix, and the store's revision.
	Range(ctx context.Context, prefix string) ([]platform.Item, platform.Revision, error)
}

// Peers provides access to the other daemons.
type Peers interface {
	// PeersByTokens returns the peers that may hold tokens of an account, in
	// descending order of their tokens.
	PeersByTokens(account string) []string
	// Wide reports whether the fleet is wide, so that one daemon draws an account's
	// tokens for all. Owns reports whether this daemon does, Distributes whether it
	// obtains them for its failure domain. If this daemon does not own the account,
	// TransferSources returns the peers to ask before the store.
	Wide() bool
	Owns(account string) bool
	Distributes(account string) bool
	TransferSources(account string) []string
	// KnownHoldings returns the tokens of an account that live peers have by their last
	// digests and replies, in descending order, without peers that have none.
	KnownHoldings(account string) []escrow.KnownHolding
	// KnownBalance returns the tokens of an account that live peers have by their last
	// digests. complete is false if a peer has fallen silent, which may have others.
	KnownBalance(account string) (tokens int64, complete bool)
	// Holders returns the number of daemons that draw each account's tokens.
	Holders() int
	// Count returns the number of live daemons, including this one.
	Count() int
	// RequestTokens requests tokens from a peer. A retry with the same id returns the
	// result of the first request.
	RequestTokens(ctx context.Context, peer, id, account string, r escrow.TransferRequest) (escrow.Transfer, error)
	// Members returns all daemons that are known, except this one.
	Members() []Member
	// BudgetRecords returns what a peer's Records returns.
	BudgetRecords(ctx context.Context, peer string) ([]platform.Item, platform.Revision, error)
}

// Options configure a Manager.
type Options struct {
	// Holder is the holder id of this incarnation of the daemon.
	Holder string
	Store  Store
	Peers  Peers
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Manager manages this daemon's holdings, one per account.
type Manager struct {
	Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	accounts map[string]*account
	// era is the store's era since eraSince; formerEra is true if this daemon has known
	// another one. eraStale is true if a record is missing, which only a newer era explains.
	era                 int64
	eraSince            time.Time
	formerEra, eraStale bool
	// reconciling is true while the accounts are reconciled with a new era.
	reconciling bool
	// storeRetryAt is when the store may be called again after a failed call.
	storeRetryAt time.Time
	// storeSuspect is true from a failed call until one succeeds. storeProbing is
	// true while one draw probes whether the store is reachable again; only one
	// draw does so at a time.
	storeSuspect, storeProbing bool
	closed                     bool
	// rebalancing is true while a rebalancing write is in flight; rebalancedAt is
	// when the last one began.
	rebalancing  bool
	rebalancedAt time.Time
	// rebalanceInterval is the time from rebalancedAt to the next such write.
	rebalanceInterval time.Duration
	// ownedRebalancedAt is when a rebalancing write of the owned accounts last began.
	ownedRebalancedAt time.Time
}

// account is one holding with the reservations and requests that wait for it.
type account struct {
	name    string
	holding *escrow.Holding
	waiters []*waiter
	// drawing is true while a goroutine draws tokens for waiters.
	drawing bool
	// transferRequests are requests of peers that wait for a draw;
	// transferDrawing is true while a goroutine draws tokens for them.
	transferRequests []*transferRequest
	transferDrawing  bool
	// wanted is true if tokens were to be drawn or returned while the record of the
	// current era was not known.
	wanted bool
}

// New returns a Manager without holdings.
func New(o Options) *Manager {
	m := &Manager{Options: o, accounts: make(map[string]*account), era: unknownEra}
	if m.Scope == nil {
		m.Scope = tally.NoopScope
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Configure sets the budgets of all accounts that are not unlimited.
func (m *Manager) Configure(accounts []routing.Account) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range accounts {
		if a.Unlimited {
			continue
		}
		if former, changed := m.account(a.Name).holding.SetPrepaid(a.PrepaidTokens); changed {
			m.Log.Info().Str("account", a.Name).Int64("prepaid", a.PrepaidTokens).Int64("former", former).Msg("budget changed")
		}
	}
}

func (m *Manager) account(name string) *account {
	a, ok := m.accounts[name]
	if !ok {
		a = &account{name: name, holding: escrow.NewHolding(time.Now(), m.Holder)}
		a.holding.EnterEra(m.era)
		m.accounts[name] = a
	}
	return a
}

// reservation implements relay.Reservation.
type reservation struct {
	m      *Manager
	a      *account
	tokens int64
}

// Settle implements relay.Reservation.
func (r *reservation) Settle(used int64) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	r.a.holding.Settle(time.Now(), r.tokens, used)
	r.m.serveWaiters(r.a)
}

// Reserve implements relay.Budgets.
func (m *Manager) Reserve(
	ctx context.Context, ra *routing.Account, tokens int64, urgent bool,
) (relay.Reservation, error) {
	if tokens < 0 {
		return nil, problem.New(problem.InvalidRequest, "the request declares %d tokens", tokens)
	}
	if tokens > ra.PrepaidTokens {
		return nil, problem.New(problem.BudgetExhausted, "the request may use %d tokens, the whole budget is %d", tokens, ra.PrepaidTokens)
	}
	m.mu.Lock()
	a := m.account(ra.Name)
	// In a wide fleet requests for tokens don't tell their urgency.
	a.holding.KeepUrgent(!m.Peers.Wide())
	if len(a.waiters) == 0 && a.holding.Reserve(time.Now(), tokens) {
		m.mu.Unlock()
		return &reservation{m: m, a: a, tokens: tokens}, nil
	}
	w := &waiter{tokens: tokens, urgent: urgent, done: make(chan error, 1)}
	a.enqueue(w)
	m.startDraw(a)
	m.mu.Unlock()
	if err := m.awaitTokens(ctx, a, w); err != nil {
		return nil, err
	}
	return &reservation{m: m, a: a, tokens: tokens}, nil
}

// Balances returns the available tokens, by account.
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

// StoreContacted records that the store has answered, so that draws call it again.
func (m *Manager) StoreContacted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeRetryAt, m.storeSuspect = time.Time{}, false
}

// markStoreUnreachable records that a call of the store failed. The caller holds m.mu.
func (m *Manager) markStoreUnreachable() {
	m.storeRetryAt, m.storeSuspect = time.Now().Add(storeRetryPause), true
}

// Close returns the unspent tokens to the store and waits for all goroutines.
func (m *Manager) Close(ctx context.Context) {
	m.mu.Lock()
	m.closed = true
	names := make([]string, 0, len(m.accounts))
	for name := range m.accounts {
		names = append(names, name)
	}
	m.mu.Unlock()
	sort.Strings(names)
	m.awaitReconcile(ctx)
	if m.reconcileBeforeReturn() {
		m.reconcile(ctx)
	}
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() { m.returnTokens(ctx, m.accounts[name]) })
	}
	wg.Wait()
	m.cancel()
	m.wg.Wait()
}

// awaitReconcile waits for the end of a reconciliation that is running: until then the records
// to which tokens are returned are not known.
func (m *Manager) awaitReconcile(ctx context.Context) {
	for {
		m.mu.Lock()
		running := m.reconciling
		m.mu.Unlock()
		if !running || !pause.Sleep(ctx, pendingWritePause) {
			return
		}
	}
}

// reconcileBeforeReturn reports whether tokens can be returned only after a reconciliation.
func (m *Manager) reconcileBeforeReturn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reconciling || m.era == unknownEra {
		return false
	}
	for _, a := range m.accounts {
		a.wanted = a.wanted || a.holding.Available() > 0
	}
	return m.needsReconcile()
}

// returnTokens returns an account's tokens, after the end of any write of its record
// that is in flight.
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
