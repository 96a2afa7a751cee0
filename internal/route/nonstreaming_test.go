package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against ejecting an endpoint as stalled because its responses are long
// and not streamed, and against keeping one that fails such responses.
func TestNonStreamingResponses(t *testing.T) {
	for _, c := range []struct {
		name    string
		opaque  bool
		outcome Outcome
		ejected bool
	}{
		{"long non-streaming response", true, Completed, false},
		{"stream without progress", false, Completed, true},
		{"failed non-streaming responses", true, FailedAfterDispatch, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, now := New(Options{}), time.Unix(1000, 0)
			p.Update(now, []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}})
			rng := rand.New(rand.NewPCG(1, 1))
			warmUp(t, p, &now, rng)
			ejected := false
			for range 3 {
				var a Attempt
				r := &Request{PredictedTokens: 100, NonStreaming: c.opaque, Exclude: []EndpointID{"b", "c", "d"}}
				choice, err := p.Choose(now, r, rng)
				if err != nil {
					t.Fatal(err)
				}
				p.Started(now, choice, r, &a)
				for range 50 { // 5 s in total
					now = now.Add(100 * time.Millisecond)
					p.Tick(now)
					ejected = ejected || p.Status()[0].EjectReason != ""
				}
				p.Finished(now, &a, c.outcome)
				ejected = ejected || p.Status()[0].EjectReason != ""
			}
			if ejected != c.ejected {
				t.Errorf("ejected: %v, want %v; status %+v", ejected, c.ejected, p.Status()[0])
			}
		})
	}
}

// warmUp feeds the pool short streams so that it learns the usual latencies.
func warmUp(t *testing.T, p *Pool, now *time.Time, rng *rand.Rand) {
	for range 100 {
		_, a := start(t, p, *now, &Request{PredictedTokens: 4}, rng)
		for range 4 {
			*now = now.Add(20 * time.Millisecond)
			p.FirstToken(*now, a)
			p.Tokens(*now, a, 1)
		}
		p.Finished(*now, a, Completed)
		p.Tick(*now)
	}
}
