package escrow

import (
	"testing"
	"time"
)

// Guards against an owner that returns what a busy daemon needs in a loss of the store,
// after that daemon once drew for itself because it could not reach the owner.
func TestDependentDrawLeavesTheOwnerItsTarget(t *testing.T) {
	const prepaid, rate = 5_000_000, 100_000
	now := time.Unix(1000, 0)
	owner, busy := NewHolding(now, HolderID("owner", "1")), NewHolding(now, HolderID("busy", "1"))
	owner.SetOwner(true)
	busy.SetDependent(true)
	owner.SetPrepaid(prepaid)
	busy.SetPrepaid(prepaid)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		owner.RecordTransfer(now, rate/10)
		busy.RecordTransfer(now, rate/10)
	}
	before := owner.Target(now)
	w, ok := busy.Draw(now, 1000, false)
	if !ok {
		t.Fatal("no draw possible")
	}
	if drawn := w.Record.TotalDrawn(); drawn > 4*rate {
		t.Errorf("drew %d tokens for a need of 1,000, want at most 4 s of %d", drawn, rate)
	}
	owner.Conflict(w.Record, 1)
	if after := owner.Target(now); float64(after) < 0.9*float64(before) {
		t.Errorf("the owner's target fell from %d to %d tokens by the draw of a daemon that it serves", before, after)
	}
}
