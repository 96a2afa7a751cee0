// Package delayed keeps a short history of a value, so that a stand-in can
// report it as it was some time ago.
package delayed

import "time"

// resolution limits the number of samples: a change that follows another one
// this closely replaces it.
const resolution = 5 * time.Millisecond

// History is a value's history. The zero value is empty. It is not safe for
// concurrent use.
type History[T any] struct {
	samples []sample[T] // in the order of time
}

type sample[T any] struct {
	at    time.Time
	value T
}

// Put records the value at now and drops what is older than keep.
func (h *History[T]) Put(now time.Time, value T, keep time.Duration) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < resolution {
		h.samples[n-1].value = value
		return
	}
	h.samples = append(h.samples, sample[T]{at: now, value: value})
	oldest := now.Add(-keep)
	drop := 0
	for drop+1 < len(h.samples) && h.samples[drop+1].at.Before(oldest) {
		drop++
	}
	h.samples = h.samples[drop:]
}

// At returns the value at t; before the first sample it is the zero value.
func (h *History[T]) At(t time.Time) T {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].value
		}
	}
	var zero T
	return zero
}
