package delayed

import (
	"testing"
	"time"
)

// Guards against a history that drops a value which is still within the retention,
// and against one that grows without bound.
func TestHistory(t *testing.T) {
	start := time.Unix(1000, 0)
	var h History[int]
	for i := 1; i <= 10_000; i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		h.Put(now, i, time.Second)
		want := max(0, i-1000)
		if got := h.At(now.Add(-time.Second)); got < want || got >= want+5 || (want == 0 && got != 0) {
			t.Fatalf("step %d: the value one second ago is %d, want %d within 5", i, got, want)
		}
	}
	if n := len(h.samples); n > 205 {
		t.Errorf("%d samples kept, want at most 205", n)
	}
}
