package relay_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurehatch/azurehatch/internal/balance"
)

// Guards against missing what an endpoint says about further requests, and against believing
// it of a response that belongs to another request or comes from another endpoint.
func TestAnnouncementsOfEndpoints(t *testing.T) {
	leaving := balance.Announcement{Leaving: true}
	for _, c := range []struct {
		name, answer string
		want         []balance.Announcement
	}{
		{"success", response(requestID, 200, "ok"), nil},
		{"success, leaving", response(requestID, 200, "ok", "Server-Leaving: 1"), []balance.Announcement{leaving}},
		{"stays", response(requestID, 200, "ok", "Server-Leaving: 0"), nil},
		{"refused, leaving", response(requestID, 503, "", "X-Not-Executed: 1", "Server-Leaving: 1"), []balance.Announcement{leaving}},
		{
			"refused for a while", response(requestID, 503, "", "X-Not-Executed: 1", "Retry-After: 1.5"),
			[]balance.Announcement{{RetryAfter: 1500 * time.Millisecond}},
		},
		{"refused with a date", response(requestID, 503, "", "X-Not-Executed: 1", "Retry-After: Fri, 04 Dec 2026 21:00:00 GMT"), nil},
		{"refused with a negative time", response(requestID, 503, "", "X-Not-Executed: 1", "Retry-After: -3"), nil},
		{"no refusal", response(requestID, 200, "ok", "Retry-After: 2"), nil},
		{"names a limit", response(requestID, 200, "ok", "Server-Limit: 2.5"), []balance.Announcement{{Limit: 2.5}}},
		{"refused, names a limit", response(requestID, 503, "", "X-Not-Executed: 1", "Server-Limit: 1"), []balance.Announcement{{Limit: 1}}},
		{"names a limit that is none", response(requestID, 200, "ok", "Server-Limit: few"), nil},
		{"limit of another request", response("r-0", 200, "ok", "Server-Limit: 2.5"), nil},
		{"of another request", response("r-0", 503, "", "X-Not-Executed: 1", "Retry-After: 2", "Server-Leaving: 1"), nil},
		{"of another endpoint", response(requestID, 421, "", "X-Instance-Id: other", "Server-Leaving: 1"), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, startEndpoint(t, respondWith(c.answer, false)))
			if _, _, err := h.do(t, h.request(t, "POST", "/order/x", "x")); err != nil {
				t.Fatal(err)
			}
			h.server.Close()
			if diff := cmp.Diff(c.want, h.pools.announced); diff != "" {
				t.Errorf("announcements (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against callers that wait without need while all endpoints want no requests, that
// return before the first endpoint accepts them, or that all return in one wave.
func TestCallersReturnAfterAPauseOfAllEndpoints(t *testing.T) {
	h := newHarness(t)
	h.pools.pause = 7 * time.Second
	waits := make(map[float64]bool)
	for range 10 {
		start := time.Now()
		resp, _, err := h.do(t, h.request(t, "POST", "/plan/x", "x"))
		if err != nil || resp.StatusCode != 503 || time.Since(start) > time.Second {
			t.Fatalf("got %v, %v after %v; want 503 at once", resp, err, time.Since(start))
		}
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || wait < 7 || wait > 7*1.25 {
			t.Fatalf("Retry-After %q, want 7 s to 8.75 s", resp.Header.Get("Retry-After"))
		}
		waits[wait] = true
	}
	if len(waits) < 5 {
		t.Errorf("%d different times to wait for 10 callers: %v", len(waits), waits)
	}
}

// Guards against ejecting an endpoint because it is overloaded and says so.
func TestPauseIsNoFailureOfTheEndpoint(t *testing.T) {
	for _, c := range []struct {
		name, path, answer string
		want               balance.Outcome
	}{
		{"not run", "/look/x", response(requestID, 503, "", "X-Not-Executed: 1", "Retry-After: 1"), balance.Refused},
		{"repeatable, may have run", "/look/x", response(requestID, 503, "", "Retry-After: 1"), balance.Refused},
		{"passed on", "/order/x", response(requestID, 503, "", "Retry-After: 1"), balance.Refused},
		{"without a time", "/look/x", response(requestID, 503, ""), balance.ErrorResponse},
		{"another error", "/look/x", response(requestID, 500, "", "Retry-After: 1"), balance.ErrorResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, startEndpoint(t, respondWith(c.answer, false)), startEndpoint(t, respondWith(response(requestID, 200, "ok"), false)))
			if _, _, err := h.do(t, h.request(t, "POST", c.path, "x")); err != nil {
				t.Fatal(err)
			}
			h.server.Close()
			if got := h.pools.outcomes[0]; got != c.want {
				t.Errorf("outcome %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against requests to endpoints whose limits allow none, against a request that asks for
// permits without end, and against callers that are not refused at once if no endpoint is left.
func TestEndpointsWithoutAPermitGetNoRequest(t *testing.T) {
	capped, free := startEndpoint(t, respondWith(response(requestID, 200, "ok"), false)), startEndpoint(t, respondWith(response(requestID, 200, "ok"), false))
	h := newHarness(t, capped, free)
	h.pools.denied = map[string]bool{"a": true}
	if resp, _, err := h.do(t, h.request(t, "POST", "/order/x", "x")); err != nil || resp.StatusCode != 200 {
		t.Fatalf("got %v, %v; want 200 of the endpoint without a limit", resp, err)
	}
	if n := len(capped.requests()); n != 0 || h.pools.denials == 0 {
		t.Errorf("%d requests after %d denials, want none", n, h.pools.denials)
	}
	h.pools.denied, h.pools.denials = map[string]bool{"a": true, "b": true}, 0
	start := time.Now()
	resp, _, err := h.do(t, h.request(t, "POST", "/order/x", "x"))
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || time.Since(start) > time.Second {
		t.Errorf("got %v, %v after %v; want 503 at once with a time to wait", resp, err, time.Since(start))
	}
	if h.pools.denials > 8 {
		t.Errorf("%d permits were asked for, want a few", h.pools.denials)
	}
}

// Guards against a limit that never ends, since the responses that name none are not told.
func TestResponseWithoutALimitEndsIt(t *testing.T) {
	h := newHarness(t, startEndpoint(t, respondWith(response(requestID, 200, "ok"), false)))
	h.pools.limit = 2
	before := time.Now()
	if _, _, err := h.do(t, h.request(t, "POST", "/order/x", "x")); err != nil {
		t.Fatal(err)
	}
	h.server.Close()
	if a := h.pools.announced; len(a) != 1 || a[0].Limit != 0 || a[0].UnlimitedSince.Before(before) {
		t.Errorf("announcements %+v, want one of an endpoint without a limit", a)
	}
}
