package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// fault is what a proxy does to the connections through it.
type fault uint8

const (
	healthy fault = iota
	// delayed delays each chunk of data by proxyDelay, in both directions.
	delayed
	// refused resets open connections and refuses new ones.
	refused
	// silent forwards nothing in either direction. mute forwards nothing from the
	// server, so that calls arrive but their responses do not.
	silent
	mute
)

func (f fault) String() string {
	return [...]string{"healthy", "delayed", "refused", "silent", "mute"}[f]
}

// proxyDelay is the delay of each chunk of data in a delayed proxy.
const proxyDelay = 120 * time.Millisecond

// proxy forwards connections to a server and injects faults into them.
type proxy struct {
	listener net.Listener
	target   func() string
	wg       sync.WaitGroup

	mu      sync.Mutex
	fault   fault
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

func newProxy(target func() string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setFault changes the fault. Data that waits in a silent proxy is forwarded when the
// fault ends, as after packet loss.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == refused {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.listener.Close()
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

func (p *proxy) serve(caller net.Conn) {
	if !p.add(caller) {
		reset(caller)
		return
	}
	defer p.remove(caller)
	server, err := net.Dial("tcp", p.target())
	if err != nil || !p.add(server) {
		reset(caller)
		if err == nil {
			server.Close()
		}
		return
	}
	defer p.remove(server)
	done := make(chan struct{}, 2)
	go func() { p.forward(caller, server, false); done <- struct{}{} }()
	go func() { p.forward(server, caller, true); done <- struct{}{} }()
	<-done
	caller.Close()
	server.Close()
	<-done
}

func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == refused {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) remove(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.Close()
}

// forward copies one direction; fromServer is true for data from the server.
func (p *proxy) forward(from, to net.Conn, fromServer bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.applyFault(fromServer) {
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil {
			return
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// applyFault waits as the current fault requires. It returns false once the proxy is
// closed.
func (p *proxy) applyFault(fromServer bool) bool {
	for {
		p.mu.Lock()
		f, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case f == delayed:
			time.Sleep(proxyDelay)
			return true
		case f == silent, f == mute && fromServer:
			<-changed
		default:
			return true
		}
	}
}
