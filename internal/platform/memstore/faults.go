package memstore

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Faults configures the faults that the store injects. The zero value injects
// none.
type Faults struct {
	// Outage makes each call fail with ErrUnavailable and ends open watches with
	// this error.
	Outage bool `json:"outage"`
	// LatencyMillis delays each call, in milliseconds.
	LatencyMillis int64 `json:"latency_millis"`
	// LoseAnswers is the number of successful writes, from the next one on, whose
	// response is lost after the write took effect.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMillis is the age of the instance list that callers get, in
	// milliseconds.
	ListLagMillis int64 `json:"list_lag_millis"`
	// CallsPerSecond is the rate above which calls fail with ErrUnavailable; 0
	// means no limit.
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

// Faults returns the faults that are currently injected.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// beginCall applies the injected faults to a call and counts it. If the error is
// nil, it returns with s.mu held.
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
		// The call did not reach the store, so it had no effect.
		return platform.ErrUnavailable
	}
}

// consumeLostResponse reports whether the response to the write that was just
// made is lost, and counts down Faults.LoseAnswers if so.
func (s *Store) consumeLostResponse() bool {
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// tokenBucket limits the store's call rate; its burst is the calls of one second.
type tokenBucket struct {
	rate, tokens float64 // calls/s, and the calls available as of last
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
