package gateway

import (
	"context"
	"sync"
)

// extender extends a reservation in steps, ahead of the relayed tokens.
type extender struct {
	reservation Reservation
	limit       int64 // largest amount in tokens that the request can use
	step        int64

	mu       sync.Mutex
	reserved int64
	pending  chan struct{} // closed when the extension in progress ends
	err      error         // result of the last extension
	once     sync.Once
}

func newExtender(r Reservation, first, limit, step int64) *extender {
	return &extender{reservation: r, reserved: first, limit: limit, step: step}
}

// cover ensures that the reservation covers used tokens. It starts an extension
// when less than half a step is left, and waits for it only when used exceeds the
// reservation.
func (e *extender) cover(ctx context.Context, used int64) error {
	for {
		e.mu.Lock()
		if e.reserved >= e.limit || used+e.step/2 <= e.reserved {
			e.mu.Unlock()
			return nil
		}
		if e.pending == nil {
			if e.err != nil && used > e.reserved {
				defer e.mu.Unlock()
				return e.err
			}
			if e.err == nil {
				e.startExtension(ctx, min(e.reserved+e.step, e.limit))
			}
		}
		pending, enough := e.pending, used <= e.reserved
		e.mu.Unlock()
		if enough || pending == nil {
			return nil
		}
		select {
		case <-pending:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startExtension starts an extension to total tokens. The caller holds e.mu.
func (e *extender) startExtension(ctx context.Context, total int64) {
	done := make(chan struct{})
	e.pending = done
	go func() {
		err := e.reservation.Extend(ctx, total)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.err, e.pending = err, nil
		if err == nil {
			e.reserved = total
		}
		close(done)
	}()
}

// settle bills tokens; the reservation must cover them.
func (e *extender) settle(tokens int64) {
	e.once.Do(func() { e.reservation.Settle(tokens) })
}

func (e *extender) release() {
	e.once.Do(e.reservation.Release)
}
