package dialer

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a connection to a peer that lives on for minutes after the peer's machine has gone, and keeps
// megabytes in the kernel, because it is wrapped.
func TestWrappedConnectionsKeepTheirSocketOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	opened := make(chan net.Conn, 1)
	conn, err := GRPCOptions{
		FirstBackoff: time.Second, MaxBackoff: time.Second, ConnectTimeout: time.Second, PingInterval: 10 * time.Second, PingTimeout: 2 * time.Second,
		Wrap: func(c net.Conn) net.Conn {
			opened <- c
			return struct{ net.Conn }{c}
		},
	}.Dial(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Connect()
	plain, err := New(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	timeout, buffer := socketOptions(t, <-opened)
	if _, want := socketOptions(t, plain); timeout != int(userTimeout.Milliseconds()) || buffer != want {
		t.Errorf("user timeout %d ms, receive buffer %d bytes; want %v and %d", timeout, buffer, userTimeout, want)
	}
}

// socketOptions returns TCP_USER_TIMEOUT in ms and SO_RCVBUF in bytes.
func socketOptions(t *testing.T, c net.Conn) (timeout, buffer int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		timeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		buffer, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}); err != nil {
		t.Fatal(err)
	}
	return timeout, buffer
}
