package budgets

import (
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// Guards against a daemon of a wide fleet that never draws the tokens it used and that the
// record of a new era lacks, so that others use them again.
func TestDebtOfANonOwnerIsDrawnInAWideFleet(t *testing.T) {
	f := newTestFleet(t, memstore.New(nil), 3, 1, 1, 1000)
	m := f.managers[2]
	m.observeEra(0)
	a, now := m.accounts["account-0"], time.Now()
	a.holding.Read(escrow.Record{Drawn: map[string]int64{m.Holder: 100}}, 7)
	if !a.holding.Reserve(now, 100) {
		t.Fatal("not reserved")
	}
	a.holding.Settle(now, 100, 100)
	m.observeEra(1)
	at, err := platform.NewRevision(1, 3)
	if err != nil {
		t.Fatal(err)
	}
	a.holding.Read(escrow.Record{Drawn: map[string]int64{f.managers[0].Holder: 100}}, int64(at))
	if a.holding.Available() >= 0 {
		t.Fatalf("%d tokens available, want a debt", a.holding.Available())
	}
	if writes := m.rebalanceWrites(false); len(writes) == 0 {
		t.Errorf("a debt of %d tokens is not drawn", -a.holding.Available())
	}
}
