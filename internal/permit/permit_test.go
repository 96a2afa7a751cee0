package permit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var start = time.Unix(1000, 0)

// Guards against more permits in some span than the limits in force in it allow, whatever limits are
// learned, in whatever order and with whatever pauses, and against permits that are never granted.
func TestPermitsKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i, now, key := NewIssuer(), start, Key{Endpoint: "e", Incarnation: 1}
		stated, allowed, highest := start, 0.0, 0.0
		current, granted := 0.0, 0
		learn := func(limit float64) {
			stated = stated.Add(time.Millisecond)
			current, highest = limit, max(highest, limit)
			i.Learn(now, key, balance.RateLimit{PerSecond: limit, StatedAt: stated})
		}
		learn(rapid.Float64Range(0.05, 40).Draw(t, "first limit"))
		t.Repeat(map[string]func(*rapid.T){
			"limit": func(t *rapid.T) { learn(rapid.Float64Range(0.05, 40).Draw(t, "limit")) },
			"older statement": func(*rapid.T) {
				i.Learn(now, key, balance.RateLimit{PerSecond: 1000, StatedAt: stated.Add(-time.Millisecond)})
			},
			"time": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				now, allowed = now.Add(d), allowed+current*d.Seconds()
			},
			"take": func(*rapid.T) {
				for range 5 {
					ok, wait := i.Take(now, key)
					if ok {
						granted++
					} else if wait <= 0 || wait > time.Duration(float64(time.Second)/current)+time.Millisecond {
						t.Fatalf("no permit for %v at a limit of %v a second", wait, current)
					}
				}
			},
			"": func(t *rapid.T) {
				if most := allowed + max(1, highest*burstTime.Seconds()); float64(granted) > most+1e-6 {
					t.Fatalf("%d permits since the first limit, allowed are %v", granted, most)
				}
			},
		})
	})
}

// Guards against a limit that stays in force after the endpoint has ended it, and against one that a
// late statement brings back.
func TestLimitEnds(t *testing.T) {
	i, key := NewIssuer(), Key{Endpoint: "e", Incarnation: 1}
	i.Learn(start, key, balance.RateLimit{PerSecond: 1, StatedAt: start})
	if ok, wait := i.Take(start, key); ok || wait != time.Second {
		t.Errorf("granted %v, wait %v at the begin of the limit, want none for 1 s", ok, wait)
	}
	i.Learn(start, key, balance.RateLimit{StatedAt: start.Add(2 * time.Second)})
	got := i.Learn(start, key, balance.RateLimit{PerSecond: 1, StatedAt: start.Add(time.Second)})
	if ok, _ := i.Take(start, key); !ok || got.PerSecond != 0 {
		t.Errorf("granted %v, limit %v after its end, want no limit", ok, got)
	}
	other := Key{Endpoint: "e", Incarnation: 2}
	if ok, _ := i.Take(start, other); !ok {
		t.Error("the limit of the former incarnation holds for the next one")
	}
}
