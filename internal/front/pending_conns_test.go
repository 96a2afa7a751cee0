package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// slowListener accepts connections on which each write takes delay.
type slowListener struct {
	net.Listener
	delay time.Duration
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l.delay}, nil
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(b)
}

// serveTracked starts a server whose connections p tracks. It returns a connection to it and
// a channel that receives a value when a handler returns.
func serveTracked(t *testing.T, p *pendingConns, writeDelay time.Duration) (net.Conn, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handled := make(chan struct{}, 8)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "done")
			handled <- struct{}{}
		}),
		ConnState: p.trackState, ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(p.wrap(slowListener{l, writeDelay})) }()
	t.Cleanup(func() { server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, handled
}

func sendGet(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func readAnswer(c net.Conn) error {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %w", resp.StatusCode, err)
	}
	return nil
}

// Guards against a shutdown that closes a connection whose response has not been written:
// the server writes a short one only after the handler has returned.
func TestConnectionIsPendingUntilTheResponseIsWritten(t *testing.T) {
	var p pendingConns
	c, handled := serveTracked(t, &p, 200*time.Millisecond)
	sendGet(t, c)
	<-handled
	time.Sleep(20 * time.Millisecond)
	if p.count(time.Now()) == 0 {
		t.Error("the connection is not pending although its response has not been written")
	}
	if err := readAnswer(c); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if n := p.count(time.Now()); n != 0 {
		t.Errorf("%d connections pending after the response", n)
	}
}

// Guards against a shutdown that reads a request from an idle connection and closes it
// without a response.
func TestIdleConnectionsAreClosedUnread(t *testing.T) {
	var p pendingConns
	c, handled := serveTracked(t, &p, 0)
	sendGet(t, c)
	if err := readAnswer(c); err != nil {
		t.Fatal(err)
	}
	<-handled
	time.Sleep(20 * time.Millisecond) // until the connection is idle
	p.stopReading()
	time.Sleep(20 * time.Millisecond)                             // a request that crosses the end of reading may be served
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // may fail, as the connection is closed
	if err := readAnswer(c); err == nil {
		t.Error("the connection is still served")
	}
	if len(handled) > 0 {
		t.Error("a request was read after the end of reading")
	}
}

// Guards against an end of reading that cuts a request whose first part has been read.
func TestRequestThatIsArrivingIsStillRead(t *testing.T) {
	var p pendingConns
	c, _ := serveTracked(t, &p, 0)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	p.stopReading()
	if p.count(time.Now()) == 0 {
		t.Error("the connection is not pending although a request is arriving")
	}
	if _, err := io.WriteString(c, "Host: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := readAnswer(c); err != nil {
		t.Error(err)
	}
}
