package poison

import (
	"testing"
	"time"
)

// exchangeState sends the recent entries of one daemon to another.
func exchangeState(now time.Time, from, to *Registry) {
	to.Merge(now, from.RecentEntries(now, 6*time.Second, 200))
}

// Guards against a sound request that one daemon has served again and that others refuse for
// an hour, since they were told of its crashes only.
func TestCompletionEndsTheIsolationAtAllDaemons(t *testing.T) {
	for name, step := range map[string]struct {
		silence time.Duration
		through bool
	}{
		"at once": {0, false}, "through another daemon": {0, true}, "after a long silence": {10 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			serving, between, other := New(Options{}), New(Options{}), New(Options{})
			serving.Begin(t0, 1)
			for i, endpoint := range []string{"a", "b", "c"} {
				serving.RecordCrash(at(float64(i)), endpoint, []Digest{1})
			}
			exchangeState(at(3), serving, between)
			exchangeState(at(3), between, other)
			if v := other.Begin(at(3), 1).Verdict; v != Isolated {
				t.Fatalf("verdict %v after three crashes, want Isolated", v)
			}
			serving.End(at(4), 1, true)
			now := at(4).Add(step.silence)
			if step.through {
				exchangeState(now, serving, between)
				exchangeState(now, between, other)
			} else {
				exchangeState(now, other, serving)
				exchangeState(now, serving, other)
			}
			if v := other.Begin(now, 1).Verdict; v != Allowed {
				t.Errorf("verdict %v after another daemon served the request, want Allowed", v)
			}
			exchangeState(now, between, other) // crashes that it reports again
			if v := other.Begin(now, 1).Verdict; v != Allowed {
				t.Errorf("verdict %v after crashes from before were reported again, want Allowed", v)
			}
		})
	}
}

// Guards against memory that grows with the requests that were ever cleared.
func TestClearingsAreBounded(t *testing.T) {
	r := New(Options{MaxDigests: 100})
	for d := range Digest(1000) {
		r.RecordCrash(t0, "a", []Digest{d})
		r.End(t0, d, true)
	}
	if n := len(r.clearings); n > 100 {
		t.Errorf("%d completions kept, want at most 100", n)
	}
	if r.Tick(at(4000)); len(r.clearings) != 0 {
		t.Errorf("%d completions kept after the crash window, want none", len(r.clearings))
	}
}
