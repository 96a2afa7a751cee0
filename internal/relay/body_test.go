package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/heaptest"
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
