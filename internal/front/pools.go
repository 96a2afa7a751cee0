package front

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/discovery"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/relay"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// pools holds the endpoint pool of each service, guarded by one lock.
type pools struct {
	domain string
	log    zerolog.Logger
	scope  tally.Scope
	// permits grants requests to endpoints with limits, and report tells a changed limit to
	// the daemon that grants them.
	permits *permits
	report  func(e balance.Endpoint, l balance.RateLimit)
	// paced is true if endpoints that come back get requests at a pace; answers are those not reported yet,
	// which background sends.
	paced      bool
	answers    answerReports
	background func(func())

	mu        sync.Mutex
	byService map[string]*balance.Pool
	limits    map[string]balance.Limits
	daemons   int
	// coldRatio and coldSlack bound the requests that a cold endpoint gets in one second.
	coldRatio, coldSlack float64
	// evacuated holds the evacuated failure domains.
	evacuated map[string]bool
	// domainDaemons is as in balance.Pool.SetDomainDaemons.
	domainDaemons int
}

var _ relay.Pools = (*pools)(nil)

func newPools(domain string, log zerolog.Logger, scope tally.Scope) *pools {
	return &pools{
		domain: domain, log: log, scope: scope, byService: make(map[string]*balance.Pool),
		limits: make(map[string]balance.Limits), daemons: 1, report: func(balance.Endpoint, balance.RateLimit) {},
		answers: make(answerReports), background: func(f func()) { go f() },
	}
}

func (p *pools) pool(service string) *balance.Pool {
	pool, ok := p.byService[service]
	if !ok {
		pool = balance.New(balance.Options{Domain: p.domain, Limits: p.limits[service]})
		pool.SetDaemons(p.daemons)
		pool.SetEvacuated(time.Now(), p.evacuated)
		pool.SetDomainDaemons(p.domainDaemons)
		p.byService[service] = pool
	}
	return pool
}

// configure sets the endpoints' limits from the configuration.
func (p *pools) configure(services []routing.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range services {
		l := balance.Limits{MaxConnections: s.MaxConnections, Cold: balance.ColdLimits{Period: s.ColdPeriod, Rate: s.ColdRate}, Paced: p.paced}
		if s.Engine != nil {
			l.KVTokens = s.Engine.KVTokens
		}
		p.limits[s.Name] = l
		p.pool(s.Name).SetLimits(l)
	}
}

// setDaemons sets the numbers of daemons, and of those in this one's failure domain whose loads are heard.
func (p *pools) setDaemons(n, domain int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons, p.domainDaemons = n, domain
	for _, pool := range p.byService {
		pool.SetDaemons(n)
		pool.SetDomainDaemons(domain)
	}
}

// evacuate sets the evacuated failure domains.
func (p *pools) evacuate(now time.Time, domains map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = domains
	for _, pool := range p.byService {
		pool.SetEvacuated(now, domains)
	}
}

// openRequests returns the number of this daemon's open requests in a failure domain.
func (p *pools) openRequests(domain string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pool := range p.byService {
		n += pool.OpenRequests(domain)
	}
	return n
}

// knowsDomain reports whether an endpoint belongs to a failure domain.
func (p *pools) knowsDomain(domain string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		if pool.HasDomain(domain) {
			return true
		}
	}
	return false
}

// Restriction implements relay.Pools.
func (p *pools) Restriction(service string, domains map[string]bool) balance.Restriction {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).Restriction(domains)
}

// applyChange applies a change of the list of endpoints.
func (p *pools) applyChange(kind discovery.ChangeKind, service string, e balance.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pool(service)
	switch kind {
	case discovery.Removed:
		pool.Remove(e.ID)
	case discovery.Restarted:
		pool.Put(e)
		pool.Reset(e.ID)
	case discovery.Put:
		pool.Put(e)
	}
}

// hasEndpoints reports whether any pool has an endpoint.
func (p *pools) hasEndpoints() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		if pool.Available() > 0 {
			return true
		}
	}
	return false
}

// updateGauges updates the numbers of endpoints that leave, that want no requests for now, that
// are cold and that count as slow, and logs which count as slow from now on.
func (p *pools) updateGauges(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, pool := range p.byService {
		leaving, paused := pool.Announced(now)
		scope := p.scope.Tagged(map[string]string{"service": service})
		scope.Gauge("endpoints_leaving").Update(float64(leaving))
		scope.Gauge("endpoints_paused").Update(float64(paused))
		scope.Gauge("endpoints_cold").Update(float64(pool.Cold(now)))
		slow := pool.SlowEndpoints()
		scope.Gauge("endpoints_slow").Update(float64(slow.Count))
		if len(slow.Slower)+len(slow.Faster) > 0 {
			p.log.Info().Str("service", service).Strs("slower", slow.Slower).Strs("faster", slow.Faster).
				Float64("median_time", slow.Median).Msg("speeds of endpoints changed")
		}
	}
}

// Choose implements relay.Pools.
func (p *pools) Choose(service string, r balance.Request) (balance.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).Choose(time.Now(), r)
}

// Started implements relay.Pools.
func (p *pools) Started(service string, c balance.Choice, elapsed time.Duration) {
	p.mu.Lock()
	p.pool(service).FirstToken(c, elapsed)
	p.mu.Unlock()
	p.recordAnswer(service, c, elapsed, false)
}

// Done implements relay.Pools.
func (p *pools) Done(service string, c balance.Choice, started bool) {
	p.mu.Lock()
	p.pool(service).Done(c, started)
	p.mu.Unlock()
	if !started {
		p.recordAnswer(service, c, time.Since(c.ChosenAt), true)
	}
}

// Observe implements relay.Pools.
func (p *pools) Observe(service, endpoint string, o balance.Outcome) {
	p.mu.Lock()
	ejected := p.pool(service).RecordOutcome(time.Now(), endpoint, o)
	p.mu.Unlock()
	if ejected {
		p.log.Warn().Str("service", service).Str("endpoint", endpoint).Uint8("outcome", uint8(o)).Msg("endpoint ejected")
	}
}

// Reported implements relay.Pools.
func (p *pools) Reported(service, endpoint string, r balance.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).RecordReport(time.Now(), endpoint, r)
}

// Announced implements relay.Pools.
func (p *pools) Announced(service string, c balance.Choice, a balance.Announcement) {
	p.mu.Lock()
	changed := p.pool(service).RecordAnnouncement(time.Now(), c.Endpoint, a)
	limit := p.pool(service).LimitOf(c.Endpoint)
	p.mu.Unlock()
	if !changed {
		return
	}
	p.log.Info().Str("service", service).Str("endpoint", c.ID).Int64("incarnation", c.Incarnation).Bool("leaving", a.Leaving).
		Dur("retry_after_ms", a.RetryAfter).Float64("requests_per_s", a.Limit).Msg("endpoint announced which requests it wants")
	if a.Limit > 0 || !a.UnlimitedSince.IsZero() {
		p.report(c.Endpoint, limit)
	}
}

// Permit implements relay.Pools.
func (p *pools) Permit(ctx context.Context, service string, c balance.Choice, r balance.Request) bool {
	if !c.NeedsPermit() {
		return true
	}
	switch {
	case c.Cold && !p.permitCold(ctx, service, c), !c.Cold && c.Paced && !p.permitPaced(ctx, service, c):
		return false
	}
	if c.Limit.PerSecond == 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pool(service).Permitted(time.Now(), c, r)
		return true
	}
	result := p.permits.acquire(ctx, c.Endpoint, c.Limit)
	p.countPermit(service, result.granted)
	p.mu.Lock()
	defer p.mu.Unlock()
	now, pool := time.Now(), p.pool(service)
	pool.RecordLimit(now, c.Endpoint, result.limit)
	if result.granted {
		pool.Permitted(now, c, r)
	} else {
		pool.Denied(now, c, result.wait)
	}
	return result.granted
}

func (p *pools) countPermit(service string, granted bool) {
	p.scope.Tagged(map[string]string{"service": service, "result": permitResultTag(granted)}).Counter("endpoint_permits").Inc(1)
}

func permitResultTag(granted bool) string {
	if granted {
		return "granted"
	}
	return "denied"
}

// EndpointRemoved implements relay.Pools.
func (p *pools) EndpointRemoved(service, endpoint string) {
	p.mu.Lock()
	p.pool(service).Remove(endpoint)
	p.mu.Unlock()
	p.log.Warn().Str("service", service).Str("endpoint", endpoint).Msg("endpoint gone: another endpoint uses its address")
}

// loads returns this daemon's load at each endpoint, and the limits that endpoints told it, to be
// sent to peers.
func (p *pools) loads(now time.Time) []*meshpb.EndpointLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []*meshpb.EndpointLoad
	for service, pool := range p.byService {
		for id, l := range pool.OwnLoads(now) {
			loads = append(loads, &meshpb.EndpointLoad{
				Service: service, Endpoint: id, Requests: int64(l.Requests), Reading: l.PrefillTokens, Ok: l.Succeeded, Failed: l.Failed,
				UsualTime: float32(l.UsualTime), Reports: int32(l.Reports), Incarnation: l.Incarnation,
			})
		}
		for e, d := range pool.HeardCold(now) {
			loads = append(loads, &meshpb.EndpointLoad{
				Service: service, Endpoint: e.ID, Incarnation: e.Incarnation, ColdMs: d.Milliseconds(),
			})
		}
		for e, l := range pool.HeardLimits(now) {
			loads = append(loads, &meshpb.EndpointLoad{
				Service: service, Endpoint: e.ID, Incarnation: e.Incarnation, Limit: encodeRateLimit(now, l),
			})
		}
	}
	return loads
}

// merge replaces a peer's load; endpoints missing from loads have none. Limits stay until a newer
// statement arrives.
func (p *pools) merge(now time.Time, peer string, loads []*meshpb.EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		pool.RemovePeer(peer)
	}
	for _, l := range loads {
		pool, ok := p.byService[l.Service]
		switch {
		case !ok:
		case l.ColdMs > 0:
			pool.RecordCold(now, balance.Endpoint{ID: l.Endpoint, Incarnation: l.Incarnation}, time.Duration(l.ColdMs)*time.Millisecond, false)
		case l.Limit != nil:
			pool.RecordLimit(now, balance.Endpoint{ID: l.Endpoint, Incarnation: l.Incarnation}, decodeRateLimit(now, l.Limit))
		default:
			pool.SetPeerLoad(now, peer, l.Endpoint, balance.Load{
				Requests: int(l.Requests), PrefillTokens: l.Reading, Succeeded: l.Ok, Failed: l.Failed,
				UsualTime: float64(l.UsualTime), Reports: int(l.Reports), Incarnation: l.Incarnation,
			})
		}
	}
}
