package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// arrivingFor is the age up to which a connection without a whole request keeps
// a stop waiting; a starved daemon took 1.4 s to read one.
const arrivingFor = 2 * time.Second

// arrivals are the callers' connections whose first request is not read yet.
// http.Server.Shutdown drops such a request unanswered.
type arrivals struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// note is the server's ConnState hook.
func (a *arrivals) note(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s != http.StateNew {
		delete(a.since, c)
		return
	}
	if a.since == nil {
		a.since = make(map[net.Conn]time.Time)
	}
	a.since[c] = time.Now()
}

// recent returns the number of connections younger than arrivingFor.
func (a *arrivals) recent(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, since := range a.since {
		if now.Sub(since) < arrivingFor {
			n++
		}
	}
	return n
}
