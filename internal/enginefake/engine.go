// Package enginefake simulates engines and daemons in virtual time, for tests and
// benchmarks of the core packages: admission, poison, predict, retry and route. It
// provides an engine with continuous batching and a fleet of daemons that use the
// core packages or a baseline policy.
package enginefake

import (
	"container/heap"
	"errors"
	"slices"
	"time"
)

// Loop is a discrete-event loop in virtual time. Events with the same time run in
// the order in which they were added.
type Loop struct {
	now    time.Duration
	seq    int
	events eventHeap
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// After runs fn after d.
func (l *Loop) After(d time.Duration, fn func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + max(d, 0), seq: l.seq, fn: fn})
}

// Every runs fn at intervals of d, the first time after d. The last run is the first
// one at or after end.
func (l *Loop) Every(d, end time.Duration, fn func()) {
	l.After(d, func() {
		fn()
		if l.now < end {
			l.Every(d, end, fn)
		}
	})
}

// Run runs all events up to and including end.
func (l *Loop) Run(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
	l.now = end
}

// EngineConfig configures an engine. A step of the batch takes
// StepBase + StepPerSequence*decoding + StepPerPromptToken*prefilled, where decoding is
// the number of sequences that generate a token and prefilled the number of prompt
// tokens that are computed.
type EngineConfig struct {
	Slots              int
	StepBase           time.Duration
	StepPerSequence    time.Duration
	StepPerPromptToken time.Duration
	PrefillChunk       int           // maximum number of prompt tokens computed in a step
	CachedPrefixes     int           // maximum number of prefixes in the cache
	RestartTime        time.Duration // downtime after a crash
}

// DefaultEngine returns the configuration of a model engine with chunked prefill:
// 24.6 ms per step for one sequence and 10,000 prompt tokens per second.
func DefaultEngine(slots int) EngineConfig {
	return EngineConfig{Slots: slots, StepBase: 24 * time.Millisecond, StepPerSequence: 600 * time.Microsecond,
		StepPerPromptToken: 100 * time.Microsecond, PrefillChunk: 256, CachedPrefixes: 16, RestartTime: 30 * time.Second}
}

// ServiceEndpoint returns the configuration of an endpoint of a plain service. A call
// takes one step of 10 ms per token, independent of the number of occupied slots.
func ServiceEndpoint(slots int) EngineConfig {
	return EngineConfig{
		Slots: slots, StepBase: 10 * time.Millisecond, PrefillChunk: 1 << 20, RestartTime: 30 * time.Second,
	}
}

// Job is a request that an engine runs.
type Job struct {
	PromptTokens, Tokens int
	PrefixHash           uint64
	PrefixTokens         int
	// Poison crashes the engine when the prompt has been computed.
	Poison bool
	// OnToken is called for each token, and OnCrash if the engine crashes.
	OnToken func(first, last bool)
	OnCrash func()
	// OnCausedCrash is called when the job crashes the engine.
	OnCausedCrash func()

	prefillLeft int // prompt tokens still to be computed
	generated   int
	cancelled   bool
}

// Engine simulates an engine with continuous batching.
type Engine struct {
	loop        *Loop
	cfg         EngineConfig
	waiting     []*Job
	running     []*Job
	endedInStep int  // number of jobs in running that ended in the current step
	stepping    bool // whether a step is in progress
	down        bool
	incarnation int      // incremented by a crash
	cache       []uint64 // most recently used last
	// SlowFactor multiplies the duration of a step. The daemons do not know it.
	SlowFactor float64
	// Crashes, Hits, Lookups and Generated are totals of crashes, prefix cache hits
	// and lookups, and generated tokens.
	Crashes, Hits, Lookups, Generated int
}

// NewEngine returns an idle engine.
func NewEngine(l *Loop, cfg EngineConfig) *Engine {
	return &Engine{loop: l, cfg: cfg, SlowFactor: 1}
}

// ErrDown is returned by Submit while the engine is down.
var ErrDown = errors.New("enginefake: connection refused")

// Submit adds a job to the engine's queue.
func (e *Engine) Submit(j *Job) error {
	if e.down {
		return ErrDown
	}
	e.waiting = append(e.waiting, j)
	e.startStep()
	return nil
}

// Cancel removes a job at the end of the current step.
func (e *Engine) Cancel(j *Job) { j.cancelled = true }

// Load returns the numbers of running and waiting jobs.
func (e *Engine) Load() (running, waiting int) {
	return len(e.running) - e.endedInStep, len(e.waiting)
}

func (e *Engine) startStep() {
	if e.stepping || e.down || len(e.running)+len(e.waiting) == 0 {
		return
	}
	e.stepping = true
	e.fillBatch()
	maxPrefill, decoding := e.cfg.PrefillChunk, 0
	var prefilled int
	for _, j := range e.running {
		if j.prefillLeft == 0 {
			decoding++
			continue
		}
		n := min(maxPrefill-prefilled, j.prefillLeft)
		j.prefillLeft -= n
		prefilled += n
	}
	d := e.cfg.StepBase + time.Duration(decoding)*e.cfg.StepPerSequence + time.Duration(prefilled)*e.cfg.StepPerPromptToken
	incarnation := e.incarnation
	e.loop.After(time.Duration(float64(d)*e.SlowFactor), func() {
		if e.incarnation == incarnation {
			e.finishStep()
		}
	})
}

// fillBatch moves waiting jobs into free slots of the batch.
func (e *Engine) fillBatch() {
	for len(e.running) < e.cfg.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.cancelled {
			continue
		}
		j.prefillLeft = max(1, j.PromptTokens)
		if j.PrefixHash != 0 {
			e.Lookups++
			if e.lookupPrefix(j.PrefixHash) {
				e.Hits++
				j.prefillLeft = max(1, j.PromptTokens-j.PrefixTokens)
			}
		}
		e.running = append(e.running, j)
	}
}

// lookupPrefix reports whether the prefix is cached, and makes it the most recently
// used one.
func (e *Engine) lookupPrefix(prefix uint64) bool {
	index := slices.Index(e.cache, prefix)
	if index >= 0 {
		e.cache = append(slices.Delete(e.cache, index, index+1), prefix)
		return true
	}
	if len(e.cache) >= e.cfg.CachedPrefixes {
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	e.cache = append(e.cache, prefix)
	return false
}

func (e *Engine) finishStep() {
	batch := e.running
	kept := make([]*Job, 0, len(batch))
	for _, j := range batch {
		switch {
		case j.cancelled:
			e.endedInStep++
			continue
		case j.prefillLeft > 0:
			kept = append(kept, j)
			continue
		case j.Poison:
			j.OnCausedCrash()
			e.Crash()
			return
		}
		j.generated++
		e.Generated++
		if j.generated < j.Tokens {
			kept = append(kept, j)
		} else {
			e.endedInStep++
		}
		j.OnToken(j.generated == 1, j.generated >= j.Tokens)
	}
	e.running, e.endedInStep, e.stepping = kept, 0, false
	e.startStep()
}

// Crash fails all jobs and stops the engine for EngineConfig.RestartTime.
func (e *Engine) Crash() {
	var failed []*Job
	for _, j := range slices.Concat(e.running, e.waiting) {
		if j.generated < j.Tokens {
			failed = append(failed, j)
		}
	}
	e.running, e.waiting, e.cache, e.endedInStep = nil, nil, nil, 0
	e.down, e.stepping = true, false
	e.incarnation++
	e.Crashes++
	e.loop.After(e.cfg.RestartTime, func() { e.down = false })
	for _, j := range failed {
		if !j.cancelled {
			j.OnCrash()
		}
	}
}
