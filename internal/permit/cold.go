package permit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// UseWithin is the time from the request for a permit of a cold endpoint to the connection
	// over which the request is sent. Permits granted in one second are used in at most that much
	// longer.
	UseWithin = 150 * time.Millisecond
	// coldBurst is the number of permits that may be granted at once.
	coldBurst = 1
	// grantors is the number of daemons that may believe at the same time that they grant the
	// permits of a cold endpoint: the first one, and one that has lost sight of it.
	grantors = 2
)

// GrantRate returns the requests a second to a cold endpoint that one daemon may grant, so that
// `grantors` daemons together let no more than floor(rate*ratio+slack) arrive in any second. It is
// at most rate, and 0 if the bound leaves no room.
func GrantRate(perSecond, ratio, slack float64) float64 {
	bound := math.Floor(perSecond*ratio + slack)
	alone := (bound/grantors - coldBurst) / (1 + UseWithin.Seconds())
	return math.Max(0, math.Min(perSecond, alone))
}

// Candidate is another daemon that may grant the permits of a cold endpoint.
type Candidate struct {
	Rank uint64
	// Heard is true if it was heard a short time ago.
	Heard, Stopping bool
}

// GrantsAlone reports whether a daemon may grant the permits of a cold endpoint: it hears more than
// half of the daemons that may, itself included, and none that ranks before it. In a fleet that is cut in
// two, the daemons of the smaller part grant none once they have noticed; until then each part may
// have one that does, which GrantRate allows for.
func GrantsAlone(rank uint64, others []Candidate) bool {
	heard := 1
	for _, c := range others {
		if !c.Heard {
			continue
		}
		heard++
		if !c.Stopping && c.Rank > rank {
			return false
		}
	}
	return 2*heard > 1+len(others)
}

// ColdIssuer grants the permits of cold endpoints. The load that it answers: the endpoints of a failure
// domain return together with empty caches and look idle to all daemons at once, and crash
// under more requests a second than they take while cold.
//
// An endpoint is told by its ID alone, since two of its lives may lie within one second.
type ColdIssuer struct{ buckets map[string]*coldBucket }

type coldBucket struct {
	limiter *rate.Limiter
	usedAt  time.Time
}

// NewColdIssuer returns a ColdIssuer that has granted nothing.
func NewColdIssuer() *ColdIssuer { return &ColdIssuer{buckets: make(map[string]*coldBucket)} }

// Take takes a permit at perSecond requests a second. If there is none, wait is the time until
// the next one. The first permit of an endpoint is due after a full interval: another daemon may
// have granted until now.
func (i *ColdIssuer) Take(now time.Time, endpoint string, perSecond float64) (granted bool, wait time.Duration) {
	if perSecond <= 0 {
		return false, time.Second
	}
	b, ok := i.buckets[endpoint]
	if !ok {
		i.prune(now)
		b = &coldBucket{limiter: rate.NewLimiter(rate.Limit(perSecond), coldBurst)}
		b.limiter.AllowN(now, coldBurst)
		i.buckets[endpoint] = b
	}
	b.usedAt = now
	if b.limiter.Limit() != rate.Limit(perSecond) {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	r := b.limiter.ReserveN(now, 1)
	if wait = r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return false, wait
	}
	return true, 0
}

func (i *ColdIssuer) prune(now time.Time) {
	for id, b := range i.buckets {
		if now.Sub(b.usedAt) > expiry {
			delete(i.buckets, id)
		}
	}
}
