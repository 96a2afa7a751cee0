package balance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
)

// announceOracle keeps what each incarnation announced, without regard to entries.
type announceOracle struct {
	listed  map[string]Endpoint
	leaving map[incarnation]bool
	// pausedUntil is the end of the longest pause that the incarnation asked for.
	pausedUntil map[incarnation]time.Time
	// open lists the choices whose requests are open.
	open []Choice
}

func (o *announceOracle) lifeOf(id string) incarnation { return o.listed[id].incarnation() }

// allowed reports whether an endpoint may get a request.
func (o *announceOracle) allowed(now time.Time, id string) bool {
	e, ok := o.listed[id]
	return ok && !e.Leaving && !o.leaving[o.lifeOf(id)] && !now.Before(o.pausedUntil[o.lifeOf(id)])
}

// returning reports whether the endpoint's pause ended a short time ago.
func (o *announceOracle) returning(now time.Time, id string) bool {
	until, ok := o.pausedUntil[o.lifeOf(id)]
	return ok && now.Sub(until) < returnTime
}

// announceVariant changes a pool after an action, to break it on purpose.
type announceVariant struct {
	// removed is called after the entry of an endpoint was removed, announced instead of
	// RecordAnnouncement.
	removed   func(p *Pool, id string)
	announced func(p *Pool, now time.Time, e Endpoint, a Announcement)
}

// runAnnouncements plays entries, restarts, announcements, requests and the passing of time in
// any order, and compares the choices of a pool with the oracle.
func runAnnouncements(t *rapid.T, v announceVariant) {
	const slots = 4
	p, now := New(Options{Domain: "z0"}), start
	o := &announceOracle{
		listed: make(map[string]Endpoint), leaving: make(map[incarnation]bool), pausedUntil: make(map[incarnation]time.Time),
	}
	seen := []Endpoint{{ID: "e0", Slots: slots, Incarnation: 1}}
	id := rapid.SampledFrom([]string{"e0", "e1", "e2"})
	put := func(e Endpoint) {
		p.Put(e)
		o.listed[e.ID] = e
		seen = append(seen, e)
	}
	t.Repeat(map[string]func(*rapid.T){
		"entry": func(t *rapid.T) {
			e := Endpoint{ID: id.Draw(t, "id"), Slots: slots, Incarnation: 1, Leaving: rapid.IntRange(0, 5).Draw(t, "leaves") == 0}
			if former, ok := o.listed[e.ID]; ok {
				e.Incarnation = former.Incarnation
			}
			put(e)
		},
		"restart": func(t *rapid.T) {
			e := Endpoint{ID: id.Draw(t, "id"), Slots: slots, Incarnation: int64(len(seen) + 10)}
			put(e)
			p.Reset(e.ID)
		},
		"removal": func(t *rapid.T) {
			e := id.Draw(t, "id")
			p.Remove(e)
			delete(o.listed, e)
			if v.removed != nil {
				v.removed(p, e)
			}
		},
		"older entry comes back": func(t *rapid.T) {
			if e := rapid.SampledFrom(seen).Draw(t, "entry"); o.listed[e.ID].ID == "" {
				put(e)
			}
		},
		"announcement": func(t *rapid.T) {
			e := rapid.SampledFrom(seen).Draw(t, "endpoint as chosen")
			a := Announcement{
				Leaving:    rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
				RetryAfter: time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second,
			}
			l := e.incarnation()
			o.leaving[l] = o.leaving[l] || a.Leaving
			if until := now.Add(a.RetryAfter); a.RetryAfter > 0 && until.After(o.pausedUntil[l]) {
				o.pausedUntil[l] = until
			}
			if v.announced != nil {
				v.announced(p, now, e, a)
				return
			}
			p.RecordAnnouncement(now, e, a)
		},
		"time": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"request": func(t *rapid.T) {
			c, ok := p.Choose(now, Request{})
			if !ok {
				return
			}
			if !o.allowed(now, c.ID) {
				t.Fatalf("chose %s, which leaves or wants no requests", c.ID)
			}
			o.open = append(o.open, c)
		},
		"end of a request": func(*rapid.T) {
			if len(o.open) > 0 {
				p.Done(o.open[0], true)
				o.open = o.open[1:]
			}
		},
		"": func(t *rapid.T) { o.check(t, p, now) },
	})
}

// check requires that an endpoint that may get requests gets them, and that a refusal tells
// the time until the first one accepts them again.
func (o *announceOracle) check(t *rapid.T, p *Pool, now time.Time) {
	free, shortest := false, time.Duration(0)
	for id := range o.listed {
		free = free || o.allowed(now, id) && !o.returning(now, id)
		left := o.pausedUntil[o.lifeOf(id)].Sub(now)
		if left > 0 && !o.listed[id].Leaving && !o.leaving[o.lifeOf(id)] && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	c, ok := p.Choose(now, Request{})
	switch {
	case ok:
		p.Done(c, false)
	case free:
		t.Fatal("no endpoint although one accepts requests")
	case c.RetryAfter != shortest:
		t.Fatalf("refused with %v, want %v", c.RetryAfter, shortest)
	}
}

// Guards against requests to an endpoint that leaves or wants none, whatever its entry says
// and in whatever order entries, restarts and late answers come, and against an endpoint
// that gets none after it started anew.
func TestAnnouncementMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runAnnouncements(t, announceVariant{}) })
}

// Guards against a check that can't fail: it must detect each broken variant.
func TestAnnouncementBrokenVariants(t *testing.T) {
	record := func(change func(p *Pool, e *Endpoint, a *Announcement)) announceVariant {
		return announceVariant{announced: func(p *Pool, now time.Time, e Endpoint, a Announcement) {
			change(p, &e, &a)
			p.RecordAnnouncement(now, e, a)
		}}
	}
	for name, v := range map[string]announceVariant{
		"a lapsed entry ends the announcement": {removed: func(p *Pool, _ string) { clear(p.notices) }},
		"a shorter pause replaces a longer one": record(func(p *Pool, e *Endpoint, a *Announcement) {
			if n := p.notices[e.incarnation()]; a.RetryAfter > 0 {
				n.pausedUntil = time.Time{}
				p.notices[e.incarnation()] = n
			}
		}),
		"a late answer counts for the new incarnation": record(func(p *Pool, e *Endpoint, _ *Announcement) {
			if current, ok := p.endpoints[e.ID]; ok {
				e.Incarnation = current.Incarnation
			}
		}),
		"leaving is dropped": record(func(_ *Pool, _ *Endpoint, a *Announcement) { a.Leaving = false }),
	} {
		t.Run(name, func(t *testing.T) {
			rapidtest.MustFail(t, func(t *rapid.T) { runAnnouncements(t, v) })
		})
	}
}

// Guards against a burst of all daemons' requests at an endpoint whose pause has just ended.
func TestEndpointReturnsGraduallyAfterAPause(t *testing.T) {
	p := New(Options{Domain: "z0"})
	p.SetDaemons(4)
	e := Endpoint{ID: "e0", Domain: "z0", Slots: 64}
	p.Put(e)
	p.RecordAnnouncement(start, e, Announcement{RetryAfter: time.Second})
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{999 * time.Millisecond, 0}, {time.Second, 1}, {2 * time.Second, 9}, {3*time.Second - time.Millisecond, 16}, {3 * time.Second, 100}} {
		var open []Choice
		for range 100 {
			if c, ok := p.Choose(start.Add(step.after), Request{}); ok {
				open = append(open, c)
			}
		}
		if len(open) != step.want {
			t.Errorf("%d requests open %v after the answer, want %d", len(open), step.after, step.want)
		}
		for _, c := range open {
			p.Done(c, true)
		}
	}
	if leaving, paused := p.Announced(start); fmt.Sprint(leaving, paused) != "0 1" {
		t.Errorf("%d leave and %d want no requests, want 0 and 1", leaving, paused)
	}
}
