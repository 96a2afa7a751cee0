package bank

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

// neighbours are the other banks of a test, by name.
type neighbours struct {
	banks map[string]*Bank
	// lenders are those that are asked before the store.
	lenders map[string]*Bank
	// wide means that one bank keeps the accounts for all.
	wide bool
}

func (n neighbours) Richest(string) []string {
	var names []string
	for name := range n.banks {
		names = append(names, name)
	}
	return names
}

func (n neighbours) Ask(ctx context.Context, peer, _, account string, tokens int64) (escrow.Gift, error) {
	return n.banks[peer].Give(ctx, account, tokens), nil
}

func (n neighbours) Lenders(string) []string {
	var names []string
	for name := range n.lenders {
		names = append(names, name)
	}
	return names
}

func (n neighbours) Keeps(string) bool { return len(n.lenders) == 0 }

func (n neighbours) Rich(account string, _ int) []string {
	var names []string
	for name, b := range n.banks {
		if b.Balances()[account] > 0 {
			names = append(names, name)
		}
	}
	return names
}

func (n neighbours) Wide() bool { return n.wide }

func (n neighbours) Holders() int {
	if n.wide {
		return 1
	}
	return n.Count()
}

func (n neighbours) Count() int { return 1 + len(n.banks) }

const prepaid = 1000

func newBank(t *testing.T, store *memstore.Store, name string, peers map[string]*Bank) *Bank {
	t.Helper()
	b := New(Options{Holder: escrow.HolderID(name, "1"), Store: store, Peers: neighbours{banks: peers}, Log: zerolog.Nop()})
	b.Configure([]routing.Account{{Name: "t", PrepaidTokens: prepaid}})
	t.Cleanup(func() { b.Close(t.Context()) })
	return b
}

var tenant = &routing.Account{Name: "t", PrepaidTokens: prepaid}

func reserve(t *testing.T, b *Bank, tokens int64) error {
	t.Helper()
	_, err := b.Reserve(t.Context(), tenant, tokens)
	return err
}

// Guards against two daemons that together reserve more than the budget, and
// against a refusal while tokens are left.
func TestReserveUpToTheBudget(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	b := newBank(t, store, "b", map[string]*Bank{"a": a})
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
	if !errors.As(err, &p) || p.Kind != problem.BudgetUnavailable || p.RetryAfter != retryLater {
		t.Errorf("got %v, want a refusal that names %v", err, retryLater)
	}
}

// Guards against a daemon that refuses in a loss of the store although another
// one holds tokens, and against tokens that appear from nowhere.
func TestReserveFromPeersWithoutTheStore(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	b := newBank(t, store, "b", map[string]*Bank{"a": a})
	h, err := a.Reserve(t.Context(), tenant, 600)
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

// Guards against a write with a lost answer that is counted, or that blocks the
// account for good.
func TestLostAnswer(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	store.SetFaults(memstore.Faults{LoseAnswers: 1})
	if err := reserve(t, a, 400); err == nil {
		t.Error("a draw without an answer was counted")
	}
	a.StoreHeard()
	if err := reserve(t, a, 400); err != nil {
		t.Errorf("refused after the store came back: %v", err)
	}
	if err := reserve(t, a, 700); err == nil {
		t.Error("1,100 tokens of 1,000 were reserved")
	}
}

// Guards against tokens that stay with a daemon that has stopped.
func TestCloseReturnsTokens(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	h, err := a.Reserve(t.Context(), tenant, 900)
	if err != nil {
		t.Fatal(err)
	}
	h.Settle(100)
	a.Close(t.Context())
	if err := reserve(t, newBank(t, store, "b", nil), 900); err != nil {
		t.Errorf("900 unspent tokens did not come back: %v", err)
	}
}

// Guards against a wait without end for tokens that do not come.
func TestReserveEnds(t *testing.T) {
	store := memstore.New(nil)
	store.SetFaults(memstore.Faults{LatencyMillis: 5000})
	a := newBank(t, store, "a", nil)
	begun := time.Now()
	if err := reserve(t, a, 10); err == nil {
		t.Error("reserved without the store")
	}
	if took := time.Since(begun); took > 2*maxWait {
		t.Errorf("took %v, want about %v at most", took, maxWait)
	}
}

// Guards against a fleet with many accounts whose common writes are all refused
// since they name more keys than the platform takes.
func TestLevelManyAccounts(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	var accounts []routing.Account
	for i := range 2*platform.MaxSwapKeys + 1 {
		accounts = append(accounts, routing.Account{Name: fmt.Sprint("account-", i), PrepaidTokens: prepaid})
	}
	a.Configure(accounts)
	for now := time.Now(); len(a.Balances()) < len(accounts); now = now.Add(levelPause) {
		if now.After(time.Now().Add(5 * levelPause)) {
			t.Fatalf("%d of %d accounts hold tokens", len(a.Balances()), len(accounts))
		}
		a.Tick(now)
		a.wg.Wait()
	}
}

// Guards against a call of the store for tokens that the account's keeper holds
// or draws, and against a refusal where the keeper is cut off from the store.
func TestLendersComeBeforeTheStore(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	h, err := a.Reserve(t.Context(), tenant, 600)
	if err != nil {
		t.Fatal(err)
	}
	h.Settle(0)
	b := newBank(t, store, "b", map[string]*Bank{"a": a})
	b.Peers = neighbours{banks: map[string]*Bank{"a": a}, lenders: map[string]*Bank{"a": a}, wide: true}
	before := store.Calls()
	if err := reserve(t, b, 100); err != nil {
		t.Fatal(err)
	}
	if after := store.Calls(); after != before {
		t.Errorf("calls %+v, want %+v: a peer held enough", after, before)
	}
	a.mu.Lock()
	a.storeDown = time.Now().Add(time.Minute)
	a.mu.Unlock()
	for range 2 {
		if err := reserve(t, b, 200); err != nil {
			t.Errorf("refused although 900 tokens are left: %v", err)
		}
	}
	b.Tick(time.Now().Add(time.Minute))
	b.wg.Wait()
	if a.accounts["t"].holding.Low(time.Now()) && b.Balances()["t"] > 2*a.Balances()["t"] {
		t.Errorf("holdings %d and %d: only the keeper draws ahead", a.Balances()["t"], b.Balances()["t"])
	}
}

// Guards against levelling writes that grow with the fleet.
func TestLevelPauseGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		daemons     int
		least, most time.Duration
	}{{1, levelPause, levelPause}, {7, levelPause, levelPause}, {64, 7 * time.Second, 13 * time.Second}, {420, 47 * time.Second, 80 * time.Second}} {
		if got := pauseOf(c.daemons); got < c.least || got > c.most {
			t.Errorf("%d daemons: %v, want %v to %v", c.daemons, got, c.least, c.most)
		}
	}
}

// Guards against a refusal of a reservation that has to draw while a levelling
// write of the same record is in flight.
func TestReserveBesideALevellingWrite(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	if err := reserve(t, a, 1); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(memstore.Faults{LatencyMillis: 60})
	now := time.Now()
	a.mu.Lock()
	w, ok := a.accounts["t"].holding.Draw(now, 50)
	a.mu.Unlock()
	if !ok {
		t.Fatal("no draw possible")
	}
	a.wg.Go(func() { a.write(a.accounts["t"], w, "level") })
	if err := reserve(t, a, 800); err != nil {
		t.Errorf("refused while 999 tokens are left: %v", err)
	}
}

// Guards against asks that come together and of which all but the first get
// nothing, and against one that waits long for a store that does not answer.
func TestAsksThatComeTogether(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	store.SetFaults(memstore.Faults{LatencyMillis: 10})
	var wg sync.WaitGroup
	var got atomic.Int64
	for range 8 {
		wg.Go(func() { got.Add(a.Give(t.Context(), "t", 100).Tokens) })
	}
	wg.Wait()
	if got.Load() < 800 || got.Load() > prepaid {
		t.Errorf("%d tokens given, want 800 to %d", got.Load(), prepaid)
	}
	store.SetFaults(memstore.Faults{LatencyMillis: 5000})
	begun := time.Now()
	a.Give(t.Context(), "t", 300)
	if took := time.Since(begun); took > 4*lendPatience {
		t.Errorf("an ask took %v, want about %v at most", took, lendPatience)
	}
}

// Guards against tokens that stay with daemons that need them no more while the
// keeper of a wide fleet refuses others.
func TestKeeperGathersWhatLiesIdle(t *testing.T) {
	store := memstore.New(nil)
	keeper := newBank(t, store, "keeper", nil)
	daemons := make(map[string]*Bank)
	for _, name := range []string{"b", "c", "d"} {
		daemons[name] = newBank(t, store, name, nil)
		daemons[name].Peers = neighbours{banks: map[string]*Bank{"keeper": keeper}, lenders: map[string]*Bank{"keeper": keeper}, wide: true}
	}
	keeper.Peers = neighbours{banks: daemons, wide: true}
	for _, name := range []string{"b", "c"} {
		h, err := daemons[name].Reserve(t.Context(), tenant, 450)
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

// silent is a fleet whose peers do not answer in time; the tokens of a first ask
// come with its repeat.
type silent struct {
	neighbours
	peers int
	// repeats tells whether a repeated ask is answered.
	repeats bool
	mu      sync.Mutex
	asked   map[string]int
}

func (s *silent) Richest(string) []string {
	var names []string
	for i := range s.peers {
		names = append(names, fmt.Sprint("p", i))
	}
	return names
}

func (s *silent) Ask(ctx context.Context, _, id, _ string, tokens int64) (escrow.Gift, error) {
	s.mu.Lock()
	s.asked[id]++
	first := s.asked[id] == 1
	s.mu.Unlock()
	if first || !s.repeats {
		<-ctx.Done()
		return escrow.Gift{}, ctx.Err()
	}
	return escrow.Gift{Tokens: tokens}, nil
}

// Guards against a daemon that asks one silent peer after the other while the
// store is back: front-arm-c-8 refused the hot account for eight seconds.
func TestSilentPeersDoNotHoldUpTheStore(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	a.Peers = &silent{peers: 40, asked: make(map[string]int)}
	store.SetFaults(memstore.Faults{Outage: true})
	if err := reserve(t, a, 300); err == nil {
		t.Fatal("reserved without the store and peers")
	}
	store.SetFaults(memstore.Faults{})
	a.StoreHeard()
	if err := reserve(t, a, 300); err != nil {
		t.Errorf("refused although the store is back: %v", err)
	}
}

// Guards against tokens that are lost with the answer of a peer that is slow.
func TestRepeatedAskBringsTheTokens(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	a.Peers = &silent{peers: 1, repeats: true, asked: make(map[string]int)}
	store.SetFaults(memstore.Faults{Outage: true})
	_ = reserve(t, a, 300)
	for deadline := time.Now().Add(2 * time.Second); a.Balances()["t"] == 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := a.Balances()["t"]; got != 300 {
		t.Errorf("%d tokens are held, want 300", got)
	}
}

// Guards against a stop that loses the tokens of an account whose record is being
// written.
func TestCloseBesideAWrite(t *testing.T) {
	store := memstore.New(nil)
	a := newBank(t, store, "a", nil)
	if err := reserve(t, a, 1); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(memstore.Faults{LatencyMillis: 60})
	a.mu.Lock()
	w, ok := a.accounts["t"].holding.Draw(time.Now(), 500)
	a.mu.Unlock()
	if !ok {
		t.Fatal("no draw possible")
	}
	a.wg.Go(func() { a.write(a.accounts["t"], w, "level") })
	a.Close(t.Context())
	store.SetFaults(memstore.Faults{})
	if err := reserve(t, newBank(t, store, "b", nil), 990); err != nil {
		t.Errorf("refused 990 of 999 unspent tokens after the other daemon's stop: %v", err)
	}
}
