package soak

import (
	"context"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// evacuationBound is the time after which no endpoint of an evacuated failure domain gets requests.
const evacuationBound = 5 * time.Second

const evacuationPrefix = "op/evacuate/"

// evacuateFaults returns evacuations, and what overlaps them.
func evacuateFaults(s *scenario) []func(time.Duration) {
	return []func(time.Duration){
		s.evacuateDomain, s.evacuateDomain, s.evacuateDomain, s.killDaemon, s.pauseDaemon, s.stopDaemon,
		s.disturbStorePath, s.disturbEndpointPath, s.restoreStore, s.reconfigure,
	}
}

// Guards against requests to an evacuated failure domain.
func TestSoakEvacuationsShort(t *testing.T) {
	t.Parallel()
	runSeed(t, 1, 3, shortRun, evacuateFaults)
}

// evacuateDomain evacuates a failure domain for longer than evacuationBound and takes it back.
func (s *scenario) evacuateDomain(d time.Duration) {
	bed, domain := s.bed, domainOf(s.rng.IntN(2))
	if !s.claim(evacuationPrefix) {
		return
	}
	d += evacuationBound
	s.logFault("%s is evacuated for %v", domain, d)
	bed.writeEvacuation(domain)
	ordered := time.Now()
	s.wg.Go(func() {
		time.Sleep(d)
		for _, dm := range bed.daemons {
			if dm.disturbedSince(ordered) || bed.storeDisturbedSince(ordered) || bed.stalledSince(ordered) {
				continue
			}
			for _, e := range bed.endpoints {
				if e.Domain == domain {
					bed.checkEvacuated(e, dm, ordered, e.Arrivals())
				}
			}
		}
		bed.writeEvacuation("")
		s.release(evacuationPrefix)
	})
}

// checkEvacuated checks that an endpoint of a failure domain that is evacuated since a time got no
// request from a daemon later than evacuationBound.
func (bed *testbed) checkEvacuated(e *endpoint, d *daemon, ordered time.Time, arrivals []platformtest.Arrival) {
	for _, a := range arrivals {
		if delay := a.At.Sub(ordered); a.Sender == d.name && delay > evacuationBound {
			bed.addViolation("%s got %s from %s, %v after %s was evacuated", e.ID, a.ID, d.name, delay, e.Domain)
			return
		}
	}
}

// writeEvacuation evacuates one failure domain, or none if it is empty, as the operator does, also
// after a restore of the store.
func (bed *testbed) writeEvacuation(domain string) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.evacuated = domain
	bed.putEvacuation()
}

// putEvacuation makes the store hold the evacuation in force. The caller holds bed.mu.
func (bed *testbed) putEvacuation() {
	for i := range 2 {
		if domain := domainOf(i); domain != bed.evacuated {
			bed.removeEntry(evacuationPrefix + domain)
		} else if _, err := bed.store.Put(context.Background(), evacuationPrefix+domain, struct{}{}); err != nil {
			bed.t.Errorf("evacuate %s: %v", domain, err)
		}
	}
}

// Guards against a check that passes although an evacuated failure domain gets requests.
func TestChecksFindRequestsToAnEvacuatedDomain(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration
		sender string
		broken bool
	}{"in time": {evacuationBound, "d0", false}, "late": {evacuationBound + 1, "d0", true}, "of another daemon": {evacuationBound + 1, "d1", false}} {
		tr, d := newBareTraffic(t)
		e := &endpoint{Endpoint: &platformtest.Endpoint{ID: "e", Domain: "z0", Runs: tr.bed.runs}}
		at := time.Now()
		tr.bed.checkEvacuated(e, d, at, []platformtest.Arrival{{Sender: c.sender, At: at.Add(c.after)}})
		if broken := len(tr.bed.violations) > 0; broken != c.broken {
			t.Errorf("%s: broken %v, want %v", name, broken, c.broken)
		}
	}
}
