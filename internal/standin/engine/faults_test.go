package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a crash that leaves other requests running, and against an engine
// that answers during the downtime or does not recover after it.
func TestCrashMarker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{InterToken: time.Second})
		defer e.Close()
		e.SetFaults(Faults{CrashMarker: "poison", CrashDownMillis: 5000})
		var other response
		go func() { other = chat(t.Context(), e, "other", "words:9", "") }()
		synctest.Wait()
		poison := chat(t.Context(), e, "p", "some poison here", "")
		synctest.Wait()
		if !poison.aborted || !other.aborted || e.Crashes() != 1 {
			t.Errorf("aborted: poison %v, other %v; crashes %d", poison.aborted, other.aborted, e.Crashes())
		}
		if !call(t.Context(), e, http.MethodGet, "/health", "").aborted {
			t.Error("the engine answered during the downtime")
		}
		if call(t.Context(), e, http.MethodGet, "/admin/usage", "").Code != http.StatusOK {
			t.Error("the usage log is not readable while the engine is down")
		}
		time.Sleep(5 * time.Second)
		if r := chat(t.Context(), e, "after", "words:1", ""); r.aborted || r.Code != http.StatusOK {
			t.Errorf("after the downtime: aborted %v, status %d", r.aborted, r.Code)
		}
		if l := e.Load(); l.Running != 0 || l.Queued != 0 {
			t.Errorf("load after the crash: %+v", l)
		}
	})
}

// Guards against faults that have no effect or remain after a reset.
func TestAnswerFaults(t *testing.T) {
	for _, tc := range []struct {
		name, faults string
		aborted      bool
		chunks, runs int
	}{
		{"none", `{}`, false, 6, 1},
		{"garbage", `{"garbage":true}`, false, 0, 1},
		{"close in mid-stream", `{"close_after_tokens":2}`, true, 3, 1},
		{"black hole", `{"black_hole":true}`, true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Options{})
				defer e.Close()
				if r := call(t.Context(), e, http.MethodPut, "/admin/faults", tc.faults); r.Code != http.StatusOK {
					t.Fatalf("status %d: %s", r.Code, r.Body)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				r := chat(ctx, e, "a", "words:4", `,"stream":true`)
				_, chunks, _ := parseEvents(r.Body.String())
				byID, _ := e.Usage()
				if r.aborted != tc.aborted || len(chunks) != tc.chunks || byID["a"].Runs != tc.runs {
					t.Errorf("aborted %v, %d chunks, %d runs, want %+v", r.aborted, len(chunks), byID["a"].Runs, tc)
				}
				call(t.Context(), e, http.MethodDelete, "/admin/faults", "")
				if _, chunks, done := parseEvents(chat(t.Context(), e, "b", "words:4",
					`,"stream":true`).Body.String()); len(chunks) != 6 || !done {
					t.Errorf("after the reset: %d chunks, done %v", len(chunks), done)
				}
			})
		})
	}
}

// Guards against a load report without a lag, which would hide faults of code that
// assumes current reports.
func TestLoadLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Slots: 1, InterToken: 100 * time.Millisecond, ReportLag: 2 * time.Second})
		defer e.Close()
		for _, id := range []string{"a", "b"} {
			go chat(t.Context(), e, id, "words:1000", "")
		}
		time.Sleep(1900 * time.Millisecond)
		early := e.Load()
		time.Sleep(1100 * time.Millisecond)
		late := e.Load()
		type load struct {
			Running, Queued int
			Rate            float64
		}
		got := []load{{early.Running, early.Queued, early.TokensPerSecond}, {late.Running, late.Queued, late.TokensPerSecond}}
		if diff := cmp.Diff([]load{{0, 0, 0}, {1, 1, 10}}, got); diff != "" {
			t.Errorf("reports (-want +got):\n%s", diff)
		}
	})
}

// Guards against an engine that accepts stale fencing tokens with RefuseStaleOrders
// set, or refuses them without it.
func TestOrders(t *testing.T) {
	for _, tc := range []struct {
		refuse bool
		status int
		want   []string
	}{
		{true, http.StatusConflict, []string{OrderDone, OrderDone, OrderRefused}},
		{false, http.StatusAccepted, []string{OrderDone, OrderDone, OrderDone}},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := New(Options{RefuseStaleOrders: tc.refuse, OrderDuration: time.Second})
			defer e.Close()
			place := func(body string) int {
				time.Sleep(time.Millisecond) // simultaneous orders may end in any order
				return call(t.Context(), e, http.MethodPost, "/admin/orders", body).Code
			}
			place(`{"id":"1","kind":"load-model","target":"big","fencing":7}`)
			place(`{"id":"2","kind":"set-role","target":"prefill","fencing":7}`)
			if o := e.Orders()[0]; o.State != OrderRunning {
				t.Errorf("state %q right after the order, want running", o.State)
			}
			if got := place(`{"id":"3","kind":"load-model","target":"old","fencing":6}`); got != tc.status {
				t.Errorf("status %d for a stale fencing token, want %d", got, tc.status)
			}
			time.Sleep(2 * time.Second)
			var states []string
			for _, o := range e.Orders() {
				states = append(states, o.State)
			}
			if diff := cmp.Diff(tc.want, states); diff != "" {
				t.Errorf("states (-want +got):\n%s", diff)
			}
			models := []string{"standin", "big"}
			if !tc.refuse {
				models = append(models, "old")
			}
			if l := e.Load(); l.Role != "prefill" || !cmp.Equal(l.Models, models) {
				t.Errorf("role %q, models %v, want prefill, %v", l.Role, l.Models, models)
			}
		})
	}
}

// Guards against cache events that ignore the configured lag or gap, and against a
// cache that ignores its size limit or finds no cached prefix.
func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{CacheBlocks: 2, CacheEventLag: time.Second, CacheEventGap: 3})
		defer e.Close()
		prompt := strings.Repeat("w ", 3*BlockTokens)
		chat(t.Context(), e, "a", prompt, "")
		if got := e.CacheEvents(0); len(got) != 0 {
			t.Errorf("%d events before the lag", len(got))
		}
		time.Sleep(time.Second)
		var got []string
		for _, ev := range e.CacheEvents(1) {
			got = append(got, ev.Kind)
		}
		// Events 1 to 3 are "stored" and event 4 is "removed"; event 3 is dropped.
		if diff := cmp.Diff([]string{"stored", "removed"}, got); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
		shared := strings.Repeat("x ", BlockTokens)
		chat(t.Context(), e, "b", shared, "")
		if r := chat(t.Context(), e, "c", shared+"y", ""); !strings.Contains(r.Body.String(), `"cached_tokens":16`) {
			t.Errorf("no cached tokens in %s", r.Body)
		}
	})
}

// Guards against a disconnect that goes unnoticed on a real connection: the engine
// must release the slot. A crash must close the connections without an answer.
func TestOverTCP(t *testing.T) {
	e := New(Options{Slots: 1, InterToken: time.Hour})
	srv := httptest.NewServer(e)
	defer srv.Close()
	defer e.Close()
	defer http.DefaultClient.CloseIdleConnections()
	post := func(ctx context.Context, prompt string) (*http.Response, error) {
		body := `{"model":"standin","stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"` +
			prompt + `"}]}]}`
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		return http.DefaultClient.Do(req)
	}
	ctx, cancel := context.WithCancel(t.Context())
	first, err := post(ctx, "words:2")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Body.Close()
	cancel()
	second, err := post(t.Context(), "words:2") // blocks until the slot is free
	if err != nil {
		t.Fatal(err)
	}
	defer second.Body.Close()
	e.SetFaults(Faults{CrashMarker: "poison"})
	e.mu.Lock()
	e.opts.Slots = 2
	e.mu.Unlock()
	if _, err := post(t.Context(), "poison"); err == nil {
		t.Error("the poison request was answered")
	}
	if _, err := io.ReadAll(second.Body); err == nil {
		t.Error("a stream interrupted by the crash ended without an error")
	}
}
