package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// lateConn returns from each write some time after its bytes were sent, as on a machine that
// is short of processors.
type lateConn struct{ net.Conn }

func (c lateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	time.Sleep(100 * time.Millisecond)
	return n, err
}

// Guards against a request that counts as not written because its connection breaks, or its
// time is up, before the write of its bytes has returned.
func TestWrittenIsCountedBeforeTheSendFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, keep := range map[string]bool{"connection breaks": false, "attempt is canceled": true} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(c, make([]byte, 40))
				close(arrived)
				if keep {
					time.Sleep(time.Second)
				}
				c.Close()
			}()
			client := New(Options{})
			defer client.Close()
			for _, transport := range []*http.Transport{client.pooled, client.unpooled} {
				dial := transport.DialContext
				transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dial(ctx, network, addr)
					if err == nil {
						c.(*endpointConn).Conn = lateConn{c.(*endpointConn).Conn}
					}
					return c, err
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-arrived
				if keep {
					cancel()
				}
			}()
			defer cancel()
			resp, err := client.Do(ctx, Call{
				Method: http.MethodPost, Addr: l.Addr().String(), Path: "/order/x", Header: http.Header{}, Body: []byte("x"), OwnConnection: true,
			})
			if err == nil {
				resp.Body.Close()
			}
			var failed *Error
			if !errors.As(err, &failed) || failed.Written == 0 || failed.Ran != RanUnknown {
				t.Errorf("got %+v, want a failure after written bytes", err)
			}
		})
	}
}

// Guards against a path that reaches the endpoint changed.
func TestPathsAreSentUnchanged(t *testing.T) {
	for _, path := range []string{
		"/", "/a/b?x=//y", "//", "//a/b", "//shelf/cancel?tray=7", "///a//b/", "//a%2Fb%20c?q=%2F&r", "//a?", "//a/../b", "//[::1]/x",
		"/a\"b{c}?x=\"", "//h:80/x@y",
	} {
		req, err := Call{Method: http.MethodPost, Addr: "127.0.0.1:80", Path: path, Header: http.Header{}}.request()
		if err != nil {
			t.Errorf("%q: %v", path, err)
		} else if got := req.URL.RequestURI(); got != path || req.URL.Host != "127.0.0.1:80" {
			t.Errorf("%q is sent as %q to %s", path, got, req.URL.Host)
		}
	}
	if err := CheckPath("//a\"b"); err == nil {
		t.Error("a path that can't be sent unchanged is accepted")
	}
}

// Guards against a call that waits for a connection for longer than it may, and against one that is cut
// because its answer takes longer than the connection.
func TestConnectWithin(t *testing.T) {
	const within = 100 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * within)
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	call := Call{Addr: server.Listener.Addr().String(), Method: http.MethodGet, Path: "/", Header: http.Header{}, ConnectWithin: within}
	client := New(Options{})
	defer client.Close()
	resp, err := client.Do(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "done" {
		t.Errorf("body %q, %v", body, err)
	}
	resp.Body.Close()

	blocked := New(Options{})
	defer blocked.Close()
	blocked.pooled.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	begin := time.Now()
	_, err = blocked.Do(t.Context(), call)
	var failed *Error
	if !errors.As(err, &failed) || failed.Connected || failed.Ran != RanNo || !errors.Is(err, ErrConnectTime) || time.Since(begin) > time.Second {
		t.Errorf("error %v after %v, want one without a connection", err, time.Since(begin))
	}
}
