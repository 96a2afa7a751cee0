package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Guards against a daemon that goes on using a configuration although it knows from a peer
// that it lacks a newer one: withdrawn keys and dropped routes were in use for 9.7 s.
func TestKnownOutdatedConfigurationIsNotUsed(t *testing.T) {
	f := newFleet(t, 1_000_000)
	d := f.daemons[0]
	if status := f.send(0, "/plan/x", true); status != http.StatusOK {
		t.Fatalf("status %d before, want 200", status)
	}
	lag := d.frontSettings.Bounds.Configuration.Duration / 2
	next := d.configFeed.currentRevision() + 1
	d.configFeed.shouldFetch(time.Now().Add(-lag/2), next)
	if status := f.send(0, "/plan/x", true); status != http.StatusOK || !d.Ready() {
		t.Errorf("status %d, ready %v while a copy may still arrive in time; want 200 and ready", status, d.Ready())
	}
	time.Sleep(lag/2 + 50*time.Millisecond)
	for _, path := range []string{"/plan/x", "/added/x"} {
		if status := f.send(0, path, true); status != http.StatusServiceUnavailable || d.Ready() {
			t.Errorf("%s: status %d, ready %v with a configuration that is out of date; want 503 and not ready", path, status, d.Ready())
		}
	}
	if status := f.send(1, "/plan/x", true); status != http.StatusOK {
		t.Errorf("status %d from a daemon that is up to date, want 200", status)
	}
	f.configure(2, 1_000_000, "/added/")
	f.eventually("the daemon serves again with the next configuration", func() bool {
		return d.Ready() && f.send(0, "/added/x", true) == http.StatusOK
	})
}

// Guards against a clock that starts anew with each version of a series: a daemon that always
// lagged by two versions was never out of date.
func TestEachMissingVersionIsTimedFromItsFirstReport(t *testing.T) {
	f := newFeed("p/", nil, recorder{value: make(chan string, 8)}, fixedFleet{}, func() {}, zerolog.Nop())
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	f.shouldFetch(at(0), 5)
	f.shouldFetch(at(100), 7)
	f.shouldFetch(at(200), 6) // a peer that lags
	f.shouldFetch(at(300), 7)
	for _, step := range []struct {
		revision platform.Revision
		want     time.Duration
	}{{0, 1400 * time.Millisecond}, {5, 1300 * time.Millisecond}, {6, 1300 * time.Millisecond}, {7, 0}} {
		if step.revision > 0 {
			f.replace(fromPeerCopy, []platform.Item{{Key: "p/a", Revision: step.revision}}, step.revision)
		}
		if got := f.outdatedFor(at(1400)); got != step.want {
			t.Errorf("with revision %d: out of date for %v, want %v", step.revision, got, step.want)
		}
	}
	for i := range 3 * maxMissingChanges {
		f.shouldFetch(at(2000+i), platform.Revision(8+i))
	}
	if len(f.missing) > maxMissingChanges {
		t.Errorf("%d missing changes kept, want at most %d", len(f.missing), maxMissingChanges)
	}
}
