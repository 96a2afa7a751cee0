package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/enginefake"
)

const (
	headOfLineWarmUp   = 80 * time.Second
	headOfLineArrivals = 200 * time.Second
	headOfLineDuration = 320 * time.Second
)

func isShort(r *enginefake.Record) bool { return !r.Long && r.At >= headOfLineWarmUp }
func isLong(r *enginefake.Record) bool  { return r.Long && r.At >= headOfLineWarmUp }

func latency(r *enginefake.Record) float64 { return float64(r.End - r.At) }

// BenchmarkHeadOfLine measures head-of-line blocking: 10% of the requests are 30
// times longer than the others, at 80% of the sustained throughput of the pool.
// short_p99_ratio is the ratio of the 99th percentile of the latency of short
// requests to that of the same requests without the long ones under the same
// policy. long_slowdown is the mean ratio of the latency of long requests to
// that on an idle engine. Engines with 24 slots share their batch; with 4 slots
// a burst of long requests can occupy all of them. The plain services have 4
// and 3 endpoints, as in the current deployments.
func BenchmarkHeadOfLine(b *testing.B) {
	const tokens, prompt, share, ratio = 40, 200, 0.1, 30
	meanTokens := tokens * (1 - share + share*ratio)
	policies := []enginefake.Policy{enginefake.Core, enginefake.Random, enginefake.RoundRobin,
		enginefake.LeastReported, enginefake.TwoChoices, enginefake.Oracle}
	type pool struct {
		enginefake.Deployment
		kind   string
		engine enginefake.EngineConfig
	}
	var pools []pool
	for _, dep := range enginefake.Deployments {
		pools = append(pools, pool{dep, "slots=24", enginefake.DefaultEngine(24)}, pool{dep, "slots=4", enginefake.DefaultEngine(4)})
	}
	for k, dep := range enginefake.Deployments[:2] {
		dep.Engines = []int{4, 3}[k]
		pools = append(pools, pool{dep, "service", enginefake.ServiceEndpoint(8)})
	}
	for k := range 2 * len(pools) {
		dep, seed := pools[k/2], uint64(1+k%2)
		b.Run(fmt.Sprintf("%s/%s/seed=%d", dep.Name, dep.kind, seed), func(b *testing.B) {
			engine := dep.engine
			rate := 0.8 * float64(dep.Engines) * engine.Capacity(engine.Slots, meanTokens, prompt)
			mixed := enginefake.Generate(enginefake.Workload{Rate: enginefake.Constant(rate), MaxRate: rate,
				End: headOfLineArrivals, MeanTokens: tokens, MeanPromptTokens: prompt, LongShare: share, LongRatio: ratio,
				Accounts: enginefake.Accounts}, seed)
			var short []enginefake.Request
			for _, r := range mixed {
				if !r.Long {
					short = append(short, r)
				}
			}
			run := func(requests []enginefake.Request) map[enginefake.Policy]*enginefake.Result {
				return enginefake.Compare(policies, func(p enginefake.Policy) *enginefake.Result {
					cfg := dep.Config(engine, p, seed)
					cfg.OracleBatch, cfg.PlainService = engine.Slots, dep.kind == "service"
					return enginefake.Run(cfg, requests, headOfLineDuration)
				})
			}
			for range b.N {
				reportHeadOfLine(b, engine, run(mixed), run(short))
			}
		})
	}
}

func reportHeadOfLine(b *testing.B, engine enginefake.EngineConfig, mixed, alone map[enginefake.Policy]*enginefake.Result) {
	slowdown := func(r *enginefake.Record) float64 {
		idle := engine.StepBase + time.Duration(r.PromptTokens)*engine.StepPerPromptToken +
			time.Duration(r.Tokens)*(engine.StepBase+engine.StepPerSequence)
		return latency(r) / float64(idle)
	}
	for p, res := range mixed {
		name := p.String() + "_"
		if p == enginefake.Core {
			name = ""
		}
		ratio := enginefake.Percentile(res.Select(isShort, latency), 99) /
			enginefake.Percentile(alone[p].Select(isShort, latency), 99)
		sum, long := 0.0, res.Select(isLong, slowdown)
		for _, x := range long {
			sum += x
		}
		b.ReportMetric(ratio, name+"short_p99_ratio")
		b.ReportMetric(sum/float64(len(long)), name+"long_slowdown")
	}
	core, lost := mixed[enginefake.Core], 0.0
	for _, r := range core.Records {
		if !r.Done {
			lost++
		}
	}
	b.ReportMetric(100*lost/float64(len(core.Records)), "refused_pct")
	b.ReportMetric(enginefake.Percentile(core.Select(isLong, slowdown), 100), "long_slowdown_max")
}
