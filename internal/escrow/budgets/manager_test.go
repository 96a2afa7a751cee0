package budgets

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// testPeers implements Peers with other managers, by name.
type testPeers struct {
	managers map[string]*Manager
	// sources are the peers that are asked before the store.
	sources map[string]*Manager
	// wide means that one manager owns the accounts of all, silent that a peer is not heard.
	wide, silent bool
	// elsewhere are tokens that peers tell of besides those of managers.
	elsewhere int64
}

func (p testPeers) KnownBalance(account string) (int64, bool) {
	sum := p.elsewhere
	for _, m := range p.managers {
		sum += m.Balances()[account]
	}
	return sum, !p.silent
}

func (p testPeers) Distributes(string) bool { return p.Owns("") }

func (p testPeers) PeersByTokens(string) []string {
	var names []string
	for name := range p.managers {
		names = append(names, name)
	}
	return names
}

func (p testPeers) RequestTokens(ctx context.Context, peer, _, account string, r escrow.TransferRequest) (escrow.Transfer, error) {
	return p.managers[peer].Transfer(ctx, account, r), nil
}

func (p testPeers) TransferSources(string) []string {
	var names []string
	for name := range p.sources {
		names = append(names, name)
	}
	return names
}

func (p testPeers) Owns(string) bool { return len(p.sources) == 0 }

func (p testPeers) KnownHoldings(account string) []escrow.KnownHolding {
	var known []escrow.KnownHolding
	for name, m := range p.managers {
		if tokens := m.Balances()[account]; tokens > 0 {
			known = append(known, escrow.KnownHolding{Peer: name, Local: true, Tokens: tokens})
		}
	}
	return known
}

func (p testPeers) Wide() bool { return p.wide }

func (p testPeers) Holders() int {
	if p.wide {
		return 1
	}
	return p.Count()
}

func (p testPeers) Count() int { return 1 + len(p.managers) }

const prepaid = 1000

func newManager(t *testing.T, store *memstore.Store, name string, peers map[string]*Manager) *Manager {
	t.Helper()
	return newStart(t, store, name, "1", peers)
}

// newStart returns the manager of one start of a daemon.
func newStart(t *testing.T, store *memstore.Store, name, start string, peers map[string]*Manager) *Manager {
	t.Helper()
	m := New(Options{Holder: escrow.HolderID(name, start), Store: store, Peers: testPeers{managers: peers}, Log: zerolog.Nop()})
	m.Configure([]routing.Account{{Name: "t", PrepaidTokens: prepaid}})
	t.Cleanup(func() { m.Close(t.Context()) })
	return m
}

var testAccount = &routing.Account{Name: "t", PrepaidTokens: prepaid}

func reserve(t *testing.T, m *Manager, tokens int64) error {
	t.Helper()
	_, err := m.Reserve(t.Context(), testAccount, tokens, true)
	return err
}

// Guards against two daemons that together reserve more than the budget, and
// against a refusal while tokens are left.
func TestReserveUpToTheBudget(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	b := newManager(t, store, "b", map[string]*Manager{"a": a})
	for range 5 {
		if err := reserve(t, a, 100); err != nil {
			t.Fatal(err)
		}
		if err := reserve(t, b, 100); err != nil {
			t.Fatal(err)
		}
	}
	err := reserve(t, b, 1)
	var p *problem.Error
	if !errors.As(err, &p) || p.Kind != problem.BudgetExhausted || p.RetryAfter != 0 {
		t.Errorf("got %v, want a refusal that says that the budget is exhausted", err)
	}
}

// Guards against a daemon that refuses requests while the store is unreachable although
// another daemon holds tokens, and against tokens that are used twice.
func TestReserveFromPeersWithoutTheStore(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	b := newManager(t, store, "b", map[string]*Manager{"a": a})
	h, err := a.Reserve(t.Context(), testAccount, 600, true)
	if err != nil {
		t.Fatal(err)
	}
	h.Settle(0)
	store.SetFaults(memstore.Faults{Outage: true})
	if err := reserve(t, b, 500); err != nil {
		t.Errorf("refused with 600 tokens at the other daemon: %v", err)
	}
	if err := reserve(t, a, 200); err == nil {
		t.Error("tokens were used twice")
	}
}

// Guards against a write with a lost answer that is counted, or that blocks the account
// permanently.
func TestLostAnswer(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	store.SetFaults(memstore.Faults{LoseAnswers: 1})
	if err := reserve(t, a, 400); err == nil {
		t.Error("a draw without an answer was counted")
	}
	a.StoreContacted()
	if err := reserve(t, a, 400); err != nil {
		t.Errorf("refused although the store is reachable again: %v", err)
	}
	if err := reserve(t, a, 700); err == nil {
		t.Error("reserved 1,100 tokens of a budget of 1,000")
	}
}

// Guards against tokens that stay with a daemon that has stopped.
func TestCloseReturnsTokens(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	h, err := a.Reserve(t.Context(), testAccount, 900, true)
	if err != nil {
		t.Fatal(err)
	}
	h.Settle(100)
	a.Close(t.Context())
	if err := reserve(t, newManager(t, store, "b", nil), 900); err != nil {
		t.Errorf("900 unspent tokens were not returned to the store: %v", err)
	}
}

// Guards against a reservation that waits without limit for the store.
func TestReserveTimesOut(t *testing.T) {
	store := memstore.New(nil)
	store.SetFaults(memstore.Faults{LatencyMillis: 5000})
	a := newManager(t, store, "a", nil)
	start := time.Now()
	if err := reserve(t, a, 10); err == nil {
		t.Error("reserved without the store")
	}
	if took := time.Since(start); took > 2*maxReservationWait {
		t.Errorf("took %v, want about %v at most", took, maxReservationWait)
	}
}

// Guards against rebalancing writes that are refused because many accounts put more keys
// into one write than the platform accepts.
func TestRebalanceManyAccounts(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	var accounts []routing.Account
	for i := range 2*platform.MaxSwapKeys + 1 {
		accounts = append(accounts, routing.Account{Name: fmt.Sprint("account-", i), PrepaidTokens: prepaid})
	}
	a.Configure(accounts)
	for now := time.Now(); len(a.Balances()) < len(accounts); now = now.Add(minRebalanceInterval) {
		if now.After(time.Now().Add(5 * minRebalanceInterval)) {
			t.Fatalf("%d of %d accounts hold tokens", len(a.Balances()), len(accounts))
		}
		a.Tick(now)
		a.wg.Wait()
	}
}

// Guards against a call of the store for tokens that the account's owner holds or draws,
// and against a refusal when the owner cannot reach the store.
func TestTransferSourcesComeBeforeTheStore(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	h, err := a.Reserve(t.Context(), testAccount, 600, true)
	if err != nil {
		t.Fatal(err)
	}
	h.Settle(0)
	b := newManager(t, store, "b", map[string]*Manager{"a": a})
	b.Peers = testPeers{managers: map[string]*Manager{"a": a}, sources: map[string]*Manager{"a": a}, wide: true}
	before := store.Calls()
	if err := reserve(t, b, 100); err != nil {
		t.Fatal(err)
	}
	if after := store.Calls(); after != before {
		t.Errorf("calls %+v, want %+v: a peer held enough", after, before)
	}
	a.mu.Lock()
	a.storeRetryAt = time.Now().Add(time.Minute)
	a.mu.Unlock()
	for range 2 {
		if err := reserve(t, b, 200); err != nil {
			t.Errorf("refused although 900 tokens are left: %v", err)
		}
	}
	b.Tick(time.Now().Add(time.Minute))
	b.wg.Wait()
	if a.accounts["t"].holding.BelowTarget(time.Now()) && b.Balances()["t"] > 2*a.Balances()["t"] {
		t.Errorf("holdings %d and %d: only the owner should draw ahead of need", a.Balances()["t"], b.Balances()["t"])
	}
}

// Guards against a rate of rebalancing writes that grows with the fleet.
func TestRebalanceIntervalGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		daemons           int
		shortest, longest time.Duration
	}{
		{1, minRebalanceInterval, minRebalanceInterval}, {7, minRebalanceInterval, minRebalanceInterval},
		{64, 7 * time.Second, 13 * time.Second}, {420, 47 * time.Second, 80 * time.Second},
	} {
		if got := rebalanceIntervalFor(c.daemons); got < c.shortest || got > c.longest {
			t.Errorf("%d daemons: %v, want %v to %v", c.daemons, got, c.shortest, c.longest)
		}
	}
}

// Guards against a refusal of a reservation that has to draw while a rebalancing write
// of the same record is in flight.
func TestReserveDuringARebalanceWrite(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	if err := reserve(t, a, 1); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(memstore.Faults{LatencyMillis: 60})
	now := time.Now()
	a.mu.Lock()
	w, ok := a.accounts["t"].holding.Draw(now, 50, true)
	a.mu.Unlock()
	if !ok {
		t.Fatal("no draw possible")
	}
	a.wg.Go(func() { a.write(a.accounts["t"], w, "level") })
	if err := reserve(t, a, 800); err != nil {
		t.Errorf("refused while 999 tokens are left: %v", err)
	}
}

// Guards against concurrent requests of which only the first gets tokens, and against
// one that waits long for a store that does not answer.
func TestConcurrentTransferRequests(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	store.SetFaults(memstore.Faults{LatencyMillis: 10})
	var wg sync.WaitGroup
	var got atomic.Int64
	for range 8 {
		wg.Go(func() { got.Add(a.Transfer(t.Context(), "t", escrow.TransferRequest{Tokens: 100}).Tokens) })
	}
	wg.Wait()
	if got.Load() < 800 || got.Load() > prepaid {
		t.Errorf("%d tokens transferred, want 800 to %d", got.Load(), prepaid)
	}
	store.SetFaults(memstore.Faults{LatencyMillis: 5000})
	start := time.Now()
	a.Transfer(t.Context(), "t", escrow.TransferRequest{Tokens: 300})
	if took := time.Since(start); took > 4*transferWait {
		t.Errorf("a request took %v, want about %v at most", took, transferWait)
	}
}

// Guards against an owner of a wide fleet that refuses requests while other daemons of
// its failure domain hold tokens that they no longer need.
func TestOwnerCollectsIdleTokens(t *testing.T) {
	store := memstore.New(nil)
	owner := newManager(t, store, "owner", nil)
	daemons := make(map[string]*Manager)
	for _, name := range []string{"b", "c", "d"} {
		daemons[name] = newManager(t, store, name, nil)
		daemons[name].Peers = testPeers{
			managers: map[string]*Manager{"owner": owner}, sources: map[string]*Manager{"owner": owner}, wide: true,
		}
	}
	owner.Peers = testPeers{managers: daemons, wide: true}
	for _, name := range []string{"b", "c"} {
		h, err := daemons[name].Reserve(t.Context(), testAccount, 450, true)
		if err != nil {
			t.Fatal(err)
		}
		h.Settle(50)
	}
	if err := reserve(t, daemons["d"], 700); err != nil {
		t.Errorf("refused while 900 of 1,000 tokens are unspent: %v", err)
	}
	if err := reserve(t, daemons["b"], 300); err == nil {
		t.Error("1,100 tokens of 1,000 are spent or reserved")
	}
}

// silentPeers are peers that do not answer a first request in time. A repeated request
// is answered if answersRepeats is set.
type silentPeers struct {
	testPeers
	peers          int
	answersRepeats bool
	mu             sync.Mutex
	requests       map[string]int
}

func (s *silentPeers) PeersByTokens(string) []string {
	var names []string
	for i := range s.peers {
		names = append(names, fmt.Sprint("p", i))
	}
	return names
}

func (s *silentPeers) RequestTokens(ctx context.Context, _, id, _ string, r escrow.TransferRequest) (escrow.Transfer, error) {
	s.mu.Lock()
	s.requests[id]++
	first := s.requests[id] == 1
	s.mu.Unlock()
	if first || !s.answersRepeats {
		<-ctx.Done()
		return escrow.Transfer{}, ctx.Err()
	}
	return escrow.Transfer{Tokens: r.Tokens}, nil
}

// Guards against a daemon that asks one silent peer after the other while the store is
// reachable again. This once made a daemon refuse requests of a busy account for eight
// seconds.
func TestSilentPeersDoNotDelayTheStore(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	a.Peers = &silentPeers{peers: 40, requests: make(map[string]int)}
	store.SetFaults(memstore.Faults{Outage: true})
	if err := reserve(t, a, 300); err == nil {
		t.Fatal("reserved although neither the store nor a peer answers")
	}
	store.SetFaults(memstore.Faults{})
	a.StoreContacted()
	if err := reserve(t, a, 300); err != nil {
		t.Errorf("refused although the store answers again: %v", err)
	}
}

// Guards against tokens that are lost with the late answer of a slow peer.
func TestRepeatedRequestDeliversTheTokens(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	a.Peers = &silentPeers{peers: 1, answersRepeats: true, requests: make(map[string]int)}
	store.SetFaults(memstore.Faults{Outage: true})
	err := reserve(t, a, 300)
	held := func() int64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.accounts["t"].holding.Available()
	}
	for deadline := time.Now().Add(2 * time.Second); err != nil && held() == 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	// If the repeat is answered before the reservation is refused, the reservation has
	// the tokens.
	want := int64(300)
	if err == nil {
		want = 0
	}
	if got := held(); got != want || a.accounts["t"].holding.Reserved() != 300-want {
		t.Errorf("reservation %v: %d tokens are held, %d reserved; want %d held and the rest reserved",
			err, got, a.accounts["t"].holding.Reserved(), want)
	}
}

// Guards against a stop that loses the tokens of an account while a write of its record
// is in flight.
func TestCloseDuringAWrite(t *testing.T) {
	store := memstore.New(nil)
	a := newManager(t, store, "a", nil)
	if err := reserve(t, a, 1); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(memstore.Faults{LatencyMillis: 60})
	a.mu.Lock()
	w, ok := a.accounts["t"].holding.Draw(time.Now(), 500, true)
	a.mu.Unlock()
	if !ok {
		t.Fatal("no draw possible")
	}
	a.wg.Go(func() { a.write(a.accounts["t"], w, "level") })
	a.Close(t.Context())
	store.SetFaults(memstore.Faults{})
	if err := reserve(t, newManager(t, store, "b", nil), 990); err != nil {
		t.Errorf("refused 990 of 999 unspent tokens after the other daemon's stop: %v", err)
	}
}
