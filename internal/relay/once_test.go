package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a late copy of the refusal of an earlier attempt, at an endpoint that has
// started again at its address, being taken for the refusal of the attempt that runs there.
func TestLateCopyOfARefusalOfTheSameRequest(t *testing.T) {
	refusal := response(requestID, http.StatusMisdirectedRequest, "", "X-Not-Executed: 1", "X-Instance-Id: b")
	answer := respondWith(chunkedStream(requestID, true, event(1)), true)
	refused := make(chan net.Conn, 1)
	restarted := startEndpoint(t, func(r *http.Request, body string, c net.Conn) bool {
		select {
		case first := <-refused: // the second attempt runs
			_, _ = io.WriteString(first, refusal)
			time.Sleep(20 * time.Millisecond)
			return answer(r, body, c)
		default:
			refused <- c
			_, err := io.WriteString(c, refusal)
			return err == nil
		}
	})
	other := startEndpoint(t, answer)
	h := newHarness(t, restarted, restarted, other)
	resp, body, err := h.do(t, h.request(t, "POST", "/plan/x", "x"))
	if err != nil || resp.StatusCode != http.StatusOK || body != event(1) {
		t.Errorf("the caller got %v %q %v, want the stream", resp, body, err)
	}
	if n := len(other.requests()); n != 0 {
		t.Errorf("a request that ran was sent to another endpoint %d times", n)
	}
}

// breakAfter returns an endpoint's side of a connection that breaks once so many bytes of the
// request have arrived, at once or after a pause; reset sends a reset instead of an end.
// seen counts the requests of which bytes have arrived.
func breakAfter(count int, pauseTime time.Duration, reset bool, seen *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		if count > 0 {
			if _, err := io.ReadFull(c, make([]byte, count)); err != nil {
				return
			}
			seen.Add(1)
		}
		time.Sleep(pauseTime)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against a request that runs twice, or is refused as not run, because its connection
// breaks at some step of its writing: wherever an endpoint has got a byte of it, it must not
// go on.
func TestRunsOnceWhereverTheConnectionBreaks(t *testing.T) {
	body := strings.Repeat("x", 900)
	for _, count := range []int{0, 1, 20, 200, 700, 1100} {
		for _, pauseTime := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d bytes, %v, reset %v", count, pauseTime, reset), func(t *testing.T) {
					t.Parallel()
					var seen atomic.Int64
					broken := startRawEndpoint(t, breakAfter(count, pauseTime, reset, &seen))
					for _, path := range []string{"/order/x", "/plan/x"} {
						for range 10 {
							seen.Store(0)
							other := startEndpoint(t, respondWith(response(requestID, 200, "ok"), false))
							h := newHarness(t, broken, other)
							resp, _, err := h.do(t, h.request(t, "POST", path, body))
							if err != nil {
								t.Fatal(err)
							}
							if seen.Load() == 0 {
								continue
							}
							if n := len(other.requests()); n != 0 || resp.StatusCode != http.StatusBadGateway {
								t.Errorf("%s: %d requests at the other endpoint, status %d; want none, 502", path, n, resp.StatusCode)
							}
						}
					}
				})
			}
		}
	}
}
