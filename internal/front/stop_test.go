package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/settings"
	"github.com/azurehatch/azurehatch/internal/unit"
)

// Guards against a shutdown that aborts requests, leaves the daemon ready, or
// loses the tokens that the daemon held.
func TestStop(t *testing.T) {
	f := newFleet(t, 100*(promptTokens+outputTokens))
	var failed atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				if f.send(0, "/order/x", false) != 200 {
					failed.Add(1)
				}
			}
		}
	})
	f.send(0, "/plan/x", true)
	done := make(chan error, 1)
	go func() { done <- f.daemons[0].Stop(t.Context()) }()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	if failed.Load() != 0 || f.daemons[0].Ready() {
		t.Errorf("%d requests failed in the first second of a shutdown; ready %v", failed.Load(), f.daemons[0].Ready())
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	f.start(0, false)
	served := 1
	for n := 0; n < 110; n++ {
		if f.send(1+n%2, "/plan/x", true) == 200 {
			served++
		}
	}
	if served != 100 {
		t.Errorf("%d requests served from a budget for 100; the stopped daemon must return its tokens", served)
	}
}

// Guards against a shutdown that resets a connection on which a request is
// arriving.
func TestStopAnswersARequestThatArrives(t *testing.T) {
	f := newFleet(t, 100*(promptTokens+outputTokens))
	done := make(chan error, 1)
	go func() { done <- f.daemons[0].Stop(t.Context()) }()
	time.Sleep(takingPeriod - 600*time.Millisecond) // the signal may have been sent two ticks ago
	conn, err := net.Dial("tcp", f.daemons[0].CallersAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(750 * time.Millisecond) // after the cut-off, within the grace period of 8 s
	if _, err := io.WriteString(conn, "Authorization: Bearer k\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	requireLateResponse(t, bufio.NewReader(conn))
	if err := <-done; err != nil {
		t.Error(err)
	}
	f.start(0, false)
}

// Guards against a shutdown that resets a kept connection on which the next request is
// arriving: only new connections counted as pending.
func TestStopAnswersARequestOnAKeptConnection(t *testing.T) {
	f := newFleet(t, 100*(promptTokens+outputTokens))
	conn, err := net.Dial("tcp", f.daemons[0].CallersAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const rest = "Authorization: Bearer k\r\nContent-Length: 1\r\n\r\nx"
	answers := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: early\r\n"+rest); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("first request: %v, %v", resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	done := make(chan error, 1)
	go func() { done <- f.daemons[0].Stop(t.Context()) }()
	time.Sleep(takingPeriod - 600*time.Millisecond) // the signal may have been sent two ticks ago
	if _, err := io.WriteString(conn, "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(750 * time.Millisecond) // after the cut-off, within the grace period of 8 s
	if _, err := io.WriteString(conn, rest); err != nil {
		t.Fatal(err)
	}
	requireLateResponse(t, answers)
	if err := <-done; err != nil {
		t.Error(err)
	}
	f.start(0, false)
}

// Guards against a connection that is closed without a response at the end of the grace
// period, while an endpoint works on its request.
func TestEndOfStopAnswersARequestInProgress(t *testing.T) {
	f := newFleet(t, 100*(promptTokens+outputTokens))
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(silent.Close)
	t.Cleanup(func() { close(release) })
	f.put("servers/i-2", map[string]any{
		"service": "desk", "address": strings.TrimPrefix(silent.URL, "http://"), "zone": "z0", "slots": 6, "state": "ready",
	})
	d := f.daemons[0]
	d.setBounds(settings.Bounds{Grace: unit.Seconds(4), Configuration: unit.Seconds(3)})
	done := make(chan error, 1)
	go func() { done <- d.Stop(t.Context()) }()
	time.Sleep(time.Second) // the route's timeout of 3 s ends after the grace period
	if status := f.send(0, "/order/x", false); status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", status)
	}
	if err := <-done; err != nil {
		t.Errorf("the stop failed although each request was answered: %v", err)
	}
	f.start(0, false)
}

// requireLateResponse reads the response to a request that arrived during a shutdown: it is
// served or refused as not run.
func requireLateResponse(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no response to the request: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", resp.StatusCode)
	}
}
