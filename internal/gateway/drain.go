package gateway

import (
	"context"
	"sync"
)

// requestTracker counts requests in progress, so that a graceful stop can wait
// for them.
type requestTracker struct {
	mu       sync.Mutex
	stopping bool
	active   int
	idle     chan struct{} // closed when stopping is true and active is 0
}

func (t *requestTracker) init() { t.idle = make(chan struct{}) }

// begin counts a new request. It returns false if the gateway is stopping.
func (t *requestTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return false
	}
	t.active++
	return true
}

func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.stopping && t.active == 0 {
		close(t.idle)
	}
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int {
	g.requests.mu.Lock()
	defer g.requests.mu.Unlock()
	return g.requests.active
}

// Drain refuses new requests and waits until those in progress have ended or
// ctx is done.
func (g *Gateway) Drain(ctx context.Context) error {
	t := &g.requests
	t.mu.Lock()
	if !t.stopping {
		t.stopping = true
		if t.active == 0 {
			close(t.idle)
		}
	}
	t.mu.Unlock()
	select {
	case <-t.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
