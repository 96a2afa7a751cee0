package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/enginefake"
)

const (
	swingFrom = 20 * time.Second
	swingTo   = 44 * time.Second
	swingEnd  = 75 * time.Second
	ttftBound = 1300 * time.Millisecond
	itlBound  = 75 * time.Millisecond
)

// swing returns a request rate that rises fourfold to 1.5 times the capacity
// within 2 s, and later falls back within 2 s.
func swing(capacity float64) func(time.Duration) float64 {
	base, peak := 0.375*capacity, 1.5*capacity
	return func(t time.Duration) float64 {
		up := min(1, max(0, (t-swingFrom).Seconds()/2))
		down := min(1, max(0, (t-swingTo).Seconds()/2))
		return base + (peak-base)*(up-down)
	}
}

func meetsBounds(r *enginefake.Record) bool {
	return r.Done && r.TTFT() <= ttftBound && r.GapSum <= time.Duration(r.Gaps)*itlBound
}

func inSwing(r *enginefake.Record) bool { return r.At >= swingFrom && r.At < swingTo+2*time.Second }

func goodput(res *enginefake.Result) (sum float64) {
	for _, r := range res.Records {
		if inSwing(r) && meetsBounds(r) {
			sum += float64(r.Tokens)
		}
	}
	return sum
}

// minFairness returns the least ratio, over the accounts, of the tokens served
// during the overload to the account's max-min fair share of the pool's
// capacity. capacity is in tokens per second.
func minFairness(res *enginefake.Result, capacity float64) float64 {
	demand, served := map[string]float64{}, map[string]float64{}
	total := capacity * (swingTo - swingFrom - 4*time.Second).Seconds()
	for _, r := range res.Records {
		if r.At < swingFrom+4*time.Second || r.At >= swingTo {
			continue
		}
		demand[r.Account] += float64(r.Tokens)
		if r.Done {
			served[r.Account] += float64(r.Tokens)
		}
	}
	share := 0.0
	for low, high, k := 0.0, total, 0; k < 60; k++ {
		share = (low + high) / 2
		sum := 0.0
		for _, d := range demand {
			sum += min(d, share)
		}
		if sum > total {
			high = share
		} else {
			low = share
		}
	}
	worst := math.Inf(1)
	for a, d := range demand {
		worst = min(worst, served[a]/min(d, share))
	}
	return worst
}

// recovery returns the time in seconds after the swing until, for each second,
// the 95th percentile of the time to first token is within its bound and no
// daemon has queued requests.
func recovery(res *enginefake.Result) float64 {
	end := swingTo + 2*time.Second
	last := max(0, res.LastQueued-end)
	for t := end; t < swingEnd; t += time.Second {
		v := res.Select(func(r *enginefake.Record) bool { return r.At >= t && r.At < t+time.Second },
			func(r *enginefake.Record) float64 { return float64(r.TTFT()) })
		if enginefake.Percentile(v, 95) > float64(ttftBound) {
			last = max(last, t+time.Second-end)
		}
	}
	return last.Seconds()
}

// BenchmarkPeakSwing compares the policies with an oracle during a load swing.
// recovery_retry_s is the recovery time if each refused caller retries up to ten
// times. The work deferred during 24 s at 1.5 times the capacity takes 19 s to
// complete at full capacity beside a load of 0.375 of it; a much longer recovery
// indicates a metastable failure.
func BenchmarkPeakSwing(b *testing.B) {
	engine := enginefake.DefaultEngine(64)
	const tokens, prompt = 200, 300
	batch := engine.MaxBatchWithin(itlBound, tokens, prompt)
	policies := []enginefake.Policy{enginefake.Core, enginefake.Random, enginefake.RoundRobin,
		enginefake.LeastReported, enginefake.TwoChoices, enginefake.Oracle}
	for _, dep := range enginefake.Deployments {
		for seed := uint64(1); seed <= 2; seed++ {
			b.Run(fmt.Sprintf("%s/seed=%d", dep.Name, seed), func(b *testing.B) {
				capacity := float64(dep.Engines) * engine.Capacity(batch, tokens, prompt)
				requests := enginefake.Generate(enginefake.Workload{Rate: swing(capacity), MaxRate: 1.5 * capacity,
					End: swingEnd - 10*time.Second, MeanTokens: tokens, MeanPromptTokens: prompt, Accounts: enginefake.Accounts}, seed)
				for range b.N {
					res := enginefake.Compare(policies, func(p enginefake.Policy) *enginefake.Result {
						cfg := dep.Config(engine, p, seed)
						cfg.OracleBatch, cfg.MaxQueueWait = batch, time.Second
						cfg.GapsFrom, cfg.GapsTo = swingFrom, swingTo+2*time.Second
						return enginefake.Run(cfg, requests, swingEnd)
					})
					reportSwing(b, res, capacity*tokens)
					cfg := dep.Config(engine, enginefake.Core, seed)
					cfg.CallerRetries = 10
					b.ReportMetric(recovery(enginefake.Run(cfg, requests, swingEnd)), "recovery_retry_s")
				}
			})
		}
	}
}

func reportSwing(b *testing.B, res map[enginefake.Policy]*enginefake.Result, capacity float64) {
	oracle := goodput(res[enginefake.Oracle])
	for p, r := range res {
		if p != enginefake.Core && p != enginefake.Oracle {
			b.ReportMetric(goodput(r)/oracle, p.String()+"_goodput")
		}
	}
	core := res[enginefake.Core]
	ttft := core.Select(inSwing, func(r *enginefake.Record) float64 { return float64(r.TTFT()) })
	b.ReportMetric(goodput(core)/oracle, "goodput_ratio")
	b.ReportMetric(enginefake.Percentile(ttft, 95)/1e6, "ttft_p95_ms")
	b.ReportMetric(core.GapPercentile(95), "itl_p95_ms")
	b.ReportMetric(res[enginefake.Oracle].GapPercentile(95), "oracle_itl_p95_ms")
	b.ReportMetric(minFairness(res[enginefake.Oracle], capacity), "oracle_fair_min")
	b.ReportMetric(minFairness(core, capacity), "fair_min")
	b.ReportMetric(recovery(core), "recovery_s")
	b.ReportMetric(float64(core.DigestBytes)/float64(max(1, core.Digests)), "digest_bytes")
}
