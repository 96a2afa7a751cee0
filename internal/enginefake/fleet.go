package enginefake

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Policy is how a fleet chooses engines for requests.
type Policy int

const (
	// Core uses the core packages with all features.
	Core Policy = iota
	// CoreNoHedge is Core without hedges.
	CoreNoHedge
	// CoreNoAffinity is Core without prefix affinity.
	CoreNoAffinity
	// Random chooses engines uniformly. Like the next three policies it is a
	// baseline without admission control.
	Random
	// RoundRobin rotates over the engines.
	RoundRobin
	// LeastReported chooses the engine with the lowest load in the lagging reports.
	LeastReported
	// TwoChoices draws two random engines and chooses the one with fewer requests
	// in flight from the daemon.
	TwoChoices
	// Oracle is a central scheduler with one queue that knows the current state of
	// all engines and the best batch size.
	Oracle
)

var policyNames = [...]string{
	"core", "core-no-hedge", "core-no-affinity", "random", "round-robin", "least-reported", "two-choices", "oracle",
}

// String returns the name of p in benchmark metrics.
func (p Policy) String() string { return policyNames[p] }

// Config configures a fleet.
type Config struct {
	Engines, Daemons, Domains int
	Engine                    EngineConfig
	Policy                    Policy
	Seed                      uint64
	// DigestInterval is the interval between load digests; 0 means 200 ms. Digests
	// arrive after 2 ms. Load reports have an age of 2 s.
	DigestInterval time.Duration
	// OracleBatch is the maximum number of requests per engine under Oracle.
	OracleBatch int
	// MaxQueueWait is the maximum wait in the queue of Oracle; 0 means no limit.
	MaxQueueWait time.Duration
	// Slowdowns are applied during the run.
	Slowdowns []Slowdown
	// GapsFrom and GapsTo limit Result.GapCounts to an interval of the run. GapsTo
	// 0 means the end of the run.
	GapsFrom, GapsTo time.Duration
	// PlainService hides the progress of a call from the daemons until its end, as
	// for a plain service.
	PlainService bool
	// CallerRetries is the maximum number of retries by a refused caller.
	CallerRetries int
	// ResendPoison makes the callers of failed or refused poison requests send them
	// again.
	ResendPoison bool
}

// Slowdown multiplies the step duration of an engine by Factor between From and To.
// The daemons do not know it.
type Slowdown struct {
	Engine   int
	From, To time.Duration
	Factor   float64
}

// Record is the outcome of a request for its caller.
type Record struct {
	*Request
	// Retries is the number of earlier refusals of the same caller.
	Retries int
	// First and End are the times of the first and the last token.
	First, End time.Duration
	// Done is whether the request completed.
	Done            bool
	Refused, Failed bool
	// GapSum and Gaps are the sum and number of inter-token times.
	GapSum time.Duration
	Gaps   int
}

// TTFT returns the time to first token.
func (r *Record) TTFT() time.Duration { return r.First - r.At }

// Result is the outcome of a run.
type Result struct {
	Records []*Record
	// GapCounts is a histogram of inter-token times in bins of 1 ms.
	GapCounts [2000]int
	// HedgeTokens is the work, in output tokens, of attempts that were cancelled
	// because another attempt answered first. Generated is the number of output
	// tokens of all engines.
	HedgeTokens, Generated int
	Hedges                 int
	// Hits and Lookups are totals of the prefix caches.
	Hits, Lookups, Crashes int
	// CrashesByDigest counts the crashes that each poison request caused.
	CrashesByDigest map[uint64]int
	// Digests is the number of digests and DigestBytes their total size. A digest is
	// counted once, not for each peer that receives it.
	DigestBytes, Digests int
	// LastQueued is the last time at which a daemon had queued requests.
	LastQueued time.Duration
	// MaxBatch is the maximum number of running and waiting requests on an engine.
	MaxBatch int
}

// GapPercentile returns the p-th percentile of the inter-token times, in ms.
func (r *Result) GapPercentile(p float64) float64 {
	total, sum := 0, 0
	for _, n := range r.GapCounts {
		total += n
	}
	for ms, n := range r.GapCounts {
		if sum += n; float64(sum) >= p/100*float64(total) {
			return float64(ms + 1)
		}
	}
	return 0
}

type fleet struct {
	*Loop
	cfg         Config
	engines     []*Engine
	daemons     []*daemon
	rng         *rand.Rand
	result      *Result
	loadReports [][]int // load by engine for each report time, oldest first
	oracleQueue []*Record
	rotation    int // counter of RoundRobin
}

// Run simulates a fleet with the given requests until end.
func Run(cfg Config, requests []Request, end time.Duration) *Result {
	if cfg.DigestInterval == 0 {
		cfg.DigestInterval = 200 * time.Millisecond
	}
	f := &fleet{
		Loop: &Loop{}, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		result: &Result{CrashesByDigest: make(map[uint64]int)},
	}
	for range cfg.Engines {
		f.engines = append(f.engines, NewEngine(f.Loop, cfg.Engine))
	}
	for _, s := range cfg.Slowdowns {
		e := f.engines[s.Engine]
		f.After(s.From, func() { e.SlowFactor = s.Factor })
		f.After(s.To, func() { e.SlowFactor = 1 })
	}
	f.Every(250*time.Millisecond, end, f.sampleLoad)
	if cfg.Policy <= CoreNoAffinity {
		f.startDaemons(end)
	}
	balancer := rand.New(rand.NewPCG(cfg.Seed, 2))
	for k := range requests {
		r := &Record{Request: &requests[k]}
		f.result.Records = append(f.result.Records, r)
		daemon := balancer.IntN(cfg.Daemons)
		f.After(r.At, func() { f.arrive(r, daemon) })
	}
	f.Run(end)
	for _, e := range f.engines {
		f.result.Hits += e.Hits
		f.result.Lookups += e.Lookups
		f.result.Crashes += e.Crashes
		f.result.Generated += e.Generated
	}
	return f.result
}

// sampleLoad records the current loads. The samples of the last 2 s are the source of
// the lagging load reports.
func (f *fleet) sampleLoad() {
	row := make([]int, len(f.engines))
	for k, e := range f.engines {
		running, waiting := e.Load()
		row[k] = running + waiting
		f.result.MaxBatch = max(f.result.MaxBatch, row[k])
	}
	f.loadReports = append(f.loadReports, row)
	if len(f.loadReports) > 9 {
		f.loadReports = f.loadReports[1:]
	}
}

func (f *fleet) arrive(r *Record, daemon int) {
	switch f.cfg.Policy {
	case Core, CoreNoHedge, CoreNoAffinity:
		f.daemons[daemon].arrive(r)
	case Oracle:
		f.oracleQueue = append(f.oracleQueue, r)
		f.dispatchOracle()
	default:
		f.submitDirect(r, f.baselineEngine(daemon), daemon)
	}
}

// baselineEngine chooses an engine by a baseline policy.
func (f *fleet) baselineEngine(daemon int) int {
	n := len(f.engines)
	switch f.cfg.Policy {
	case RoundRobin:
		f.rotation++
		return (f.rotation + daemon) % n
	case LeastReported:
		best := f.rng.IntN(n)
		if len(f.loadReports) == 0 {
			return best
		}
		for k, load := range f.loadReports[0] {
			if load < f.loadReports[0][best] {
				best = k
			}
		}
		return best
	case TwoChoices:
		a, b := f.rng.IntN(n), f.rng.IntN(n)
		if f.requestsInFlight(daemon, b) < f.requestsInFlight(daemon, a) {
			return b
		}
		return a
	}
	return f.rng.IntN(n)
}

// requestsInFlight returns the number of requests that a baseline daemon has in
// flight on engine k.
func (f *fleet) requestsInFlight(daemon, k int) int {
	f.addBaselineDaemons()
	return f.daemons[daemon].inFlight[k]
}

// addBaselineDaemons creates the daemons of a baseline policy unless they exist.
func (f *fleet) addBaselineDaemons() {
	for len(f.daemons) < f.cfg.Daemons {
		f.daemons = append(f.daemons, &daemon{inFlight: make([]int, len(f.engines))})
	}
}

// submitDirect sends r to engine k without using the core packages.
func (f *fleet) submitDirect(r *Record, k, daemon int) {
	var last time.Duration
	f.addBaselineDaemons()
	d := f.daemons[daemon]
	d.inFlight[k]++
	j := f.job(r)
	j.OnToken = func(first, done bool) {
		f.recordToken(r, &last, first, done)
		if done {
			d.inFlight[k]--
			f.dispatchOracle()
		}
	}
	j.OnCrash = func() { r.Failed = true; d.inFlight[k]-- }
	if f.engines[k].Submit(j) != nil {
		r.Failed = true
		d.inFlight[k]--
	}
}

func (f *fleet) job(r *Record) *Job {
	return &Job{
		PromptTokens: r.PromptTokens, Tokens: r.Tokens, PrefixHash: r.PrefixHash, PrefixTokens: r.PrefixTokens,
		Poison: r.Poison, OnCausedCrash: func() { f.result.CrashesByDigest[r.Digest]++ },
	}
}

// recordToken records a token that the caller receives. last holds the time of the
// token before.
func (f *fleet) recordToken(r *Record, last *time.Duration, first, done bool) {
	if first {
		r.First = f.now
	} else {
		gap := f.now - *last
		r.GapSum += gap
		r.Gaps++
		if f.now >= f.cfg.GapsFrom && (f.cfg.GapsTo == 0 || f.now < f.cfg.GapsTo) {
			f.result.GapCounts[min(int(gap/time.Millisecond), len(f.result.GapCounts)-1)]++
		}
	}
	*last = f.now
	if done {
		r.Done, r.End = true, f.now
	}
}

// dispatchOracle sends queued requests to the engine with the lowest current load,
// weighted by its slowdown, while an engine has fewer than Config.OracleBatch requests.
func (f *fleet) dispatchOracle() {
	if f.cfg.Policy != Oracle {
		return
	}
	for len(f.oracleQueue) > 0 {
		r := f.oracleQueue[0]
		if f.cfg.MaxQueueWait > 0 && f.now-r.At > f.cfg.MaxQueueWait {
			r.Refused = true
			f.oracleQueue = f.oracleQueue[1:]
			continue
		}
		best, cost := -1, 0.0
		for k, e := range f.engines {
			running, waiting := e.Load()
			n := running + waiting
			if e.down || n >= f.cfg.OracleBatch {
				continue
			}
			if c := float64(n+1) * e.SlowFactor; best < 0 || c < cost {
				best, cost = k, c
			}
		}
		if best < 0 {
			return
		}
		f.oracleQueue = f.oracleQueue[1:]
		f.submitDirect(r, best, 0)
	}
}

func engineID(k int) string { return "engine-" + strconv.Itoa(k) }

// Select returns metric(r) for each completed record r for which keep returns true.
func (r *Result) Select(keep func(*Record) bool, metric func(*Record) float64) []float64 {
	var out []float64
	for _, x := range r.Records {
		if x.Done && keep(x) {
			out = append(out, metric(x))
		}
	}
	return slices.Clip(out)
}
