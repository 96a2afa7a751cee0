package budget

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Sizing of grants.
const (
	// grantHorizon is the time that a grant lasts at the recent rate if the
	// balance allows it: a partition of four hours plus a margin of one eighth.
	grantHorizon = 4*time.Hour + 30*time.Minute
	// grantableShare is the part of the unspent balance that all grants together
	// may take; the rest stays in the store for demand that moves between failure
	// domains.
	grantableShare = 0.9
	// minGrantExtensions is the grant of a rarely used budget, in extensions.
	minGrantExtensions = 8
	// reclaimReserve is the duration of own use at the recent rate for which
	// tokens are kept when another failure domain requests idle tokens.
	reclaimReserve = 2 * time.Second
	// reclaimInterval is the shortest time between requests for idle tokens of a
	// budget.
	reclaimInterval = 150 * time.Millisecond
	// reclaimFanOut is the number of failure domains asked at a time.
	reclaimFanOut = 3
)

// meter measures a rate as the larger of a fast and a slow moving average, so
// that it follows a rise within seconds and does not drop to zero in a pause.
type meter struct {
	fast, slow float64 // tokens per second
	last       time.Time
}

const (
	fastWindow = 10 * time.Second
	slowWindow = 10 * time.Minute
)

func (m *meter) add(now time.Time, tokens int64) {
	m.decay(now)
	m.fast += float64(tokens) / fastWindow.Seconds()
	m.slow += float64(tokens) / slowWindow.Seconds()
}

func (m *meter) decay(now time.Time) {
	if dt := now.Sub(m.last); dt > 0 && !m.last.IsZero() {
		m.fast *= math.Exp(-dt.Seconds() / fastWindow.Seconds())
		m.slow *= math.Exp(-dt.Seconds() / slowWindow.Seconds())
	}
	if now.After(m.last) {
		m.last = now
	}
}

func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return max(0, m.fast, m.slow)
}

// FlushInterval returns the time between the flushes of one (failure domain,
// shard) pair that keeps a fleet with the given number of pairs in use within its
// allowance of store writes.
func FlushInterval(pairs int, writesPerSecond float64) time.Duration {
	if writesPerSecond <= 0 {
		return 30 * time.Second
	}
	d := time.Duration(float64(pairs) / writesPerSecond * float64(time.Second))
	return min(max(d, time.Second), 30*time.Second)
}

// urgentFlushGap returns the shortest time between two urgent flushes, which do
// not wait for the flush interval. It grows with the interval, because both share
// the allowance of writes.
func (a *Allocator) urgentFlushGap() time.Duration {
	// A gap of 1 s at the target size would exceed requestWaitLimit.
	return min(max(a.opts.Interval/100, 50*time.Millisecond), 250*time.Millisecond)
}

// target returns the unreserved tokens that this failure domain should hold of
// a budget.
func (a *Allocator) target(now time.Time, b *Budget, p *pool) int64 {
	if b.Removed || a.retired {
		return 0
	}
	domains := float64(len(a.rec.Domains))
	rate := p.usage.rate(now)
	var others int64
	for name, g := range b.Grants {
		if name != a.opts.Domain {
			others += g.Rate
		}
	}
	unspent := float64(b.Prepaid - b.Spent)
	// One token per second is added for each failure domain, so that an idle one
	// gets a share too.
	share := grantableShare * unspent * (rate + 1) / (rate + float64(others)/60 + domains)
	minGrant := min(float64(minGrantExtensions*a.opts.ExtensionTokens), unspent/(8*domains))
	return int64(min(rate*grantHorizon.Seconds()+minGrant, share))
}

// sizeGrants sets the draws, returns and rates of a flush.
func (a *Allocator) sizeGrants(now time.Time, f *Flush) {
	for id, b := range a.rec.Budgets {
		p := a.pools[id]
		if p == nil {
			p = a.pool(id)
		}
		target, free, shortfall := a.target(now, b, p), p.free(), a.shortfall[id]
		switch excess := a.surplus(p, target); {
		case shortfall > 0 || (free < target*3/4 && b.Available() > 0):
			f.Draws[id] = max(target, 0) + shortfall - free
		case excess > 0 && !a.recovering:
			f.Returns[id] = excess
			p.returning = excess
		}
		p.reclaimRequested = 0
		if rate := int64(p.usage.rate(now) * 60); rate != b.Grants[a.opts.Domain].Rate {
			f.Rates[id] = rate
		}
	}
}

// surplus returns the tokens that a pool returns to the store: those above its
// target if it is far above, or those that another failure domain requested.
func (a *Allocator) surplus(p *pool, target int64) int64 {
	free := p.free()
	excess := min(p.reclaimRequested, free)
	if free > target*3/2+a.opts.ExtensionTokens || (target == 0 && free > 0) {
		excess = max(excess, free-target)
	}
	return excess
}

// checkSurplus requests a flush if a pool holds far more tokens than it needs, so
// that the flush returns them to the store.
func (a *Allocator) checkSurplus(now time.Time) {
	if now.Sub(a.lastSurplusCheck) < surplusCheckInterval {
		return
	}
	a.lastSurplusCheck = now
	for id, p := range a.pools {
		if b := a.rec.Budgets[id]; b != nil && a.surplus(p, a.target(now, b, p)) > 0 {
			a.dirty = true
			return
		}
	}
}

// requestTokens requests tokens for waiting requests: from the store if the last
// record shows available ones, otherwise from the other failure domains.
func (a *Allocator) requestTokens(now time.Time, id string) {
	b, p := a.rec.Budgets[id], a.pool(id)
	if b == nil || a.inFlight != nil {
		return
	}
	if b.Available() > 0 {
		a.dirty, a.urgent = true, true
		return
	}
	a.wantRead = true
	if now.Sub(p.lastReclaim) < reclaimInterval {
		return
	}
	if now.Sub(p.lastReclaim) > exhaustedMaxAge {
		p.domainsAsked = 0
	}
	p.lastReclaim = now
	for _, to := range a.reclaimTargets(b, p.domainsAsked) {
		p.domainsAsked++
		a.out.Reclaims = append(a.out.Reclaims, ReclaimRequest{
			Shard: a.opts.Shard, From: a.opts.Domain, To: to, Budget: id, Tokens: a.shortfall[id] + int64(p.usage.rate(now)),
		})
	}
}

// reclaimTargets returns the next failure domains to ask for tokens of a budget,
// those with the largest grants first. If all 13 others are asked at once, each
// of them writes the record and most of these writes conflict.
func (a *Allocator) reclaimTargets(b *Budget, asked int) []string {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(b.Grants)), func(name string) bool {
		return name == a.opts.Domain || b.Grants[name].Tokens == 0
	})
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(b.Grants[y].Tokens, b.Grants[x].Tokens) })
	if len(names) == 0 {
		return nil
	}
	first := asked % len(names)
	return names[first:min(first+reclaimFanOut, len(names))]
}

// Reclaim handles the request of another failure domain for idle tokens. It
// returns half of the idle tokens, or the requested number if that is more.
func (a *Allocator) Reclaim(now time.Time, r ReclaimRequest) {
	if a.epoch != 0 && !a.deposed && !a.recovering && r.From != a.opts.Domain {
		p := a.pool(r.Budget)
		idle := p.free() - int64(p.usage.rate(now)*reclaimReserve.Seconds())
		if returnable := min(idle, max(r.Tokens, idle/2)); returnable > 0 {
			p.reclaimRequested = max(p.reclaimRequested, returnable)
			a.dirty, a.urgent = true, true
		}
	}
	a.advance(now)
}
