package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/heaptest"
)

// maxAccepted bounds the bytes that the daemon and the socket buffers on both sides take from
// an endpoint that sends without end.
const maxAccepted = 24 << 20

// Guards against an endpoint in trouble that sends bytes without end: the daemon must close
// the connection instead of reading, keeping or passing on the bytes until the deadline, and
// the caller must not take them for a complete answer.
func TestEndlessBytes(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		role   = `data: {"choices":[{"delta":{"role":"assistant"}}]}` + "\n\n"
		token  = `data: {"choices":[{"delta":{"content":"w"}}]}` + "\n\n"
	)
	for _, c := range []struct{ name, path, body, head, part string }{
		{"bytes that are no HTTP", chatPath, completionBody, "", "~"},
		{"header lines", chatPath, completionBody, head, "X-More: again\r\n"},
		{"one header line", "/services/orders/look", "", head + "X-More: ", "a"},
		{"interim responses", chatPath, streamBody, "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		{"a completion", chatPath, completionBody, head + "\r\n", "a"},
		{"a plain answer", "/services/orders/look", "", head + "\r\n", "a"},
		{"a plain answer of a request that runs once", "/services/orders/reprint", "", head + "\r\n", "a"},
		{"an error document", chatPath, completionBody, "HTTP/1.1 404 X\r\nContent-Type: application/json\r\n\r\n", "a"},
		{"trailers", "/services/orders/look", "", head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: again\r\n"},
		{"empty lines of a stream", chatPath, streamBody, stream, "\n"},
		{"comments of a stream", chatPath, streamBody, stream, ": a\n"},
		{"one event", chatPath, streamBody, stream, "event: a\n"},
		{"events that end no answer", chatPath, streamBody, stream, role},
		{"tokens", chatPath, streamBody, stream, token},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			block := strings.Repeat(c.part, max(1, (16<<10)/len(c.part)))
			x := newFixture(t)
			x.g.Timeout = 4 * time.Second
			x.addRawEndpoint(func(_ *http.Request, conn net.Conn) bool {
				_, err := io.WriteString(conn, c.head)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, block)
					sent.Add(int64(n))
				}
				return false
			})
			resp, text, err := x.post(c.path, c.body)
			if resp != nil && resp.StatusCode == http.StatusOK && err == nil && !strings.Contains(text, "event: error") {
				t.Error("the caller got a complete answer")
			}
			if n := sent.Load(); n > maxAccepted {
				t.Errorf("the endpoint could send %d bytes, want at most %d", n, maxAccepted)
			}
			if resp != nil && resp.Header.Get("X-Ran") == "no" {
				t.Error("the refusal says that the request has not run, which nobody knows")
			}
		})
	}
}

// The most that the gateway may keep of unfinished answers in the test below, and what its
// connections and the test's own callers and endpoints may need beside that.
const (
	testBufferBytes = 8 << 20
	otherBytes      = 16 << 20
	// soundTime is the time limit of requests. Shorter ones expire at a load of 48.
	soundTime = 4 * time.Second
)

// Guards against running out of memory when many endpoints at once send bytes that are no
// complete answer and then nothing, while the requests of other callers are served.
func TestManyEndlessAnswersAtOnce(t *testing.T) {
	const requests, length = 100, 900 << 10
	for _, c := range []struct{ name, path, body, head, part string }{
		{"completions", chatPath, completionBody, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "a"},
		{"plain answers", "/services/orders/reprint", "", "HTTP/1.1 200 OK\r\n\r\n", "a"},
		{"one event", chatPath, streamBody, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "event: a\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := []byte(c.head + strings.Repeat(c.part, length/len(c.part)))
			x := newFixture(t)
			x.g.Timeout = soundTime
			x.addRawEndpoint(func(r *http.Request, conn net.Conn) bool {
				if strings.HasSuffix(r.URL.Path, "/sound") {
					_, err := io.WriteString(conn, rawResponse("", "ok"))
					return err == nil
				}
				_, _ = conn.Write(text)
				_, _ = conn.Read(make([]byte, 1)) // until the daemon closes the connection
				return false
			})
			x.fleet.balance = 1 << 40
			before := heaptest.Live()
			var callers sync.WaitGroup
			var open atomic.Int64
			open.Store(requests)
			for range requests {
				callers.Go(func() {
					defer open.Add(-1)
					req, err := http.NewRequest(http.MethodPost, x.server.URL+c.path, strings.NewReader(c.body))
					if err != nil {
						t.Error(err)
						return
					}
					req.Header.Set("Authorization", "Bearer "+testKey)
					if resp, err := http.DefaultClient.Do(req); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
					}
				})
			}
			var most int64
			for open.Load() > 0 {
				if _, body, err := x.post("/services/orders/sound", ""); err != nil || body != "ok" {
					t.Errorf("a sound request got %q %v", body, err)
				}
				most = max(most, heaptest.Live()-before)
				time.Sleep(10 * time.Millisecond)
			}
			callers.Wait()
			if most > testBufferBytes+otherBytes {
				t.Errorf("%d requests keep %d MiB, want at most %d", requests, most>>20, (testBufferBytes+otherBytes)>>20)
			}
		})
	}
}
