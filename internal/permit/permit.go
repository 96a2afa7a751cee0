// Package permit grants requests to endpoints that limit the requests a second they take from all
// daemons together. It performs no I/O. An Issuer is not safe for concurrent use, and the caller
// passes the current time.
package permit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/azurehatch/azurehatch/internal/balance"
)

const (
	// burstTime is the time for which permits that nobody wanted are kept.
	burstTime = time.Second
	// expiry is the time without a use after which an endpoint is forgotten.
	expiry = 10 * time.Minute
)

// Key identifies one life of an endpoint's process.
type Key struct {
	Endpoint    string
	Incarnation int64
}

// Issuer grants the permits of endpoints. It is used by one daemon of a fleet for each endpoint.
type Issuer struct {
	buckets map[Key]*bucket
}

type bucket struct {
	limit   balance.RateLimit
	limiter *rate.Limiter
	usedAt  time.Time
}

// NewIssuer returns an Issuer that knows no limits.
func NewIssuer() *Issuer { return &Issuer{buckets: make(map[Key]*bucket)} }

// Learn records what a response of an endpoint told about its limit, unless a newer response is
// known, and returns the limit of the newest one.
func (i *Issuer) Learn(now time.Time, k Key, l balance.RateLimit) balance.RateLimit {
	b := i.bucket(now, k)
	if !l.Supersedes(b.limit) {
		return b.limit
	}
	b.limit = l
	if l.PerSecond > 0 {
		b.limiter.SetLimitAt(now, rate.Limit(l.PerSecond))
		b.limiter.SetBurstAt(now, max(1, int(l.PerSecond*burstTime.Seconds())))
	}
	return l
}

// Take takes a permit. If there is none, wait is the time until the next one. An endpoint without
// a limit needs none.
func (i *Issuer) Take(now time.Time, k Key) (granted bool, wait time.Duration) {
	b := i.bucket(now, k)
	if b.limit.PerSecond == 0 {
		return true, 0
	}
	r := b.limiter.ReserveN(now, 1)
	if wait = r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return false, wait
	}
	return true, 0
}

// bucket returns the bucket of an endpoint. It starts empty: the endpoint has requests, and
// another daemon may have granted permits until now.
func (i *Issuer) bucket(now time.Time, k Key) *bucket {
	b, ok := i.buckets[k]
	if !ok {
		i.prune(now)
		b = &bucket{limiter: rate.NewLimiter(0, 1)}
		b.limiter.AllowN(now, 1)
		i.buckets[k] = b
	}
	b.usedAt = now
	return b
}

func (i *Issuer) prune(now time.Time) {
	for k, b := range i.buckets {
		if now.Sub(b.usedAt) > expiry {
			delete(i.buckets, k)
		}
	}
}
