package enginefake

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Policy says how a fleet chooses endpoints.
type Policy int

const (
	// Core uses the core packages with all their parts.
	Core Policy = iota
	// CoreNoHedge is Core without hedges.
	CoreNoHedge
	// CoreNoAffinity is Core without prefix affinity.
	CoreNoAffinity
	// Random is a baseline without admission control, like the next three: a
	// uniform choice.
	Random
	// RoundRobin is a rotation over the engines.
	RoundRobin
	// LeastReported takes the least load by the late reports.
	LeastReported
	// TwoChoices takes the lesser of two random engines by the daemon's own
	// requests in flight.
	TwoChoices
	// Oracle is one scheduler that knows the true state at once: a common
	// queue and the best batch size.
	Oracle
)

var policyNames = [...]string{"core", "core-no-hedge", "core-no-affinity", "random", "round-robin", "least-reported", "two-choices", "oracle"}

// String returns the name of p for benchmark metrics.
func (p Policy) String() string { return policyNames[p] }

// Config describes a fleet.
type Config struct {
	Engines, Daemons, Domains int
	Engine                    EngineConfig
	Policy                    Policy
	Seed                      uint64
	// DigestEvery is the interval of load digests, 200 ms by default; they
	// arrive 2 ms later. Reports have an age of 2 s.
	DigestEvery time.Duration
	// Batch is the oracle's limit of requests per engine.
	OracleBatch int
	// Patience is the longest wait in the oracle's queue.
	MaxQueueWait time.Duration
	// Slowdowns slows one engine for a time each.
	Slowdowns []Slowdown
	// GapsFrom and GapsTo limit the inter-token times that are counted.
	GapsFrom, GapsTo time.Duration
	// Services makes the daemons see nothing of a call before its end.
	PlainService bool
	// CallerRetries is the number of times that a refused caller comes back.
	CallerRetries int
	// ResendPoison makes the callers of failed poison requests send them
	// again at once.
	ResendPoison bool
}

// Slowdown is a hidden slowdown of one engine.
type Slowdown struct {
	Engine   int
	From, To time.Duration
	Factor   float64
}

// Record is what the caller of one request saw.
type Record struct {
	*Request
	// Repeats counts the refusals of the same caller before.
	Retries         int
	First, End      time.Duration
	Done            bool
	Refused, Failed bool
	// GapSum and Gaps are the sum and number of inter-token times.
	GapSum time.Duration
	Gaps   int
}

// TTFT returns the time to first token from the arrival.
func (r *Record) TTFT() time.Duration { return r.First - r.At }

// Result is the outcome of a run.
type Result struct {
	Records []*Record
	// GapCounts counts inter-token times in bins of 1 ms.
	GapCounts [2000]int
	// HedgeTokens are the tokens and prompt shares of hedges that lost.
	HedgeTokens, Generated int
	Hedges                 int
	Hits, Lookups, Crashes int
	// Lost counts the engines that each poison request crashed.
	CrashesByDigest map[uint64]int
	// DigestBytes is the size of all digests sent to one peer by all daemons.
	DigestBytes, Digests int
	// QueueEmpty is the last time at which a daemon had a queue.
	LastQueued time.Duration
	MaxBatch   int
}

// GapPercentile returns the p-th percentile of inter-token times in ms.
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
	loadReports [][]int // load of each engine at each report time, oldest first
	oracleQueue []*Record
	rotation    int
}

// Run runs requests through a fleet until end.
func Run(cfg Config, requests []Request, end time.Duration) *Result {
	if cfg.DigestEvery == 0 {
		cfg.DigestEvery = 200 * time.Millisecond
	}
	f := &fleet{Loop: &Loop{}, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), result: &Result{CrashesByDigest: make(map[uint64]int)}}
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

// sampleLoad keeps the true loads of the last 2 s as late reports.
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

// baseline chooses an engine by a simple policy.
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

// own is a baseline daemon's number of requests on an engine.
func (f *fleet) requestsInFlight(daemon, k int) int {
	f.addBaselineDaemons()
	return f.daemons[daemon].inFlight[k]
}

func (f *fleet) addBaselineDaemons() {
	for len(f.daemons) < f.cfg.Daemons {
		f.daemons = append(f.daemons, &daemon{inFlight: make([]int, len(f.engines))})
	}
}

// submit sends r to engine k without any of the core packages.
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
	return &Job{PromptTokens: r.PromptTokens, Tokens: r.Tokens, PrefixHash: r.PrefixHash, PrefixTokens: r.PrefixTokens, Poison: r.Poison,
		OnCausedCrash: func() { f.result.CrashesByDigest[r.Digest]++ }}
}

// seen records what the caller sees.
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

// serveOracle starts queued requests on the engine with the least true load,
// weighted by its hidden slowdown, while the best batch size allows.
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

// Select returns metric(r) of the finished records that keep selects.
func (r *Result) Select(keep func(*Record) bool, metric func(*Record) float64) []float64 {
	var out []float64
	for _, x := range r.Records {
		if x.Done && keep(x) {
			out = append(out, metric(x))
		}
	}
	return slices.Clip(out)
}
