// Package delayed keeps the recent history of a value, so that a stand-in can report
// the value with a lag.
package delayed

import "time"

// resolution is the minimum time between two samples. A change that follows
// another one within it replaces the value of that sample, which limits their number.
const resolution = 5 * time.Millisecond

// History holds the recent values of a variable. The zero value is empty. It is not
// safe for concurrent use.
type History[T any] struct {
	samples []sample[T] // ordered by time
}

type sample[T any] struct {
	at    time.Time
	value T
}

// Put records the value at now and drops the samples that are not needed to look up
// the value at any time within retention before now.
func (h *History[T]) Put(now time.Time, value T, retention time.Duration) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < resolution {
		h.samples[n-1].value = value
		return
	}
	h.samples = append(h.samples, sample[T]{at: now, value: value})
	oldest := now.Add(-retention)
	drop := 0
	for drop+1 < len(h.samples) && h.samples[drop+1].at.Before(oldest) {
		drop++
	}
	h.samples = h.samples[drop:]
}

// At returns the value at time t, or the zero value if t is before the first sample.
func (h *History[T]) At(t time.Time) T {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].value
		}
	}
	var zero T
	return zero
}
