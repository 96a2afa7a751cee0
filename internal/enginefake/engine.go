// Package enginefake has small fakes in virtual time for the benchmarks and
// tests of the routing core: an engine with continuous batching, and a fleet
// of daemons that use the core packages or a baseline policy. Only tests use
// it.
package enginefake

import (
	"container/heap"
	"errors"
	"slices"
	"time"
)

// Loop is a discrete-event loop in virtual time. Events of the same time run
// in the order in which they were added.
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

// Every runs fn at each multiple of d up to end.
func (l *Loop) Every(d, end time.Duration, fn func()) {
	l.After(d, func() {
		fn()
		if l.now < end {
			l.Every(d, end, fn)
		}
	})
}

// Run runs all events up to end.
func (l *Loop) Run(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
	l.now = end
}

// EngineConfig describes an engine. A step of the batch takes
// Base + PerSequence*decoding + PerPrompt*prefilled.
type EngineConfig struct {
	Slots              int
	StepBase           time.Duration
	StepPerSequence    time.Duration
	StepPerPromptToken time.Duration // per prompt token
	PrefillChunk       int           // prompt tokens computed in one step at most
	CachedPrefixes     int           // prefixes in the cache
	RestartTime        time.Duration // time down after a crash
}

// DefaultEngine is a model engine: 24 ms a step for one sequence, 10,000
// prompt tokens a second, chunked prefill.
func DefaultEngine(slots int) EngineConfig {
	return EngineConfig{Slots: slots, StepBase: 24 * time.Millisecond, StepPerSequence: 600 * time.Microsecond,
		StepPerPromptToken: 100 * time.Microsecond, PrefillChunk: 256, CachedPrefixes: 16, RestartTime: 30 * time.Second}
}

// ServiceEndpoint is a plain service: each of its slots runs a call for as
// many steps of 10 ms as the call has tokens, whatever the other slots do.
func ServiceEndpoint(slots int) EngineConfig {
	return EngineConfig{Slots: slots, StepBase: 10 * time.Millisecond, PrefillChunk: 1 << 20, RestartTime: 30 * time.Second}
}

// Job is one request on an engine.
type Job struct {
	PromptTokens, Tokens int
	PrefixHash           uint64
	PrefixTokens         int
	// Poison crashes the engine when its prompt has been computed.
	Poison bool
	// OnToken is called for each token; OnFail if the engine crashes.
	OnToken func(first, last bool)
	OnCrash func()
	// OnPoison is called when the job crashes the engine.
	OnCausedCrash func()

	prefillLeft int
	generated   int
	cancelled   bool
}

// Engine is a fake of an engine with continuous batching.
type Engine struct {
	loop        *Loop
	cfg         EngineConfig
	waiting     []*Job
	running     []*Job
	endedInStep int // jobs of running that ended in the present step
	stepping    bool
	down        bool
	incarnation int
	cache       []uint64 // most recently used last
	// Slow multiplies the time of a step; hidden from the daemons.
	SlowFactor float64
	// Crashes, Hits, Lookups and Generated count events since the start.
	Crashes, Hits, Lookups, Generated int
}

// NewEngine returns an idle engine.
func NewEngine(l *Loop, cfg EngineConfig) *Engine {
	return &Engine{loop: l, cfg: cfg, SlowFactor: 1}
}

// ErrDown reports a refused connection.
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

// Cancel ends a job at the end of the present step.
func (e *Engine) Cancel(j *Job) { j.cancelled = true }

// Load returns the numbers of running and waiting jobs.
func (e *Engine) Load() (running, waiting int) { return len(e.running) - e.endedInStep, len(e.waiting) }

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

// fill moves waiting jobs into the batch.
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

// touch reports whether the prefix is cached, and makes it the newest one.
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

// Crash fails all jobs; the engine refuses connections until it has restarted.
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
