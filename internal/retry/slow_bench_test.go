package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/enginefake"
)

const (
	warmupEnd   = 20 * time.Second
	requestsEnd = 200 * time.Second
	runEnd      = 260 * time.Second
)

// randomSlowdowns returns slowdowns that make a tenth of the engines 10 times
// slower at any time, each engine for 5 to 30 s.
func randomSlowdowns(engines int, seed uint64) []enginefake.Slowdown {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []enginefake.Slowdown
	until := make([]time.Duration, engines)
	for range max(1, engines/10) {
		for t := warmupEnd; t < requestsEnd; {
			d := 5*time.Second + time.Duration(rng.Int64N(int64(25*time.Second)))
			k := rng.IntN(engines)
			for until[k] > t {
				k = rng.IntN(engines)
			}
			out = append(out, enginefake.Slowdown{Engine: k, From: t, To: t + d, Factor: 10})
			until[k] = t + d
			t += d
		}
	}
	return out
}

func afterWarmup(r *enginefake.Record) bool { return r.At >= warmupEnd }

func latency(r *enginefake.Record) float64 { return float64(r.End - r.At) }

// BenchmarkSlowEndpoints measures the 99th percentile of the latency with slow
// endpoints, as a ratio to that of the same requests under the same policy without
// slowdowns. The requests are lookups with short answers.
func BenchmarkSlowEndpoints(b *testing.B) {
	engine := enginefake.DefaultEngine(24)
	const tokens, prompt = 40, 200
	policies := []enginefake.Policy{enginefake.Core, enginefake.CoreNoHedge, enginefake.Random,
		enginefake.RoundRobin, enginefake.LeastReported, enginefake.TwoChoices, enginefake.Oracle}
	for k := range 3 * len(enginefake.Deployments) {
		dep, seed := enginefake.Deployments[k/3], uint64(1+k%3)
		b.Run(fmt.Sprintf("%s/seed=%d", dep.Name, seed), func(b *testing.B) {
			rate := 0.6 * float64(dep.Engines) * engine.Capacity(engine.Slots, tokens, prompt)
			requests := enginefake.Generate(enginefake.Workload{Rate: enginefake.Constant(rate), MaxRate: rate, End: requestsEnd,
				MeanTokens: tokens, MeanPromptTokens: prompt, Accounts: enginefake.Accounts}, seed)
			run := func(slow []enginefake.Slowdown) map[enginefake.Policy]*enginefake.Result {
				return enginefake.Compare(policies, func(p enginefake.Policy) *enginefake.Result {
					cfg := dep.Config(engine, p, seed)
					cfg.OracleBatch, cfg.Slowdowns = engine.Slots, slow
					return enginefake.Run(cfg, requests, runEnd)
				})
			}
			for range b.N {
				reportMetrics(b, run(randomSlowdowns(dep.Engines, seed)), run(nil))
			}
		})
	}
}

func reportMetrics(b *testing.B, slow, quick map[enginefake.Policy]*enginefake.Result) {
	for p, res := range slow {
		name := p.String() + "_"
		if p == enginefake.Core {
			name = ""
		}
		b.ReportMetric(enginefake.Percentile(res.Select(afterWarmup, latency), 99)/
			enginefake.Percentile(quick[p].Select(afterWarmup, latency), 99), name+"p99_ratio")
	}
	work := float64(slow[enginefake.Core].Generated)
	for _, r := range slow[enginefake.Core].Records {
		work += enginefake.PromptTokenWork * float64(r.PromptTokens)
	}
	core, refused := slow[enginefake.Core], 0.0
	for _, r := range core.Records {
		if !r.Done {
			refused++
		}
	}
	b.ReportMetric(100*refused/float64(len(core.Records)), "refused_pct")
	b.ReportMetric(100*float64(core.HedgeTokens)/work, "hedge_extra_pct")
	b.ReportMetric(float64(core.Hedges), "hedges")
	b.ReportMetric(enginefake.Percentile(quick[enginefake.Core].Select(afterWarmup, latency), 99)/1e6, "quick_p99_ms")
}
