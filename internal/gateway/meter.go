package gateway

import (
	"context"
	"sync"
)

// meter extends a reservation in steps ahead of the relayed tokens.
type meter struct {
	hold  Reservation
	limit int64 // most that the request can use
	step  int64

	mu       sync.Mutex
	reserved int64
	pending  chan struct{} // closed when the extension in progress ends
	err      error         // of the last extension
	once     sync.Once
}

func newMeter(h Reservation, first, limit, step int64) *meter {
	return &meter{hold: h, reserved: first, limit: limit, step: step}
}

// cover makes sure that the reservation covers used tokens, waiting only if
// the extension started half a step before is still in progress.
func (m *meter) cover(ctx context.Context, used int64) error {
	for {
		m.mu.Lock()
		if m.reserved >= m.limit || used+m.step/2 <= m.reserved {
			m.mu.Unlock()
			return nil
		}
		if m.pending == nil {
			if m.err != nil && used > m.reserved {
				defer m.mu.Unlock()
				return m.err
			}
			if m.err == nil {
				m.start(ctx, min(m.reserved+m.step, m.limit))
			}
		}
		pending, enough := m.pending, used <= m.reserved
		m.mu.Unlock()
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

// start begins an extension; the caller holds m.mu.
func (m *meter) start(ctx context.Context, total int64) {
	done := make(chan struct{})
	m.pending = done
	go func() {
		err := m.hold.Extend(ctx, total)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.err, m.pending = err, nil
		if err == nil {
			m.reserved = total
		}
		close(done)
	}()
}

// settle bills tokens; the reservation must cover them.
func (m *meter) settle(tokens int64) {
	m.once.Do(func() { m.hold.Settle(tokens) })
}

func (m *meter) release() {
	m.once.Do(m.hold.Release)
}
