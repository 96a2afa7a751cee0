package orders

import (
	"testing"
	"time"
)

// Guards against idle duties that use more than a twentieth of the store's calls
// (7.5 writes/s and 50 reads/s) at the target size: 23 services and the
// rotation, with three candidates each.
func TestCallsOfIdleDuties(t *testing.T) {
	const (
		duties    = 24
		maxWrites = 7.5
		maxReads  = 50.0
		period    = 10 * time.Minute
	)
	inBubble(t, 10, false, func(r *rig) {
		for _, id := range []string{"d1", "d2", "d3"} {
			r.start(id)
		}
		r.waitFor("all engines have the version", 10*time.Minute, func() bool { return r.countLoaded("v2") == 10 })
		r.waitFor("the orders are done", time.Minute, func() bool { return r.status().Open == 0 })
		time.Sleep(time.Minute)
		before := r.store.Calls()
		time.Sleep(period)
		after := r.store.Calls()
		// The rig has two duties.
		scale := duties / 2 / period.Seconds()
		writes, reads := float64(after.Writes-before.Writes)*scale, float64(after.Reads-before.Reads)*scale
		t.Logf("%.1f writes/s and %.1f reads/s for %d duties", writes, reads, duties)
		if writes > maxWrites || reads > maxReads {
			t.Errorf("%.1f writes/s and %.1f reads/s for %d duties, want at most %.1f and %.1f",
				writes, reads, duties, maxWrites, maxReads)
		}
	})
}
