package front

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/pace"
	"github.com/azurehatch/azurehatch/internal/permit"
)

const (
	// permitTries is the number of peers asked for one permit.
	permitTries = 2
	// permitRetryDelay is the time for which an endpoint is passed over after no peer
	// answered a request for its permit.
	permitRetryDelay = 250 * time.Millisecond
	// reportTimeout bounds a report of a changed limit.
	reportTimeout = time.Second
)

// permitPeers is the part of the mesh that permits use.
type permitPeers interface {
	// HighestRanked returns the address of the daemon that ranks first for a key, empty
	// for this one, which counts if self is true.
	HighestRanked(key string, self bool) string
	// Grantor returns the address of the daemon that grants the permits of an endpoint in a
	// failure domain, empty for this one, which counts if self is true; false if none is in sight.
	Grantor(key, domain string, self bool) (addr string, ok bool)
	// GrantsAlone reports whether this daemon may grant them without asking another one.
	GrantsAlone(key, domain string) bool
	RequestPermit(ctx context.Context, addr string, r *meshpb.PermitRequest) (*meshpb.PermitReply, error)
}

// permits obtains and grants leave to send requests to endpoints that limit what they take from
// all daemons together, or are cold. One daemon of the fleet, the highest ranked for the endpoint,
// grants all of its permits, so that the limit is neither exceeded nor left unused where callers are
// unevenly distributed.
type permits struct {
	peers    permitPeers
	stopping func() bool
	log      zerolog.Logger

	// joined is closed once the daemon knows the registered ones; nil: it does.
	joined <-chan struct{}

	mu     sync.Mutex
	issuer *permit.Issuer
	cold   *permit.ColdIssuer
	pace   *pace.Regulator
}

func newPermits(peers permitPeers, stopping func() bool, log zerolog.Logger) *permits {
	return &permits{peers: peers, stopping: stopping, log: log, issuer: permit.NewIssuer(), cold: permit.NewColdIssuer(), pace: pace.NewRegulator()}
}

// permitResult is the answer to a request for a permit.
type permitResult struct {
	granted bool
	// wait is the time until the next permit if none was granted.
	wait time.Duration
	// limit is what the granting daemon knows of the endpoint's limit.
	limit balance.RateLimit
}

// acquire requests a permit for one request to an endpoint with a limit.
func (p *permits) acquire(ctx context.Context, e balance.Endpoint, l balance.RateLimit) permitResult {
	for range permitTries {
		now := time.Now()
		owner := p.owner(e.ID)
		if owner == "" {
			return p.grant(now, keyOf(e), l)
		}
		reply, err := p.peers.RequestPermit(ctx, owner, newPermitRequest(now, e, l))
		if err == nil {
			return permitResult{
				granted: reply.Granted, wait: time.Duration(reply.WaitMs) * time.Millisecond, limit: decodeRateLimit(time.Now(), reply.Limit),
			}
		}
		p.log.Info().Err(err).Str("endpoint", e.ID).Msg("peer gave no answer to a request for a permit")
	}
	return permitResult{wait: permitRetryDelay, limit: l}
}

// report tells the daemon that grants an endpoint's permits that the limit has changed.
func (p *permits) report(ctx context.Context, e balance.Endpoint, l balance.RateLimit) {
	now := time.Now()
	owner := p.owner(e.ID)
	if owner == "" {
		p.learn(now, keyOf(e), l)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r := newPermitRequest(now, e, l)
	r.Report = true
	if _, err := p.peers.RequestPermit(ctx, owner, r); err != nil {
		p.log.Info().Err(err).Str("endpoint", e.ID).Msg("changed limit of an endpoint not reported")
	}
}

// serve answers a peer's request. A daemon that knows a higher ranked one passes the request on, so
// that two daemons whose lists of peers differ don't both grant permits.
func (p *permits) serve(ctx context.Context, r *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	switch {
	case r.ColdRate > 0:
		return p.serveCold(ctx, r), nil
	case r.Pace != nil:
		return p.servePaced(ctx, r), nil
	}
	if owner := p.owner(r.Endpoint); owner != "" && !r.Forwarded {
		r.Forwarded = true
		if reply, err := p.peers.RequestPermit(ctx, owner, r); err == nil {
			return reply, nil
		}
	}
	if p.stopping() {
		return nil, status.Error(codes.Unavailable, "the daemon is stopping")
	}
	now := time.Now()
	key, l := permit.Key{Endpoint: r.Endpoint, Incarnation: r.Incarnation}, decodeRateLimit(now, r.Limit)
	if r.Report {
		return &meshpb.PermitReply{Limit: encodeRateLimit(now, p.learn(now, key, l))}, nil
	}
	result := p.grant(now, key, l)
	return &meshpb.PermitReply{
		Granted: result.granted, WaitMs: max(result.wait.Milliseconds(), 1), Limit: encodeRateLimit(now, result.limit),
	}, nil
}

func (p *permits) learn(now time.Time, k permit.Key, l balance.RateLimit) balance.RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.issuer.Learn(now, k, l)
}

func (p *permits) grant(now time.Time, k permit.Key, l balance.RateLimit) permitResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := permitResult{limit: p.issuer.Learn(now, k, l)}
	result.granted, result.wait = p.issuer.Take(now, k)
	return result
}

// owner returns the address of the daemon that grants an endpoint's permits, empty for this one.
func (p *permits) owner(endpoint string) string {
	return p.peers.HighestRanked(rankKey(endpoint), !p.stopping())
}

func rankKey(endpoint string) string { return fmt.Sprint("endpoint ", endpoint) }

func keyOf(e balance.Endpoint) permit.Key {
	return permit.Key{Endpoint: e.ID, Incarnation: e.Incarnation}
}

func newPermitRequest(now time.Time, e balance.Endpoint, l balance.RateLimit) *meshpb.PermitRequest {
	return &meshpb.PermitRequest{Endpoint: e.ID, Incarnation: e.Incarnation, Limit: encodeRateLimit(now, l)}
}

func encodeRateLimit(now time.Time, l balance.RateLimit) *meshpb.RateLimit {
	return &meshpb.RateLimit{RequestsPerS: l.PerSecond, AgeMs: now.Sub(l.StatedAt).Milliseconds()}
}

func decodeRateLimit(now time.Time, l *meshpb.RateLimit) balance.RateLimit {
	return balance.RateLimit{
		PerSecond: l.GetRequestsPerS(), StatedAt: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond),
	}
}
