package outlier

import (
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = int64(time.Millisecond)

// simulation drives a detector in steps of 50 ms. Every endpoint has two streams,
// each of which yields a token every tokenGap.
type simulation struct {
	*Detector
	now       int64
	tokenGap  []int64 // by endpoint, in ns; 0 means no tokens
	lastToken []int64 // time of the last token by endpoint
}

func newSimulation(n int, o Options) *simulation {
	s := &simulation{Detector: New(o), now: 1, tokenGap: make([]int64, n), lastToken: make([]int64, n)}
	for i := range n {
		s.tokenGap[i] = 50 * ms
		s.Add(s.now, int32(i), false)
		for range 2 {
			s.Started(s.now, int32(i))
			s.FirstToken(s.now, int32(i), 100*ms)
		}
		s.lastToken[i] = s.now
	}
	return s
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + int64(d); s.now < end; {
		s.now += 50 * ms
		for i, g := range s.tokenGap {
			if g > 0 && s.now-s.lastToken[i] >= g {
				s.Token(s.now, int32(i), s.now-s.lastToken[i])
				s.Token(s.now, int32(i), s.now-s.lastToken[i])
				s.lastToken[i] = s.now
			}
		}
		if s.now/(100*ms) != (s.now-50*ms)/(100*ms) {
			s.Tick(s.now)
		}
	}
}

// ejected returns the number of endpoints with a weight of 0.
func (s *simulation) ejected() (n int) {
	for i := range s.tokenGap {
		if s.Weight(s.now, int32(i)) == 0 {
			n++
		}
	}
	return n
}

// Guards against ejection that comes too late, and against the ejection of healthy
// endpoints.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		name   string
		gaps   map[int]int64
		want   Reason
		within time.Duration
		count  int
	}{
		{"10 times slower", map[int]int64{3: 500 * ms}, Slow, time.Second, 1},
		{"4 times slower", map[int]int64{3: 200 * ms}, Slow, 2 * time.Second, 1},
		{"no progress", map[int]int64{3: 0}, Stalled, time.Second, 1},
		{"2 times slower is a larger batch", map[int]int64{3: 100 * ms}, None, 4 * time.Second, 0},
		{"cap of 30%", map[int]int64{0: 0, 1: 0, 2: 0, 3: 0, 4: 0}, Stalled, time.Second, 3},
		{"the whole pool is slow", map[int]int64{0: 500 * ms, 1: 500 * ms, 2: 500 * ms, 3: 500 * ms, 4: 500 * ms,
			5: 500 * ms, 6: 500 * ms, 7: 500 * ms, 8: 500 * ms, 9: 500 * ms}, Stalled, 3 * time.Second, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(10, Options{})
			s.run(2 * time.Second)
			if n := s.ejected(); n != 0 {
				t.Fatalf("%d endpoints ejected from a pool of equally fast endpoints", n)
			}
			for i, g := range c.gaps {
				s.tokenGap[i] = g
			}
			s.run(c.within)
			if n := s.ejected(); n > c.count || (n < c.count && len(c.gaps) < 10) {
				t.Errorf("%d endpoints ejected, want %d", n, c.count)
			}
			if got := s.Reason(3); len(c.gaps) == 1 && got != c.want {
				t.Errorf("reason %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against an endpoint that stays ejected after it has recovered, that is
// reinstated at full weight, or whose ejection time does not grow when it fails
// again.
func TestReinstatement(t *testing.T) {
	s := newSimulation(10, Options{})
	s.run(2 * time.Second)
	s.tokenGap[3] = 0
	s.run(time.Second)
	if s.Weight(s.now, 3) != 0 {
		t.Fatal("a stalled endpoint was not ejected")
	}
	s.tokenGap[3] = 50 * ms
	s.run(2500 * time.Millisecond)
	if w := s.Weight(s.now, 3); w <= 0 || w >= 1 {
		t.Errorf("weight %v after reinstatement, want one between 0 and 1", w)
	}
	s.run(6 * time.Second)
	if w := s.Weight(s.now, 3); w != 1 {
		t.Errorf("weight %v after ramp-up, want 1", w)
	}
	s.tokenGap[3] = 0
	s.run(time.Second)
	remaining := s.states[3].ejectedUntil - s.now
	if remaining < int64(2*time.Second) {
		t.Errorf("second ejection ends in %v, want at least 2s", time.Duration(remaining))
	}
}

// Guards against failures that eject no endpoint, or more than the cap allows.
func TestFailures(t *testing.T) {
	s := newSimulation(10, Options{})
	for i := range int32(10) {
		for k := range 2 {
			s.Started(s.now, i)
			if i%2 == 0 {
				s.ConnectFailed(s.now, i)
			} else {
				s.FailedAfterDispatch(s.now, i, false)
			}
			if w := s.Weight(s.now, i); k == 0 && w != 1 {
				t.Errorf("endpoint %d ejected after one failure", i)
			}
		}
	}
	if n := s.ejected(); n != 8 {
		t.Errorf("%d of 10 endpoints ejected, want the cap of 8", n)
	}
	if s.Reason(0) != Unreachable || s.Reason(1) != Failing {
		t.Errorf("reasons %q, %q", s.Reason(0), s.Reason(1))
	}
	for i := range int32(10) {
		s.Remove(i)
	}
	if s.endpoints != 0 || s.slowEjected != 0 || s.failedEjected != 0 {
		t.Errorf("after removal: %d present, %d slow, %d failed", s.endpoints, s.slowEjected, s.failedEjected)
	}
}

// Guards against a new endpoint that gets its full share of requests at once.
func TestRampUp(t *testing.T) {
	s := newSimulation(4, Options{})
	s.Add(s.now, 4, true)
	var last float64
	for range 10 {
		w := s.Weight(s.now, 4)
		if w < MinWeight || w < last || w > 1 {
			t.Fatalf("weight %v after weight %v", w, last)
		}
		last = w
		s.run(600 * time.Millisecond)
	}
	if last != 1 {
		t.Errorf("weight %v after 5.4 s, want 1", last)
	}
}

// checkCaps drives a detector with random streams and failures and checks that
// the ejected shares stay within their caps, that ejections last at most
// MaxEjectionTime, and that weights are between 0 and 1.
func checkCaps(t *rapid.T, broken string) {
	const n = 7
	s := newSimulation(n, Options{})
	s.broken = broken
	s.run(time.Second)
	t.Repeat(map[string]func(*rapid.T){
		"gap": func(t *rapid.T) {
			gap := rapid.SampledFrom([]int64{0, 50 * ms, 50 * ms, 500 * ms}).Draw(t, "gap")
			s.tokenGap[rapid.IntRange(0, n-1).Draw(t, "endpoint")] = gap
		},
		"run": func(t *rapid.T) {
			s.run(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"fail": func(t *rapid.T) {
			i := int32(rapid.IntRange(0, n-1).Draw(t, "endpoint"))
			for range 2 {
				s.Started(s.now, i)
				s.ConnectFailed(s.now, i)
			}
		},
		"": func(t *rapid.T) {
			slow, failed := 0, 0
			for i := range int32(n) {
				if w := s.Weight(s.now, i); w < 0 || w > 1 {
					t.Fatalf("weight %v", w)
				}
				switch s.Reason(i) {
				case None:
				case Slow, Stalled:
					slow++
				default:
					failed++
				}
				if left := s.states[i].ejectedUntil - s.now; left > int64(s.opts.MaxEjectionTime) {
					t.Fatalf("endpoint %d is ejected for %v", i, time.Duration(left))
				}
			}
			if slow != s.slowEjected || failed != s.failedEjected {
				t.Fatalf("detector counts %d slow and %d failed endpoints, want %d and %d", s.slowEjected, s.failedEjected, slow, failed)
			}
			if slow > n*3/10 || slow+failed > n*8/10 {
				t.Fatalf("%d slow and %d failed endpoints ejected of %d", slow, failed, n)
			}
		},
	})
}

func TestCaps(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkCaps(t, "") }) }

func TestBrokenVariantFails(t *testing.T) {
	rapidtest.MustFail(t, func(t *rapid.T) { checkCaps(t, "cap") })
}
