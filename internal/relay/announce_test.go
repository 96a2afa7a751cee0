package relay_test

import (
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
	h := newHarness(t, startEndpoint(t, respondWith(chunkedStream(requestID, true, event(1)), true)))
	h.pools.order = nil
	h.pools.pause = 7 * time.Second
	resp, _, err := h.do(t, h.request(t, "POST", "/plan/x", "x"))
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "7.000" {
		t.Errorf("got %v, %v while all endpoints want no requests for 7 s; want 503 and a Retry-After of 7.000", resp, err)
	}
}
