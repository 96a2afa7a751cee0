package budgets

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// newPeering returns managers that all know each other, by name.
func newPeering(t *testing.T, store *memstore.Store, n int) map[string]*Manager {
	t.Helper()
	managers := make(map[string]*Manager)
	for i := range n {
		name := fmt.Sprint("d", i)
		managers[name] = newManager(t, store, name, nil)
	}
	for name, m := range managers {
		others := make(map[string]*Manager)
		for other, peer := range managers {
			if other != name {
				others[other] = peer
			}
		}
		m.Peers = testPeers{managers: others}
	}
	return managers
}

// spend has the managers use tokens in turn until they have used as many, or until each has
// refused for the given time, and returns how many were used.
func spend(t *testing.T, managers map[string]*Manager, tokens, most int64, patience time.Duration) (used int64) {
	return spendAt(t, 0, managers, tokens, most, patience)
}

// spendAt is spend with a pause after each request of all managers.
func spendAt(
	t *testing.T, pace time.Duration, managers map[string]*Manager, tokens, most int64, patience time.Duration,
) (used int64) {
	t.Helper()
	last := time.Now()
	for used < most && time.Since(last) < patience {
		for _, m := range managers {
			if used >= most {
				break
			}
			r, err := m.Reserve(t.Context(), testAccount, tokens, false)
			if err != nil {
				m.StoreContacted()
				continue
			}
			r.Settle(tokens)
			used += tokens
			last = time.Now()
		}
		for _, m := range managers {
			m.Tick(time.Now().Add(time.Hour))
		}
		time.Sleep(pace + time.Millisecond) // refusals take no time
	}
	return used
}

// Guards against tokens that are drawn again after the store came back from a copy that does
// not have their draws, and against a budget that is lost with these.
func TestRestoredStoreGivesNoTokenTwice(t *testing.T) {
	for name, ages := range map[string][]int64{
		"copy of the start": {0}, "copy with half of the draws": {300}, "copy of the last draws": {600},
		"two restores": {300, 150}, "a copy of the era before": {600, 300},
	} {
		t.Run(name, func(t *testing.T) {
			store := memstore.New(nil)
			managers := newPeering(t, store, 3)
			copies := map[int64]memstore.Copy{0: store.Copy()}
			var used int64
			for used < 600 {
				used += spend(t, managers, 10, 150, time.Second)
				copies[used] = store.Copy()
			}
			for _, at := range ages {
				if err := store.Restore(copies[at]); err != nil {
					t.Fatal(err)
				}
				used += spend(t, managers, 10, 100, 2*time.Second)
			}
			used += spend(t, managers, 10, 10*prepaid, 2*time.Second)
			if used > prepaid {
				t.Errorf("%d tokens were used of a budget of %d", used, prepaid)
			}
			if used < 97*prepaid/100 {
				t.Errorf("%d tokens could be used of a budget of %d, want 97 in 100", used, prepaid)
			}
		})
	}
}

// Guards against a tenant that gets what one daemon drew after the copy a second time from the
// others, since that daemon writes nothing until the revisions have passed those it knows. On a
// drill's day a tenant got more than its budget so.
func TestDrawsOfAQuietDaemonCountInARestoredStore(t *testing.T) {
	store := memstore.New(nil)
	managers := newPeering(t, store, 3)
	quiet := managers["d0"]
	used := spend(t, managers, 10, 150, time.Second)
	older := store.Copy()
	used += spend(t, map[string]*Manager{"d0": quiet}, 10, 500, time.Second)
	if err := store.Restore(older); err != nil {
		t.Fatal(err)
	}
	delete(managers, "d0")
	used += spend(t, managers, 10, 10*prepaid, time.Second)
	if used > prepaid {
		t.Errorf("%d tokens were used of a budget of %d", used, prepaid)
	}
	if used < 90*prepaid/100 {
		t.Errorf("%d tokens could be used of a budget of %d, the quiet daemon holds less than a tenth", used, prepaid)
	}
}

// restoredFleet is a peering of three managers that have used tokens before and after a copy
// from which the store came back.
type restoredFleet struct {
	store    *memstore.Store
	managers map[string]*Manager
	used     int64
}

func newRestoredFleet(t *testing.T) *restoredFleet {
	const pace = 2 * time.Second // a budget lasts 60 s
	t.Helper()
	f := &restoredFleet{store: memstore.New(nil)}
	f.managers = newPeering(t, f.store, 3)
	f.used = spendAt(t, pace, f.managers, 10, 150, time.Second)
	older := f.store.Copy()
	f.used += spendAt(t, pace, f.managers, 10, 150, time.Second)
	if err := f.store.Restore(older); err != nil {
		t.Fatal(err)
	}
	return f
}

// deafPeers are peers of which some don't answer.
type deafPeers struct {
	testPeers
	deaf map[string]bool
}

func (p deafPeers) BudgetRecords(ctx context.Context, peer string) ([]platform.Item, platform.Revision, error) {
	if p.deaf[peer] {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return p.testPeers.BudgetRecords(ctx, peer)
}

func (p deafPeers) RequestTokens(ctx context.Context, peer, id, account string, r escrow.TransferRequest) (escrow.Transfer, error) {
	if p.deaf[peer] {
		<-ctx.Done()
		return escrow.Transfer{}, ctx.Err()
	}
	return p.testPeers.RequestTokens(ctx, peer, id, account, r)
}

// Guards against draws while a daemon is silent that may have drawn after the copy, against
// requests that the holdings cover and that wait for it, and against an account that stays
// without draws for longer than a bounded time.
func TestSilentDaemonDelaysDrawsForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		silent := f.managers["d0"]
		synctest.Wait()
		delete(f.managers, "d0")
		for name, m := range f.managers {
			peers := map[string]*Manager{"d0": silent}
			for other, peer := range f.managers {
				if other != name {
					peers[other] = peer
				}
			}
			m.Peers = deafPeers{testPeers: testPeers{managers: peers}, deaf: map[string]bool{"d0": true}}
		}
		m := f.managers["d1"]
		held := m.Balances()["t"]
		start := time.Now()
		m.ObserveEra(1)
		if err := reserve(t, m, held); err != nil || time.Since(start) > 0 {
			t.Errorf("a request that the holding covers took %v: %v", time.Since(start), err)
		}
		f.used += held
		if err := reserve(t, m, 100); err == nil {
			t.Error("tokens were drawn while the silent daemon may have drawn them")
		}
		for now := time.Since(start); now < reconcileWait+reconcilePause+recordsTimeout; now = time.Since(start) {
			m.Tick(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		m.StoreContacted()
		if err := reserve(t, m, 100); err != nil {
			t.Errorf("refused %v after the store came back: %v", time.Since(start), err)
		} else {
			f.used += 100
		}
		f.used += spend(t, f.managers, 10, 10*prepaid, 10*time.Second)
		t.Logf("%d tokens used beside %d of the silent daemon", f.used, silent.Balances()["t"])
		if left := silent.Balances()["t"]; f.used+left > prepaid {
			t.Errorf("%d tokens of %d used, %d are with the silent daemon", f.used, prepaid, left)
		}
		f.managers["d0"] = silent
		f.used += spend(t, f.managers, 1, 10*prepaid, 10*time.Second)
		if f.used > prepaid || f.used < 97*prepaid/100 {
			t.Errorf("%d tokens of %d used once the silent daemon acts again, want 97 in 100", f.used, prepaid)
		}
	})
}

// Guards against tokens that a daemon which stops in a new era can't return.
func TestTokensAreReturnedInARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		for _, name := range []string{"d0", "d1", "d2"} {
			f.managers[name].ObserveEra(1)
			f.managers[name].Close(t.Context())
		}
		fresh := newStart(t, f.store, "d0", "2", nil)
		left := prepaid - f.used
		if err := reserve(t, fresh, left); err != nil {
			t.Errorf("refused the %d tokens that are left after all daemons stopped: %v", left, err)
		}
		if err := reserve(t, fresh, 1); err == nil {
			t.Error("more than the budget was reserved")
		}
	})
}

// Guards against a draw that counts although it built on a record which the store lost: the
// daemon has not heard of the new era, and the copy has the revision that it expects.
func TestDrawOnTheRecordOfAFormerEraIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(nil)
		managers := newPeering(t, store, 2)
		a, b := managers["d0"], managers["d1"]
		used := spend(t, map[string]*Manager{"d0": a}, 10, 100, time.Second)
		older := store.Copy()
		used += spend(t, map[string]*Manager{"d1": b}, 10, 800, time.Second)
		if err := store.Restore(older); err != nil {
			t.Fatal(err)
		}
		used += spend(t, map[string]*Manager{"d0": a}, 10, 10*prepaid, time.Second)
		used += spend(t, managers, 1, 10*prepaid, 10*time.Second)
		if used > prepaid || used < 97*prepaid/100 {
			t.Errorf("%d tokens were used of a budget of %d", used, prepaid)
		}
	})
}

// Guards against a restart that releases or loses what the earlier start had drawn after the
// copy: another daemon knows it.
func TestRestartBesideARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		held := f.managers["d0"].Balances()["t"]
		synctest.Wait()
		again := newStart(t, f.store, "d0", "2", map[string]*Manager{"d1": f.managers["d1"], "d2": f.managers["d2"]})
		f.managers["d1"].Peers = testPeers{managers: map[string]*Manager{"d0": again, "d2": f.managers["d2"]}}
		f.managers["d2"].Peers = testPeers{managers: map[string]*Manager{"d0": again, "d1": f.managers["d1"]}}
		f.managers["d0"] = again
		f.used += spend(t, f.managers, 10, 10*prepaid, time.Second)
		t.Logf("%d tokens used, %d were lost with the restart", f.used, held)
		if f.used+held > prepaid || f.used < 60*prepaid/100 {
			t.Errorf("%d tokens of %d used, %d were lost with the restart", f.used, prepaid, held)
		}
	})
}

func (p testPeers) Members() []Member {
	var members []Member
	for name, m := range p.managers {
		members = append(members, Member{Addr: name, Holder: m.Holder})
	}
	return members
}

func (p testPeers) BudgetRecords(_ context.Context, peer string) ([]platform.Item, platform.Revision, error) {
	items, at := p.managers[peer].Records()
	return items, at, nil
}

func (p fleetMember) Members() []Member {
	var members []Member
	for i, m := range p.fleet.managers {
		if i != p.number {
			members = append(members, Member{Addr: fmt.Sprint(i), Holder: m.Holder})
		}
	}
	return members
}

func (p fleetMember) BudgetRecords(ctx context.Context, peer string) ([]platform.Item, platform.Revision, error) {
	i, err := strconv.Atoi(peer)
	if err != nil {
		return nil, 0, err
	}
	if slices.Contains(p.fleet.down, i) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	items, at := p.fleet.managers[i].Records()
	return items, at, nil
}
