package engine

import (
	"container/heap"
	"context"
	"time"
)

type state int

const (
	stateQueued state = iota
	stateRunning
	stateCompleted
	stateCancelled
	stateAborted // by a crash or Close
)

// generation is one run of a request. Its mutable fields are guarded by
// Engine.mu.
type generation struct {
	id             string
	model          string
	prompt         []string
	answer         []string
	finishReason   string
	priority       int // lower values run first
	resumable      bool
	includeUsage   bool // whether the stream ends with a usage chunk
	hasCrashMarker bool // whether the body contained the crash marker on arrival

	ctx    context.Context
	cancel context.CancelFunc

	arrival    int64 // sequence number
	heapPos    int   // position in the queue; -1 if not queued
	state      state
	cached     int           // prompt tokens found in the prefix cache
	produced   int           // answer tokens generated
	changed    chan struct{} // closed and replaced at each change
	readers    int           // number of attached connections
	graceTimer *time.Timer   // cancels a resumable generation without readers
}

// queue is a heap of queued generations, ordered by priority (lower first) and
// arrival. It implements heap.Interface.
type queue []*generation

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapPos, q[j].heapPos = i, j
}
func (q *queue) Push(x any) {
	g := x.(*generation)
	g.heapPos = len(*q)
	*q = append(*q, g)
}
func (q *queue) Pop() any {
	old := *q
	g := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	g.heapPos = -1
	return g
}

// submit queues g and counts the caller as its reader. It returns false if the queue
// is full or the engine is closed.
func (e *Engine) submit(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usage.get(g.id).Received++
	full := e.opts.MaxQueue > 0 && e.running >= e.opts.Slots && len(e.queue) >= e.opts.MaxQueue
	if full || e.closed {
		return false
	}
	g.ctx, g.cancel = context.WithCancel(e.ctx)
	g.changed = make(chan struct{})
	g.readers = 1
	e.lastArrival++
	g.arrival = e.lastArrival
	e.active[g] = struct{}{}
	if g.resumable {
		e.resumable[g.id] = g
	}
	heap.Push(&e.queue, g)
	e.fillSlots()
	return true
}

// fillSlots starts queued generations while slots are free. The caller holds e.mu.
func (e *Engine) fillSlots() {
	for e.running < e.opts.Slots && len(e.queue) > 0 {
		g := heap.Pop(&e.queue).(*generation)
		g.state = stateRunning
		e.running++
		u := e.usage.get(g.id)
		u.Runs++
		u.PromptTokens += len(g.prompt)
		e.usage.total.Runs++
		e.usage.total.PromptTokens += len(g.prompt)
		if g.hasCrashMarker {
			e.crash()
			return
		}
		g.cached = e.cache.insert(g.prompt, time.Now())
		e.wg.Add(1)
		go e.run(g, e.reservePrefill(g))
	}
	e.recordLoad()
}

// reservePrefill schedules the prefill of g after the prefills scheduled before and
// returns the time of its end. The caller holds e.mu.
func (e *Engine) reservePrefill(g *generation) time.Time {
	start := time.Now()
	if e.opts.PrefillTokensPerSecond <= 0 {
		return start
	}
	if e.prefillFreeAt.After(start) {
		start = e.prefillFreeAt
	}
	seconds := float64(len(g.prompt)-g.cached) / e.opts.PrefillTokensPerSecond * e.faults.slowdown()
	e.prefillFreeAt = start.Add(time.Duration(seconds * float64(time.Second)))
	return e.prefillFreeAt
}

// run generates g's tokens from the end of its prefill, then releases its slot and
// starts queued generations.
func (e *Engine) run(g *generation, prefilled time.Time) {
	defer e.wg.Done()
	next := prefilled
	for sleepUntil(g.ctx, next) && e.step(g) {
		next = next.Add(e.interToken())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.state != stateAborted {
		e.running--
	}
	if g.state == stateRunning {
		e.finishGeneration(g, stateCancelled)
	}
	e.fillSlots()
}

// step generates one token and reports whether g continues.
func (e *Engine) step(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.state != stateRunning || g.ctx.Err() != nil {
		return false
	}
	if g.produced < len(g.answer) {
		g.produced++
		e.usage.get(g.id).CompletionTokens++
		e.usage.total.CompletionTokens++
	}
	if g.produced == len(g.answer) {
		e.finishGeneration(g, stateCompleted)
		return false
	}
	g.notify()
	e.recordLoad()
	return true
}

func (e *Engine) interToken() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.opts.InterToken + time.Duration(e.running-1)*e.opts.InterTokenPerSlot
	return time.Duration(float64(d) * e.faults.slowdown())
}

// finishGeneration moves g to the final state s. The caller holds e.mu.
func (e *Engine) finishGeneration(g *generation, s state) {
	g.state = s
	u := e.usage.get(g.id)
	switch s {
	case stateCompleted:
		u.Completed++
		e.usage.total.Completed++
	default:
		u.Cancelled++
		e.usage.total.Cancelled++
	}
	delete(e.active, g)
	g.cancel()
	g.notify()
}

// abortGeneration ends g as a crash of the process does and releases its slot
// immediately. The caller holds e.mu.
func (e *Engine) abortGeneration(g *generation) {
	switch g.state {
	case stateQueued:
		heap.Remove(&e.queue, g.heapPos)
	case stateRunning:
		e.running--
	default:
		return
	}
	e.finishGeneration(g, stateAborted)
}

// attach adds a reader to the resumable generation of a request id. It returns nil if
// there is none.
func (e *Engine) attach(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.resumable[id]
	if g == nil {
		return nil
	}
	e.usage.get(id).Resumes++
	g.readers++
	if g.graceTimer != nil {
		g.graceTimer.Stop()
		g.graceTimer = nil
	}
	return g
}

// detach removes a reader. When the last reader leaves, g is cancelled, or after
// Options.ResumeGrace if it is resumable.
func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	if g.readers > 0 || e.closed {
		return
	}
	if !g.resumable {
		e.cancelGeneration(g)
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(e.opts.ResumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if g.graceTimer == timer { // a concurrent resume may have cleared it
			e.cancelGeneration(g)
		}
	})
	g.graceTimer = timer
}

// cancelGeneration cancels g if it has not ended. The caller holds e.mu.
func (e *Engine) cancelGeneration(g *generation) {
	e.dropResumable(g)
	switch g.state {
	case stateQueued:
		heap.Remove(&e.queue, g.heapPos)
		e.finishGeneration(g, stateCancelled)
		e.recordLoad()
	case stateRunning:
		g.cancel() // run releases the slot
	default:
	}
}

func (e *Engine) dropResumable(g *generation) {
	if e.resumable[g.id] == g {
		delete(e.resumable, g.id)
	}
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// sleepUntil sleeps until t. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
