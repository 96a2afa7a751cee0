package budgets

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// namedPeers lists the members with given holder ids, which may be outdated or not known yet.
type namedPeers struct {
	testPeers
	holders map[string]string
}

func (p namedPeers) Members() []Member {
	var members []Member
	for addr := range p.managers {
		members = append(members, Member{Addr: addr, Holder: p.holders[addr]})
	}
	return members
}

// Guards against a budget that is given out again by a daemon that starts after the store was
// restored from a copy without records, before it has heard from the others.
func TestNewDaemonAsksPeersNotHeardYetAfterARestore(t *testing.T) {
	store := memstore.New(nil)
	older := store.Copy()
	managers := newPeering(t, store, 2)
	used := spend(t, managers, 10, 500, time.Second)
	if err := store.Restore(older); err != nil {
		t.Fatal(err)
	}
	for _, m := range managers {
		m.ObserveEra(1)
	}
	m := New(Options{
		Holder: escrow.HolderID("d2", "1"), Store: store, Log: zerolog.Nop(), Peers: namedPeers{testPeers: testPeers{managers: managers}},
	})
	m.Configure([]routing.Account{{Name: "t", PrepaidTokens: prepaid}})
	t.Cleanup(func() { m.Close(t.Context()) })
	used += spend(t, map[string]*Manager{"d2": m}, 10, 10*prepaid, time.Second)
	if used > prepaid {
		t.Errorf("%d tokens were used of a budget of %d", used, prepaid)
	}
}

// Guards against draws that are forgotten with a daemon that ends after it has told a peer of
// them and before that peer could write the record of the new era.
func TestRecordsOfPeersOutliveThem(t *testing.T) {
	store := memstore.New(nil)
	managers := newPeering(t, store, 2)
	spend(t, managers, 10, 100, time.Second)
	d0, d1 := managers["d0"], managers["d1"]
	spend(t, map[string]*Manager{"d1": d1}, 10, 300, time.Second)
	for _, m := range managers {
		m.ObserveEra(1)
	}
	want, _ := d1.Records()
	if known, _ := d0.Records(); cmp.Equal(known, want) {
		t.Fatal("the peer knows nothing newer")
	}
	d0.gather(t.Context(), 1, true)
	if known, _ := d0.Records(); !cmp.Equal(known, want) {
		t.Errorf("records %v after the peer was asked, which knows %v", known, want)
	}
}
