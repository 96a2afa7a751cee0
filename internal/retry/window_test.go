package retry

import (
	"testing"
	"time"
)

// Guards against retries that exceed the fleet's bound in some sliding window,
// with uneven traffic across daemons and slots that are not aligned.
func TestWindowFleetBound(t *testing.T) {
	o := WindowOptions{Ratio: 0.2, Slack: 30, Span: 10 * time.Second, UsableShare: 0.75}
	const daemons = 3
	start := time.Unix(500, 0)
	var windows []*Window
	for i := range daemons {
		windows = append(windows, NewWindow(start.Add(time.Duration(i)*370*time.Millisecond), o, true))
	}
	type step struct{ requests, retries int }
	steps := make([]step, 400) // of 100 ms
	for s := range steps {
		now := start.Add(2*time.Second + time.Duration(s)*100*time.Millisecond)
		for i, w := range windows {
			for range i * (s / 100 % 2) {
				w.RecordRequest(now)
				steps[s].requests++
			}
			if w.TryRetry(now, daemons) {
				steps[s].retries++
			}
		}
	}
	const span = 100
	for from := 0; from+span <= len(steps); from++ {
		var sum step
		for _, e := range steps[from : from+span] {
			sum.requests += e.requests
			sum.retries += e.retries
		}
		if bound := o.Ratio*float64(sum.requests) + o.Slack; float64(sum.retries) > bound {
			t.Fatalf("%d retries of %d requests from step %d, bound %.1f", sum.retries, sum.requests, from, bound)
		}
	}
}

// Guards against a restarted daemon that uses slack which its previous
// incarnation has already used within the same window.
func TestWindowAfterRestart(t *testing.T) {
	o := WindowOptions{Ratio: 0.2, Slack: 100, Span: 10 * time.Second, UsableShare: 1}
	now := time.Unix(500, 0)
	w := NewWindow(now, o, false)
	if w.TryRetry(now.Add(9*time.Second), 1) {
		t.Error("a retry used slack within the first window after a restart")
	}
	if !w.TryRetry(now.Add(10*time.Second), 1) {
		t.Error("a retry was refused after the first window although slack was available")
	}
}
