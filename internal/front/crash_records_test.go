package front

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/relay"
)

// startIsolator returns a crashIsolator that keeps its record in a store, and the end of it.
func startIsolator(t *testing.T, store platform.Records) (*crashIsolator, func()) {
	t.Helper()
	c := newCrashIsolator(zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { c.keepCrashRecord(ctx, store) })
	return c, func() { cancel(); wg.Wait() }
}

func awaitCondition(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// Guards against a request, or a part of prompts, that crashes endpoints again after all
// daemons, which knew of it, have ended at once.
func TestIsolationOutlivesAllDaemons(t *testing.T) {
	store := memstore.New(nil)
	deadly, tainted := relay.Fingerprint{Content: 1}, relay.Fingerprint{Content: 2, Parts: []poison.Digest{7}}
	first, endFirst := startIsolator(t, store)
	second, endSecond := startIsolator(t, store)
	for i := range crashesToIsolate {
		first.Crashed(deadly, fmt.Sprint("e", i))
	}
	for i := range 3 {
		second.PartsCrashed(tainted, fmt.Sprint("p", i))
		time.Sleep(300 * time.Millisecond) // crashes within 250 ms count as one
	}
	awaitCondition(t, "both are recorded", func() bool {
		c := newCrashIsolator(zerolog.Nop())
		if err := c.syncCrashRecord(t.Context(), store, false); err != nil {
			t.Fatal(err)
		}
		_, requestAllowed := c.Begin(deadly)
		_, partAllowed := c.Begin(relay.Fingerprint{Content: 3, Parts: tainted.Parts})
		return !requestAllowed && !partAllowed
	})
	endFirst()
	endSecond()
	later, endLater := startIsolator(t, store)
	defer endLater()
	awaitCondition(t, "a daemon that starts later isolates the request", func() bool {
		_, allowed := later.Begin(deadly)
		return !allowed
	})
	if _, allowed := later.Begin(relay.Fingerprint{Content: 4}); !allowed {
		t.Error("a sound request is isolated")
	}
}

// Guards against a record of another writer that stops the isolation.
func TestUnreadableCrashRecordIsReplaced(t *testing.T) {
	store := memstore.New(nil)
	if _, err := store.CompareAndSwap(t.Context(), platform.Write{Key: crashRecordKey, Value: []byte("no JSON")}); err != nil {
		t.Fatal(err)
	}
	c := newCrashIsolator(zerolog.Nop())
	for i := range crashesToIsolate {
		c.Crashed(relay.Fingerprint{Content: 1}, fmt.Sprint("e", i))
	}
	if err := c.syncCrashRecord(t.Context(), store, true); err != nil {
		t.Fatal(err)
	}
	other := newCrashIsolator(zerolog.Nop())
	if err := other.syncCrashRecord(t.Context(), store, false); err != nil {
		t.Fatal(err)
	}
	if _, allowed := other.Begin(relay.Fingerprint{Content: 1}); allowed {
		t.Error("the request is not isolated")
	}
}

// recordedIsolation reports whether a daemon that starts now isolates a request.
func recordedIsolation(t *testing.T, store platform.Records, f relay.Fingerprint) bool {
	t.Helper()
	c := newCrashIsolator(zerolog.Nop())
	if err := c.syncCrashRecord(t.Context(), store, false); err != nil {
		t.Fatal(err)
	}
	_, allowed := c.Begin(f)
	return !allowed
}

// exchangeCrashes tells each isolator what the others know.
func exchangeCrashes(isolators ...*crashIsolator) {
	now := time.Now()
	for _, to := range isolators {
		for _, from := range isolators {
			if to == from {
				continue
			}
			if isolates, observed := to.merge(now, "peer", from.entries(now), from.partEntries(now)); isolates {
				to.recordIsolations(observed, len(isolators))
			}
		}
	}
}

// Guards against an isolation that ends with all daemons because no daemon knew of all crashes when it
// observed its own, so that none recorded it.
func TestIsolationByCrashesAtSeveralDaemonsIsRecorded(t *testing.T) {
	store := memstore.New(nil)
	deadly, tainted := relay.Fingerprint{Content: 1}, relay.Fingerprint{Content: 2, Parts: []poison.Digest{7}}
	var daemons []*crashIsolator
	for i := range crashesToIsolate {
		c, end := startIsolator(t, store)
		defer end()
		c.Crashed(deadly, fmt.Sprint("e", i))
		c.PartsCrashed(tainted, fmt.Sprint("p", i))
		time.Sleep(300 * time.Millisecond) // crashes within 250 ms count as one
		daemons = append(daemons, c)
	}
	exchangeCrashes(daemons...)
	awaitCondition(t, "both are recorded", func() bool {
		return recordedIsolation(t, store, deadly) && recordedIsolation(t, store, relay.Fingerprint{Content: 3, Parts: tainted.Parts})
	})
}

// Guards against an isolation that ends with all daemons because the one that observed the crashes ended
// before it could record them.
func TestIsolationIsRecordedForADaemonThatEnded(t *testing.T) {
	store := memstore.New(nil)
	deadly := relay.Fingerprint{Content: 1}
	ended := newCrashIsolator(zerolog.Nop())
	for i := range crashesToIsolate {
		ended.Crashed(deadly, fmt.Sprint("e", i))
	}
	peer, end := startIsolator(t, store)
	defer end()
	exchangeCrashes(ended, peer)
	awaitCondition(t, "the request is recorded", func() bool { return recordedIsolation(t, store, deadly) })
}

// Guards against daemons that all write the record of the same crashes, each over the other's.
func TestCompleteCrashRecordIsNotWrittenAgain(t *testing.T) {
	store := memstore.New(nil)
	deadly := relay.Fingerprint{Content: 1}
	first := newCrashIsolator(zerolog.Nop())
	for i := range crashesToIsolate {
		first.Crashed(deadly, fmt.Sprint("e", i))
	}
	second := newCrashIsolator(zerolog.Nop())
	exchangeCrashes(first, second)
	var revisions []platform.Revision
	for _, c := range []*crashIsolator{first, second, second} {
		if err := c.syncCrashRecord(t.Context(), store, true); err != nil {
			t.Fatal(err)
		}
		item, err := store.Get(t.Context(), crashRecordKey)
		if err != nil {
			t.Fatal(err)
		}
		revisions = append(revisions, item.Revision)
	}
	if revisions[1] != revisions[0] || revisions[2] != revisions[0] {
		t.Errorf("revisions %v of the record, want one write", revisions)
	}
	second.Crashed(deadly, "another")
	if err := second.syncCrashRecord(t.Context(), store, true); err != nil {
		t.Fatal(err)
	}
	if item, err := store.Get(t.Context(), crashRecordKey); err != nil || item.Revision == revisions[0] {
		t.Errorf("record at %v (%v): a further crash is not recorded", item.Revision, err)
	}
}

// Guards against an isolation that ends with all daemons after the store was restored from a copy without it.
func TestIsolationIsRecordedAgainInARestoredStore(t *testing.T) {
	f := &fleet{t: t, store: memstore.New(nil)}
	f.configure(1, 10000, "/plan/")
	d := startUnseeded(t, "alone", func(tally.Scope, func(net.Conn) net.Conn) Store { return f.store }, 0)
	f.eventually("the configuration is in use", func() bool { return d.confirmedVersion() > 0 })
	copied := f.store.Copy()
	deadly := relay.Fingerprint{Content: 1}
	for i := range crashesToIsolate {
		d.crashIsolator.Crashed(deadly, fmt.Sprint("e", i))
	}
	f.eventually("the request is recorded", func() bool { return recordedIsolation(t, f.store, deadly) })
	if err := f.store.Restore(copied); err != nil {
		t.Fatal(err)
	}
	f.eventually("the request is recorded again", func() bool { return recordedIsolation(t, f.store, deadly) })
}

// Guards against a full record that holds some of the crashes of each request, which isolate none.
func TestFullCrashRecordHoldsTheLastIsolations(t *testing.T) {
	store := memstore.New(nil)
	c := newCrashIsolator(zerolog.Nop())
	const requests = maxRecordedCrashes // three times as many crashes
	now := time.Now()
	for d := range requests {
		var crashes []poison.Entry
		for i := range crashesToIsolate {
			crashes = append(crashes, poison.Entry{Digest: poison.Digest(d + 1), Endpoint: fmt.Sprint("e", d, "-", i), At: now.Add(time.Duration(d-requests) * time.Second)})
		}
		c.merge(now, "peer", encodeCrashes(now, crashes), nil)
	}
	if err := c.syncCrashRecord(t.Context(), store, true); err != nil {
		t.Fatal(err)
	}
	for d := range requests {
		want := d >= requests-maxRecordedCrashes/crashesToIsolate
		if got := recordedIsolation(t, store, relay.Fingerprint{Content: poison.Digest(d + 1)}); got != want {
			t.Fatalf("request %d of %d: recorded %v, want %v", d+1, requests, got, want)
		}
	}
}

// slowRecords is a store that answers reads of the record of crashes only once answer is closed.
type slowRecords struct {
	*memstore.Store
	answer chan struct{}
}

func (s slowRecords) Get(ctx context.Context, key string) (platform.Item, error) {
	if key == crashRecordKey {
		select {
		case <-s.answer:
		case <-ctx.Done():
			return platform.Item{}, platform.ErrUnavailable
		}
	}
	return s.Store.Get(ctx, key)
}

// Guards against a restarted fleet that lets an isolated request through before it has read the record.
func TestDaemonServesOnceItKnowsTheIsolatedRequests(t *testing.T) {
	f := &fleet{t: t, store: memstore.New(nil), runs: make(map[string]int)}
	f.put("servers/i-1", map[string]any{"service": "desk", "address": f.endpoint(), "zone": "z", "slots": 6, "state": "ready"})
	f.configure(1, 10000, "/plan/")
	store := slowRecords{f.store, make(chan struct{})}
	d := startUnseeded(t, "alone", func(tally.Scope, func(net.Conn) net.Conn) Store { return store }, 0)
	f.eventually("the configuration is read", func() bool { return d.config.version() > 0 })
	if table, _ := d.table(); table != nil {
		t.Error("the daemon serves before it has read the record of crashes")
	}
	close(store.answer)
	f.eventually("the daemon is ready and has the record", func() bool { return d.Ready() && d.crashIsolator.recordRead.Load() })
}
