package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/settings"
	wire "github.com/azurehatch/azurehatch/platform"
	"github.com/azurehatch/azurehatch/platform/platformtest"
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

// Guards against a daemon that follows the store over a narrow link and admits requests to the part of it that
// the store's answers take.
func TestTrafficOfTheStoreCountsAsControl(t *testing.T) {
	operator := platformtest.NewStore()
	if _, err := operator.Put(t.Context(), "servers/i-1", strings.Repeat("x", 10_000)); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(operator)
	defer server.Close()
	s := settings.DefaultFront()
	s.Instance = settings.FrontInstance{Name: "d", FailureDomain: "z", FirstStart: true}
	s.Listen = settings.FrontListen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Mesh: "127.0.0.1:0"}
	s.Machine.LinkMbps = 10
	d, err := New(Options{
		Settings: s, Log: zerolog.Nop(), Wire: testWire,
		Store: func(scope tally.Scope, wrap func(net.Conn) net.Conn) Store {
			return wire.NewStore(strings.TrimPrefix(server.URL, "http://"), wire.StoreOptions{Scope: scope, Wrap: wrap})
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	counted := func() bool { return d.link.control.in.Load() > 10_000 && d.link.control.out.Load() > 0 }
	for end := time.Now().Add(5 * time.Second); !counted(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes in and %d out, want those of the list that was read", d.link.control.in.Load(), d.link.control.out.Load())
		}
	}
}
