package front

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// pendingTimeout is how long a shutdown waits for the first request on a new
// connection, and for the rest of a request that has begun to arrive. A daemon short of
// CPU took 1.4 s to read one.
const pendingTimeout = 2 * time.Second

// connPhase is the phase of a caller's connection.
type connPhase uint8

const (
	// connAwaited is a new connection, or one on which a part of a request has been read.
	connAwaited connPhase = iota
	// connAnswering is a connection whose request is being served, until the response has
	// been written.
	connAnswering
	// connIdle is a kept connection between two requests.
	connIdle
)

type connState struct {
	phase connPhase
	since time.Time
}

// pendingConns tracks the callers' connections on which a request may be arriving or a
// response is not written yet: closing the server would end them without a response. The
// server's ConnState hook does not report that a part of the next request has been read, so
// the connections of its listener are wrapped.
type pendingConns struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
	// readingEnded is true once no further request is read.
	readingEnded bool
}

// wrap returns a listener whose connections report the data that they read.
func (p *pendingConns) wrap(l net.Listener) net.Listener { return &pendingListener{l, p} }

type pendingListener struct {
	net.Listener
	pending *pendingConns
}

// Accept implements net.Listener. The error is not wrapped: the server goes on only after
// one that is itself a temporary net.Error, such as too many open files.
func (l *pendingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pendingConn{Conn: c, pending: l.pending}, nil
}

// pendingConn is a caller's connection. arriving is true from the first byte of a request
// until its response has been sent.
type pendingConn struct {
	net.Conn
	pending  *pendingConns
	arriving atomic.Bool
}

// Read implements net.Conn.
func (c *pendingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.arriving.Swap(true) {
		c.pending.set(c, connAwaited)
	}
	return n, err
}

// CloseWrite implements closeWriter.
func (c *pendingConn) CloseWrite() error { return closeWrite(c.Conn) }

// SetReadDeadline implements net.Conn. Once reading has ended, the server can't extend the
// deadline of a connection on which no request is arriving.
func (c *pendingConn) SetReadDeadline(t time.Time) error {
	c.pending.mu.Lock()
	defer c.pending.mu.Unlock()
	if c.pending.readingEnded && !c.arriving.Load() {
		t = time.Now()
	}
	return c.Conn.SetReadDeadline(t)
}

func (p *pendingConns) set(c net.Conn, phase connPhase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[net.Conn]connState)
	}
	p.conns[c] = connState{phase: phase, since: time.Now()}
}

// trackState is the server's ConnState hook.
func (p *pendingConns) trackState(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		p.set(c, connAwaited)
	case http.StateActive:
		if c, ok := c.(*pendingConn); ok {
			c.arriving.Store(true) // a pipelined request was read with the one before it
		}
		p.set(c, connAnswering)
	case http.StateIdle:
		if c, ok := c.(*pendingConn); ok {
			c.arriving.Store(false)
		}
		p.set(c, connIdle)
	case http.StateHijacked, http.StateClosed:
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
}

// stopReading ends the reading from connections on which no request is arriving. The server
// closes them; callers see that a request sent meanwhile was not read.
func (p *pendingConns) stopReading() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readingEnded = true
	for c := range p.conns {
		if c, ok := c.(*pendingConn); ok && !c.arriving.Load() {
			_ = c.Conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
		}
	}
}

// count returns the number of connections on which a response is not written yet or, for
// less than pendingTimeout, a request may be arriving.
func (p *pendingConns) count(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.conns {
		if s.phase == connAnswering || s.phase == connAwaited && now.Sub(s.since) < pendingTimeout {
			n++
		}
	}
	return n
}
