package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000_000, 0)

// newSlotQueue returns a Queue for a pool of one plain endpoint, limited by its
// slots.
func newSlotQueue(slots int, o Options) *Queue {
	o.PlainService = true
	q := New(o)
	q.SetCapacity(t0, Capacity{Endpoints: 1, Slots: float64(slots)})
	return q
}

// Guards against an admission order that ignores account, size or waiting time.
func TestOrder(t *testing.T) {
	long := Request{Tokens: 4000, Long: true}
	short := Request{Tokens: 100}
	for _, c := range []struct {
		name  string
		items []Request       // offered while the only slot is in use
		gaps  []time.Duration // time before each offer
		want  []RequestID     // order of starts; the request IDs are 1, 2, ...
	}{
		{"short before long", []Request{long, short}, nil, []RequestID{2, 1}},
		{"long goes first after aging", []Request{long, short}, []time.Duration{0, 9 * time.Second}, []RequestID{1, 2}},
		{"accounts take turns", []Request{{Account: "a", Tokens: 100}, {Account: "a", Tokens: 100},
			{Account: "b", Tokens: 100}}, nil, []RequestID{1, 3, 2}},
		{"weight counts", []Request{{Account: "a", Tokens: 100}, {Account: "b", Weight: 3, Tokens: 100},
			{Account: "b", Weight: 3, Tokens: 100}, {Account: "a", Tokens: 100}}, nil, []RequestID{1, 2, 3, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newSlotQueue(1, Options{MaxWait: time.Hour, MaxLongWait: time.Hour})
			now := t0
			q.Offer(now, Request{ID: 99, Account: "z", Tokens: 1})
			for k, it := range c.items {
				if c.gaps != nil {
					now = now.Add(c.gaps[k])
				}
				it.ID = RequestID(k + 1)
				if d := q.Offer(now, it); d.Verdict != Queued {
					t.Fatalf("Offer(%d) = %v, want Queued", k+1, d)
				}
			}
			var got []RequestID
			now = now.Add(10 * time.Second) // the reserve for short requests no longer applies
			for last := RequestID(99); ; last = got[len(got)-1] {
				started := q.Finished(now, last, Usage{Tokens: 100, Dispatched: true})
				if len(started) == 0 {
					break
				}
				got = append(got, started...)
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against refusals with the wrong reason or without a retry delay.
func TestRefusals(t *testing.T) {
	q := New(Options{})
	if d := q.Offer(t0, Request{ID: 1}); d.Reason != NoCapacity || d.RetryAfter < time.Second {
		t.Errorf("decision without capacity: %+v, want NoCapacity and at least 1 s", d)
	}
	q = newSlotQueue(1, Options{MaxQueuedTokens: 100})
	q.Offer(t0, Request{ID: 1, Account: "a", Tokens: 10})
	if d := q.Offer(t0, Request{ID: 2, Account: "a", Tokens: 101}); d.Reason != QueueFull {
		t.Errorf("decision for a request above the queue limit: %+v, want QueueFull", d)
	}
	q.Offer(t0, Request{ID: 3, Account: "a", Tokens: 90})
	d := q.Offer(t0, Request{ID: 4, Account: "b", Tokens: 50})
	if d.Verdict != Queued || len(d.Displaced) != 1 || d.Displaced[0].ID != 3 || d.Displaced[0].Reason != Displaced {
		t.Errorf("decision for an account below its share: %+v, want Queued with request 3 displaced", d)
	}
	q.Offer(t0, Request{ID: 5, Account: "c", Tokens: 10, Deadline: t0.Add(50 * time.Millisecond)})
	expired := q.Expire(t0.Add(2 * time.Second))
	want := map[RequestID]Reason{4: WaitedTooLong, 5: DeadlineUnreachable}
	if len(expired) != 2 || expired[0].Reason != want[expired[0].ID] || expired[1].Reason != want[expired[1].ID] {
		t.Errorf("Expire = %+v, want reasons %v", expired, want)
	}
	if !slices.Equal(q.Finished(t0, 1, Usage{}), nil) || q.Stats().Running != 0 {
		t.Errorf("state after the last request ended: %+v", q.Stats())
	}
}

// Guards against a limit that does not follow the inter-token latency: too high
// a limit violates the latency target, too low a limit wastes capacity.
func TestAdaptiveLimit(t *testing.T) {
	q := New(Options{})
	c := Capacity{Endpoints: 4, Slots: 4 * 64}
	q.SetCapacity(t0, c)
	now := t0
	for k := range 4000 {
		batch := 8 + k%9 // far below the limit
		now = now.Add(time.Millisecond)
		q.Observe(now, 25*time.Millisecond+time.Duration(batch)*time.Millisecond, batch)
	}
	// 25 ms plus 1 ms per request reaches 75 ms at 50 requests.
	if got := q.Stats().LimitPerEndpoint; got < 45 || got > 51 {
		t.Errorf("limit predicted by the model = %.1f, want 45 to 51", got)
	}
	for k := range 4000 {
		now = now.Add(time.Millisecond)
		q.Observe(now, 90*time.Millisecond, 48+k%3)
	}
	if got := q.Stats().LimitPerEndpoint; got > 40 {
		t.Errorf("limit after 4 s above the target = %.1f, want at most 40", got)
	}
}

// Guards against a limit that oscillates while the batch size hardly changes,
// and against one that is lowered further while requests admitted earlier still
// exceed it.
func TestLimitIsSteady(t *testing.T) {
	q, rng := New(Options{}), rand.New(rand.NewPCG(1, 2))
	q.SetCapacity(t0, Capacity{Endpoints: 4, Slots: 4 * 64})
	now := t0
	observe := func(batch int) {
		now = now.Add(100 * time.Microsecond)
		// 25 ms plus 1 ms per request, with a prefill of 5 ms in a tenth of the steps.
		gap := 25*time.Millisecond + time.Duration(batch)*time.Millisecond
		if rng.IntN(10) == 0 {
			gap += 5 * time.Millisecond
		}
		// Load digests are delayed, so the known batch size deviates from the real one.
		q.Observe(now, gap, batch+rng.IntN(7)-3)
	}
	for range 100_000 {
		observe(8 + rng.IntN(9))
	}
	for k := range 100_000 {
		observe(39 + rng.IntN(4))
		if got := q.Stats().LimitPerEndpoint; k%1000 == 999 && (got < 42 || got > 51) {
			t.Fatalf("limit %.1f after %d gaps at a batch size of about 40, want 42 to 51", got, k)
		}
	}
	for k := range 4 * 64 {
		q.Offer(now, Request{ID: RequestID(k), Tokens: 100})
	}
	q.SetCapacity(now, Capacity{Endpoints: 2, Slots: 2 * 64})
	before := q.limit.correction
	for range 50_000 {
		observe(70)
	}
	if q.limit.correction < before {
		t.Errorf("the correction fell from %.2f to %.2f while more requests ran than the limit", before, q.limit.correction)
	}
}

// Guards against lowering the limit of the whole pool because one endpoint in
// ten is slow, and against ignoring that the whole pool is slow.
func TestLimitWithSlowEndpoint(t *testing.T) {
	q := New(Options{})
	q.SetCapacity(t0, Capacity{Endpoints: 10, Slots: 240})
	now := t0
	observe := func(k int, slow bool) {
		now = now.Add(time.Millisecond)
		gap := 25*time.Millisecond + time.Duration(8+k%9)*600*time.Microsecond
		if slow {
			gap *= 10
		}
		q.Observe(now, gap, 8+k%9)
	}
	for k := range 20000 {
		observe(k, k > 2000 && k%10 == 0)
	}
	if got := q.Stats().LimitPerEndpoint; got < 20 {
		t.Errorf("limit %.1f of 24 slots with one slow endpoint, want at least 20", got)
	}
	for k := range 20000 {
		observe(k, true)
	}
	if got := q.Stats().LimitPerEndpoint; got > 12 {
		t.Errorf("limit %.1f in a slow pool, want at most 12", got)
	}
}

// Guards against a lowered limit that is ignored, and against one that stops
// all admissions until enough requests have ended.
func TestLoweredLimit(t *testing.T) {
	for _, long := range []bool{false, true} {
		q := New(Options{MaxWait: time.Hour, MaxLongWait: time.Hour})
		q.SetCapacity(t0, Capacity{Endpoints: 1, Slots: 40})
		for k := range 60 {
			q.Offer(t0, Request{ID: RequestID(k), Account: "large", Tokens: 100, Long: long})
		}
		if got := q.Stats().Running; got != 40 {
			t.Fatalf("%d requests running, want 40", got)
		}
		q.SetCapacity(t0, Capacity{Endpoints: 1, Slots: 20})
		started := 0
		for k := range 10 {
			started += len(q.Finished(t0, RequestID(k), Usage{Tokens: 100, Dispatched: true}))
		}
		if started != 5 {
			t.Errorf("long=%t: %d requests started after 10 ended above the limit, want 5", long, started)
		}
		for k := range 4 {
			q.Offer(t0, Request{ID: RequestID(100 + k), Account: "small", Tokens: 100})
		}
		if got := q.Finished(t0, 20, Usage{Tokens: 100, Dispatched: true}); len(got) != 1 || got[0] < 100 {
			t.Errorf("long=%t: started %v after one request ended, want one of the account below its share", long, got)
		}
	}
}

// checkQueue drives a queue with random calls and checks its invariants after
// each of them.
func checkQueue(t *rapid.T, broken string) {
	options := Options{MaxQueuedTokens: 2000, MaxWait: time.Second, MaxLongWait: 3 * time.Second, PlainService: true}
	q := New(options)
	q.broken = broken
	slots := rapid.IntRange(1, 6).Draw(t, "slots")
	q.SetCapacity(t0, Capacity{Endpoints: 1, Slots: float64(slots)})
	now, next := t0, RequestID(0)
	state := map[RequestID]string{}
	offeredAt := map[RequestID]time.Time{}
	lastShort, maxShort := time.Time{}, 0
	transition := func(ids []RequestID, from, to string) {
		for _, id := range ids {
			if state[id] != from {
				t.Fatalf("request %d changes from state %q to %q, want from %q", id, state[id], to, from)
			}
			state[id] = to
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"offer": func(t *rapid.T) {
			next++
			long := rapid.Bool().Draw(t, "long")
			d := q.Offer(now, Request{ID: next, Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
				Tokens: rapid.IntRange(1, 600).Draw(t, "tokens"), Long: long})
			state[next] = []string{"running", "queued", "refused"}[d.Verdict]
			offeredAt[next] = now
			if !long {
				lastShort = now
			}
			for _, x := range d.Displaced {
				transition([]RequestID{x.ID}, "queued", "refused")
			}
		},
		"finish": func(t *rapid.T) {
			for id := RequestID(1); id <= next; id++ {
				if state[id] == "running" {
					state[id] = "done"
					transition(q.Finished(now, id, Usage{Tokens: rapid.IntRange(0, 900).Draw(t, "actual"), Dispatched: true}), "queued", "running")
					return
				}
			}
		},
		"wait": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			for _, x := range q.Expire(now) {
				transition([]RequestID{x.ID}, "queued", "refused")
			}
			transition(q.SetCapacity(now, q.capacity), "queued", "running")
		},
		"": func(t *rapid.T) {
			running, queued := 0, 0
			for id, s := range state {
				switch s {
				case "running":
					running++
				case "queued":
					queued++
					if now.Sub(offeredAt[id]) >= options.MaxLongWait {
						t.Fatalf("request %d is still queued after %v", id, now.Sub(offeredAt[id]))
					}
				}
			}
			maxShort = max(maxShort, len(q.running)-q.runningLong)
			s := q.Stats()
			if s.Running != running || s.Queued != queued {
				t.Fatalf("stats %+v, want %d running, %d queued", s, running, queued)
			}
			if running > slots {
				t.Fatalf("%d requests running with %d slots", running, slots)
			}
			if s.QueuedTokens > options.MaxQueuedTokens {
				t.Fatalf("%d tokens queued, limit %d", s.QueuedTokens, options.MaxQueuedTokens)
			}
			// Work conservation: a slot may stay free while requests are queued
			// only if all of them are long, long requests have used up their
			// floor, the free slots are within the reserve, and short requests
			// arrived recently.
			if queued == 0 || running == slots {
				return
			}
			long := 0
			for _, e := range q.queued {
				if !e.Long {
					t.Fatalf("short request %d is queued although a slot is free", e.ID)
				}
			}
			for _, e := range q.running {
				if e.Long {
					long++
				}
			}
			free := float64(slots - running)
			if float64(long) < max(1, longFloorShare*float64(slots)) || now.Sub(lastShort) > reserveDuration ||
				free > 1+longReserveStdDevs*math.Sqrt(float64(maxShort)) {
				t.Fatalf("long requests are queued with %v free slots and %d long requests running", free, long)
			}
		},
	})
}

func TestQueueInvariants(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkQueue(t, "") }) }

// workByAccount keeps requests of three accounts queued and returns the work of
// each account in tokens.
func workByAccount(broken string) map[string]int {
	q := newSlotQueue(4, Options{MaxWait: time.Hour, MaxLongWait: time.Hour, MaxQueuedTokens: 1 << 30})
	q.broken = broken
	weights := map[string]float64{"a": 1, "b": 1, "c": 2}
	sizes := map[string]int{"a": 50, "b": 400, "c": 100}
	served, owner, next := map[string]int{}, map[RequestID]string{}, RequestID(0)
	var running []RequestID
	offer := func(a string) {
		next++
		owner[next] = a
		if q.Offer(t0, Request{ID: next, Account: a, Weight: weights[a], Tokens: sizes[a]}).Verdict == Admitted {
			running = append(running, next)
		}
	}
	for range 30 {
		for _, a := range []string{"a", "b", "c"} {
			offer(a)
		}
	}
	for range 2000 {
		id := running[0]
		a := owner[id]
		served[a] += sizes[a]
		running = append(running[1:], q.Finished(t0, id, Usage{Tokens: sizes[a], Dispatched: true})...)
		offer(a)
	}
	return served
}

func checkFairShares(served map[string]int) error {
	total := served["a"] + served["b"] + served["c"]
	for a, share := range map[string]float64{"a": 0.25, "b": 0.25, "c": 0.5} {
		if got := float64(served[a]) / float64(total); got < share-0.02 {
			return fmt.Errorf("account %s got a share of %.3f of the work, want %.2f", a, got, share)
		}
	}
	return nil
}

// Guards against an account that gets less than its weighted share while the
// pool is full.
func TestFairness(t *testing.T) {
	if err := checkFairShares(workByAccount("")); err != nil {
		t.Error(err)
	}
	if checkFairShares(workByAccount("unfair")) == nil {
		t.Error("the check accepts a queue that ignores accounts")
	}
}

func TestMain(m *testing.M) { rapidtest.Main(m) }

func TestBrokenVariantsFail(t *testing.T) {
	for _, name := range []string{"limit", "bound", "reserve"} {
		t.Run(name, func(t *testing.T) {
			rapidtest.MustFail(t, func(t *rapid.T) { checkQueue(t, name) })
		})
	}
}
