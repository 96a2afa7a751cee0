package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// addResettingEndpoint adds an endpoint that answers with text as soon as it has read the head
// of a request, and resets the connection while the body is being written.
func (x *fixture) addResettingEndpoint(text string) {
	x.addEarlyEndpoint(func(_ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, text)
		time.Sleep(5 * time.Millisecond) // the gateway reads the part and waits for more
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
}

// Guards against an answer without a length whose connection is reset while the request is
// still being written, and whose part reaches the caller as a complete answer.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	const longUpload = 5 << 20 // more than the socket buffers of a connection hold
	for name, text := range map[string]string{
		"no length":    "HTTP/1.1 200 OK\r\n\r\npart",
		"more ahead":   "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("p", maxBufferedBytes+1),
		"a client's":   "HTTP/1.1 404 X\r\nContent-Type: application/json\r\n\r\n{}",
		"a completion": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + completionAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			path, body := "/services/orders/look", strings.Repeat("u", longUpload)
			if name == "a completion" {
				path, body = chatPath, strings.Replace(completionBody, "hi", body, 1)
			}
			x := newFixture(t)
			x.g.MaxBody, x.fleet.maxBody, x.fleet.balance = 2*longUpload, 2*longUpload, 1<<40
			x.addResettingEndpoint(text)
			for range 4 {
				resp, got, err := x.post(path, body)
				if err == nil && resp.StatusCode != http.StatusBadGateway {
					t.Errorf("got %d %.200q, want 502 or a broken answer", resp.StatusCode, got)
				}
			}
			x.awaitBills()
		})
	}
}

// Guards against a status outside of the protocol that reaches the caller as an answer, or
// whose panic leaves tokens reserved.
func TestStatusesOfNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "+20"} {
		for _, path := range []string{"/services/orders/look", "/services/orders/reprint", chatPath} {
			x := newFixture(t)
			x.addRawEndpoint(func(_ *http.Request, c net.Conn) bool {
				_, err := io.WriteString(c, strings.Replace(rawResponse("", completionAnswer), "200", status, 1))
				return err == nil
			})
			resp, text, err := x.post(path, completionBody, "Idempotency-Key", "k")
			if err != nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("%s: status %s: got %v %q %v, want 502", path, status, resp, text, err)
			}
			x.awaitBills()
		}
	}
}
