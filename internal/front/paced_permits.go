package front

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/pace"
)

// slowShare is the part of a route's latency objective from which an answer counts as slow: the
// rest is for the daemon and the way to the caller.
const slowShare = 0.5

// defaultObjective applies to routes without a latency objective.
const defaultObjective = time.Second

// answerReports collects the answers of paced endpoints until they are sent to the daemon that
// sets the pace, one message for each endpoint at a time.
type answerReports map[balance.Endpoint]*pace.Answers

// permitPaced reports whether a request may be sent to an endpoint that has come back; if not, the
// choice has ended.
func (p *pools) permitPaced(ctx context.Context, service string, c balance.Choice) bool {
	d := p.permits.acquirePaced(ctx, c)
	result := permitResultTag(d.Granted)
	if d.Over {
		result = "over"
	}
	p.scope.Tagged(map[string]string{"service": service, "result": result}).Counter("pace_permits").Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch now := time.Now(); {
	case d.Over:
		p.pool(service).PaceOver(now, c)
	case !d.Granted:
		p.pool(service).Denied(now, c, d.Wait)
	}
	return d.Granted
}

// recordAnswer counts an answer of an endpoint that gets requests at a pace, and has it reported.
// elapsed is the time since the request was sent; failed is true if none began.
func (p *pools) recordAnswer(service string, c balance.Choice, elapsed time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.Paced || c.Cold || !p.pool(service).Paced(time.Now(), c) {
		return
	}
	pending, running := p.answers[c.Endpoint]
	if !running {
		pending = &pace.Answers{}
		p.answers[c.Endpoint] = pending
	}
	pending.Add(classify(c.Objective, elapsed, failed))
	if !running {
		p.background(func() { p.sendAnswers(c.Endpoint) })
	}
}

func classify(objective, elapsed time.Duration, failed bool) pace.Answers {
	if objective == 0 {
		objective = defaultObjective
	}
	switch {
	case elapsed > objective:
		return pace.Answers{Late: 1}
	case failed:
		return pace.Answers{Failed: 1}
	case elapsed > time.Duration(slowShare*float64(objective)):
		return pace.Answers{Slow: 1}
	}
	return pace.Answers{OnTime: 1}
}

// sendAnswers reports the answers of an endpoint until none are left.
func (p *pools) sendAnswers(e balance.Endpoint) {
	for {
		p.mu.Lock()
		pending := p.answers[e]
		if pending.Total() == 0 {
			delete(p.answers, e)
			p.mu.Unlock()
			return
		}
		sent := *pending
		*pending = pace.Answers{}
		p.mu.Unlock()
		p.permits.reportAnswers(e, sent)
	}
}

// acquirePaced requests a permit for one request to an endpoint that has come back.
func (p *permits) acquirePaced(ctx context.Context, c balance.Choice) pace.Decision {
	ctx, cancel := context.WithTimeout(ctx, maxColdPermitTime)
	defer cancel()
	reply := p.servePaced(ctx, &meshpb.PermitRequest{
		Endpoint: c.ID, Incarnation: c.Incarnation, Domain: c.Domain,
		Pace: &meshpb.Pace{Slots: int32(min(c.Slots, 1<<16)), ReturnedMs: time.Since(c.ReturnedAt).Milliseconds()},
	})
	return pace.Decision{Granted: reply.Granted, Over: reply.PaceOver, Wait: time.Duration(reply.WaitMs) * time.Millisecond}
}

// reportAnswers tells the daemon that sets the pace of an endpoint how it has answered.
func (p *permits) reportAnswers(e balance.Endpoint, a pace.Answers) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	p.servePaced(ctx, &meshpb.PermitRequest{
		Endpoint: e.ID, Incarnation: e.Incarnation, Domain: e.Domain, Report: true,
		Pace: &meshpb.Pace{OnTime: int32(a.OnTime), Slow: int32(a.Slow), Late: int32(a.Late), Failed: int32(a.Failed)},
	})
}

// servePaced answers a request of this daemon or of a peer about an endpoint that has come back. The
// daemon that ranks first in the endpoint's failure domain sets the pace; one that has no other daemon in
// sight does so itself. Without an answer the request is sent: a daemon whose link is full would otherwise pass
// over each endpoint that it has ejected for that.
func (p *permits) servePaced(ctx context.Context, r *meshpb.PermitRequest) *meshpb.PermitReply {
	owner, ok := p.peers.Grantor(rankKey(r.Endpoint), r.Domain, !p.stopping())
	if !ok || owner == "" || r.Hops >= maxColdHops {
		return p.decidePace(time.Now(), r)
	}
	reply, err := p.passOn(ctx, owner, r)
	if err != nil {
		return &meshpb.PermitReply{Granted: true, PaceOver: true}
	}
	return reply
}

func (p *permits) decidePace(now time.Time, r *meshpb.PermitRequest) *meshpb.PermitReply {
	key, q := pace.Key{Endpoint: r.Endpoint, Incarnation: r.Incarnation}, r.Pace
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Report {
		p.pace.Answered(now, key, pace.Answers{OnTime: int(q.OnTime), Slow: int(q.Slow), Late: int(q.Late), Failed: int(q.Failed)})
		return &meshpb.PermitReply{}
	}
	d := p.pace.Take(now, key, int(q.Slots), now.Add(-time.Duration(q.ReturnedMs)*time.Millisecond))
	switch {
	case d.Began:
		p.log.Info().Str("endpoint", r.Endpoint).Int64("incarnation", r.Incarnation).Int64("returned_ms", q.ReturnedMs).
			Msg("endpoint came back: its pace begins")
	case d.Ended:
		p.log.Info().Str("endpoint", r.Endpoint).Int64("incarnation", r.Incarnation).Dur("took_ms", d.Took).
			Int("narrowed", d.Narrowed).Msg("pace of an endpoint is over")
	}
	return &meshpb.PermitReply{Granted: d.Granted, PaceOver: d.Over, WaitMs: max(d.Wait.Milliseconds(), 1)}
}
