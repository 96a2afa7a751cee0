package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/relay"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// requireRefusal checks that a response refuses a request as not run, and that no request
// reached the endpoint.
func requireRefusal(t *testing.T, resp *http.Response, e *endpoint) {
	t.Helper()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("response %d %v, want 503 with Retry-After and Connection: close", resp.StatusCode, resp.Header)
	}
	if n := len(e.requests()); n > 0 {
		t.Errorf("the endpoint received %d requests", n)
	}
}

func (h *harness) stopTaking() {
	h.handler.DisableKeepAlives()
	h.handler.RefuseNew()
}

// Guards against a request that is sent to an endpoint late in a shutdown because its body
// arrived slowly.
func TestStopRefusesARequestWhoseBodyArrivesLate(t *testing.T) {
	e := startEndpoint(t, respondWith(response(requestID, 200, "done"), true))
	h := newHarness(t, e)
	c := h.sendRaw(t, "/order/x", "Content-Length: 1\r\n\r\n")
	time.Sleep(100 * time.Millisecond) // until the request has begun
	h.stopTaking()
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	requireRefusal(t, resp, e)
}

// waitingBudgets has no tokens until the context of a reservation ends.
type waitingBudgets struct{}

func (waitingBudgets) Reserve(ctx context.Context, _ *routing.Account, _ int64, _ bool) (relay.Reservation, error) {
	<-ctx.Done()
	return nil, problem.New(problem.BudgetUnavailable, "no tokens in time")
}

// Guards against a request that waits for tokens through a shutdown although another daemon
// could serve it.
func TestStopRefusesARequestThatWaitsForTokens(t *testing.T) {
	e := startEndpoint(t, respondWith(response(requestID, 200, "done"), true))
	h := newHarness(t, e)
	h.handler.Budgets = waitingBudgets{}
	time.AfterFunc(100*time.Millisecond, h.stopTaking)
	startedAt := time.Now()
	resp, _, err := h.do(t, h.request(t, "POST", "/ask/x", "x", "X-Token-Count", "100,60"))
	if err != nil {
		t.Fatal(err)
	}
	requireRefusal(t, resp, e)
	if waited := time.Since(startedAt); waited > time.Second {
		t.Errorf("refused after %v", waited)
	}
}

// Guards against another attempt of a request that has not run, late in a shutdown.
func TestStopMakesNoFurtherAttemptOfARequestThatHasNotRun(t *testing.T) {
	var h *harness
	first := startEndpoint(t, func(_ *http.Request, _ string, c net.Conn) bool {
		h.stopTaking()
		_, err := io.WriteString(c, response(requestID, 503, "", "X-Not-Executed: 1"))
		return err == nil
	})
	second := startEndpoint(t, respondWith(response(requestID, 200, "done"), true))
	h = newHarness(t, first, second)
	resp, _, err := h.do(t, h.request(t, "GET", "/look/x", ""))
	if err != nil {
		t.Fatal(err)
	}
	requireRefusal(t, resp, second)
}

// Guards against a resumable stream that a shutdown gives up while another endpoint can
// continue it.
func TestStopResumesAStreamThatHasBegun(t *testing.T) {
	var h *harness
	first := startEndpoint(t, func(_ *http.Request, _ string, c net.Conn) bool {
		h.stopTaking()
		_, _ = io.WriteString(c, chunkedStream(requestID, false, event(1)))
		return false
	})
	second := startEndpoint(t, respondWith(chunkedStream(requestID, true, event(2)), true))
	h = newHarness(t, first, second)
	resp, body, err := h.do(t, h.request(t, "POST", "/ask/x", "x"))
	if err != nil || resp.StatusCode != http.StatusOK || body != event(1)+event(2) {
		t.Errorf("response %v %q, error %v", resp, body, err)
	}
}

// Guards against a connection that the end of a shutdown closes without a response, while a
// response is possible.
func TestEndOfStopAnswersRequestsWithoutResponse(t *testing.T) {
	silent := startEndpoint(t, func(*http.Request, string, net.Conn) bool { time.Sleep(time.Second); return false })
	for _, tt := range []struct {
		name, path, rest string
		status           int
	}{
		{"sent to an endpoint", "/order/x", "Content-Length: 1\r\n\r\nx", http.StatusBadGateway},
		{"body incomplete", "/order/x", "Content-Length: 2\r\n\r\nx", http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, silent)
			c := h.sendRaw(t, tt.path, tt.rest)
			time.Sleep(100 * time.Millisecond) // until the request has begun
			h.handler.DisableKeepAlives()
			h.handler.EndRequests()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != tt.status {
				t.Errorf("status %d, want %d", resp.StatusCode, tt.status)
			}
			if !h.awaitIdle(200 * time.Millisecond) {
				t.Error("the request is still active")
			}
		})
	}
}

// Guards against a shutdown that cuts a stream and does not report it.
func TestEndOfStopReportsACutStream(t *testing.T) {
	e := startEndpoint(t, func(_ *http.Request, _ string, c net.Conn) bool {
		_, _ = io.WriteString(c, chunkedStream(requestID, false, event(1)))
		time.Sleep(time.Second)
		return false
	})
	h := newHarness(t, e)
	time.AfterFunc(200*time.Millisecond, h.handler.EndRequests)
	if _, body, err := h.do(t, h.request(t, "POST", "/plan/x", "x")); err == nil || body != event(1) {
		t.Errorf("body %q, error %v, want the first event and an error", body, err)
	}
	if !h.awaitIdle(time.Second) || h.handler.CutResponses() != 1 {
		t.Errorf("%d responses cut, want 1", h.handler.CutResponses())
	}
}
