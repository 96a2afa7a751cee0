package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// evacuationBound is the time after which no endpoint of an evacuated failure domain gets requests.
const evacuationBound = 5 * time.Second

// evacuationCheckTime is the shortest time for which requests after evacuationBound are checked.
const evacuationCheckTime = 3 * time.Second

const evacuationPrefix = "op/evacuate/"

// evacuateFaults returns evacuations, and what overlaps them.
func evacuateFaults(s *scenario) []func(time.Duration) {
	return []func(time.Duration){
		s.evacuateDomain, s.evacuateDomain, s.evacuateDomain, s.killDaemon, s.killDaemon, s.stopDaemon, s.stopDaemon,
		s.crashEndpoint, s.disturbEndpointPath, s.reconfigure, s.disturbStorePath, s.pauseDaemon, s.restoreStore,
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
	d += evacuationBound + evacuationCheckTime
	s.logFault("%s is evacuated for %v", domain, d)
	bed.writeEvacuation(domain)
	ordered := time.Now()
	s.wg.Go(func() {
		checked := ordered.Add(evacuationBound)
		for time.Since(ordered) < d {
			time.Sleep(100 * time.Millisecond)
			now := time.Now()
			bed.checkEvacuated(domain, checked, now)
			if now.After(checked) {
				checked = now
			}
		}
		bed.writeEvacuation("")
		s.release(evacuationPrefix)
	})
}

// checkEvacuated checks that the endpoints of an evacuated failure domain got no request after a time,
// unless the store, or the daemon that sent it, was disturbed in the last evacuationBound.
func (bed *testbed) checkEvacuated(domain string, after, now time.Time) {
	since := now.Add(-evacuationBound)
	if bed.storeDisturbedSince(since) || bed.stalledSince(since) {
		return
	}
	for _, d := range bed.daemons {
		if d.mayBeBehindSince(since) {
			continue
		}
		for _, e := range bed.endpoints {
			for _, a := range e.Arrivals() {
				if e.Domain == domain && a.Sender == d.name && a.At.After(after) {
					bed.addViolation("%s got %s from %s although %s is evacuated", e.ID, a.ID, d.name, domain)
				}
			}
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
		prepare func(*testbed, *daemon)
		domain  string
		sent    bool
		broken  bool
	}{
		"late":                    {func(*testbed, *daemon) {}, "z0", true, true},
		"none":                    {func(*testbed, *daemon) {}, "z0", false, false},
		"to another domain":       {func(*testbed, *daemon) {}, "z1", true, false},
		"of a daemon that starts": {func(_ *testbed, d *daemon) { d.lastDisturbed = time.Now() }, "z0", true, true},
		"of one that was cut off": {func(_ *testbed, d *daemon) { d.recordStoreFault(1); d.recordStoreFault(-1) }, "z0", true, false},
		"beside a restored store": {func(bed *testbed, _ *daemon) { bed.lastStoreFault = time.Now() }, "z0", true, false},
		"long after these": {func(bed *testbed, d *daemon) {
			bed.lastStoreFault, d.lastBehind = time.Now().Add(-2*evacuationBound), time.Now().Add(-2*evacuationBound)
		}, "z0", true, true},
	} {
		tr, d := newBareTraffic(t)
		e := &endpoint{Endpoint: &platformtest.Endpoint{ID: "e", Domain: c.domain, Slots: 1, Runs: tr.bed.runs}}
		tr.bed.endpoints = []*endpoint{e}
		after := time.Now()
		if c.sent {
			r := httptest.NewRequest(http.MethodPost, "/x", nil)
			r.Header.Set(platformtest.SenderHeader, d.name)
			e.ServeHTTP(httptest.NewRecorder(), r)
		}
		c.prepare(tr.bed, d)
		tr.bed.checkEvacuated("z0", after, time.Now())
		if broken := len(tr.bed.violations) > 0; broken != c.broken {
			t.Errorf("%s: broken %v, want %v", name, broken, c.broken)
		}
	}
}
