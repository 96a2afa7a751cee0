package budgets

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

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
