package front

import (
	"net/http"
	"testing"
	"time"
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
