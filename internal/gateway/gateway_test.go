package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

const (
	chatPath         = "/v1/chat/completions"
	streamBody       = `{"model":"m1","messages":[{"role":"user","content":"hi"}],"stream":true,"x_custom":{"a":1}}`
	completionBody   = `{"model":"m1","messages":[{"role":"user","content":"hi"}]}`
	completionAnswer = `{"choices":[{"message":{"content":"ok"}}],"usage":{"prompt_tokens":3,"completion_tokens":2}}`
)

func completionEngine(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, completionAnswer)
}

// Guards against bad input that crashes a daemon, is billed, or is refused without
// a typed document that says that the request did not run.
func TestBadInputIsRefused(t *testing.T) {
	x := newFixture(t, completionEngine)
	for _, c := range []struct {
		name, path, body string
		header           []string
		want             problem.Kind
	}{
		{"malformed JSON", chatPath, `{"model":`, nil, problem.InvalidRequest},
		{"not an object", chatPath, `[1]`, nil, problem.InvalidRequest},
		{"no messages", chatPath, `{"model":"m1"}`, nil, problem.InvalidRequest},
		{"negative limit", chatPath, `{"model":"m1","messages":[{}],"max_tokens":-1}`, nil, problem.InvalidRequest},
		{"several answers", chatPath, `{"model":"m1","messages":[{}],"n":2}`, nil, problem.InvalidRequest},
		{"unknown model", chatPath, `{"model":"m9","messages":[{}]}`, nil, problem.UnknownService},
		{"unknown service", "/services/none/x", ``, nil, problem.UnknownService},
		{"unknown path", "/v2/else", ``, nil, problem.UnknownService},
		{"wrong key", chatPath, completionBody, []string{"Authorization", "Bearer wrong"}, problem.Unauthorized},
		{"no key", chatPath, completionBody, []string{"Authorization", ""}, problem.Unauthorized},
		{"oversize body", chatPath, `{"model":"` + strings.Repeat("x", 5000) + `"}`, nil, problem.TooLarge},
		{"body above the service's limit", "/services/orders/x", strings.Repeat("x", 101), nil, problem.TooLarge},
		{"bad deadline", chatPath, completionBody, []string{"X-Deadline-Ms", "soon"}, problem.InvalidRequest},
		{"bad event id", chatPath, streamBody, []string{"Last-Event-ID", "7"}, problem.InvalidRequest},
		{
			"stream of another account", chatPath, streamBody,
			[]string{"Last-Event-ID", requestIDPrefix("other") + "r1~e0~3"}, problem.InvalidRequest,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, text, err := x.post(c.path, c.body, c.header...)
			if err != nil {
				t.Fatal(err)
			}
			var doc problem.Document
			if err := json.Unmarshal([]byte(text), &doc); err != nil {
				t.Fatalf("body %q: %v", text, err)
			}
			if !strings.HasSuffix(doc.Type, "/"+string(c.want)) || doc.Ran != upstream.RanNo || doc.Status != resp.StatusCode {
				t.Errorf("status %d, got %+v, want type %s and ran no", resp.StatusCode, doc, c.want)
			}
			if got := resp.Header.Get("Content-Type"); got != problem.ContentType {
				t.Errorf("content type %q", got)
			}
		})
	}
	if bills := x.awaitBills(); len(bills) != 0 {
		t.Errorf("refused requests were billed: %v", bills)
	}
}

// Guards against lost request fields, a lost end of the stream, and a bill that
// differs from the engine's own count.
func TestStreamIsRelayedWhole(t *testing.T) {
	var forwarded atomic.Value
	x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		forwarded.Store(string(body))
		streamEngine(9, "done")(w, r)
	})
	_, text, err := x.post(chatPath, streamBody)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(text, `"content":"w`); got != 9 || !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("%d chunks in %q", got, text)
	}
	if strings.Contains(text, `"usage"`) {
		t.Error("the usage chunk was sent to a caller that did not ask for it")
	}
	var body map[string]any
	if err := json.Unmarshal([]byte(forwarded.Load().(string)), &body); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{
		"model": "m1", "stream": true, "x_custom": map[string]any{"a": 1.0}, "max_tokens": 100.0,
		"messages":       []any{map[string]any{"role": "user", "content": "hi"}},
		"stream_options": map[string]any{"include_usage": true},
	}
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("forwarded body (-want +got):\n%s", diff)
	}
	for id, tokens := range x.awaitBills() {
		if tokens != 12 {
			t.Errorf("request %s billed %d tokens, want 12", id, tokens)
		}
	}
}

// Guards against a truncated or malformed stream that looks complete to the
// caller.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	for _, end := range []string{"cut", "garbage"} {
		t.Run(end, func(t *testing.T) {
			x := newFixture(t, streamEngine(3, end))
			_, text, err := x.post(chatPath, streamBody)
			if err == nil {
				t.Error("the connection ended normally")
			}
			if strings.Contains(text, "[DONE]") || !strings.Contains(text, "event: error") {
				t.Errorf("got %q, want an error event and no [DONE]", text)
			}
			if bills := x.awaitBills(); len(bills) != 1 {
				t.Errorf("bills %v, want one", bills)
			}
		})
	}
}

// Guards against engine work that continues, or is billed twice or never, after
// the caller has disconnected.
func TestCallerGoneCancelsEngine(t *testing.T) {
	cancelled := make(chan struct{})
	x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		streamEngine(3, "hang")(w, r)
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, x.server.URL+chatPath, strings.NewReader(streamBody))
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readEvents(resp.Body, 3); err != nil {
		t.Fatal(err)
	}
	cancel()
	resp.Body.Close()
	<-cancelled
	bills := x.awaitBills()
	if len(bills) != 1 {
		t.Fatalf("bills %v, want one", bills)
	}
	for _, tokens := range bills {
		if tokens < 3 {
			t.Errorf("billed %d tokens, at least 3 ran", tokens)
		}
	}
}

// Guards against a request that fails although another endpoint works, and
// against a separate bill for each attempt.
func TestRetryBeforeFirstByte(t *testing.T) {
	crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	x := newFixture(t, crash, completionEngine)
	x.addRefusingEndpoint()
	resp, text, err := x.post(chatPath, completionBody, "Idempotency-Key", "k1")
	if err != nil || resp.StatusCode != http.StatusOK || text != completionAnswer {
		t.Fatalf("got %v %q, error %v", resp, text, err)
	}
	if diff := cmp.Diff(map[string]int64{requestIDFor("shop", "k1"): 5}, x.awaitBills()); diff != "" {
		t.Errorf("bills (-want +got):\n%s", diff)
	}
}

// Guards against a second run of a non-idempotent request. After a dispatch whose
// outcome is unknown, no other endpoint may receive it, and a repeated request must
// be answered accordingly. Only after a refused connection is it retried.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	var runs atomic.Int32
	crash := func(http.ResponseWriter, *http.Request) { runs.Add(1); panic(http.ErrAbortHandler) }
	x := newFixture(t, crash, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	x.addRefusingEndpoint()
	for _, want := range []string{"endpoint-failed", "outcome-unknown"} {
		resp, text, err := x.post("/services/orders/reprint", `{}`, "Idempotency-Key", "k1")
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(text, "/"+want) || resp.Header.Get("X-Ran") != "unknown" {
			t.Errorf("ran %q, body %q, want %s", resp.Header.Get("X-Ran"), text, want)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("ran %d times", runs.Load())
	}
	if bills := x.awaitBills(); len(bills) != 1 {
		t.Errorf("bills %v, want one", bills)
	}
}

// Guards against a repeated request that runs again: it must be answered with the
// stored first answer.
func TestNonIdempotentRepeatGetsFirstAnswer(t *testing.T) {
	var runs atomic.Int32
	x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "badge %d %s", runs.Add(1), r.URL.Path)
	})
	for range 2 {
		_, text, err := x.post("/services/orders/reprint", `{}`, "Idempotency-Key", "k1")
		if err != nil || text != "badge 1 /reprint" {
			t.Errorf("got %q, error %v", text, err)
		}
	}
}

// Guards against a stream that exceeds the account's budget.
func TestStreamStopsAtBudget(t *testing.T) {
	x := newFixture(t, streamEngine(90, "done"))
	body := strings.Replace(streamBody, `"stream":true`, `"stream":true,"max_tokens":90`, 1)
	// The budget covers the upper bound of the prompt and ten output tokens.
	x.fleet.balance = int64(len(body)) + templateTokensPerRequest + templateTokensPerMessage + 10
	_, text, err := x.post(chatPath, body)
	x.awaitBills()
	if err == nil || strings.Contains(text, "[DONE]") || !strings.Contains(text, "budget-exhausted") {
		t.Errorf("got %q, error %v, want a budget refusal in the stream", text, err)
	}
	// Tokens were relayed before the refusal, so it must not say that nothing ran.
	if !strings.Contains(text, `"ran":"yes"`) {
		t.Errorf("got %q, want the refusal to say that the request ran", text)
	}
	if x.fleet.balance < 0 {
		t.Errorf("balance is %d", x.fleet.balance)
	}
}

// Guards against admission of requests to a service whose dependency is down.
func TestDependencyDownIsNamed(t *testing.T) {
	x := newFixture(t, completionEngine)
	x.fleet.unavailableDependency = "stock"
	resp, text, err := x.post(chatPath, completionBody)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text, `"dependency":"stock"`) {
		t.Errorf("got %v %q, error %v", resp, text, err)
	}
}

// hangingEngine returns an engine that accepts a request and never answers. The
// channel is closed when the request is cancelled.
func hangingEngine() (http.HandlerFunc, chan struct{}) {
	cancelled := make(chan struct{})
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(cancelled)
	}, cancelled
}

// Guards against a caller that waits for an unresponsive endpoint although another
// one works.
func TestNoProgressIsRetried(t *testing.T) {
	unresponsive, cancelled := hangingEngine()
	x := newFixture(t, unresponsive, completionEngine)
	x.fleet.firstTokenTimeout = 20 * time.Millisecond
	resp, text, err := x.post(chatPath, strings.Replace(completionBody, `"messages"`, `"max_tokens":1,"messages"`, 1))
	if err != nil || resp.StatusCode != http.StatusOK || text != completionAnswer {
		t.Fatalf("got %v %q, error %v", resp, text, err)
	}
	<-cancelled
	if bills := x.awaitBills(); len(bills) != 1 {
		t.Errorf("bills %v, want one", bills)
	}
}

// Guards against a hedged request that is billed twice, or whose slower attempt is
// not cancelled.
func TestHedgeIsBilledOnce(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		engine     http.HandlerFunc
	}{
		"plain":  {"/services/orders/lookup", "", completionEngine},
		"stream": {chatPath, streamBody, streamEngine(3, "done")},
	} {
		t.Run(name, func(t *testing.T) {
			slow, cancelled := hangingEngine()
			arrived := make(chan struct{})
			x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				close(arrived)
				slow(w, r)
			}, func(w http.ResponseWriter, r *http.Request) {
				// The first endpoint sees a cancellation only if the request has
				// reached it before the second one answers.
				<-arrived
				c.engine(w, r)
			})
			x.fleet.hedgeDelay = time.Millisecond
			resp, text, err := x.post(c.path, c.body)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("got %v %q, error %v", resp, text, err)
			}
			<-cancelled
			if bills := x.awaitBills(); len(bills) != 1 || x.fleet.winner != "e1" {
				t.Errorf("bills %v, winner %q, want one bill and e1", bills, x.fleet.winner)
			}
		})
	}
}
