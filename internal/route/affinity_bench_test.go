package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/enginefake"
)

const (
	prefixWarmUp   = 30 * time.Second
	prefixArrivals = 120 * time.Second
	prefixDuration = 150 * time.Second
)

// BenchmarkPrefixAffinity measures the share of prompt prefixes found in the
// engines' caches and the 95th percentile of the time to first token, compared
// with the same policy without affinity and with other policies. A few prefixes
// are much more frequent than the others, and the caches hold only a part of
// all prefixes.
func BenchmarkPrefixAffinity(b *testing.B) {
	engine := enginefake.DefaultEngine(24)
	const tokens, prompt, prefix = 120, 150, 900
	policies := []enginefake.Policy{enginefake.Core, enginefake.CoreNoAffinity, enginefake.Random,
		enginefake.RoundRobin, enginefake.LeastReported, enginefake.TwoChoices}
	for k := range 2 * len(enginefake.Deployments) {
		dep, seed := enginefake.Deployments[k/2], uint64(1+k%2)
		b.Run(fmt.Sprintf("%s/seed=%d", dep.Name, seed), func(b *testing.B) {
			rate := 0.7 * float64(dep.Engines) * engine.Capacity(engine.Slots, tokens, prompt+prefix)
			requests := enginefake.Generate(enginefake.Workload{Rate: enginefake.Constant(rate), MaxRate: rate,
				End: prefixArrivals, MeanTokens: tokens, MeanPromptTokens: prompt, Prefixes: 10 * dep.Engines, PrefixTokens: prefix,
				Accounts: enginefake.Accounts}, seed)
			for range b.N {
				res := enginefake.Compare(policies, func(p enginefake.Policy) *enginefake.Result {
					return enginefake.Run(dep.Config(engine, p, seed), requests, prefixDuration)
				})
				for p, r := range res {
					name := p.String() + "_"
					if p == enginefake.Core {
						name = ""
					}
					v := r.Select(func(x *enginefake.Record) bool { return x.At >= prefixWarmUp },
						func(x *enginefake.Record) float64 { return float64(x.TTFT()) / 1e6 })
					b.ReportMetric(100*float64(r.Hits)/float64(r.Lookups), name+"hit_pct")
					b.ReportMetric(enginefake.Percentile(v, 95), name+"ttft_p95_ms")
					b.ReportMetric(float64(r.MaxBatch), name+"max_batch")
				}
			}
		})
	}
}
