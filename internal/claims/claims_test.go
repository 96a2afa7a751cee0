package claims

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/gateway"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var orderKey = gateway.ClaimKey{Account: "shop", Service: "orders", Key: "k1"}

func newClaims(t *testing.T, store *memstore.Store, daemon string) *Claims {
	c := New(Options{Daemon: daemon, Store: store, Log: zerolog.Nop()})
	t.Cleanup(c.Close)
	return c
}

func grant(t *testing.T, c *Claims) gateway.Claim {
	t.Helper()
	held, stored, err := c.Claim(context.Background(), orderKey)
	if err != nil || stored != nil || held == nil {
		t.Fatalf("claim %v, answer %v, error %v, want a granted claim", held, stored, err)
	}
	return held
}

// Guards against a second run at another daemon, and against a retry that
// arrives before the first answer is stored and then gets no answer.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	store := memstore.New(nil)
	first, second := newClaims(t, store, "d1"), newClaims(t, store, "d2")
	held := grant(t, first)
	want := &gateway.Answer{Status: 201, ContentType: "text/plain", Body: []byte("badge 12")}
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(3 * progressPollInterval) // so that the retry waits at least once
		held.Done(want)
	}()
	_, stored, err := second.Claim(context.Background(), orderKey)
	<-done
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, stored); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// Guards against reporting "not run" for a request whose first attempt may have
// run.
func TestRepeatOfOpenClaimIsUnknown(t *testing.T) {
	store := memstore.New(nil)
	first, second := newClaims(t, store, "d1"), newClaims(t, store, "d2")
	grant(t, first)
	_, _, err := second.Claim(context.Background(), orderKey)
	if p := problem.From(err); p.Kind != problem.Duplicate || p.Ran != upstream.RanUnknown {
		t.Errorf("got %v, ran %s, want a duplicate whose outcome is unknown", err, p.Ran)
	}
	second.DaemonEnded("d1")
	_, _, err = second.Claim(context.Background(), orderKey)
	if p := problem.From(err); p.Kind != problem.OutcomeUnknown || p.Ran != upstream.RanUnknown {
		t.Errorf("after the daemon's death: got %v, ran %s, want outcome-unknown", err, p.Ran)
	}
}

// Guards against a dispatch without a durable claim, and against a released
// claim that blocks the next attempt.
func TestNoClaimWithoutStore(t *testing.T) {
	store := memstore.New(nil)
	c := newClaims(t, store, "d1")
	store.SetFaults(memstore.Faults{Outage: true})
	_, _, err := c.Claim(context.Background(), orderKey)
	if p := problem.From(err); p.Kind != problem.ClaimUnavailable || p.Ran != upstream.RanNo {
		t.Errorf("got %v, ran %s, want claim-unavailable that did not run", err, p.Ran)
	}
	store.SetFaults(memstore.Faults{})
	grant(t, c).Release()
	grant(t, newClaims(t, store, "d2")).Unknown()
}
