package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// pendingTimeout is how long a shutdown waits for the first request on a new
// connection. A daemon short of CPU took 1.4 s to read one.
const pendingTimeout = 2 * time.Second

// pendingConns tracks the callers' connections whose first request has not been
// read yet. http.Server.Shutdown would close them without a response.
type pendingConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// trackState is the server's ConnState hook.
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

// count returns the number of pending connections younger than pendingTimeout.
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
