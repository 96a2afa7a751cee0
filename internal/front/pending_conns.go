package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// arrivingFor is the age up to which a connection without a whole request keeps
// a stop waiting; a starved daemon took 1.4 s to read one.
const pendingTimeout = 2 * time.Second

// arrivals are the callers' connections whose first request is not read yet.
// http.Server.Shutdown drops such a request unanswered.
type pendingConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// note is the server's ConnState hook.
func (p *pendingConns) trackState(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != http.StateNew {
		delete(p.since, c)
		return
	}
	if p.since == nil {
		p.since = make(map[net.Conn]time.Time)
	}
	p.since[c] = time.Now()
}

// recent returns the number of connections younger than arrivingFor.
func (p *pendingConns) count(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, since := range p.since {
		if now.Sub(since) < pendingTimeout {
			n++
		}
	}
	return n
}
