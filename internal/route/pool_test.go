package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000_000, 0)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func endpoints(n int) []Endpoint {
	var out []Endpoint
	for k := range n {
		out = append(out, Endpoint{ID: EndpointID(fmt.Sprintf("e%04d", k)), Domain: fmt.Sprintf("d%d", k%3), Slots: 16})
	}
	return out
}

func newPool(n int) *Pool {
	p := New(Options{})
	p.Update(t0, endpoints(n))
	return p
}

// start dispatches a request and returns the chosen endpoint and the attempt.
func start(t testing.TB, p *Pool, now time.Time, r *Request, rng *rand.Rand) (EndpointID, *Attempt) {
	c, err := p.Choose(now, r, rng)
	if err != nil {
		t.Fatal(err)
	}
	a := &Attempt{}
	p.Started(now, c, r, a)
	return c.Endpoint, a
}

// Guards against errors without their type and against choices without an
// eligible endpoint.
func TestChooseErrors(t *testing.T) {
	p := New(Options{})
	if _, err := p.Choose(t0, &Request{}, newRand()); !errors.Is(err, ErrNoEndpoint) {
		t.Errorf("Choose on an empty pool: error %v, want ErrNoEndpoint", err)
	}
	set := endpoints(2)
	set[0].State = Leaving
	p.Update(t0, set)
	if _, err := p.Choose(t0, &Request{Exclude: []EndpointID{set[1].ID}}, newRand()); !errors.Is(err, ErrAllExcluded) {
		t.Errorf("Choose with every live endpoint excluded: error %v, want ErrAllExcluded", err)
	}
	for range 2 {
		_, a := start(t, p, t0, &Request{PredictedTokens: 10}, newRand())
		p.Finished(t0, a, ConnectFailed)
	}
	if id, _ := start(t, p, t0, &Request{}, newRand()); id != set[1].ID {
		t.Errorf("chose %s after connection failures, want the only live endpoint %s", id, set[1].ID)
	}
}

// Guards against uneven load, which results if the choice does not compare
// candidates.
func TestBalance(t *testing.T) {
	p, rng := newPool(30), newRand()
	for range 300 {
		start(t, p, t0, &Request{PredictedTokens: 200, Domain: "d0"}, rng)
	}
	for _, s := range p.Status() {
		if s.OwnInFlight < 6 || s.OwnInFlight > 14 {
			t.Errorf("%s has %d requests, want 6 to 14 with a mean of 10", s.ID, s.OwnInFlight)
		}
	}
}

// Guards against load of other daemons that is ignored, counted twice or kept
// after the digest of its daemon has expired.
func TestDigest(t *testing.T) {
	a, b, rng := newPool(40), newPool(40), newRand()
	for range 100 {
		start(t, a, t0, &Request{PredictedTokens: 250}, rng)
	}
	for range 2 { // a second digest replaces the first
		if err := b.SetPeerDigest(t0, "a", a.AppendDigest(nil, 0)); err != nil {
			t.Fatal(err)
		}
	}
	for k, s := range b.Status() {
		own := a.Status()[k]
		if s.PeersInFlight != own.OwnInFlight {
			t.Errorf("%s: %d requests from the digest, want %d", s.ID, s.PeersInFlight, own.OwnInFlight)
		}
		if s.PeersTokens < own.OwnTokens*6/10 || s.PeersTokens > own.OwnTokens*14/10 {
			t.Errorf("%s: %d tokens from the digest, want about %d", s.ID, s.PeersTokens, own.OwnTokens)
		}
	}
	if c := b.Capacity(); c.PeersInFlight != 100 || c.Peers != 1 {
		t.Errorf("capacity %+v, want 100 requests of one peer", c)
	}
	if n := len(a.AppendDigest(nil, 20)); n > 20 {
		t.Errorf("digest of %d bytes, limit 20", n)
	}
	b.Update(t0, endpoints(39))
	if err := b.SetPeerDigest(t0, "a", a.AppendDigest(nil, 0)); !errors.Is(err, ErrDigestLayout) {
		t.Errorf("digest for a different endpoint set: error %v, want ErrDigestLayout", err)
	}
	b.Tick(t0.Add(5 * time.Second))
	if c := b.Capacity(); c.PeersInFlight != 0 {
		t.Errorf("%d requests still counted after the digest expired", c.PeersInFlight)
	}
}

// Guards against digests that exceed the control traffic of a daemon: 29 peers
// in a failure domain of 307 endpoints at the target size, 6 peers in the
// current deployments.
func TestDigestTraffic(t *testing.T) {
	p, rng := newPool(307), newRand()
	for range 450 {
		start(t, p, t0, &Request{PredictedTokens: 250}, rng)
	}
	size := len(p.AppendDigest(nil, 0))
	every := DigestInterval(29, size)
	if rate := float64(29*(size+messageOverhead)) / every.Seconds(); rate > 13_100 || every > time.Second {
		t.Errorf("%d bytes every %v: %.0f bytes/s", size, every, rate)
	}
	if every := DigestInterval(6, 25); every != minDigestInterval {
		t.Errorf("interval %v for 6 peers, want the minimum", every)
	}
}

// Guards against malformed digests that cause a panic or leave partial load
// behind.
func TestDigestFormat(t *testing.T) {
	p := newPool(3)
	head := p.AppendDigest(nil, 0)[:digestHeaderSize]
	for _, body := range [][]byte{{0}, {0, 0}, {0, 4}, {0x11, 0x11, 0x11, 0x11}, {0, 3, 0x11}} {
		if err := p.SetPeerDigest(t0, "a", slices.Concat(head, body)); !errors.Is(err, ErrDigestFormat) {
			t.Errorf("body %v: error %v, want ErrDigestFormat", body, err)
		}
		if c := p.Capacity(); c.PeersInFlight != 0 || c.Peers != 0 {
			t.Errorf("body %v: capacity %+v, want no load of peers", body, c)
		}
	}
}

// Guards against ignoring load that appears only in delayed reports, because
// its daemons are unknown.
func TestReport(t *testing.T) {
	p := newPool(2)
	p.Tick(t0)
	now := t0.Add(2 * time.Second)
	_, a := start(t, p, now, &Request{PredictedTokens: 10}, newRand())
	p.RecordReport(now, "e0000", LoadReport{Running: 14, Waiting: 2, Age: 2 * time.Second})
	for range 10 {
		if id, _ := start(t, p, now, &Request{PredictedTokens: 10}, newRand()); id != "e0001" {
			t.Errorf("chose %s, which reported 16 requests", id)
		}
	}
	p.Finished(now, a, Completed)
	p.Tick(now.Add(7 * time.Second))
	if got := p.endpoints[0].unattributed; got != 0 {
		t.Errorf("%d requests still counted 7 s after the report", got)
	}
}

// Guards against affinity that moves a prefix without need or ignores cache
// events.
func TestAffinity(t *testing.T) {
	p, q, rng := newPool(20), newPool(20), newRand()
	r := &Request{PredictedTokens: 10, PrefixHash: 7, PrefixTokens: 500, Domain: "d0"}
	first, a := start(t, p, t0, r, rng)
	p.Finished(t0, a, Completed)
	if again, _ := start(t, p, t0, r, rng); again != first {
		t.Errorf("the prefix moved from %s to %s", first, again)
	}
	if other, _ := start(t, q, t0, r, rng); other != first {
		t.Errorf("daemons chose %s and %s for the same new prefix", first, other)
	}
	q.RecordCacheEvent(t0, CacheEvent{Endpoint: "e0009", Prefix: 9})
	r.PrefixHash = 9
	if id, _ := start(t, q, t0, r, rng); id != "e0009" {
		t.Errorf("chose %s, want e0009, which has the prefix cached", id)
	}
}

// checkPool drives a pool with random calls. It checks that no leaving or
// excluded endpoint is chosen, that affinity respects the load bound, and that
// the sums agree with those of the open attempts.
func checkPool(t *rapid.T, broken string) {
	p := New(Options{})
	p.broken = broken
	rng := newRand()
	now := t0
	set := endpoints(6)
	p.Update(now, set)
	var open []*Attempt
	t.Repeat(map[string]func(*rapid.T){
		"update": func(t *rapid.T) {
			k := rapid.IntRange(0, len(set)-1).Draw(t, "endpoint")
			set[k].State = State(rapid.IntRange(0, 1).Draw(t, "state"))
			p.Update(now, set)
		},
		"start": func(t *rapid.T) {
			r := &Request{PredictedTokens: rapid.IntRange(0, 900).Draw(t, "tokens"), Domain: "d1",
				PrefixHash: rapid.Uint64Range(0, 3).Draw(t, "prefix"), PrefixTokens: 100}
			for k, out := range rapid.SliceOfN(rapid.Bool(), 6, 6).Draw(t, "exclude") {
				if out {
					r.Exclude = append(r.Exclude, set[k].ID)
				}
			}
			c, err := p.Choose(now, r, rng)
			if err != nil {
				for _, e := range set {
					if e.State == Live && !slices.Contains(r.Exclude, e.ID) {
						t.Fatalf("Choose failed with %v although %s is live and not excluded", err, e.ID)
					}
				}
				return
			}
			at := slices.IndexFunc(set, func(e Endpoint) bool { return e.ID == c.Endpoint })
			if set[at].State == Leaving {
				t.Fatalf("chose %s, which is leaving", c.Endpoint)
			}
			if slices.Contains(r.Exclude, c.Endpoint) {
				t.Fatalf("chose %s, which is excluded", c.Endpoint)
			}
			if mean := float64(p.ownInFlight) / float64(len(p.ready)); c.Affinity && float64(p.endpoints[at].ownInFlight+1) > 1.25*mean+1 {
				t.Fatalf("affinity chose %s with %d requests, mean %.1f", c.Endpoint, p.endpoints[at].ownInFlight, mean)
			}
			a := &Attempt{}
			p.Started(now, c, r, a)
			open = append(open, a)
		},
		"token": func(t *rapid.T) {
			now = now.Add(30 * time.Millisecond)
			for _, a := range open {
				p.FirstToken(now, a)
				p.Tokens(now, a, rapid.IntRange(0, 40).Draw(t, "n"))
			}
			p.Tick(now)
		},
		"finish": func(t *rapid.T) {
			if len(open) > 0 {
				p.Finished(now, open[0], Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")))
				p.Finished(now, open[0], Completed) // further calls have no effect
				open = open[1:]
			}
		},
		"": func(t *rapid.T) {
			count, tokens := map[EndpointID]int{}, map[EndpointID]int{}
			for _, a := range open {
				count[a.Endpoint]++
				tokens[a.Endpoint] += int(a.remainingTokens)
			}
			for _, s := range p.Status() {
				if s.OwnInFlight != count[s.ID] || s.OwnTokens != tokens[s.ID] {
					t.Fatalf("%s has %d requests, %d tokens, want %d and %d", s.ID, s.OwnInFlight, s.OwnTokens, count[s.ID], tokens[s.ID])
				}
			}
			if c := p.Capacity(); c.OwnInFlight != len(open) {
				t.Fatalf("%d requests in flight, want %d", c.OwnInFlight, len(open))
			}
		},
	})
}

func TestPoolInvariants(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkPool(t, "") }) }

func TestBrokenVariantsFail(t *testing.T) {
	for _, name := range []string{"leaving", "excluded", "bound"} {
		t.Run(name, func(t *testing.T) {
			rapidtest.MustFail(t, func(t *rapid.T) { checkPool(t, name) })
		})
	}
}

// Guards against ejecting endpoints of a plain service because their requests
// differ in length, and against not avoiding slow ones.
func TestPlainServicePool(t *testing.T) {
	p, rng := New(Options{PlainService: true}), newRand()
	p.Update(t0, endpoints(6))
	now, slow := t0, 0
	for k := range 600 {
		work := []int{50, 50, 50, 1500}[k%4] // milliseconds
		c, err := p.Choose(now, &Request{PredictedTokens: work}, rng)
		if err != nil {
			t.Fatal(err)
		}
		a := &Attempt{}
		p.Started(now, c, &Request{PredictedTokens: work}, a)
		d := time.Duration(work) * time.Millisecond
		if k >= 300 && c.Endpoint == "e0002" {
			d *= 10
		}
		p.FirstToken(now.Add(d), a)
		p.Finished(now.Add(d), a, Completed)
		now = now.Add(20 * time.Millisecond)
		p.Tick(now)
		for _, s := range p.Status() {
			if s.Weight == 0 && (k < 300 || s.ID != "e0002") {
				t.Fatalf("request %d: %s is ejected, reason %s", k, s.ID, s.EjectReason)
			}
		}
		if k >= 300 && c.Endpoint == "e0002" {
			slow++
		}
	}
	// An equal share of the 300 requests would be 50.
	if slow == 0 || slow > 20 {
		t.Errorf("%d of 300 requests went to an endpoint that is 10 times slower, want 1 to 20", slow)
	}
}

// Guards against overloading a new endpoint because it has no load yet, and
// against not giving it its share later.
func TestNewEndpointRampsUp(t *testing.T) {
	p, rng, now := newPool(10), newRand(), t0
	for range 80 {
		start(t, p, now, &Request{PredictedTokens: 200}, rng)
	}
	p.Update(now, endpoints(11))
	share := func(n int) (got int) {
		for range n {
			id, a := start(t, p, now, &Request{PredictedTokens: 200}, rng)
			if id == "e0010" {
				got++
			} else {
				p.Finished(now, a, Completed)
			}
		}
		return got
	}
	if got := share(60); got > 2 {
		t.Errorf("a new endpoint got %d of 60 requests at once, want at most 2 as it starts with 10%% of 16 slots", got)
	}
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		p.Tick(now)
	}
	if got := share(60); got < 5 {
		t.Errorf("an endpoint without load got %d of 60 requests after ramp-up, want at least 5", got)
	}
}

// Guards against load that stays counted after the removal of its endpoint, and
// against an attempt that affects the endpoint that took the place of its own.
func TestRemovedEndpoint(t *testing.T) {
	p := newPool(1)
	_, a := start(t, p, t0, &Request{PredictedTokens: 50}, newRand())
	p.Update(t0, []Endpoint{{ID: "new", Domain: "d0"}})
	p.Tokens(t0, a, 10)
	p.Finished(t0, a, Completed)
	want := Capacity{Endpoints: 0.1, Slots: 1.6}
	if d := cmp.Diff(want, p.Capacity(), cmp.Comparer(func(x, y float64) bool { return x-y < 1e-6 && y-x < 1e-6 })); d != "" {
		t.Error(d)
	}
}
