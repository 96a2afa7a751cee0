package memstore

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Faults are the store's injected faults. The zero value injects none.
type Faults struct {
	// Outage refuses each call with ErrUnavailable and breaks watches.
	Outage bool `json:"outage"`
	// LatencyMillis delays each call.
	LatencyMillis int64 `json:"latency_millis"`
	// LoseAnswers is the number of next successful writes whose answer is lost
	// after the write took effect.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMillis is the age of the instance list that callers see.
	ListLagMillis int64 `json:"list_lag_millis"`
	// CallsPerSecond refuses calls above this rate; 0 means no limit.
	CallsPerSecond float64 `json:"calls_per_second"`
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.callLimiter = tokenBucket{rate: f.CallsPerSecond, tokens: f.CallsPerSecond, last: s.now()}
	if f.Outage {
		s.breakWatches()
	}
}

// Faults returns the injected faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// enter applies the faults to one call and counts it. It returns with s.mu
// held if the error is nil.
func (s *Store) beginCall(ctx context.Context, counter *int64) error {
	if err := s.applyLatency(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	if s.faults.Outage || (s.faults.CallsPerSecond > 0 && !s.callLimiter.take(s.now())) {
		s.mu.Unlock()
		return platform.ErrUnavailable
	}
	s.expireDueLeases()
	*counter++
	return nil
}

func (s *Store) applyLatency(ctx context.Context) error {
	s.mu.Lock()
	wait := time.Duration(s.faults.LatencyMillis) * time.Millisecond
	s.mu.Unlock()
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		// The call had not reached the store, so it did not take effect.
		return platform.ErrUnavailable
	}
}

// loseAnswer reports whether the answer of the write just made is lost.
func (s *Store) consumeLostResponse() bool {
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// tokenBucket limits the store's call rate with a burst of one second.
type tokenBucket struct {
	rate, tokens float64
	last         time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
