package poison_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/enginefake"
)

const (
	poisonInterval = 40 * time.Second
	requestsEnd    = 200 * time.Second
	runEnd         = 230 * time.Second
)

// BenchmarkPoison sends a new poison request every 40 s, from one or three callers
// at once. The callers retry it at any daemon as soon as it fails, and one second
// after a refusal. endpoints_lost is the largest number of engines that one poison
// request crashed.
func BenchmarkPoison(b *testing.B) {
	engine := enginefake.DefaultEngine(24)
	const tokens, prompt = 100, 200
	deployments := append(slices.Clone(enginefake.Deployments[:2]),
		enginefake.Deployment{Name: "target", Engines: 102, Daemons: 30, Domains: 1})
	for k := range 4 * len(deployments) {
		dep, seed, callers := deployments[k/4], uint64(1+k%2), []int{1, 3}[k/2%2]
		b.Run(fmt.Sprintf("%s/callers=%d/seed=%d", dep.Name, callers, seed), func(b *testing.B) {
			rate := 0.6 * float64(dep.Engines) * engine.Capacity(engine.Slots, tokens, prompt)
			requests := enginefake.Generate(enginefake.Workload{Rate: enginefake.Constant(rate), MaxRate: rate, End: requestsEnd,
				MeanTokens: tokens, MeanPromptTokens: prompt, Accounts: enginefake.Accounts}, seed)
			for at := poisonInterval / 2; at < requestsEnd; at += poisonInterval {
				for range callers {
					requests = append(requests, enginefake.Request{At: at, Account: "account-3", PromptTokens: prompt, Tokens: tokens,
						MaxTokens: 2 * tokens, Poison: true, Digest: uint64(at)})
				}
			}
			slices.SortStableFunc(requests, func(x, y enginefake.Request) int { return cmp.Compare(x.At, y.At) })
			for range b.N {
				cfg := dep.Config(engine, enginefake.Core, seed)
				cfg.ResendPoison = true
				reportMetrics(b, enginefake.Run(cfg, requests, runEnd))
			}
		})
	}
}

func reportMetrics(b *testing.B, res *enginefake.Result) {
	worst, healthy, refused, failed := 0, 0.0, 0.0, 0.0
	for _, n := range res.CrashesByDigest {
		worst = max(worst, n)
	}
	for _, r := range res.Records {
		if r.Poison {
			continue
		}
		healthy++
		if r.Refused {
			refused++
		}
		if r.Failed {
			failed++
		}
	}
	b.ReportMetric(float64(worst), "endpoints_lost")
	b.ReportMetric(float64(res.Crashes)/float64(len(res.CrashesByDigest)), "lost_mean")
	b.ReportMetric(100*refused/healthy, "healthy_refused_pct")
	b.ReportMetric(100*failed/healthy, "healthy_failed_pct")
}
