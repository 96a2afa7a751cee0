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
	// longReserve times the square root of the mean number of short requests
	// in the pool is the number of slots that long work leaves free while
	// short work arrives. The number of short requests is close to Poisson,
	// so the reserve covers a rise by that many standard deviations; with 4
	// the p99 of short work on plain services of 24 to 32 slots missed its
	// bound, and with 6 the slowdown of long work keeps its own.
	longReserveStdDevs = 6.0
	// longFloor is the part of a daemon's share of the limit in which long
	// work may run without regard to the reserve, so that it always advances.
	longFloorShare = 0.5
	// shortMeanTime is the time constant of the mean number of short requests.
	shortMeanTimeConstant = 10 * time.Second
	// shortRecent is the time after the last short request in which the
	// reserve applies; without short work it would only waste slots.
	reserveDuration = 5 * time.Second
	minRetryAfter   = time.Second
	maxRetryAfter   = 30 * time.Second
	// borrowShare is the part of the limit by which accounts below their fair
	// share may exceed it, so that they need not wait for a request of a
	// larger account to end. The adaptive limit settles lower by as much.
	borrowShare = 0.12
	// freeStart is the number of requests that must end before one may start
	// while more run than the limit allows; an account below its share needs
	// only lowStart. When none could start, a limit that fell by a fifth
	// stopped all admissions for seconds.
	endsPerStart, endsPerStartBelowShare = 2, 1
	// saved is the work, for a weight of 1, by which an account's virtual time
	// may stay behind. Requests wait less than a second, so an account with
	// one request a second in this daemon has no queue most of the time;
	// without saved work it lost its turn to accounts that always queue.
	maxCreditTokens = 4000
	// idleAccounts is the number of accounts from which idle ones are dropped.
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
	// waiting lists the accounts with queued requests.
	backlogged []*account
	// queued and running hold each request in exactly one of them.
	queued  map[RequestID]*entry
	running map[RequestID]*entry
	// queuedTokens is the sum over queued, at most Options.MaxQueuedTokens.
	queuedTokens int
	runningLong  int
	// ended is the number of requests that ended while the limit was exceeded
	// and have not been replaced; see freeStart.
	endedOverLimit int
	// virtual is the virtual time of fair sharing: the least time of the
	// accounts that had queued work at the last admission.
	virtualTime float64
	lastShortAt time.Time
	// shortMean is the moving average of the running short requests at
	// shortMeanAt.
	shortMean   float64
	shortMeanAt time.Time
	drain       drainRate
	// broken selects a deliberately broken variant in tests.
	broken string
}

// New returns an empty Queue. It admits nothing before SetCapacity.
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

// Observe records an inter-token time on an endpoint with the given number of
// requests (see route.Observation).
func (q *Queue) Observe(now time.Time, gap time.Duration, inFlight int) {
	if gap <= 0 || q.opts.PlainService {
		return
	}
	if q.limit.observe(now, gap, inFlight, len(q.queued) > 0) {
		q.limit.closeWindow(now, len(q.running) > q.runLimit())
	}
}

// Offer asks for the admission of a request.
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
func (q *Queue) Finished(now time.Time, t RequestID, u Usage) []RequestID {
	e := q.running[t]
	if e == nil {
		return nil
	}
	q.updateShortMean(now)
	delete(q.running, t)
	if e.Long {
		q.runningLong--
	}
	actual := u.Tokens
	if !u.Dispatched {
		actual = 0
	}
	// The account pays for the work that it got, not for the predicted one.
	e.account.virtualTime += float64(actual-e.Tokens) / e.account.weight
	e.account.running--
	if len(q.running) >= q.runLimit() {
		q.endedOverLimit = min(endsPerStart, q.endedOverLimit+1)
	}
	return q.startQueued(now)
}

// Withdraw removes a queued request whose caller went away. It reports whether
// the request was queued.
func (q *Queue) Withdraw(t RequestID) bool {
	e := q.queued[t]
	if e == nil {
		return false
	}
	q.dequeue(e)
	return true
}

// Expire refuses the queued requests that have reached their bound.
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

// next admits queued requests while there is room: the account with the least
// virtual time first, and of its requests the one with the least key.
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

// leastWaiting is the least virtual time of accounts with queued work, or
// limit if that is smaller.
func (q *Queue) minVirtualTime(limit float64) float64 {
	for _, a := range q.backlogged {
		limit = min(limit, a.virtualTime)
	}
	return limit
}

// anyEligible reports whether a queued request could start now; it goes before
// a new one.
func (q *Queue) anyEligible(now time.Time) bool {
	return len(q.queued) > 0 && q.nextEligible(now) != nil
}

// Stats returns the state for display and metrics.
func (q *Queue) Stats() Stats {
	return Stats{
		Running: len(q.running), Queued: len(q.queued), QueuedTokens: q.queuedTokens,
		Limit: q.runLimit(), LimitPerEndpoint: q.limit.perEndpoint(q.capacity), RetryAfter: q.retryAfter(0),
	}
}

// enqueue adds e to its account's queue.
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
