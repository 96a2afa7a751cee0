package retry

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Options configures a Budget. Zero values mean the defaults.
type Options struct {
	// RetryShare is the maximum ratio of the work of retries to the work of
	// first attempts. Default 0.1: each daemon applies it to its own requests,
	// so that the whole fleet adds at most a tenth of load during an outage.
	RetryShare float64
	// HedgeShare is the same ratio for hedges. Default 0.025, below the bound of
	// 3%.
	HedgeShare float64
	// BurstWork is the maximum unused budget, in tokens of work, that may
	// accumulate. Default 4000, about ten requests.
	BurstWork float64
	// MaxAttempts bounds the number of attempts of a request. Default 3.
	MaxAttempts int
	// BaseDelay is the first backoff delay, MaxDelay the maximum. Defaults
	// 20 ms and 1 s.
	BaseDelay, MaxDelay time.Duration
	// HedgeQuantile is the quantile of the time to first token after which a
	// hedge is sent. Default 0.97.
	HedgeQuantile float64
	// MinHedgeDelay is the minimum delay of a hedge. Default 20 ms.
	MinHedgeDelay time.Duration
}

func (o Options) withDefaults() Options {
	o.RetryShare = cmp.Or(o.RetryShare, 0.1)
	o.HedgeShare = cmp.Or(o.HedgeShare, 0.025)
	o.BurstWork = cmp.Or(o.BurstWork, 4000)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, 3)
	o.BaseDelay = cmp.Or(o.BaseDelay, 20*time.Millisecond)
	o.MaxDelay = cmp.Or(o.MaxDelay, time.Second)
	o.HedgeQuantile = cmp.Or(o.HedgeQuantile, 0.97)
	o.MinHedgeDelay = cmp.Or(o.MinHedgeDelay, 20*time.Millisecond)
	return o
}

const (
	// connectRetryWork is the work in tokens charged for a retry after a connect
	// error: no endpoint did any work, but the choice of an endpoint and the
	// connection have a cost.
	connectRetryWork = 16
	// minHedgeMedians and maxHedgeMedians bound the hedge delay, as multiples of
	// the median time to first token. The quantile rises while endpoints are
	// slow. While none is slow, it is so close to the median that hedges would
	// exhaust their budget before an endpoint slows down.
	minHedgeMedians, maxHedgeMedians = 2.5, 5
	// minHedgeSamples is the number of recorded first tokens from which hedges
	// are sent.
	minHedgeSamples = 20
)

// Budget limits the work of the retries and hedges of one daemon for one pool.
//
// Invariant: the work of allowed retries is at most RetryShare times the work of
// the recorded requests plus BurstWork; the same holds for hedges, less refunds,
// with HedgeShare.
type Budget struct {
	opts         Options
	retry, hedge workBucket
	firstToken   histogram
	// broken selects a deliberately broken variant in tests.
	broken string
}

// workBucket is a token bucket that is filled by the work of requests instead of
// by time, so that a budget without requests does not grow.
type workBucket struct{ level, limit float64 }

func (b *workBucket) add(x float64) { b.level = min(b.limit, b.level+x) }

func (b *workBucket) take(x float64) bool {
	if b.level < x {
		return false
	}
	b.level -= x
	return true
}

// New returns a Budget. The retry budget starts with half of BurstWork, the
// hedge budget starts empty.
func New(opts Options) *Budget {
	opts = opts.withDefaults()
	return &Budget{
		opts:  opts,
		retry: workBucket{level: opts.BurstWork / 2, limit: opts.BurstWork},
		hedge: workBucket{limit: opts.BurstWork},
	}
}

// RecordRequest records the first attempt of a request with the given work in
// tokens.
func (b *Budget) RecordRequest(work int) {
	b.retry.add(b.opts.RetryShare * float64(work))
	b.hedge.add(b.opts.HedgeShare * float64(work))
}

// RecordFirstToken records the time to first token of an attempt that was not
// cancelled.
func (b *Budget) RecordFirstToken(elapsed time.Duration) { b.firstToken.add(elapsed) }

// Retry decides whether a request whose last attempt failed is retried, and
// charges the retry budget if it is.
func (b *Budget) Retry(now time.Time, a Attempt, rng *rand.Rand) Decision {
	if r := b.denialReason(a); r != Allowed {
		return Decision{Reason: r}
	}
	if a.Attempts >= b.opts.MaxAttempts {
		return Decision{Reason: TooManyAttempts}
	}
	delay := b.backoff(a.Attempts, rng)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return Decision{Reason: DeadlinePassed}
	}
	work := float64(connectRetryWork)
	if a.Dispatched {
		work = max(work, float64(a.Work))
	}
	if !b.retry.take(work) && b.broken != "budget" {
		return Decision{Reason: BudgetExhausted}
	}
	return Decision{OK: true, Delay: delay}
}

// denialReason applies the rules that retries and hedges have in common. It
// returns Allowed if none of them denies the request.
func (b *Budget) denialReason(a Attempt) Reason {
	switch {
	case a.AnswerStarted:
		return AnswerStarted
	case !a.Idempotent && a.Dispatched && b.broken != "idempotent":
		return NotIdempotent
	case a.OtherLayerRetries:
		return OtherLayer
	case a.Suspect:
		return PoisonSuspect
	}
	return Allowed
}

// backoff returns an exponential backoff delay with jitter over its upper half.
func (b *Budget) backoff(attempts int, rng *rand.Rand) time.Duration {
	d := b.opts.BaseDelay << min(max(attempts-1, 0), 16)
	d = min(d, b.opts.MaxDelay)
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}

// HedgeDelay returns the time without a first token after which a hedge may be
// sent, and false while too few first tokens have been recorded.
func (b *Budget) HedgeDelay() (time.Duration, bool) {
	if b.firstToken.total < minHedgeSamples {
		return 0, false
	}
	q := b.firstToken.quantile(b.opts.HedgeQuantile)
	median := float64(b.firstToken.quantile(0.5))
	d := time.Duration(min(max(float64(q), minHedgeMedians*median), maxHedgeMedians*median))
	return max(d, b.opts.MinHedgeDelay), true
}

// Hedge decides whether a request that has waited for its first token for the
// given time is sent to a second endpoint, and charges the hedge budget if it
// is. The attempt that answers first wins; the caller cancels the other one and
// calls SettleHedge.
func (b *Budget) Hedge(now time.Time, a Attempt, waited time.Duration) Decision {
	if !a.Idempotent {
		return Decision{Reason: NotIdempotent}
	}
	if r := b.denialReason(a); r != Allowed {
		return Decision{Reason: r}
	}
	delay, ok := b.HedgeDelay()
	switch {
	case !a.Short:
		return Decision{Reason: TooLong}
	case a.Attempts > 1:
		return Decision{Reason: AlreadyHedged}
	case !a.Deadline.IsZero() && !now.Before(a.Deadline):
		return Decision{Reason: DeadlinePassed}
	case !ok || waited < delay:
		return Decision{Reason: TooEarly, Delay: max(0, delay-waited)}
	case !b.hedge.take(float64(a.Work)) && b.broken != "hedge":
		return Decision{Reason: BudgetExhausted}
	}
	return Decision{OK: true}
}

// SettleHedge refunds the part of a hedge's work that was not done: reserved is
// the work charged, done the work of the attempt that was cancelled.
func (b *Budget) SettleHedge(reserved, done int) {
	b.hedge.add(float64(max(0, reserved-max(done, 0))))
}
