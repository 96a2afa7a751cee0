package enginefake

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Request is one request of a workload.
type Request struct {
	// At is the arrival time.
	At      time.Duration
	Account string
	// PromptTokens includes PrefixTokens. Tokens is the answer length, of which
	// MaxTokens is the requested limit.
	PromptTokens int
	Tokens       int
	MaxTokens    int
	PrefixHash   uint64 // 0 without a shared prefix
	PrefixTokens int
	Long         bool
	// Poison makes the request crash the engine that runs it.
	Poison bool
	// Digest identifies the content of the request.
	Digest uint64
}

// Workload describes the distribution of the requests that Generate returns.
type Workload struct {
	// Rate returns the number of requests per second at time t, at most MaxRate.
	Rate    func(t time.Duration) float64
	MaxRate float64
	// End is the time until which requests arrive.
	End time.Duration
	// MeanTokens and MeanPromptTokens are the mean lengths of short requests.
	// Lengths are distributed uniformly between 0.5 and 1.5 times the mean.
	MeanTokens, MeanPromptTokens int
	// LongShare is the share of long requests, whose answers are LongRatio times
	// longer.
	LongShare, LongRatio float64
	// Accounts holds the relative frequencies of the client accounts.
	Accounts []float64
	// Prefixes is the number of shared prompt prefixes, whose frequencies follow
	// Zipf's law. PrefixTokens, their length, is added to the prompt.
	Prefixes, PrefixTokens int
}

// Generate returns the requests of a workload by arrival time.
func Generate(s Workload, seed uint64) []Request {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	var out []Request
	total := 0.0
	for _, w := range s.Accounts {
		total += w
	}
	var zipf *rand.Zipf
	if s.Prefixes > 0 {
		zipf = rand.NewZipf(rng, 1.1, 4, uint64(s.Prefixes-1))
	}
	for t := time.Duration(0); ; {
		t += time.Duration(rng.ExpFloat64() / s.MaxRate * float64(time.Second))
		if t >= s.End {
			return out
		}
		if rng.Float64()*s.MaxRate > s.Rate(t) {
			continue
		}
		r := Request{At: t, Account: pickAccount(rng, s.Accounts, total), Digest: rng.Uint64()}
		r.Tokens = uniformAround(rng, float64(s.MeanTokens))
		r.PromptTokens = uniformAround(rng, float64(s.MeanPromptTokens))
		r.MaxTokens = 2 * s.MeanTokens
		if rng.Float64() < s.LongShare {
			r.Long = true
			r.Tokens = int(float64(r.Tokens) * s.LongRatio)
			r.MaxTokens = int(float64(r.MaxTokens) * s.LongRatio)
		}
		if zipf != nil {
			r.PrefixHash = zipf.Uint64()*0x9e3779b97f4a7c15 + 1
			r.PrefixTokens = s.PrefixTokens
			r.PromptTokens += s.PrefixTokens
		}
		out = append(out, r)
	}
}

func uniformAround(rng *rand.Rand, mean float64) int {
	return max(1, int(mean*(0.5+rng.Float64())))
}

func pickAccount(rng *rand.Rand, weights []float64, total float64) string {
	x := rng.Float64() * total
	for k, w := range weights {
		if x -= w; x < 0 {
			return "account-" + strconv.Itoa(k)
		}
	}
	return "account-0"
}

// Capacity returns the sustained throughput of one engine in requests per second with
// the given batch size and mean numbers of answer and prompt tokens.
func (c EngineConfig) Capacity(batch int, tokens, prompt float64) float64 {
	// A step generates one token per sequence in the batch and computes the prompts
	// of the sequences that replace the completed ones.
	step := float64(c.StepBase) + float64(batch)*float64(c.StepPerSequence) +
		float64(batch)/tokens*prompt*float64(c.StepPerPromptToken)
	return float64(batch) / tokens / (step / float64(time.Second))
}

// MaxBatchWithin returns the maximum batch size with which 95% of the steps, including
// their prefill, take at most target.
func (c EngineConfig) MaxBatchWithin(target time.Duration, tokens, prompt float64) int {
	best := 1
	for b := 1; b <= c.Slots; b++ {
		// The number of prompts in a step is approximately Poisson distributed. Its
		// 95th percentile is estimated as the mean plus 1.65 standard deviations.
		mean := float64(b) / tokens
		prefill := min(float64(c.PrefillChunk), (mean+1.65*math.Sqrt(mean))*prompt)
		if float64(c.StepBase)+float64(b)*float64(c.StepPerSequence)+
			prefill*float64(c.StepPerPromptToken) <= float64(target) {
			best = b
		}
	}
	return best
}

// Percentile returns the p-th percentile of v, or 0 if v is empty. It sorts v.
func Percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(p/100*float64(len(v))))]
}
