package budgets

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// loadOne has one daemon serve requests of the first account that arrive at a fixed
// interval, and returns the numbers of those that were reserved and refused.
func (f *testFleet) loadOne(t *testing.T, number, requests int, tokens int64, interval time.Duration) (served, refused int) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			r, err := f.managers[number].Reserve(t.Context(), &f.accounts[0], tokens, false)
			if err == nil {
				r.Settle(tokens)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				served++
			} else {
				refused++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return served, refused
}

// Guards against an account all of whose requests arrive at one daemon and are refused in a
// loss of the store: the daemon drew for itself, so the owner returned what it held.
func TestOwnerHoldsTokensForABusyDaemon(t *testing.T) {
	const prepaid, tokens, busy = 10_000_000, 1000, 7
	store := memstore.New(nil)
	store.SetFaults(memstore.Faults{LatencyMillis: 4})
	f := newTestFleet(t, store, 12, 3, 1, prepaid)
	f.latency = 10 * time.Millisecond
	owner := f.managers[0]
	start := time.Now()
	for round := range 4 {
		if served, refused := f.loadOne(t, busy, 150, tokens, 2*time.Millisecond); refused > 0 {
			t.Fatalf("round %d: %d of %d requests refused", round, refused, served+refused)
		}
		owner.Tick(start.Add(time.Duration(round) * (minRebalanceInterval + time.Millisecond)))
		owner.wg.Wait()
	}
	item, err := store.Get(t.Context(), KeyPrefix+"/"+f.accounts[0].Name)
	if err != nil {
		t.Fatal(err)
	}
	record, err := escrow.ParseRecord(item.Value)
	if err != nil {
		t.Fatal(err)
	}
	for holder, drawn := range record.Drawn {
		if holder != owner.Holder {
			t.Errorf("holder %s drew %d tokens; only the owner %s should draw", holder, drawn, owner.Holder)
		}
	}
	store.SetFaults(memstore.Faults{Outage: true})
	if served, refused := f.loadOne(t, busy, 500, tokens, 2*time.Millisecond); refused > 0 {
		t.Errorf("%d of %d requests refused in a loss of the store", refused, served+refused)
	}
}

// Guards against a busy daemon that requests tokens for each of its requests: over a full link
// they came too late, and 220 requests in 11 s were refused beside four million tokens.
func TestBusyDaemonRequestsTokensAhead(t *testing.T) {
	const requests = 1500
	f := newTestFleet(t, memstore.New(nil), 12, 3, 1, 100_000_000)
	served, _ := f.loadOne(t, 7, requests, 1000, 2*time.Millisecond)
	if asked := f.asked.Load(); served != requests || asked > requests/2 {
		t.Errorf("%d of %d requests served with %d requests for tokens, want all with half as many at most", served, requests, asked)
	}
	before := f.asked.Load()
	served, _ = f.loadOne(t, 10, 5, 1000, time.Millisecond)
	if held := f.managers[10].Balances()["account-0"]; held > 0 || served != 5 || f.asked.Load() == before {
		t.Errorf("a daemon with five requests holds %d tokens ahead", held)
	}
}

// tricklePeers are peers that are asked before the store and give one token a request.
type tricklePeers struct{ testPeers }

func (p tricklePeers) TransferSources(string) []string { return []string{"source"} }

func (p tricklePeers) RequestTokens(context.Context, string, string, string, escrow.TransferRequest) (escrow.Transfer, error) {
	time.Sleep(time.Millisecond)
	return escrow.Transfer{Tokens: 1}, nil
}

// Guards against a refusal while the store has tokens, since a distributor gives too few for
// a request and is asked again and again.
func TestStoreIsAskedIfTheDistributorGivesTooFew(t *testing.T) {
	m := newManager(t, memstore.New(nil), "a", nil)
	m.Peers = tricklePeers{testPeers{wide: true}}
	if err := reserve(t, m, 900); err != nil {
		t.Errorf("refused although the store has all %d tokens: %v", prepaid, err)
	}
}

// Guards against tokens in other failure domains that nobody asks for in a loss of the store,
// and against a peer that obtains tokens although it is asked only for those that it holds.
func TestOwnerCollectsFromAllFailureDomains(t *testing.T) {
	const piece, busy = 400, 7
	store := memstore.New(nil)
	store.SetFaults(memstore.Faults{Outage: true})
	f := newTestFleet(t, store, 12, 3, 1, 1_000_000)
	for _, m := range f.managers {
		m.account("account-0").holding.Receive(piece)
		m.markStoreUnreachable()
	}
	if served, refused := f.loadOne(t, busy, 1, 11*piece, 0); refused > 0 {
		t.Errorf("%d of %d requests refused that eleven of twelve pieces cover", refused, served+refused)
	}
	f.managers[0].StoreContacted()
	store.SetFaults(memstore.Faults{})
	held := f.managers[0].Balances()["account-0"]
	if got := f.managers[0].Transfer(t.Context(), "account-0", escrow.TransferRequest{Tokens: held + piece, HeldOnly: true}); got.Tokens != held {
		t.Errorf("%d tokens given, want the %d held", got.Tokens, held)
	}
}
