package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// endpointConn is a connection to an endpoint. The transport returns a connection to its
// pool as soon as it has read a response to its end, before the caller has seen whether the
// response is its own and usable, or else closes the connection. A request that gets the
// connection meanwhile therefore waits until the response before it was accepted.
type endpointConn struct {
	net.Conn
	// written is the number of bytes written.
	written atomic.Int64
	// inUse holds a value while a response is awaited or not accepted.
	inUse chan struct{}
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
	// upload is the write of the last request, answered whether a byte was read since it
	// began.
	upload   atomic.Pointer[upload]
	answered atomic.Bool
	// lastID is the id of the last request; only the request that uses the connection
	// accesses it.
	lastID string
}

func newEndpointConn(c net.Conn) *endpointConn {
	return &endpointConn{Conn: c, inUse: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Write implements net.Conn.
func (c *endpointConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	if u := c.upload.Load(); u != nil {
		u.wrote(b[:n], err)
	}
	return n, err
}

// Read implements net.Conn. The end of a connection that has begun to answer a request is an
// error before the request was written.
func (c *endpointConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.answered.Store(true)
	}
	u := c.upload.Load()
	if !errors.Is(err, io.EOF) || u == nil || !c.answered.Load() {
		return n, err
	}
	if ended := u.checkEnd(c.closed); ended != nil {
		return n, ended
	}
	return n, err
}

// Close implements net.Conn.
func (c *endpointConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// isClosed reports whether the connection is closed.
func (c *endpointConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// begin waits until the response before was accepted, or ctx ends. It reports whether
// the use begins, so that end must be called.
func (c *endpointConn) begin(ctx context.Context) bool {
	select {
	case c.inUse <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// end lets the next request use the connection.
func (c *endpointConn) end() { <-c.inUse }

// connUse is the use of a connection by one request.
type connUse struct {
	*endpointConn
	// reused is true if the connection carried an earlier request.
	reused bool
	// writtenBefore is the number of bytes written before this request.
	writtenBefore int64
	// requestID is the request's id, earlierID that of the request before on the
	// connection; empty if there is none.
	requestID, earlierID string
	begun                atomic.Bool
}

// newConnUse begins the use of a connection by a request with a body of so many bytes. It
// waits until the connection is free, or ctx ends.
func newConnUse(ctx context.Context, c *endpointConn, reused bool, requestID string, bodyBytes int64) *connUse {
	begun := c.begin(ctx)
	u := &connUse{endpointConn: c, reused: reused, writtenBefore: c.written.Load(), requestID: requestID}
	u.begun.Store(begun)
	if begun {
		u.earlierID, c.lastID = c.lastID, requestID
		c.answered.Store(false)
		c.upload.Store(newUpload(bodyBytes))
	}
	return u
}

// requestBytes returns the number of bytes of the request that were written.
func (u *connUse) requestBytes() int64 { return u.written.Load() - u.writtenBefore }

// release ends the use of the connection; further calls do nothing.
func (u *connUse) release() {
	if u.begun.CompareAndSwap(true, false) {
		u.end()
	}
}
