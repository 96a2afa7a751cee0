package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a caller that loses the refusal of an upload, since the connection is reset without having been
// closed in one direction first.
func TestRefusedUploadEndsWithoutAReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var pending pendingConns
	var counted traffic
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = server.Serve(pending.wrap(counted.wrapListener(l))) }()
	defer server.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 1<<20, make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v, %v", resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v, want EOF", err)
	}
}
