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

// Guards against a shared prefix that is processed at several endpoints although
// one suffices, also when daemons don't know of each other's requests.
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
			t.Errorf("shared prefix %s was processed at %d endpoints, want 1", subject, len(ids))
		}
	}
}

// Guards against an endpoint that gets all requests of a popular prefix while
// the others are idle.
func TestBusyPreferredEndpointSpills(t *testing.T) {
	p := newPool(12, 64)
	ids := map[string]int{}
	for range 60 { // concurrent requests with long prompts
		c, _ := p.Choose(start, prompt("hot", 5000, 20_000))
		ids[c.ID]++
	}
	if len(ids) < 6 {
		t.Errorf("60 long prompts went to %d of 12 endpoints", len(ids))
	}
}

// Guards against choosing endpoints that are leaving, were tried before or are
// ejected while a healthy one is available.
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
		t.Error("an endpoint was chosen although none is eligible")
	}
}

// Guards against sending requests to endpoints that are ejected because most of the pool is:
// in a partition the endpoints of the own failure domain are the only ones that answer.
func TestEndpointsThatAnswerServeInAPartition(t *testing.T) {
	p := newPool(12, 64)
	for i := range 12 {
		if i%3 == 0 {
			continue // z0, the daemon's own
		}
		for range maxUnreachableInRow {
			p.RecordOutcome(start, fmt.Sprintf("e%02d", i), Unreachable)
		}
	}
	for range 200 {
		if c, ok := p.Choose(start, Request{}); !ok || c.Domain != "z0" {
			t.Fatalf("chose %q of %q, want an endpoint of z0", c.ID, c.Domain)
		}
	}
}

// Guards against sending non-idempotent requests to an endpoint that fails many
// requests although its health checks succeed.
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
			t.Fatal("a non-idempotent request went to the failing endpoint")
		}
	}
}

// Guards against daemons that all choose the same endpoint because they ignore
// each other's load, and against load of a peer that counts after it expired.
func TestPeerLoadCounts(t *testing.T) {
	p := newPool(2, 6)
	p.SetPeerLoad(start, "peer", "e00", Load{Requests: 5})
	if c, _ := p.Choose(start, Request{}); c.ID != "e01" {
		t.Errorf("chose %s, which is busy with requests of a peer", c.ID)
	}
	if c, _ := p.Choose(start.Add(2*peerLoadMaxAge), Request{}); c.ID != "e00" {
		t.Errorf("chose %s, want e00 after the peer's load expired", c.ID)
	}
}

// Guards against exceeding an endpoint's connection limit, which the daemons
// divide equally among them.
func TestConnectionShare(t *testing.T) {
	p := newPool(1, 64)
	p.SetLimits(Limits{MaxConnections: 10})
	p.SetDaemons(5)
	for range 2 {
		if _, ok := p.Choose(start, Request{}); !ok {
			t.Fatal("no endpoint chosen although the connection share is not used up")
		}
	}
	if _, ok := p.Choose(start, Request{}); ok {
		t.Error("a third request was assigned; 5 daemons share 10 connections, 2 each")
	}
}

// Guards against load that stays counted after its requests have ended.
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
			t.Errorf("endpoint %s still has load %+v after all requests ended", id, l)
		}
	}
}

// Guards against refusing the requests of the daemon that gets most of its failure domain's while the
// others' connections are unused, and against exceeding the domain's part if the others use theirs or
// none of them is heard.
func TestConnectionsFollowDemand(t *testing.T) {
	for _, c := range []struct {
		name               string
		domain, peers, max int
	}{
		{"idle peers", 22, 0, 81}, {"busy peers", 22, 60, 62}, {"full peers", 22, 160, 7}, {"no peer heard", 1, 0, 7}, {"small fleet", 0, 0, 7},
	} {
		p := newPool(1, 1000)
		p.SetLimits(Limits{MaxConnections: 500})
		p.SetDaemons(68)
		p.SetDomainDaemons(c.domain)
		p.SetPeerLoad(start, "peer", "e00", Load{Requests: c.peers})
		n := 0
		for ; n < 500; n++ {
			if _, ok := p.Choose(start, Request{}); !ok {
				break
			}
		}
		if n != c.max {
			t.Errorf("%s: %d connections, want %d", c.name, n, c.max)
		}
	}
}
