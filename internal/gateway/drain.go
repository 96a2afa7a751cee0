package gateway

import (
	"context"
	"sync"
)

// drain counts requests in progress, so that a planned stop can wait for them.
type drain struct {
	mu       sync.Mutex
	stopping bool
	active   int
	idle     chan struct{} // closed when stopping and active is 0
}

func (d *drain) init() { d.idle = make(chan struct{}) }

func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	d.active++
	return true
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.stopping && d.active == 0 {
		close(d.idle)
	}
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.active
}

// Drain refuses new requests and waits until those in progress have ended or
// ctx is done.
func (g *Gateway) Drain(ctx context.Context) error {
	d := &g.drain
	d.mu.Lock()
	if !d.stopping {
		d.stopping = true
		if d.active == 0 {
			close(d.idle)
		}
	}
	d.mu.Unlock()
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
