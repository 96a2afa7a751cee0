package front

import (
	"errors"
	"net"
	"sync/atomic"
)

// traffic counts the bytes of a daemon's connections.
type traffic struct{ in, out atomic.Int64 }

// wrap returns a connection whose bytes are counted.
func (t *traffic) wrap(c net.Conn) net.Conn { return &countedConn{c, t} }

// wrapListener returns a listener whose connections are counted.
func (t *traffic) wrapListener(l net.Listener) net.Listener { return &countedListener{l, t} }

type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener. The error is not wrapped: the server goes on only after
// one that is itself a temporary net.Error, such as too many open files.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrap(c), nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}

// CloseWrite implements closeWriter.
func (c *countedConn) CloseWrite() error { return closeWrite(c.Conn) }

// closeWriter is a connection of which one direction can be closed, as *net.TCPConn. The HTTP server closes
// that direction first if it has not read a request's body, so that the caller gets the response before the
// reset.
type closeWriter interface{ CloseWrite() error }

// closeWrite closes the sending direction of a connection. The error is errors.ErrUnsupported if the
// connection does not allow it.
func closeWrite(c net.Conn) error {
	if w, ok := c.(closeWriter); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}
