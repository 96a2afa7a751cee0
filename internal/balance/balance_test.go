package balance

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func newPool(n int, slots int) *Pool {
	p := New(Options{Domain: "z0", Limits: Limits{KVTokens: 500_000}})
	for i := range n {
		p.Put(Endpoint{ID: fmt.Sprintf("e%02d", i), Domain: fmt.Sprintf("z%d", i%3), Slots: slots})
	}
	return p
}

func prompt(subject string, shared, own int64) Request {
	return Request{
		Prompt:       []PromptPart{{ID: "system", Tokens: 500}, {ID: subject, Tokens: shared}, {ID: "own", Tokens: own}},
		PromptTokens: 500 + shared + own,
	}
}

// Guards against a shared prompt that is read at one endpoint after another,
// also by daemons that know nothing of each other's requests.
func TestSharedPromptKeepsEndpoint(t *testing.T) {
	pools := []*Pool{newPool(12, 64), newPool(12, 64)}
	endpoints := map[string]map[string]bool{}
	now := start
	for i := range 400 {
		subject := fmt.Sprintf("s%d", i%20)
		p := pools[i%2]
		c, ok := p.Choose(now, prompt(subject, 5000, 1500))
		if !ok {
			t.Fatal("no endpoint")
		}
		if endpoints[subject] == nil {
			endpoints[subject] = map[string]bool{}
		}
		endpoints[subject][c.ID] = true
		now = now.Add(40 * time.Millisecond)
		p.FirstToken(c, 90*time.Millisecond)
		p.Done(c, true)
	}
	for subject, ids := range endpoints {
		if len(ids) != 1 {
			t.Errorf("subject %s was read at %d endpoints", subject, len(ids))
		}
	}
}

// Guards against an endpoint that gets all requests of a busy subject while
// the others are idle.
func TestBusyPreferredEndpointSpills(t *testing.T) {
	p := newPool(12, 64)
	ids := map[string]int{}
	for range 60 { // long prompts at the same moment
		c, _ := p.Choose(start, prompt("hot", 5000, 20_000))
		ids[c.ID]++
	}
	if len(ids) < 6 {
		t.Errorf("60 long prompts went to %d of 12 endpoints", len(ids))
	}
}

// Guards against work for endpoints that leave, were tried, or fail, while a
// sound one is there.
func TestChooseAvoids(t *testing.T) {
	p := newPool(4, 6)
	p.Put(Endpoint{ID: "e00", Domain: "z0", Slots: 6, Leaving: true})
	for range maxUnreachableInRow {
		p.RecordOutcome(start, "e01", Unreachable)
	}
	for range maxInvalidInRow {
		p.RecordOutcome(start, "e02", NoValidResponse)
	}
	for range 6 {
		if c, ok := p.Choose(start, Request{}); !ok || c.ID != "e03" {
			t.Fatalf("chose %q, want e03", c.ID)
		}
	}
	if c, ok := p.Choose(start, Request{Tried: map[string]bool{"e03": true}}); !ok || c.ID == "e00" || c.ID == "e03" {
		t.Errorf("chose %q, %v; want an ejected endpoint rather than none", c.ID, ok)
	}
	if c, ok := p.Choose(start.Add(maxEjection), Request{Tried: map[string]bool{"e03": true, "e02": true}}); !ok || c.ID != "e01" {
		t.Errorf("chose %q, %v after the ejection; want e01", c.ID, ok)
	}
	p.Remove("e01")
	p.Remove("e02")
	if _, ok := p.Choose(start, Request{Tried: map[string]bool{"e03": true}}); ok {
		t.Error("an endpoint was chosen although none is left")
	}
}

// Guards against requests that can't be repeated at an endpoint that often
// fails them while its health answers are good.
func TestNonIdempotentRequestsAvoidFailingEndpoints(t *testing.T) {
	p := newPool(4, 6)
	for i := range 12 {
		o := Succeeded
		if i%2 == 0 {
			o = ErrorResponse
		}
		p.RecordOutcome(start, "e00", o)
	}
	for range 12 {
		if c, _ := p.Choose(start, Request{}); c.ID == "e00" {
			t.Fatal("a request that can't be repeated went to the failing endpoint")
		}
	}
}

// Guards against two daemons that send their requests to the same endpoint:
// a peer's load counts like one's own, until it is old.
func TestPeerLoadCounts(t *testing.T) {
	p := newPool(2, 6)
	p.SetPeerLoad(start, "peer", "e00", Load{Requests: 5})
	if c, _ := p.Choose(start, Request{}); c.ID != "e01" {
		t.Errorf("chose %s, which a peer keeps busy", c.ID)
	}
	if c, _ := p.Choose(start.Add(2*peerLoadMaxAge), Request{}); c.ID != "e00" {
		t.Errorf("chose %s; the peer's load is old", c.ID)
	}
}

// Guards against more connections to an endpoint than it accepts from all
// daemons together.
func TestConnectionShare(t *testing.T) {
	p := newPool(1, 64)
	p.SetLimits(Limits{MaxConnections: 10})
	p.SetDaemons(5)
	for range 2 {
		if _, ok := p.Choose(start, Request{}); !ok {
			t.Fatal("refused within the share")
		}
	}
	if _, ok := p.Choose(start, Request{}); ok {
		t.Error("a third request was sent; the daemon's share of 10 connections among 5 daemons is 2")
	}
}

// Guards against counts that drift: each request that ends leaves no load.
func TestDoneLeavesNoLoad(t *testing.T) {
	p := newPool(3, 6)
	var open []Choice
	for i := range 30 {
		c, _ := p.Choose(start, prompt(fmt.Sprint(i), 100, 100))
		open = append(open, c)
	}
	for i, c := range open {
		if i%2 == 0 {
			p.FirstToken(c, time.Millisecond)
		}
		p.Done(c, i%2 == 0)
	}
	for id, l := range p.OwnLoads(start) {
		if l.Requests != 0 || l.PrefillTokens != 0 {
			t.Errorf("endpoint %s has load %+v after all requests ended", id, l)
		}
	}
}
