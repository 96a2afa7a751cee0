package front

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/permit"
)

// maxColdPermitTime is the time in which a permit of a cold endpoint must be obtained. It leaves
// the other half of permit.UseWithin for the connection.
const maxColdPermitTime = permit.UseWithin / 2

// maxForwardTime is the time in which a daemon that passes on a request for a permit must have the answer. The
// one that has asked would otherwise take it for the daemon that does not answer.
const maxForwardTime = maxColdPermitTime / 2

// noColdRateDelay is how long a cold endpoint is passed over if the bound leaves no requests for it.
const noColdRateDelay = time.Second

// recordEntry records what an endpoint's entry says of its state.
func (p *pools) recordEntry(service string, e balance.Endpoint, r balance.Report) {
	p.mu.Lock()
	cold := p.pool(service).RecordEntry(time.Now(), e, r)
	p.mu.Unlock()
	if cold {
		p.log.Info().Str("service", service).Str("endpoint", e.ID).Int64("incarnation", e.Incarnation).
			Dur("cold_for_ms", r.ColdFor).Msg("endpoint is cold")
	}
}

// setColdBound sets the bound of the requests that a cold endpoint gets in one second: its rate times ratio
// plus slack.
func (p *pools) setColdBound(ratio, slack float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldRatio, p.coldSlack = ratio, slack
}

// coldGrantRate returns the requests a second that one daemon may grant to a cold endpoint of a
// service.
func (p *pools) coldGrantRate(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return permit.GrantRate(p.limits[service].Cold.Rate, p.coldRatio, p.coldSlack)
}

// permitCold reports whether a request may be sent to a cold endpoint; if not, the choice has
// ended.
func (p *pools) permitCold(ctx context.Context, service string, c balance.Choice) bool {
	start := time.Now()
	granted, wait := p.permits.acquireCold(ctx, c.Endpoint, p.coldGrantRate(service))
	now := time.Now()
	granted = granted && now.Sub(start) <= maxColdPermitTime
	p.scope.Tagged(map[string]string{"service": service, "result": permitResultTag(granted)}).Counter("cold_permits").Inc(1)
	if !granted {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pool(service).Denied(now, c, wait)
	}
	return granted
}

// acquireCold requests a permit for one request to a cold endpoint. If no daemon grants them,
// wait is the time for which the endpoint is passed over.
func (p *permits) acquireCold(ctx context.Context, e balance.Endpoint, rate float64) (granted bool, wait time.Duration) {
	// A peer would take a request without a rate for one to an endpoint that is not cold.
	if rate <= 0 {
		return false, noColdRateDelay
	}
	ctx, cancel := context.WithTimeout(ctx, maxColdPermitTime)
	defer cancel()
	r := &meshpb.PermitRequest{Endpoint: e.ID, Incarnation: e.Incarnation, Domain: e.Domain, ColdRate: rate}
	reply := p.serveCold(ctx, r)
	return reply.Granted, time.Duration(reply.WaitMs) * time.Millisecond
}

// serveCold answers a request for a permit of a cold endpoint, of this daemon or of a peer. The
// daemon that ranks first in the endpoint's failure domain grants them, if it hears most of the others
// there. A request that no such daemon answers is denied: unlike a limit, the bound of a cold
// endpoint must hold where the fleet is cut in two. So is one that a peer of older code answers, which takes it for
// one to an endpoint without a limit.
func (p *permits) serveCold(ctx context.Context, r *meshpb.PermitRequest) *meshpb.PermitReply {
	key, denied := rankKey(r.Endpoint), &meshpb.PermitReply{Cold: true, WaitMs: permitRetryDelay.Milliseconds()}
	owner, ok := p.peers.Grantor(key, r.Domain, !p.stopping())
	switch {
	case !ok || owner != "" && r.Hops >= maxColdHops:
		return denied
	case owner != "":
		reply, err := p.passOn(ctx, owner, r)
		switch {
		case err != nil:
			return denied
		case !reply.Cold:
			p.log.Info().Str("peer", owner).Str("endpoint", r.Endpoint).Msg("peer does not know of cold endpoints: its reply counts as a denial")
			return denied
		}
		return reply
	case !p.isJoined() || !p.peers.GrantsAlone(key, r.Domain):
		return denied
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	granted, wait := p.cold.Take(time.Now(), r.Endpoint, r.ColdRate)
	return &meshpb.PermitReply{Cold: true, Granted: granted, WaitMs: max(wait.Milliseconds(), 1)}
}

// maxColdHops is the number of daemons that may pass a request for a permit of a cold endpoint
// on: the one that needs it, and one that knows a higher ranked one.
const maxColdHops = 2

// passOn sends a request of this daemon or of a peer to the daemon that decides on it.
func (p *permits) passOn(ctx context.Context, owner string, r *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	if r.Hops > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxForwardTime)
		defer cancel()
	}
	r.Hops++
	reply, err := p.peers.RequestPermit(ctx, owner, r)
	if err != nil {
		p.log.Info().Err(err).Str("endpoint", r.Endpoint).Msg("peer gave no answer to a request for a permit")
	}
	return reply, err
}

// isJoined reports whether the daemon knows the registered ones. Before that it can't tell how many
// others may grant the same permits.
func (p *permits) isJoined() bool {
	if p.joined == nil {
		return true
	}
	select {
	case <-p.joined:
		return true
	default:
		return false
	}
}
