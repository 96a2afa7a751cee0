package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/gateway"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/problem"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDomain is a failure domain of ledgers that call each other directly. The
// first live member owns all shards.
type fakeDomain struct {
	ledgers map[string]*Ledger

	mu   sync.Mutex
	live []string
	// registrationsToFail is the number of calls of Register that get no answer.
	registrationsToFail int
}

// failRegistration reports whether a call of Register gets no answer.
func (d *fakeDomain) failRegistration() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registrationsToFail--
	return d.registrationsToFail >= 0
}

func (d *fakeDomain) setLive(ids ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live = ids
}

func (d *fakeDomain) ids() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.live
}

func (d *fakeDomain) Owner(string, string) (membership.Member, bool) {
	return d.LiveIn("")[0], true
}

func (d *fakeDomain) LiveIn(string) []membership.Member {
	var list []membership.Member
	for _, id := range d.ids() {
		list = append(list, membership.Member{Identity: membership.Identity{ID: id, Addr: id}})
	}
	return list
}

func (d *fakeDomain) Addr(id string) (string, bool) { return id, true }
func (d *fakeDomain) Domains() []string             { return []string{"a"} }
func (d *fakeDomain) Gone(id string) bool           { return !slices.Contains(d.ids(), id) }

var errUnreachable = errors.New("unreachable")

func (d *fakeDomain) ledgerAt(addr string) (*Ledger, error) {
	if l, ok := d.ledgers[addr]; ok {
		return l, nil
	}
	return nil, errUnreachable
}

func (d *fakeDomain) Reserve(ctx context.Context, addr string, r budget.ReserveRequest) (budget.Reply, error) {
	l, err := d.ledgerAt(addr)
	if err != nil {
		return budget.Reply{}, err
	}
	return l.Reserve(ctx, r)
}

func (d *fakeDomain) Extend(ctx context.Context, addr string, r budget.ExtendRequest) (budget.Reply, error) {
	l, err := d.ledgerAt(addr)
	if err != nil {
		return budget.Reply{}, err
	}
	return l.Extend(ctx, r)
}

func (d *fakeDomain) Settle(ctx context.Context, addr string, r budget.SettleRequest) (budget.Reply, error) {
	l, err := d.ledgerAt(addr)
	if err != nil {
		return budget.Reply{}, err
	}
	return l.Settle(ctx, r)
}

func (d *fakeDomain) Register(ctx context.Context, addr string, r budget.RegisterRequest) (budget.Reply, error) {
	l, err := d.ledgerAt(addr)
	if err == nil && d.failRegistration() {
		err = errUnreachable
	}
	if err != nil {
		return budget.Reply{}, err
	}
	return l.Register(ctx, r)
}

func (d *fakeDomain) Mirror(_ context.Context, addr string, m budget.MirrorRequest) (budget.MirrorAnswer, error) {
	l, err := d.ledgerAt(addr)
	if err != nil {
		return budget.MirrorAnswer{}, err
	}
	return l.Mirror(m), nil
}

func (d *fakeDomain) Reclaim(context.Context, string, budget.ReclaimRequest) error { return nil }

func (d *fakeDomain) AnnounceEpoch(_ context.Context, addr string, shard int, epoch uint64) error {
	l, err := d.ledgerAt(addr)
	if err == nil {
		l.ObserveEpoch(shard, epoch)
	}
	return err
}

func newFakeDomain(t *testing.T, store *memstore.Store, ids ...string) *fakeDomain {
	d := &fakeDomain{ledgers: map[string]*Ledger{}, live: ids}
	for _, id := range ids {
		d.ledgers[id] = New(Options{
			ID: id, Domain: "a", Store: store, Members: d, Peers: d, FlushInterval: 20 * time.Millisecond,
			ExtensionTokens: 256, Timeout: 20 * time.Second,
			BudgetFor: func(account, _ string) (string, bool) { return account + "/main", true }, Log: zerolog.Nop(),
		})
	}
	t.Cleanup(func() {
		for _, l := range d.ledgers {
			l.Close()
		}
	})
	return d
}

func topUp(t *testing.T, store *memstore.Store, tokens int64) Accounts {
	accounts := Accounts{Store: store}
	if err := accounts.TopUp(context.Background(), "op1", "shop/main", tokens); err != nil {
		t.Fatal(err)
	}
	return accounts
}

func drainLedger(t *testing.T, l *Ledger) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := l.Drain(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against a bill that is lost or counted twice between two daemons, also
// when the store applies a write but its answer is lost.
func TestBillsReachTheStoreOnce(t *testing.T) {
	store := memstore.New(nil)
	accounts := topUp(t, store, 1000)
	d := newFakeDomain(t, store, "d1", "d2")
	store.SetFaults(memstore.Faults{LoseAnswers: 2})
	for i := range 10 {
		l := d.ledgers[d.ids()[i%2]]
		reservation, err := l.Gateway().Reserve(context.Background(), gateway.ReservationRequest{
			ID: fmt.Sprint("r", i), Account: "shop", Tokens: 50,
		})
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		reservation.Settle(10)
	}
	for _, l := range d.ledgers {
		drainLedger(t, l)
	}
	s, err := accounts.Statement(context.Background(), "shop")
	if err != nil {
		t.Fatal(err)
	}
	if s.Spent != 100 || s.Requests != 10 || len(s.Bills) != 10 {
		t.Errorf("spent %d in %d requests with %d bills, want 100, 10, 10", s.Spent, s.Requests, len(s.Bills))
	}
}

// Guards against overspending and against a refusal while tokens are left.
func TestExhaustedBudgetRefuses(t *testing.T) {
	store := memstore.New(nil)
	topUp(t, store, 100)
	l := newFakeDomain(t, store, "d1", "d2").ledgers["d2"].Gateway()
	ctx := context.Background()
	if _, err := l.Reserve(ctx, gateway.ReservationRequest{ID: "r1", Account: "shop", Tokens: 90}); err != nil {
		t.Fatal(err)
	}
	_, err := l.Reserve(ctx, gateway.ReservationRequest{ID: "r2", Account: "shop", Tokens: 20})
	if p := problem.From(err); p.Kind != problem.BudgetExhausted {
		t.Errorf("got %v, want budget-exhausted", err)
	}
	if _, err := l.Reserve(ctx, gateway.ReservationRequest{ID: "r3", Account: "shop", Tokens: 10}); err != nil {
		t.Errorf("10 tokens are left: %v", err)
	}
}

// Guards against open reservations that are lost with the allocator: a
// reservation made under the old allocator must still be billed, exactly once.
func TestAllocatorChange(t *testing.T) {
	store := memstore.New(nil)
	accounts := topUp(t, store, 1000)
	d := newFakeDomain(t, store, "d1", "d2", "d3")
	ctx := context.Background()
	r1, err := d.ledgers["d2"].Gateway().Reserve(ctx, gateway.ReservationRequest{ID: "r1", Account: "shop", Tokens: 50})
	if err != nil {
		t.Fatal(err)
	}
	d.ledgers["d1"].Close()
	d.setLive("d2", "d3")
	d.ledgers["d2"].MembersChanged()
	d.ledgers["d3"].MembersChanged()
	r2, err := d.ledgers["d3"].Gateway().Reserve(ctx, gateway.ReservationRequest{ID: "r2", Account: "shop", Tokens: 50})
	if err != nil {
		t.Fatal(err)
	}
	r1.Settle(30)
	r2.Settle(20)
	drainLedger(t, d.ledgers["d2"])
	drainLedger(t, d.ledgers["d3"])
	s, err := accounts.Statement(ctx, "shop")
	if err != nil || s.Spent != 50 || s.Requests != 2 {
		t.Errorf("statement %+v, error %v, want 50 tokens in 2 requests", s, err)
	}
}

// Guards against a planned stop that ends with bills which are not durable, because the
// daemon's registration with a new allocator got no answer: the account would be charged for
// the whole reservation.
func TestDrainRegistersAgain(t *testing.T) {
	store := memstore.New(nil)
	accounts := topUp(t, store, 1000)
	d := newFakeDomain(t, store, "d1", "d2", "d3")
	ctx := context.Background()
	r, err := d.ledgers["d3"].Gateway().Reserve(ctx, gateway.ReservationRequest{ID: "r1", Account: "shop", Tokens: 50})
	if err != nil {
		t.Fatal(err)
	}
	d.mu.Lock()
	d.registrationsToFail = 3
	d.mu.Unlock()
	d.ledgers["d1"].Close()
	d.setLive("d2", "d3")
	d.ledgers["d2"].MembersChanged()
	d.ledgers["d3"].MembersChanged()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		d.mu.Lock()
		failed := d.registrationsToFail < 3
		d.mu.Unlock()
		if failed {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the daemon did not register with the new allocator")
		}
	}
	r.Settle(30)
	drainLedger(t, d.ledgers["d3"])
	if s, err := accounts.Statement(ctx, "shop"); err != nil || s.Spent != 30 || s.Requests != 1 {
		t.Errorf("statement %+v, error %v after the drain, want 30 tokens in 1 request", s, err)
	}
}

// Guards against a reservation that is never billed because its daemon, which
// was also the allocator, is gone before the succeeding allocator exists, so that
// the successor receives no event of the loss.
func TestSuccessorChargesLostDaemon(t *testing.T) {
	store := memstore.New(nil)
	accounts := topUp(t, store, 1000)
	d := newFakeDomain(t, store, "d1", "d2")
	ctx := context.Background()
	if _, err := d.ledgers["d1"].Gateway().Reserve(ctx, gateway.ReservationRequest{ID: "r1", Account: "shop", Tokens: 50}); err != nil {
		t.Fatal(err)
	}
	d.ledgers["d1"].Close()
	l := d.ledgers["d2"]
	d.setLive("d2")
	l.MemberGone(membership.Member{Identity: membership.Identity{ID: "d1"}})
	l.MembersChanged()
	deadline := time.Now().Add(30 * time.Second)
	for {
		s, err := accounts.Statement(ctx, "shop")
		if err != nil {
			t.Fatal(err)
		}
		if s.Spent == 50 && s.Requests == 1 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("statement %+v, want a bill of 50 tokens", s)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against tokens that stay reserved when a stream ends while its
// reservation is being extended.
func TestExtendAfterSettleHasNoEffect(t *testing.T) {
	store := memstore.New(nil)
	accounts := topUp(t, store, 1000)
	d := newFakeDomain(t, store, "d1", "d2")
	ctx := context.Background()
	reservation, err := d.ledgers["d2"].Gateway().Reserve(ctx, gateway.ReservationRequest{ID: "r1", Account: "shop", Tokens: 50})
	if err != nil {
		t.Fatal(err)
	}
	reservation.Settle(30)
	if err := reservation.Extend(ctx, 200); err == nil {
		t.Error("a settled reservation was extended")
	}
	drainLedger(t, d.ledgers["d2"])
	s, err := accounts.Statement(ctx, "shop")
	if err != nil || s.Spent != 30 {
		t.Errorf("statement %+v, error %v, want 30 tokens", s, err)
	}
}

// Guards against settlements that are taken for duplicates of those of an
// earlier process with the same id.
func TestReusedIDIsRefused(t *testing.T) {
	store := memstore.New(nil)
	topUp(t, store, 1000)
	first := newFakeDomain(t, store, "d1", "d2")
	<-first.ledgers["d1"].idClaimed
	again := newFakeDomain(t, store, "d1", "d3")
	<-again.ledgers["d1"].IDReused()
	_, err := again.ledgers["d1"].Gateway().Reserve(context.Background(), gateway.ReservationRequest{
		ID: "r1", Account: "shop", Tokens: 5,
	})
	if !errors.Is(err, ErrIDReused) {
		t.Errorf("got %v, want ErrIDReused", err)
	}
}
