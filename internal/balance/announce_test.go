package balance

import (
	"testing"
	"time"
)

// Guards against sending requests to an endpoint that said in a response that it leaves: its
// entry may still say that it is ready, and may lapse and come back.
func TestEndpointThatSaidItLeavesGetsNoRequest(t *testing.T) {
	p := newPool(2, 6)
	leaving := Endpoint{ID: "e00", Domain: "z0", Slots: 6, Incarnation: 7}
	p.Put(leaving)
	if !p.RecordAnnouncement(start, leaving, Announcement{Leaving: true}) {
		t.Error("the first announcement changes nothing")
	}
	if p.RecordAnnouncement(start, leaving, Announcement{Leaving: true}) {
		t.Error("the second announcement counts as a change")
	}
	requireChosen := func(step, want string) {
		t.Helper()
		for range 4 {
			c, ok := p.Choose(start, Request{Tried: map[string]bool{"e01": want != "e01"}})
			if got := c.ID; got != want || ok != (want != "") {
				t.Fatalf("%s: chose %q, want %q", step, got, want)
			}
			p.Done(c, false)
		}
	}
	requireChosen("after the announcement", "e01")
	requireChosen("if the other one was tried", "")
	p.Put(leaving)
	requireChosen("after its entry was written again", "")
	p.Remove("e00")
	p.Put(leaving)
	requireChosen("after its entry lapsed and came back", "")
	if p.Available() != 1 {
		t.Errorf("%d endpoints available, want 1", p.Available())
	}
	restarted := leaving
	restarted.Incarnation = 8
	p.Put(restarted)
	p.RecordAnnouncement(start, leaving, Announcement{Leaving: true}) // a late response of the former incarnation
	requireChosen("after its restart", "e00")
}

// Guards against sending requests to an endpoint within the time for which it asked for
// none, and against waiting for such an endpoint without telling the caller how long.
func TestEndpointThatAskedForAPauseGetsNoRequest(t *testing.T) {
	p := newPool(2, 6)
	p.RecordAnnouncement(start, Endpoint{ID: "e00"}, Announcement{RetryAfter: 3 * time.Second})
	p.RecordAnnouncement(start, Endpoint{ID: "e00"}, Announcement{RetryAfter: time.Second}) // a shorter one ends no longer one
	p.RecordAnnouncement(start, Endpoint{ID: "e01"}, Announcement{RetryAfter: 2 * time.Second})
	for _, c := range []struct {
		after      time.Duration
		want       string
		retryAfter time.Duration
	}{
		{0, "", 2 * time.Second}, {1900 * time.Millisecond, "", 100 * time.Millisecond}, {2 * time.Second, "e01", 0},
		{2900 * time.Millisecond, "e01", 0}, {3 * time.Second, "e00", 0},
	} {
		got, ok := p.Choose(start.Add(c.after), Request{Tried: map[string]bool{"e01": c.want == "e00"}})
		if got.ID != c.want || ok != (c.want != "") || got.RetryAfter != c.retryAfter {
			t.Errorf("after %v: chose %q with retry after %v, want %q and %v", c.after, got.ID, got.RetryAfter, c.want, c.retryAfter)
		}
	}
	p.RecordAnnouncement(start, Endpoint{ID: "e00"}, Announcement{RetryAfter: 1000 * time.Hour})
	if got := p.pause(start, p.endpoints["e00"]); got != maxPause {
		t.Errorf("a pause of %v, want at most %v", got, maxPause)
	}
}

// Guards against memory that grows with the endpoints that ever left.
func TestNoticesAreBounded(t *testing.T) {
	p := newPool(2, 6)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 2 * maxPause)
		p.RecordAnnouncement(now, Endpoint{ID: string(rune('A' + i))}, Announcement{Leaving: true})
	}
	if len(p.notices) > 2 {
		t.Errorf("%d notices kept, want the last one or two", len(p.notices))
	}
}

// Guards against requests to an endpoint whose limit allows none for now, against callers that are
// not told when it does, and against a prompt that counts as cached where it was not sent.
func TestEndpointAtItsLimitIsPassedOver(t *testing.T) {
	p := newPool(2, 6)
	capped := Endpoint{ID: "e00", Domain: "z0", Slots: 6, Incarnation: 7}
	p.Put(capped)
	p.RecordAnnouncement(start, capped, Announcement{Limit: 2})
	r := Request{Prompt: []PromptPart{{ID: "a", Tokens: 5000}, {ID: "b", Tokens: 10}}, PromptTokens: 5010, Tried: map[string]bool{"e01": true}}
	c, ok := p.Choose(start, r)
	if !ok || c.ID != "e00" || c.Limit.PerSecond != 2 {
		t.Fatalf("chose %q with a limit of %v, want e00 with 2", c.ID, c.Limit.PerSecond)
	}
	p.Denied(start, c, 300*time.Millisecond)
	if c, ok := p.Choose(start, r); ok || c.RetryAfter != 300*time.Millisecond {
		t.Errorf("chose %q, retry after %v; want none and 300 ms", c.ID, c.RetryAfter)
	}
	again, ok := p.Choose(start.Add(300*time.Millisecond), r)
	if !ok || again.PrefillTokens != c.PrefillTokens {
		t.Errorf("%d tokens to process after a denial, want %d as before", again.PrefillTokens, c.PrefillTokens)
	}
	p.Permitted(start.Add(300*time.Millisecond), again, r)
	p.Done(again, true)
	if cached, _ := p.Choose(start.Add(time.Second), r); cached.PrefillTokens >= again.PrefillTokens {
		t.Errorf("%d tokens to process after the prompt was sent, want less than %d", cached.PrefillTokens, again.PrefillTokens)
	}
	r.WithoutLimited = true
	if c, ok := p.Choose(start.Add(time.Second), r); ok {
		t.Errorf("chose %q, which has a limit", c.ID)
	}
}

// Guards against a limit that outlives what the endpoint says, that a response under way ends, or
// that holds for the endpoint's next incarnation.
func TestLimitHoldsAsLongAsTheEndpointSaysSo(t *testing.T) {
	p := newPool(1, 6)
	e := Endpoint{ID: "e00", Domain: "z0", Slots: 6, Incarnation: 7}
	p.Put(e)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, step := range []struct {
		name    string
		at      int
		a       Announcement
		changed bool
		want    float64
	}{
		{"named", 100, Announcement{Limit: 3}, true, 3},
		{"named again", 200, Announcement{Limit: 3}, false, 3},
		{"another one", 300, Announcement{Limit: 1.5}, true, 1.5},
		{"a response that was under way", 350, Announcement{UnlimitedSince: at(250)}, false, 1.5},
		{"ended", 500, Announcement{UnlimitedSince: at(400)}, true, 0},
		{"named once more", 600, Announcement{Limit: 2}, true, 2},
	} {
		if changed := p.RecordAnnouncement(at(step.at), e, step.a); changed != step.changed {
			t.Errorf("%s: changed %v, want %v", step.name, changed, step.changed)
		}
		if got := p.LimitOf(e).PerSecond; got != step.want {
			t.Errorf("%s: limit %v, want %v", step.name, got, step.want)
		}
	}
	p.RecordLimit(at(700), e, RateLimit{PerSecond: 9, StatedAt: at(550)})
	if got := p.LimitOf(e).PerSecond; got != 2 {
		t.Errorf("limit %v after an older statement of a peer, want 2", got)
	}
	p.RecordLimit(at(800), e, RateLimit{StatedAt: at(750)})
	if got := p.LimitOf(e).PerSecond; got != 0 {
		t.Errorf("limit %v after a peer told of its end, want none", got)
	}
	p.RecordAnnouncement(at(900), e, Announcement{Limit: 2})
	e.Incarnation = 8
	p.Put(e)
	if c, _ := p.Choose(at(1000), Request{}); c.Limit.PerSecond != 0 {
		t.Errorf("limit %v after a restart, want none", c.Limit.PerSecond)
	}
}
