package enginefake

import (
	"sync"
	"time"
)

// Deployment is a fleet size for benchmarks.
type Deployment struct {
	Name                      string
	Engines, Daemons, Domains int
	// DigestInterval is the interval between load digests; 0 means 200 ms.
	DigestInterval time.Duration
}

// Deployments are the two current deployments and a part of the target size: the
// daemons and engines of one failure domain in the target's ratio of about ten
// engines per daemon, with the digest interval for 29 peers.
var Deployments = []Deployment{
	{Name: "maracas", Engines: 12, Daemons: 7, Domains: 4},
	{Name: "verstraeten", Engines: 20, Daemons: 7, Domains: 3},
	{Name: "target", Engines: 102, Daemons: 10, Domains: 1, DigestInterval: 900 * time.Millisecond},
}

// Config returns the configuration of a fleet of this size.
func (d Deployment) Config(e EngineConfig, p Policy, seed uint64) Config {
	return Config{Engines: d.Engines, Daemons: d.Daemons, Domains: d.Domains, Engine: e, Policy: p, Seed: seed,
		DigestInterval: d.DigestInterval}
}

// Accounts holds the relative demands of ten client accounts, three of them large.
var Accounts = []float64{8, 6, 4, 1, 1, 1, 1, 1, 1, 1}

// Constant returns a Workload.Rate that does not change over time.
func Constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Compare calls run for each policy and returns the results by policy. At most four
// calls run concurrently.
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
