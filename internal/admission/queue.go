package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	defaultMaxWait          = 900 * time.Millisecond
	defaultMaxLongWait      = 30 * time.Second
	defaultMaxQueuedTokens  = 200_000
	defaultInterTokenTarget = 75 * time.Millisecond
	defaultAgingRate        = 500.0
	// longReserveStdDevs times the square root of the mean number of running
	// short requests is the number of slots that long requests leave free while
	// short ones arrive. The number of short requests is approximately Poisson
	// distributed, so the reserve covers a rise by that many standard
	// deviations. With 4, the 99th percentile of short requests on plain
	// services of 24 to 32 slots missed its target; with 6, the slowdown of
	// long requests is still within its own.
	longReserveStdDevs = 6.0
	// longFloorShare is the part of a daemon's share of the limit that long
	// requests may use regardless of the reserve, so that they always make
	// progress.
	longFloorShare = 0.5
	// shortMeanTimeConstant is the time constant of the mean number of running
	// short requests.
	shortMeanTimeConstant = 10 * time.Second
	// reserveDuration is the time after the last short request during which the
	// reserve applies; without short requests it would waste slots.
	reserveDuration = 5 * time.Second
	minRetryAfter   = time.Second
	maxRetryAfter   = 30 * time.Second
	// borrowShare is the part of the limit by which accounts below their fair
	// share may exceed it, so that they need not wait for a request of another
	// account to end. The adaptive limit settles lower by the same amount.
	borrowShare = 0.12
	// endsPerStart is the number of requests that must end before one may start
	// while more requests run than the limit allows; for an account below its
	// share, endsPerStartBelowShare suffices. If no request could start, a
	// limit that drops by a fifth would stop all admissions for seconds.
	endsPerStart, endsPerStartBelowShare = 2, 1
	// maxCreditTokens is the work, for a weight of 1, by which the virtual time
	// of an account may lag behind that of the queue. Requests wait less than a
	// second, so an account with one request per second at this daemon has no
	// queue most of the time; without the credit it would lose its turn to
	// accounts that always have a queue.
	maxCreditTokens = 4000
	// pruneThreshold is the number of accounts from which idle accounts are
	// dropped.
	pruneThreshold = 1024
)

func (o Options) withDefaults() Options {
	o.MaxWait = cmp.Or(o.MaxWait, defaultMaxWait)
	o.MaxLongWait = cmp.Or(o.MaxLongWait, defaultMaxLongWait)
	o.MaxQueuedTokens = cmp.Or(o.MaxQueuedTokens, defaultMaxQueuedTokens)
	o.InterTokenTarget = cmp.Or(o.InterTokenTarget, defaultInterTokenTarget)
	o.AgingRate = cmp.Or(o.AgingRate, defaultAgingRate)
	return o
}

// Queue is the admission state of one daemon for one pool.
type Queue struct {
	opts     Options
	capacity Capacity
	limit    limiter
	accounts map[string]*account
	// backlogged lists the accounts with queued requests.
	backlogged []*account
	// queued and running hold each request in exactly one of the two.
	queued  map[RequestID]*entry
	running map[RequestID]*entry
	// queuedTokens is the sum of the queued work, at most
	// Options.MaxQueuedTokens.
	queuedTokens int
	runningLong  int
	// endedOverLimit is the number of requests that ended while the limit was
	// exceeded and were not yet replaced; see endsPerStart.
	endedOverLimit int
	// virtualTime is the virtual time of fair sharing: the least virtual time
	// of the accounts with queued requests as of the last admission.
	virtualTime float64
	lastShortAt time.Time
	// shortMean is the moving average of the number of running short requests
	// as of shortMeanAt.
	shortMean   float64
	shortMeanAt time.Time
	drain       drainRate
	// broken selects a deliberately faulty variant in tests.
	broken string
}

// New returns an empty Queue. It admits no request before SetCapacity is
// called.
func New(opts Options) *Queue {
	opts = opts.withDefaults()
	return &Queue{
		opts:     opts,
		accounts: make(map[string]*account),
		queued:   make(map[RequestID]*entry),
		running:  make(map[RequestID]*entry),
		limit:    newLimiter(opts),
	}
}

// SetCapacity records the state of the pool and returns the queued requests
// that may start now.
func (q *Queue) SetCapacity(now time.Time, c Capacity) []RequestID {
	q.capacity = c
	return q.startQueued(now)
}

// Observe records an inter-token gap at an endpoint with the given number of
// concurrent requests (see route.Observation).
func (q *Queue) Observe(now time.Time, gap time.Duration, inFlight int) {
	if gap <= 0 || q.opts.PlainService {
		return
	}
	if q.limit.observe(now, gap, inFlight, len(q.queued) > 0) {
		q.limit.closeWindow(now, len(q.running) > q.runLimit())
	}
}

// Offer requests the admission of r.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	if _, ok := q.queued[r.ID]; ok {
		return Decision{Verdict: Queued}
	}
	if _, ok := q.running[r.ID]; ok {
		return Decision{Verdict: Admitted}
	}
	if q.capacity.Slots <= 0 {
		return Decision{Verdict: Refused, Reason: NoCapacity, RetryAfter: q.retryAfter(r.ID)}
	}
	r.Tokens = max(r.Tokens, 1)
	if !r.Long {
		q.lastShortAt = now
	}
	a := q.accountOf(r)
	e := &entry{Request: r, account: a, queuedAt: now, expiresAt: q.expiry(now, r)}
	e.orderKey = float64(r.Tokens) + q.opts.AgingRate*float64(now.UnixNano())/1e9
	if e.short() && q.mayBorrow(a, q.activeWeight(a)) || !q.anyEligible(now) && q.hasRoom(now, r.Long) {
		q.admit(now, e)
		return Decision{Verdict: Admitted}
	}
	if e.expiresAt.Before(now.Add(q.expectedWait(e))) {
		return Decision{Verdict: Refused, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(r.ID)}
	}
	displaced, ok := q.displaceFor(e)
	if !ok {
		return Decision{Verdict: Refused, Reason: QueueFull, RetryAfter: q.retryAfter(r.ID)}
	}
	q.enqueue(e)
	return Decision{Verdict: Queued, Displaced: displaced}
}

// expiry returns the time at which r is refused if it has not started.
func (q *Queue) expiry(now time.Time, r Request) time.Time {
	wait := q.opts.MaxWait
	if r.Long {
		wait = q.opts.MaxLongWait
	}
	expiry := now.Add(wait)
	if !r.Deadline.IsZero() && r.Deadline.Before(expiry) {
		return r.Deadline
	}
	return expiry
}

// Finished records the end of an admitted request and returns the queued
// requests that may start now.
func (q *Queue) Finished(now time.Time, id RequestID, u Usage) []RequestID {
	e := q.running[id]
	if e == nil {
		return nil
	}
	q.updateShortMean(now)
	delete(q.running, id)
	if e.Long {
		q.runningLong--
	}
	actual := u.Tokens
	if !u.Dispatched {
		actual = 0
	}
	// Charge the account for the actual work instead of the predicted work.
	e.account.virtualTime += float64(actual-e.Tokens) / e.account.weight
	e.account.running--
	if len(q.running) >= q.runLimit() {
		q.endedOverLimit = min(endsPerStart, q.endedOverLimit+1)
	}
	return q.startQueued(now)
}

// Withdraw removes a queued request, for example because its caller has
// disconnected. It reports whether the request was queued.
func (q *Queue) Withdraw(id RequestID) bool {
	e := q.queued[id]
	if e == nil {
		return false
	}
	q.dequeue(e)
	return true
}

// Expire refuses the queued requests whose waiting time or deadline has passed.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	for _, e := range q.queued {
		if e.expiresAt.After(now) {
			continue
		}
		reason := WaitedTooLong
		if !e.Deadline.IsZero() && !e.Deadline.After(now) {
			reason = DeadlineUnreachable
		}
		refusals = append(refusals, Refusal{ID: e.ID, Reason: reason, RetryAfter: q.retryAfter(e.ID)})
	}
	slices.SortFunc(refusals, func(a, b Refusal) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range refusals {
		q.dequeue(q.queued[r.ID])
	}
	q.pruneIdleAccounts()
	return refusals
}

// startQueued admits queued requests while the limits permit: from the account
// with the least virtual time first, and of its requests the one with the least
// orderKey.
func (q *Queue) startQueued(now time.Time) []RequestID {
	var started []RequestID
	for len(q.queued) > 0 {
		e := q.nextEligible(now)
		if e == nil {
			break
		}
		q.dequeue(e)
		q.admit(now, e)
		started = append(started, e.ID)
	}
	return started
}

// nextEligible returns the queued request to admit next, nil if none may start.
func (q *Queue) nextEligible(now time.Time) *entry {
	short, long := q.hasRoom(now, false), q.hasRoom(now, true)
	weight := 0.0
	if !short {
		weight = q.activeWeight(nil)
	}
	var best *entry
	for _, a := range q.backlogged {
		e := a.first(short, long)
		if e == nil && len(a.short) > 0 && q.mayBorrow(a, weight) {
			e = a.short[0]
		}
		if e == nil {
			continue
		}
		if best == nil || q.startsBefore(e, best) {
			best = e
		}
	}
	return best
}

func (q *Queue) startsBefore(e, f *entry) bool {
	if q.broken == "unfair" {
		return e.orderKey < f.orderKey
	}
	if e.account.virtualTime != f.account.virtualTime {
		return e.account.virtualTime < f.account.virtualTime
	}
	return e.less(f)
}

// admit counts e as running and charges its predicted work to its account.
func (q *Queue) admit(now time.Time, e *entry) {
	a := e.account
	a.virtualTime = max(a.virtualTime, q.virtualTime-maxCreditTokens)
	q.virtualTime = max(q.virtualTime, q.minVirtualTime(a.virtualTime))
	a.virtualTime += float64(e.Tokens) / a.weight
	a.running++
	q.updateShortMean(now)
	q.running[e.ID] = e
	if e.Long {
		q.runningLong++
	}
	if len(q.running) > q.runLimit() {
		q.endedOverLimit = max(0, q.endedOverLimit-endsPerStart)
	}
	q.drain.record(now, e.Tokens, len(q.queued) > 0)
}

// minVirtualTime returns the least virtual time of the accounts with queued
// requests, at most limit.
func (q *Queue) minVirtualTime(limit float64) float64 {
	for _, a := range q.backlogged {
		limit = min(limit, a.virtualTime)
	}
	return limit
}

// anyEligible reports whether a queued request may start now; it takes
// precedence over a new one.
func (q *Queue) anyEligible(now time.Time) bool {
	return len(q.queued) > 0 && q.nextEligible(now) != nil
}

// Stats returns the state of the Queue for display and metrics.
func (q *Queue) Stats() Stats {
	return Stats{
		Running: len(q.running), Queued: len(q.queued), QueuedTokens: q.queuedTokens,
		Limit: q.runLimit(), LimitPerEndpoint: q.limit.perEndpoint(q.capacity), RetryAfter: q.retryAfter(0),
	}
}

// enqueue adds e to the queue of its account.
func (q *Queue) enqueue(e *entry) {
	a := e.account
	if a.hasNoQueue() {
		a.virtualTime = max(a.virtualTime, q.virtualTime-maxCreditTokens)
		q.backlogged = append(q.backlogged, a)
	}
	heap.Push(a.classHeap(e.Long), e)
	a.queuedTokens += e.Tokens
	q.queued[e.ID] = e
	q.queuedTokens += e.Tokens
}

func (q *Queue) dequeue(e *entry) {
	a := e.account
	heap.Remove(a.classHeap(e.Long), e.heapIndex)
	a.queuedTokens -= e.Tokens
	delete(q.queued, e.ID)
	q.queuedTokens -= e.Tokens
	if a.hasNoQueue() {
		q.backlogged = slices.DeleteFunc(q.backlogged, func(x *account) bool { return x == a })
	}
}
