package relay_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against blaming a prompt's parts for a lost answer, or for the crash of an endpoint
// that had been answering for a while, and against not blaming them for a crash.
func TestCrashIsToldFromALostAnswer(t *testing.T) {
	const promptParts = "a1:100,b2:50,c3:10"
	goDown := func(e **endpoint, text string, after time.Duration) script {
		return func(_ *http.Request, _ string, c net.Conn) bool {
			_, _ = io.WriteString(c, text)
			time.Sleep(after)
			(*e).listener.Close()
			return false
		}
	}
	type parts struct{ Crashed, Answered int }
	var e *endpoint
	for _, c := range []struct {
		name   string
		answer script
		want   parts
	}{
		{"goes down before the answer", goDown(&e, "", 0), parts{Crashed: 2}},
		{"goes down as it begins to answer", goDown(&e, chunkedStream(requestID, false, event(1)), 0), parts{Crashed: 2}},
		{"goes down in a long answer", goDown(&e, chunkedStream(requestID, false, event(1)), 550*time.Millisecond), parts{Answered: 2}},
		{"loses the answer", respondWith("", false), parts{}},
		{"answers", respondWith(chunkedStream(requestID, true, event(1)), true), parts{Answered: 2}},
		{"refuses", respondWith(response(requestID, 503, "", "X-Not-Executed: 1"), true), parts{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e = startEndpoint(t, c.answer)
			h := newHarness(t, e)
			_, _, _ = h.do(t, h.request(t, "POST", "/plan/x", "x", "X-Prompt-Prefix", promptParts))
			h.server.Close()  // waits for the request to end
			h.handler.Close() // waits for the check of the endpoint
			got := parts{h.crashes.partsCrashed, h.crashes.partsAnswered}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("parts (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against sending a request that has just been isolated to one more endpoint.
func TestIsolatedRequestIsNotRetried(t *testing.T) {
	first, second := startEndpoint(t, respondWith("", false)), startEndpoint(t, respondWith(response(requestID, 200, "ok"), true))
	h := newHarness(t, first, second)
	h.crashes.isolateAfterCrash = true
	resp, _, err := h.do(t, h.request(t, "GET", "/look/x", ""))
	if err != nil || resp.StatusCode != http.StatusBadGateway || len(second.requests()) != 0 {
		t.Errorf("got %v, %v and %d requests at the second endpoint; want 502 and none", resp, err, len(second.requests()))
	}
}

// Guards against an error response that clears the crashes of a request: an endpoint that
// fails some requests answers without running them, so that a deadly one seems sound.
func TestErrorResponseDoesNotShowThatARequestIsSound(t *testing.T) {
	for status, want := range map[int]bool{200: true, 500: false, 404: false} {
		e := startEndpoint(t, respondWith(response(requestID, status, "ok"), true))
		h := newHarness(t, e)
		if resp, _, err := h.do(t, h.request(t, "POST", "/order/x", "x")); err != nil || resp.StatusCode != status {
			t.Fatalf("got %v %v, want %d", resp, err, status)
		}
		if len(h.crashes.completed) != 1 || h.crashes.completed[0] != want {
			t.Errorf("status %d: completed %v, want %v", status, h.crashes.completed, want)
		}
	}
}

// Guards against a request, or a part of a prompt, that crashes endpoints and is new to the
// daemons after its route moved to another service.
func TestCrashingRequestIsKnownAfterItsRouteMoved(t *testing.T) {
	h := newHarness(t, startEndpoint(t, respondWith(response(requestID, 200, "ok"), true)))
	for _, services := range [][2]string{{"desk", "llm"}, {"annex", "llm-2"}} {
		h.table = newTableFor(t, services[0], services[1], time.Second)
		for _, path := range []string{"/order/x", "/plan/x"} {
			if _, _, err := h.do(t, h.request(t, "POST", path, "x", "X-Prompt-Prefix", "a1:100,b2:50")); err != nil {
				t.Fatal(err)
			}
		}
	}
	if diff := cmp.Diff(h.crashes.begun[:2], h.crashes.begun[2:]); diff != "" {
		t.Errorf("fingerprints before and after the move (-before +after):\n%s", diff)
	}
	if h.crashes.begun[0].Content == h.crashes.begun[1].Content {
		t.Error("requests to different paths have one fingerprint")
	}
}
