package engine

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

// TestMain sets a fixed rapid seed unless the command line sets one, so that runs
// are reproducible, and disables rapid's failure files in the source tree.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		defaults["rapid.seed"] = "1"
	}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// response is a recorded response. aborted means that the handler closed the
// connection before the end of the response.
type response struct {
	*httptest.ResponseRecorder
	aborted bool
}

func call(ctx context.Context, e *Engine, method, path, body string, header ...string) (resp response) {
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		v := recover()
		if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			resp.aborted = true
		} else if v != nil {
			panic(v)
		}
	}()
	e.ServeHTTP(resp, req)
	return resp
}

func chat(ctx context.Context, e *Engine, id, prompt, extra string, header ...string) response {
	body := fmt.Sprintf(`{"model":"standin","messages":[{"role":"user","content":%q}]%s}`, prompt, extra)
	return call(ctx, e, http.MethodPost, "/v1/chat/completions", body, append(header, HeaderRequestID, id)...)
}

// parseEvents returns the event ids and the valid chunks of an event stream, and
// whether it ended with [DONE].
func parseEvents(body string) (ids []string, chunks []completion, done bool) {
	for _, line := range strings.Split(body, "\n") {
		data, isData := strings.CutPrefix(line, "data: ")
		id, isID := strings.CutPrefix(line, "id: ")
		var c completion
		switch {
		case isID:
			ids = append(ids, id)
		case isData && data == "[DONE]":
			done = true
		case isData && json.Unmarshal([]byte(data), &c) == nil:
			chunks = append(chunks, c)
		}
	}
	return ids, chunks, done
}

func joinContents(chunks []completion) string {
	var b strings.Builder
	for _, c := range chunks {
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != nil {
			b.WriteString(*c.Choices[0].Delta.Content)
		}
	}
	return b.String()
}

// Guards against a stream whose text differs from the non-streamed answer, whose
// chunks are not in the order of the OpenAI API, or that does not match the usage log.
func TestStreamMatchesAnswer(t *testing.T) {
	e := New(Options{})
	defer e.Close()
	var plain completion
	r := chat(t.Context(), e, "plain", "one two words:5", `,"max_tokens":3`)
	if err := json.Unmarshal(r.Body.Bytes(), &plain); err != nil {
		t.Fatal(err)
	}
	r = chat(t.Context(), e, "stream", "one two words:5",
		`,"max_tokens":3,"stream":true,"stream_options":{"include_usage":true}`)
	ids, chunks, done := parseEvents(r.Body.String())
	if diff := cmp.Diff([]string{"0", "1", "2", "3", "4", "5"}, ids); diff != "" || !done || len(chunks) != 6 {
		t.Fatalf("%d chunks, done %v, ids (-want +got):\n%s", len(chunks), done, diff)
	}
	if got, want := joinContents(chunks), *plain.Choices[0].Message.Content; got != want ||
		len(strings.Fields(want)) != 3 {
		t.Errorf("stream %q, answer %q, want three equal tokens", got, want)
	}
	if reason := chunks[4].Choices[0].FinishReason; reason == nil || *reason != "length" {
		t.Errorf("finish reason %v, want length", reason)
	}
	want := &chatUsage{PromptTokens: 3, CompletionTokens: 3, TotalTokens: 6}
	if diff := cmp.Diff(want, chunks[5].Usage); diff != "" {
		t.Errorf("usage (-want +got):\n%s", diff)
	}
	byID, total := e.Usage()
	one := RequestUsage{Received: 1, Runs: 1, Completed: 1, PromptTokens: 3, CompletionTokens: 3}
	two := RequestUsage{Runs: 2, Completed: 2, PromptTokens: 6, CompletionTokens: 6}
	if diff := cmp.Diff(map[string]RequestUsage{"plain": one, "stream": one}, byID); diff != "" || total != two {
		t.Errorf("total %+v, usage (-want +got):\n%s", total, diff)
	}
}

// Guards against requests that do not slow each other down: they must share the
// prefill rate, and the inter-token time must grow with the batch size.
func TestTiming(t *testing.T) {
	opts := Options{
		PrefillTokensPerSecond: 100, InterToken: 10 * time.Millisecond, InterTokenPerSlot: 5 * time.Millisecond,
	}
	for _, tc := range []struct {
		name     string
		slots, n int
		slowdown float64
		want     time.Duration
	}{
		{"alone", 2, 1, 0, 20*time.Millisecond + 2*10*time.Millisecond},
		{"two in one batch", 2, 2, 0, 40*time.Millisecond + 2*15*time.Millisecond - 5*time.Millisecond},
		{"two in turn", 1, 2, 0, 2 * (20*time.Millisecond + 2*10*time.Millisecond)},
		{"slowed", 2, 1, 10, 400 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opts.Slots = tc.slots
				e := New(opts)
				defer e.Close()
				e.SetFaults(Faults{Slowdown: tc.slowdown})
				start := time.Now()
				for i := range tc.n {
					go chat(t.Context(), e, fmt.Sprint(i), "hello words:3", "")
				}
				waitUntil(e, func(u RequestUsage) bool { return u.Completed == tc.n })
				if got := time.Since(start); got != tc.want {
					t.Errorf("took %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// waitUntil polls the usage totals until ok returns true. It runs in the virtual
// time of a synctest bubble.
func waitUntil(e *Engine, ok func(RequestUsage) bool) {
	for {
		synctest.Wait()
		if _, total := e.Usage(); ok(total) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a queue that ignores priorities, and against a queued request that
// runs after its caller has disconnected.
func TestPriorityAndCancelInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{Slots: 1, InterToken: time.Second})
		defer e.Close()
		cancelled, cancel := context.WithCancel(t.Context())
		var order []string
		for _, r := range []struct {
			id, priority string
			ctx          context.Context
		}{{"first", "9", t.Context()}, {"low", "5", t.Context()}, {"gone", "0", cancelled}, {"high", "1", t.Context()}} {
			go func() {
				if !chat(r.ctx, e, r.id, "words:2", `,"priority":`+r.priority).aborted {
					order = append(order, r.id)
				}
			}()
			synctest.Wait()
		}
		cancel()
		waitUntil(e, func(u RequestUsage) bool { return u.Completed == 3 })
		synctest.Wait()
		if diff := cmp.Diff([]string{"first", "high", "low"}, order); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
		if byID, _ := e.Usage(); byID["gone"].Runs != 0 {
			t.Errorf("usage of a request cancelled in the queue: %+v, want no runs", byID["gone"])
		}
	})
}

// Guards against a generation that continues after its caller has disconnected,
// against a resumable one that is lost within the grace time, and against one that
// is kept longer.
func TestDisconnectAndResume(t *testing.T) {
	for _, tc := range []struct {
		name, resumable string
		pause           time.Duration
		status, tokens  int
	}{
		{"not resumable", "false", time.Second, http.StatusGone, 2},
		{"within the grace", "true", 3 * time.Second, http.StatusOK, 10},
		{"after the grace", "true", 5 * time.Second, http.StatusGone, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Options{InterToken: time.Second, ResumeGrace: 4*time.Second + time.Millisecond})
				defer e.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
				defer cancel()
				first := chat(ctx, e, "r", "words:10", `,"stream":true`, HeaderResumable, tc.resumable)
				time.Sleep(tc.pause)
				second := chat(t.Context(), e, "r", "", "", HeaderLastEventID, "2")
				if !first.aborted || second.Code != tc.status {
					t.Fatalf("aborted %v, resume status %d, want %d", first.aborted, second.Code, tc.status)
				}
				byID, _ := e.Usage()
				if u := byID["r"]; u.Runs != 1 || u.CompletionTokens != tc.tokens {
					t.Errorf("usage %+v, want one run of %d tokens", u, tc.tokens)
				}
				if tc.status != http.StatusOK {
					return
				}
				_, before, _ := parseEvents(first.Body.String())
				_, after, done := parseEvents(second.Body.String())
				want, _ := Answer([]string{"words:10"}, 0, 0)
				if got := joinContents(append(before, after...)); got != strings.Join(want, " ") || !done {
					t.Errorf("joined answer %q, done %v, want %q", got, done, strings.Join(want, " "))
				}
			})
		})
	}
}
