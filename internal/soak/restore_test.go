package soak

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// Copies of the store, of which a restore uses one.
const (
	copyInterval = 500 * time.Millisecond
	maxCopies    = 16
)

// restoreFaults returns restores of the store, and the changes and losses that a restore
// undoes or meets.
func restoreFaults(s *scenario) []func(time.Duration) {
	return []func(time.Duration){
		s.restoreStore, s.restoreStore, s.reconfigure, s.reconfigure, s.drainEndpoint, s.crashEndpoint,
		s.disturbStorePath, s.pauseDaemon, s.stopDaemon,
	}
}

// Guards against budgets, configurations and endpoints that go back with a restored store.
func TestSoakRestoresShort(t *testing.T) {
	t.Parallel()
	runSeed(t, 1, 3, shortRun, restoreFaults)
}

// copyStore keeps copies of the store, the newest last.
func (bed *testbed) copyStore(ctx context.Context) {
	for ctx.Err() == nil {
		bed.mu.Lock()
		bed.copies = append(bed.copies, bed.store.Copy())
		bed.copies = bed.copies[max(0, len(bed.copies)-maxCopies):]
		bed.mu.Unlock()
		pause.Sleep(ctx, copyInterval)
	}
}

// olderCopy returns the copy of the store that is a number of intervals old, or the oldest
// one. The newer copies are dropped, since they belong to the era that ends.
func (bed *testbed) olderCopy(age int) memstore.Copy {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.copies = bed.copies[:max(1, len(bed.copies)-age)]
	return bed.copies[len(bed.copies)-1]
}

// restoreStore lets the store be away for a time and come back from an older copy. The
// operator and the endpoints write again what they had written.
func (s *scenario) restoreStore(d time.Duration) {
	age := 1 + s.rng.IntN(maxCopies-1)
	configDelay := time.Duration(s.rng.IntN(1000)) * time.Millisecond
	order := s.rng.Perm(len(s.bed.endpoints))
	s.logFault("store away for %v, restored from a copy %v old", d, time.Duration(age)*copyInterval)
	s.runStoreFault(d, func() { s.bed.store.Status.Store(http.StatusServiceUnavailable) }, func() {
		if err := s.bed.store.Restore(s.bed.olderCopy(age)); err != nil {
			s.bed.t.Errorf("restore the store: %v", err)
		}
		s.bed.store.Status.Store(0)
		time.Sleep(configDelay)
		s.bed.writeOperatorItems()
		for _, i := range order {
			time.Sleep(configDelay / time.Duration(len(order)))
			s.bed.announce(s.bed.endpoints[i])
		}
	})
}
