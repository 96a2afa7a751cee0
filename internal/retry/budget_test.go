package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000_000, 0)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against retries of a request that must run at most once, and against
// retries that multiply because several layers retry.
func TestRetryRules(t *testing.T) {
	ok := Attempt{Attempts: 1, Idempotent: true, Dispatched: true, Work: 100}
	for _, c := range []struct {
		name   string
		change func(*Attempt)
		want   Reason
	}{
		{"idempotent", func(*Attempt) {}, Allowed},
		{"not idempotent, dispatched", func(a *Attempt) { a.Idempotent = false }, NotIdempotent},
		{"not idempotent, not dispatched", func(a *Attempt) { a.Idempotent, a.Dispatched = false, false }, Allowed},
		{"answer started", func(a *Attempt) { a.AnswerStarted = true }, AnswerStarted},
		{"another layer retries", func(a *Attempt) { a.OtherLayerRetries = true }, OtherLayer},
		{"third attempt", func(a *Attempt) { a.Attempts = 3 }, TooManyAttempts},
		{"deadline", func(a *Attempt) { a.Deadline = t0.Add(time.Millisecond) }, DeadlinePassed},
		{"poison", func(a *Attempt) { a.Suspect = true }, PoisonSuspect},
		{"budget", func(a *Attempt) { a.Work = 1 << 20 }, BudgetExhausted},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := ok
			c.change(&a)
			d := New(Options{}).Retry(t0, a, newRand())
			if d.Reason != c.want || d.OK != (c.want == Allowed) {
				t.Errorf("Retry = %+v, want %v", d, c.want)
			}
		})
	}
}

// Guards against hedges of requests that must not run twice, and against hedges
// that are sent before the hedge delay, repeatedly, or beyond the budget.
func TestHedgeRules(t *testing.T) {
	ok := Attempt{Attempts: 1, Idempotent: true, Dispatched: true, Short: true, Work: 100}
	for _, c := range []struct {
		name   string
		change func(*Attempt)
		waited time.Duration
		want   Reason
	}{
		{"slow", func(*Attempt) {}, time.Second, Allowed},
		{"early", func(*Attempt) {}, 120 * time.Millisecond, TooEarly},
		{"not idempotent", func(a *Attempt) { a.Idempotent = false }, time.Second, NotIdempotent},
		{"not idempotent, not dispatched", func(a *Attempt) { a.Idempotent, a.Dispatched = false, false }, time.Second, NotIdempotent},
		{"long", func(a *Attempt) { a.Short = false }, time.Second, TooLong},
		{"second hedge", func(a *Attempt) { a.Attempts = 2 }, time.Second, AlreadyHedged},
		{"answer started", func(a *Attempt) { a.AnswerStarted = true }, time.Second, AnswerStarted},
		{"poison", func(a *Attempt) { a.Suspect = true }, time.Second, PoisonSuspect},
		{"budget", func(a *Attempt) { a.Work = 1 << 20 }, time.Second, BudgetExhausted},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(Options{})
			for range 100 {
				b.RecordRequest(400)
				b.RecordFirstToken(100 * time.Millisecond)
			}
			a := ok
			c.change(&a)
			if d := b.Hedge(t0, a, c.waited); d.Reason != c.want || d.OK != (c.want == Allowed) {
				t.Errorf("Hedge = %+v, want %v", d, c.want)
			}
		})
	}
}

// Guards against a backoff that does not grow, exceeds MaxDelay, or lacks jitter,
// so that callers retry at the same time.
func TestBackoff(t *testing.T) {
	b, rng := New(Options{MaxAttempts: 100, RetryShare: 1}), newRand()
	delays := map[time.Duration]bool{}
	for n := 1; n < 12; n++ {
		upper := min(20*time.Millisecond<<(n-1), time.Second)
		for range 20 {
			b.RecordRequest(1000)
			d := b.Retry(t0, Attempt{Attempts: n, Idempotent: true, Work: 1}, rng)
			if d.Delay < upper/2 || d.Delay > upper {
				t.Fatalf("delay %v after %d attempts, want %v to %v", d.Delay, n, upper/2, upper)
			}
			delays[d.Delay] = true
		}
	}
	if len(delays) < 200 {
		t.Errorf("%d distinct delays out of 220, want at least 200", len(delays))
	}
}

// checkBudget checks that the work of retries and hedges never exceeds its share
// of the work of requests plus the burst.
func checkBudget(t *rapid.T, broken string) {
	b := New(Options{})
	b.broken = broken
	rng := newRand()
	for range 30 {
		b.RecordFirstToken(50 * time.Millisecond)
	}
	var offered, retried, hedged float64
	t.Repeat(map[string]func(*rapid.T){
		"offer": func(t *rapid.T) {
			n := rapid.IntRange(1, 5000).Draw(t, "work")
			b.RecordRequest(n)
			offered += float64(n)
		},
		"retry": func(t *rapid.T) {
			a := Attempt{Attempts: 1, Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Dispatched: rapid.Bool().Draw(t, "dispatched"), Work: rapid.IntRange(1, 3000).Draw(t, "work")}
			if !b.Retry(t0, a, rng).OK {
				return
			}
			if a.Dispatched && !a.Idempotent {
				t.Fatal("a non-idempotent request was retried after dispatch")
			}
			if a.Dispatched {
				retried += float64(a.Work)
			}
		},
		"hedge": func(t *rapid.T) {
			a := Attempt{Attempts: 1, Idempotent: true, Short: true, Work: rapid.IntRange(1, 600).Draw(t, "work")}
			if b.Hedge(t0, a, time.Second).OK {
				done := rapid.IntRange(0, a.Work).Draw(t, "done")
				b.SettleHedge(a.Work, done)
				hedged += float64(done)
			}
		},
		"": func(t *rapid.T) {
			o := b.opts
			if limit := o.RetryShare*offered + o.BurstWork; retried > limit {
				t.Fatalf("retried %v, limit %v", retried, limit)
			}
			if limit := o.HedgeShare*offered + 1; hedged > limit {
				t.Fatalf("hedged %v, limit %v", hedged, limit)
			}
		},
	})
}

func TestBudgetInvariants(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkBudget(t, "") }) }

func TestBrokenVariantsFail(t *testing.T) {
	for _, name := range []string{"budget", "hedge", "idempotent"} {
		t.Run(name, func(t *testing.T) {
			rapidtest.MustFail(t, func(t *rapid.T) { checkBudget(t, name) })
		})
	}
}
