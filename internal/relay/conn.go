package relay

import (
	"context"
	"net"
	"sync/atomic"
)

// endpointConn is a connection to an endpoint. The transport returns a connection to its
// pool as soon as it has read a response without a body, before the relay has seen that the
// response is another request's and closes the connection. A request that gets the
// connection meanwhile therefore waits until the response before it was checked.
type endpointConn struct {
	net.Conn
	// written is the number of bytes written.
	written atomic.Int64
	// unchecked holds a value while a response is awaited or not checked.
	unchecked chan struct{}
	closed    atomic.Bool
}

func newEndpointConn(c net.Conn) *endpointConn {
	return &endpointConn{Conn: c, unchecked: make(chan struct{}, 1)}
}

// Write implements net.Conn.
func (c *endpointConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *endpointConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// begin waits until the response before was checked, or ctx ends. It reports whether
// endCheck must be called once the next response was checked.
func (c *endpointConn) begin(ctx context.Context) bool {
	select {
	case c.unchecked <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// endCheck lets the next request use the connection.
func (c *endpointConn) endCheck() { <-c.unchecked }

// connUse is the use of a connection by one request.
type connUse struct {
	*endpointConn
	// reused is true if the connection carried an earlier request.
	reused bool
	// writtenBefore is the number of bytes written before this request.
	writtenBefore int64
	begun         bool
}

// requestBytes returns the number of bytes of the request that were written.
func (u *connUse) requestBytes() int64 { return u.written.Load() - u.writtenBefore }

// checked ends the use of the connection; further calls do nothing.
func (u *connUse) checked() {
	if u.begun {
		u.begun = false
		u.endCheck()
	}
}
