package enginefake

import (
	"sync"
	"time"
)

// Deployment is the size of a fleet in a benchmark.
type Deployment struct {
	Name                      string
	Engines, Daemons, Domains int
	// DigestEvery is the interval of load digests; 0 means 200 ms.
	DigestEvery time.Duration
}

// Deployments are the two present ones and a slice of the target size: one
// failure domain's daemons and workers in the target's proportion of about
// ten workers to a daemon, with the interval of digests for 29 peers.
var Deployments = []Deployment{
	{Name: "maracas", Engines: 12, Daemons: 7, Domains: 4},
	{Name: "verstraeten", Engines: 20, Daemons: 7, Domains: 3},
	{Name: "target", Engines: 102, Daemons: 10, Domains: 1, DigestEvery: 900 * time.Millisecond},
}

// Config returns the configuration of a fleet of this size.
func (d Deployment) Config(e EngineConfig, p Policy, seed uint64) Config {
	return Config{Engines: d.Engines, Daemons: d.Daemons, Domains: d.Domains, Engine: e, Policy: p, Seed: seed,
		DigestEvery: d.DigestEvery}
}

// Accounts are the demands of ten accounts, three of them large.
var Accounts = []float64{8, 6, 4, 1, 1, 1, 1, 1, 1, 1}

// Constant returns a rate that does not change.
func Constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Compare runs the same requests under each policy, with at most four runs
// at once.
func Compare(policies []Policy, run func(Policy) *Result) map[Policy]*Result {
	out := make(map[Policy]*Result, len(policies))
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	for _, p := range policies {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			res := run(p)
			mu.Lock()
			defer mu.Unlock()
			out[p] = res
		})
	}
	wg.Wait()
	return out
}
