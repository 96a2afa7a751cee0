package front

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

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
