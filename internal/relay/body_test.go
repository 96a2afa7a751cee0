package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/heaptest"
	"github.com/azurehatch/azurehatch/internal/overload"
)

// Guards against running out of memory when many callers at once send large bodies slowly: the
// daemon must not keep them all, must refuse the others as not run, and must go on serving
// ordinary requests. Once the slow callers have left, large bodies are served again.
func TestManySlowUploadsAtOnce(t *testing.T) {
	const uploads, bodyBytes = 100, 1 << 20
	for name, framing := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes),
		"in chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodyBytes),
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndpoint(t, respondWith(response(requestID, 200, "ok"), true))
			h := newHarness(t, e)
			h.table = newTableFor(t, "desk", "llm", soundTime)
			h.table.Limits.BodyBytes = 2 * bodyBytes
			before := heaptest.Live()
			part := strings.Repeat("u", bodyBytes*9/10)
			var conns []net.Conn
			for range uploads {
				conns = append(conns, h.sendRaw(t, "/order/x", framing))
			}
			for _, c := range conns {
				go func() { _, _ = io.WriteString(c, part) }() // fails where the daemon has refused
			}
			refused := 0
			for _, c := range conns {
				_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					resp.Body.Close()
					if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
						t.Errorf("an upload got status %d, want 503 with a time to return", resp.StatusCode)
					}
					refused++
				}
				if refused >= uploads/2 {
					break
				}
			}
			if refused < uploads/2 {
				t.Errorf("%d of %d uploads of 1 MiB were refused, want half of them at least: 8 MiB are for them", refused, uploads)
			}
			if kept := heaptest.Live() - before; kept > testBufferBytes+otherBytes {
				t.Errorf("the daemon keeps %d MiB", kept>>20)
			}
			if resp, body, err := h.do(t, h.request(t, "POST", "/order/sound", "x")); err != nil || body != "ok" {
				t.Errorf("an ordinary request got %v %q %v", resp, body, err)
			}
			if n := len(e.requests()); n != 1 {
				t.Errorf("%d requests reached the endpoint, want the ordinary one", n)
			}
			for _, c := range conns {
				c.Close()
			}
			if !h.awaitIdle(soundTime) {
				t.Fatal("requests of callers who have left are still active")
			}
			if resp, body, err := h.do(t, h.request(t, "POST", "/order/x", strings.Repeat("u", bodyBytes))); err != nil || body != "ok" {
				t.Errorf("a large body got %v %q %v after the others had left", resp, body, err)
			}
		})
	}
}

// askedLink admits all requests and counts them.
type askedLink struct{ asked atomic.Int64 }

func (l *askedLink) Admit(string, overload.Request) overload.Decision {
	l.asked.Add(1)
	return overload.Decision{Admitted: true}
}
func (*askedLink) Ended(string, int64, int64) {}

// Guards against a caller with too large a body who is told so only once its rest has arrived, and against one
// who makes the daemon overloaded by announcing a body that it can't send.
func TestTooLargeBodiesAreRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name, rest string
		asked      int64
	}{
		{"in chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n800\r\n%s\r\n", strings.Repeat("u", 0x800)), 1},
		{"announced", "Content-Length: 9000000000000000000\r\n\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, link := newHarness(t, startEndpoint(t, respondWith(response(requestID, 200, "ok"), true))), &askedLink{}
			h.table, h.handler.Link = newTableFor(t, "desk", "llm", 2*soundTime), link
			conn := h.sendRaw(t, "/order/x", c.rest)
			_ = conn.SetReadDeadline(time.Now().Add(soundTime))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusRequestEntityTooLarge || link.asked.Load() != c.asked {
				t.Errorf("status %d after %d questions to the link, want 413 after %d", resp.StatusCode, link.asked.Load(), c.asked)
			}
		})
	}
}
