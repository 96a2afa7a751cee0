package relay_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against cutting a begun stream off when its endpoint is silent for a while and no
// other endpoint may continue it: the caller lost an answer for which 8 s were left.
func TestSilentEndpointKeepsTheLastAttempt(t *testing.T) {
	write := func(c net.Conn, text string, pause time.Duration) {
		time.Sleep(pause)
		_, _ = io.WriteString(c, text)
	}
	stalled := func(_ *http.Request, _ string, c net.Conn) bool {
		write(c, chunkedStream(requestID, false, event(1)), 0)
		_, _ = c.Read(make([]byte, 1)) // returns when the daemon cancels the attempt
		return false
	}
	// Both pauses are longer than the timeouts that move a request on, 0.2 s and 1 s.
	slow := func(_ *http.Request, _ string, c net.Conn) bool {
		write(c, chunkedStream(requestID, false, event(2)), 300*time.Millisecond)
		write(c, "15\r\n"+event(3)+"\r\n0\r\n\r\n", 1200*time.Millisecond)
		return false
	}
	alone := func(_ *http.Request, _ string, c net.Conn) bool {
		write(c, chunkedStream(requestID, false, event(1), event(2)), 0)
		write(c, "15\r\n"+event(3)+"\r\n0\r\n\r\n", 1200*time.Millisecond)
		return false
	}
	want := event(1) + event(2) + event(3)
	for _, c := range []struct {
		name    string
		retries bool
		scripts []script
	}{
		{"at the last endpoint that it may be sent to", true, []script{stalled, slow}},
		{"while the retry budget is used up", false, []script{alone, slow}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var endpoints []*endpoint
			for _, s := range c.scripts {
				endpoints = append(endpoints, startEndpoint(t, s))
			}
			h := newHarnessWith(t, retryBudget{allowed: c.retries}, endpoints...)
			_, body, err := h.do(t, h.request(t, "POST", "/ask/x", "x"))
			if err != nil || body != want {
				t.Errorf("body %q, error %v; want %q", body, err, want)
			}
		})
	}
}
