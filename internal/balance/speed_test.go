package balance

import (
	"testing"
	"time"
)

// Guards against a short slowdown that is taken for an endpoint's usual time, a class that
// changes with each report, an old report that counts like a new one, and an endpoint that
// attracts all requests because it states that it is very fast.
func TestSpeedFollowsReports(t *testing.T) {
	p := newPool(9, 32)
	now := start
	report := func(id string, times ...float64) {
		for _, at := range times {
			now = now.Add(speedReportSpacing)
			p.RecordReport(now, id, LoadReport{Slots: 32, Slowdown: at})
		}
		p.updateMedian(now.Add(usualTimeMaxAge))
	}
	for id := range p.endpoints {
		report(id, 1, 1, 1)
	}
	report("e00", 2.5, 2.5, 1, 1, 1) // slow for half a second
	report("e01", 1.7, 1.7, 1.7, 4, 1.7, 1.7, 1.7)
	p.SetPeerLoad(now, "b", "e02", Load{UsualTime: 9, Reports: 9})
	report("e03", 0.01)
	if s := p.SlowEndpoints(); s.Count != 1 || len(s.Slower) != 1 || s.Slower[0] != "e01" || s.Median != 1 {
		t.Errorf("slow endpoints %+v, want e01 only", s)
	}
	report("e01", 1.3, 1.3, 1.3, 1.3, 1.3) // between both bounds
	if s := p.SlowEndpoints(); s.Count != 1 || len(s.Slower)+len(s.Faster) != 0 {
		t.Errorf("slow endpoints %+v, want no change", s)
	}
	report("e01", 1.1, 1.1, 1.1, 1.1, 1.1)
	if s := p.SlowEndpoints(); s.Count != 0 || len(s.Faster) != 1 {
		t.Errorf("slow endpoints %+v, want none", s)
	}
	now = now.Add(time.Second)
	report("e04", 2.5)
	e := p.endpoints["e04"]
	fresh, later := e.slowness(now, 1), e.slowness(now.Add(reportMaxAge), 1)
	if fresh != 2.5 || later != 1 {
		t.Errorf("factors %v and later %v, want 2.5 and 1", fresh, later)
	}
	if f := p.endpoints["e03"].slowness(now, 1); f < fastestRatio {
		t.Errorf("factor %v of an endpoint that states 0.01, want %v at least", f, fastestRatio)
	}
}

// Guards against a daemon with few requests that takes a slow endpoint for the home of shared
// prompts, which its peers know better.
func TestPeersTellSpeeds(t *testing.T) {
	a, b := newPool(3, 32), newPool(3, 32)
	for i := range sureReports {
		for id, at := range map[string]float64{"e00": 0.7, "e01": 0.7, "e02": 1.7} {
			a.RecordReport(start.Add(time.Duration(i)*speedReportSpacing), id, LoadReport{Slots: 32, Slowdown: at})
			a.RecordOutcome(start, id, Succeeded)
		}
	}
	now := start.Add(time.Second)
	for id, l := range a.OwnLoads(now) {
		b.SetPeerLoad(now, "a", id, l)
	}
	for _, p := range []*Pool{a, b} {
		for subject := range 50 {
			if c, ok := p.Choose(now, prompt(string(rune('a'+subject)), 5000, 100)); !ok || c.ID == "e02" {
				t.Errorf("chose %q, %v", c.ID, ok)
			}
		}
	}
	if n := b.SlowEndpoints().Count; n != 1 {
		t.Errorf("%d slow endpoints by a peer's reports, want 1", n)
	}
	// A request that may go to the slow endpoint only has its home there.
	r := prompt("a", 5000, 100)
	r.Domains = map[string]bool{"z2": true}
	if e := b.preferredEndpoint(r); e == nil || e.ID != "e02" {
		t.Errorf("preferred endpoint %+v, want e02", e)
	}
}

// Guards against a restarted endpoint that is taken for as slow as its former life, by peers that don't know
// of the restart yet.
func TestPeersTellNoSpeedOfAFormerLife(t *testing.T) {
	p := newPool(3, 32)
	e := p.endpoints["e00"].Endpoint
	slow := Load{UsualTime: 1.7, Reports: 9, Incarnation: e.Incarnation}
	p.SetPeerLoad(start, "a", e.ID, slow)
	e.Incarnation++
	p.Put(e)
	p.Reset(e.ID)
	p.SetPeerLoad(start.Add(time.Second), "a", e.ID, slow)
	p.SetPeerLoad(start.Add(2*time.Second), "b", e.ID, Load{UsualTime: 0.7, Reports: 3, Incarnation: e.Incarnation})
	if usual, ok := p.endpoints[e.ID].usualTime(start.Add(3 * time.Second)); !ok || usual != 0.7 {
		t.Errorf("usual time %v (known: %v), want 0.7 of the present life", usual, ok)
	}
}
