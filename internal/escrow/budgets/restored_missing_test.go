package budgets

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// Guards against draws of a daemon that was killed and started again while the store was
// restored: the answer of the new incarnation must not count for the former one.
func TestRestartedDaemonDoesNotAnswerForItsFormerIncarnation(t *testing.T) {
	store := memstore.New(nil)
	m := newManager(t, store, "d1", nil)
	restarted := New(Options{Holder: escrow.HolderID("d0", "2"), Store: store, Log: zerolog.Nop(), Peers: testPeers{}})
	former := escrow.HolderID("d0", "1")
	m.Peers = namedPeers{
		testPeers: testPeers{managers: map[string]*Manager{"d0": restarted}}, holders: map[string]string{"d0": former},
	}
	m.ObserveEra(1)
	restarted.ObserveEra(1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if all := m.gather(ctx, 1, true); all.heard[former] {
		t.Errorf("the daemon %s counts as heard, %s has answered", former, restarted.Holder)
	}
}

// Guards against a budget that shrinks with each restore of the store because of a daemon
// that ended long before and is no longer a member.
func TestDaemonThatEndedLongAgoLosesNoTokensInRestores(t *testing.T) {
	store := memstore.New(nil)
	managers := newPeering(t, store, 3)
	spend(t, managers, 10, 150, time.Second)
	delete(managers, "d0")
	managers["d1"].Peers = testPeers{managers: map[string]*Manager{"d2": managers["d2"]}}
	managers["d2"].Peers = testPeers{managers: map[string]*Manager{"d1": managers["d1"]}}
	spend(t, managers, 10, 20, time.Second)
	drawn := func() int64 {
		known, _ := managers["d1"].accounts["t"].holding.Known()
		return known.Record.Drawn[escrow.HolderID("d0", "1")]
	}
	before := drawn()
	for range 3 {
		if err := store.Restore(store.Copy()); err != nil {
			t.Fatal(err)
		}
		for _, m := range managers {
			m.ObserveEra(m.era + 1)
		}
		for _, m := range managers {
			m.Tick(time.Now())
			m.wg.Wait()
		}
		t.Logf("%d tokens count as drawn by the daemon that ended", drawn())
	}
	if after := drawn(); after > before {
		t.Errorf("%d tokens count as drawn by a daemon that ended before the copy, it drew %d", after, before)
	}
}

// silentMember adds a member that does not answer.
type silentMember struct{ testPeers }

func (p silentMember) Members() []Member {
	return append(p.testPeers.Members(), Member{Addr: "silent", Holder: "silent/1"})
}

func (p silentMember) BudgetRecords(ctx context.Context, peer string) ([]platform.Item, platform.Revision, error) {
	if peer == "silent" {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return p.testPeers.BudgetRecords(ctx, peer)
}

// Guards against draws and tokens that are lost with a daemon that stops while it reconciles
// its accounts with a restored store.
func TestStopDuringAReconciliationReturnsTokens(t *testing.T) {
	store := memstore.New(nil)
	managers := newPeering(t, store, 2)
	spend(t, managers, 10, 100, time.Second)
	older := store.Copy()
	d0 := managers["d0"]
	spend(t, map[string]*Manager{"d0": d0}, 10, 300, time.Second)
	d0.Peers = silentMember{testPeers{managers: map[string]*Manager{"d1": managers["d1"]}}}
	if err := store.Restore(older); err != nil {
		t.Fatal(err)
	}
	for _, m := range managers {
		m.ObserveEra(1)
	}
	d0.Tick(time.Now())
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	d0.Close(ctx)
	item, err := store.Get(t.Context(), recordKey(1, "t"))
	if err != nil {
		t.Fatalf("the daemon that stopped left no record in the new era: %v", err)
	}
	record, err := escrow.ParseRecord(item.Value)
	if err != nil {
		t.Fatal(err)
	}
	if _, listed := record.Drawn[d0.Holder]; listed {
		t.Errorf("the daemon that stopped did not return its tokens: %+v", record)
	}
}

// goneMember adds a member that has stopped and does not answer.
type goneMember struct{ testPeers }

func (p goneMember) Members() []Member {
	return append(p.testPeers.Members(), Member{Addr: "d0", Holder: escrow.HolderID("d0", "1")})
}

func (p goneMember) BudgetRecords(ctx context.Context, peer string) ([]platform.Item, platform.Revision, error) {
	if peer == "d0" {
		return nil, 0, errors.New("connection refused")
	}
	return p.testPeers.BudgetRecords(ctx, peer)
}

// Guards against a request that is paid for twice: a daemon draws for it, serves it, returns
// the rest in a planned stop, and the store is restored without these writes.
func TestPlannedStopAndRestoreGiveNoTokenTwice(t *testing.T) {
	for name, restarts := range map[string]bool{"started again": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			store := memstore.New(nil)
			managers := newPeering(t, store, 3)
			d0 := managers["d0"]
			delete(managers, "d0")
			used := spend(t, managers, 10, 800, time.Second)
			older := store.Copy()
			const request = 145
			r, err := d0.Reserve(t.Context(), testAccount, request, true)
			if err != nil {
				t.Fatal(err)
			}
			r.Settle(request)
			used += request
			d0.Close(t.Context())
			restarted := New(Options{Holder: escrow.HolderID("d0", "2"), Store: store, Log: zerolog.Nop(), Peers: testPeers{}})
			restarted.ObserveEra(1)
			for _, name := range []string{"d1", "d2"} {
				other := map[string]string{"d1": "d2", "d2": "d1"}[name]
				peers := testPeers{managers: map[string]*Manager{other: managers[other]}}
				if restarts {
					peers.managers["d0"] = restarted
					managers[name].Peers = peers
				} else {
					managers[name].Peers = goneMember{peers}
				}
			}
			if err := store.Restore(older); err != nil {
				t.Fatal(err)
			}
			for _, m := range managers {
				m.ObserveEra(1)
			}
			used += spend(t, managers, 10, 10*prepaid, 6*time.Second)
			if used > prepaid {
				t.Errorf("%d tokens were used of a budget of %d", used, prepaid)
			}
		})
	}
}
