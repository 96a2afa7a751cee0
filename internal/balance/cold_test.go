package balance

import (
	"testing"
	"time"
)

// coldPool returns a pool whose only endpoint a daemon has known for long.
func coldPool(paced bool) (*Pool, Endpoint) {
	p := New(Options{Domain: "z", Limits: Limits{Cold: ColdLimits{Period: 3 * time.Second, Rate: 12}, Paced: paced}})
	e := Endpoint{ID: "e", Domain: "z", Slots: 8, Incarnation: 1}
	p.Put(e)
	p.RecordEntry(start, e, Report{Sequence: 1, Initial: true})
	return p, e
}

// Guards against requests without a permit to an endpoint that is cold or may be, and against permits that are
// asked for a warm one.
func TestColdEndpoints(t *testing.T) {
	type step struct {
		at   time.Duration
		do   func(p *Pool, e Endpoint, now time.Time)
		cold bool
	}
	entry := func(incarnation, sequence int64, coldFor time.Duration) func(*Pool, Endpoint, time.Time) {
		return func(p *Pool, e Endpoint, now time.Time) {
			e.Incarnation = incarnation
			p.Put(e)
			p.RecordEntry(now, e, Report{Sequence: sequence, ColdFor: coldFor})
		}
	}
	outcome := func(o Outcome) func(*Pool, Endpoint, time.Time) {
		return func(p *Pool, e Endpoint, now time.Time) { p.RecordOutcome(now, e.ID, o) }
	}
	recovered := func(p *Pool, _ Endpoint, now time.Time) { p.Recovered(now, "z") }
	nothing := func(*Pool, Endpoint, time.Time) {}
	const s = time.Second
	for name, steps := range map[string][]step{
		"cold again without a restart": {{0, entry(1, 2, 2*s), true}, {1900 * time.Millisecond, nothing, true}, {2 * s, nothing, false}},
		"the same report once more":    {{0, entry(1, 2, s), true}, {s, entry(1, 2, s), false}},
		"warm sooner than it said":     {{0, entry(1, 2, 3*s), true}, {s, entry(1, 3, 0), false}},
		"restart that only a connection shows": {
			{0, outcome(Unreachable), true}, {5 * s, nothing, true}, {6 * s, outcome(Succeeded), true}, {9 * s, nothing, false},
		},
		"report from before the connection broke": {
			{0, outcome(NoValidResponse), true}, {s, entry(1, 2, 0), true}, {3 * s, entry(1, 3, 0), false},
		},
		"new start that is warm":            {{0, outcome(Unreachable), true}, {s, entry(2, 1, 0), false}},
		"failure domain taken back":         {{0, recovered, true}, {s, entry(1, 2, 0), true}, {3 * s, nothing, false}},
		"told by an answer, restarted warm": {{0, func(p *Pool, e Endpoint, now time.Time) { p.RecordAnnouncement(now, e, Announcement{ColdFor: s}) }, true}, {s / 2, entry(2, 1, 0), false}},
	} {
		t.Run(name, func(t *testing.T) {
			p, e := coldPool(false)
			begin := start.Add(time.Minute)
			for i, step := range steps {
				now := begin.Add(step.at)
				step.do(p, e, now)
				c, ok := p.Choose(now, Request{})
				if !ok || c.Cold != step.cold || c.NeedsPermit() != step.cold {
					t.Fatalf("step %d: cold %v (chosen %v), want %v", i, c.Cold, ok, step.cold)
				}
				p.Done(c, false)
			}
		})
	}
}

// Guards against an endpoint that is chosen again at once where there is no permit, and against one that
// requests without permits reach although they leave it out.
func TestDeniedColdEndpoint(t *testing.T) {
	p, e := coldPool(false)
	p.RecordCold(start, e, time.Second, false)
	c, _ := p.Choose(start, Request{})
	p.Denied(start, c, 100*time.Millisecond)
	if c, ok := p.Choose(start, Request{}); ok || c.RetryAfter != 100*time.Millisecond {
		t.Errorf("chosen %v, retry after %v, want none for 100 ms", ok, c.RetryAfter)
	}
	if _, ok := p.Choose(start.Add(200*time.Millisecond), Request{WithoutLimited: true}); ok {
		t.Error("a request without permits reaches a cold endpoint")
	}
}

// Guards against an endpoint that comes back without a pace, and against a pace without an end or for an
// endpoint whose entry only lapsed.
func TestPacedEndpoints(t *testing.T) {
	now := start.Add(time.Minute)
	for name, c := range map[string]struct {
		comeBack func(p *Pool, e *Endpoint)
		paced    bool
	}{
		"restarted":    {func(p *Pool, e *Endpoint) { e.Incarnation = 2; p.Put(*e); p.RecordEntry(now, *e, Report{}) }, true},
		"entry lapsed": {func(p *Pool, e *Endpoint) { p.Remove(e.ID); p.Put(*e); p.RecordEntry(now, *e, Report{Sequence: 9}) }, false},
		"paused": {func(p *Pool, e *Endpoint) {
			p.RecordAnnouncement(now.Add(-time.Second), *e, Announcement{RetryAfter: time.Second})
		}, true},
		"domain recovered": {func(p *Pool, _ *Endpoint) { p.Recovered(now, "z") }, true},
		"ejected, answers": {func(p *Pool, e *Endpoint) {
			p.RecordOutcome(now, e.ID, Unreachable)
			p.RecordOutcome(now, e.ID, Unreachable)
			p.RecordOutcome(now, e.ID, Succeeded)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p, e := coldPool(true)
			c.comeBack(p, &e)
			choice, _ := p.Choose(now, Request{})
			if choice.Paced != c.paced {
				t.Fatalf("paced %v, want %v", choice.Paced, c.paced)
			}
			if p.Paced(now.Add(paceTimeout), choice) {
				t.Error("paced for ever")
			}
			p.PaceOver(now, choice)
			if p.Paced(now, choice) {
				t.Error("paced after the end")
			}
		})
	}
}

// Guards against a peer whose message keeps an endpoint cold for ever.
func TestPeerTellsOfAtMostOneColdPeriod(t *testing.T) {
	p, e := coldPool(false)
	for _, told := range []time.Duration{24 * time.Hour, -time.Hour} {
		p.RecordCold(start, e, told, false)
		if p.Cold(start.Add(p.opts.Cold.Period)) != 0 {
			t.Errorf("cold after a whole period where a peer told %v", told)
		}
	}
	if p.RecordCold(start, e, 2*p.opts.Cold.Period, true); p.Cold(start.Add(p.opts.Cold.Period)) != 1 {
		t.Error("the time that the endpoint itself stated is cut")
	}
}

// Guards against a late report of an earlier life of an endpoint that ends the cold period of its present one.
func TestLateReportOfAnEarlierLifeDoesNotWarm(t *testing.T) {
	p := newPool(1, 8)
	p.SetLimits(Limits{Cold: ColdLimits{Period: 8 * time.Second, Rate: 10}})
	e := p.endpoints["e00"].Endpoint
	e.Incarnation = 1
	p.Put(e)
	p.RecordEntry(start, e, Report{Sequence: 1})
	next := e
	next.Incarnation = 2
	p.RecordCold(start, next, 8*time.Second, false)
	p.RecordEntry(start.Add(3*time.Second), e, Report{Sequence: 2})
	if p.Cold(start.Add(3*time.Second)) != 1 {
		t.Error("the endpoint counts as warm")
	}
}
