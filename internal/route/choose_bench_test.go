package route

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// BenchmarkChoose measures one choice, including the bookkeeping, among pools
// of different sizes with and without a prompt prefix. It must not allocate,
// and its time may grow at most logarithmically with the size.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 300, 4300} {
		for _, prefix := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/prefix=%t", n, prefix), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := newPool(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				rng := rand.New(rand.NewPCG(1, 2))
				attempts := make([]Attempt, 4*n)
				r := Request{PredictedTokens: 200, PromptTokens: 300, Domain: "d0"}
				k := 0
				step := func() {
					if prefix {
						r.PrefixHash, r.PrefixTokens = splitmix64(uint64(k%500))|1, 200
					}
					a := &attempts[k%len(attempts)]
					p.Finished(t0, a, Completed)
					c, err := p.Choose(t0, &r, rng)
					if err != nil {
						b.Fatal(err)
					}
					p.Started(t0, c, &r, a)
					k++
				}
				for range 2 * len(attempts) {
					step()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					step()
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state_B")
				runtime.KeepAlive(p)
			})
		}
	}
}

// Guards against an allocation per choice or per token.
func TestNoAllocation(t *testing.T) {
	p, rng := newPool(300), newRand()
	a := &Attempt{}
	r := Request{PredictedTokens: 200, Domain: "d0", PrefixHash: 5, PrefixTokens: 100, Exclude: []EndpointID{"e0001"}}
	allocs := testing.AllocsPerRun(1000, func() {
		c, err := p.Choose(t0, &r, rng)
		if err != nil {
			t.Fatal(err)
		}
		p.Started(t0, c, &r, a)
		p.FirstToken(t0, a)
		p.Tokens(t0, a, 1)
		p.Finished(t0, a, Completed)
		r.PrefixHash++
	})
	if allocs != 0 {
		t.Errorf("%v allocations per request, want 0", allocs)
	}
}

// BenchmarkTick measures the work done every 100 ms, which is linear in the
// number of endpoints; at 4,300 endpoints it must stay far below 1.5% of a core
// (1.5 ms).
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{20, 300, 4300} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p, rng, now := newPool(n), newRand(), t0
			r := Request{PredictedTokens: 200, Domain: "d0"}
			attempts := make([]Attempt, 2*n)
			for k := range attempts {
				c, err := p.Choose(now, &r, rng)
				if err != nil {
					b.Fatal(err)
				}
				p.Started(now, c, &r, &attempts[k])
				p.FirstToken(now.Add(time.Duration(rng.IntN(1000))), &attempts[k])
				p.Tokens(now.Add(time.Duration(30e6+rng.IntN(1e6))), &attempts[k], 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Tick(now.Add(100 * time.Millisecond))
			}
		})
	}
}

// BenchmarkUpdate measures the processing of the endpoint list that a daemon
// reads every second, without a change and with one endpoint that becomes
// leaving or live.
func BenchmarkUpdate(b *testing.B) {
	for _, change := range []bool{false, true} {
		b.Run(fmt.Sprintf("endpoints=4300/change=%t", change), func(b *testing.B) {
			p, set := newPool(4300), endpoints(4300)
			for b.Loop() {
				if change {
					set[7].State = 1 - set[7].State
				}
				p.Update(t0, set)
			}
		})
	}
}
