package predict

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// Guards against predictions that ignore the cap, the account or the shape of
// the request.
func TestPredict(t *testing.T) {
	p := New(Options{})
	lookup := Features{Account: "a", Service: "s", PromptTokens: 200, MaxTokens: 128}
	plan := Features{Account: "a", Service: "s", PromptTokens: 200, MaxTokens: 4096}
	other := Features{Account: "b", Service: "s", PromptTokens: 200, MaxTokens: 128}
	if got := p.Predict(lookup); got.Tokens != 128 || got.P90Tokens != 128 {
		t.Errorf("without history: %+v, want the cap", got)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		p.Record(lookup, 30+rng.IntN(21))
		p.Record(plan, 1500+rng.IntN(1001))
		p.Record(other, 90+rng.IntN(21))
	}
	for _, c := range []struct {
		name      string
		f         Features
		low, high int
	}{
		{"lookup", lookup, 36, 44},
		{"plan", plan, 1800, 2200},
		{"other account", other, 95, 105},
		{"new account takes the shape's history", Features{Account: "c", Service: "s", PromptTokens: 200, MaxTokens: 128}, 40, 100},
		{"new service", Features{Service: "x"}, 256, 256},
		{"small cap", Features{Account: "a", Service: "s", PromptTokens: 200, MaxTokens: 5}, 5, 5},
	} {
		got := p.Predict(c.f)
		if got.Tokens < c.low || got.Tokens > c.high || got.P90Tokens < got.Tokens {
			t.Errorf("%s: %+v, want %d to %d", c.name, got, c.low, c.high)
		}
	}
	if got := p.Predict(plan).P90Tokens; got < 2250 || got > 2500 {
		t.Errorf("P90Tokens = %d for plans of which 90%% have up to 2400 tokens, want 2250 to 2500", got)
	}
}

// Guards against predictions that do not adapt when output lengths change.
func TestPredictionAdapts(t *testing.T) {
	p, f := New(Options{}), Features{Account: "a", Service: "s"}
	for range 200 {
		p.Record(f, 50)
	}
	for range 100 {
		p.Record(f, 500)
	}
	if got := p.Predict(f).Tokens; got < 450 {
		t.Errorf("predicted %d tokens after 100 answers of 500, want at least 450", got)
	}
}

// checkBounds checks that predictions stay within the request's cap and that the
// history stays within 10 cells.
func checkBounds(t *rapid.T, maxCells int) {
	p := New(Options{MaxCells: maxCells})
	t.Repeat(map[string]func(*rapid.T){
		"finish": func(t *rapid.T) {
			f := Features{Account: fmt.Sprint(rapid.IntRange(0, 50).Draw(t, "account")), Service: "s",
				PromptTokens: rapid.IntRange(0, 1<<20).Draw(t, "prompt"), MaxTokens: rapid.IntRange(0, 1<<20).Draw(t, "cap")}
			p.Record(f, rapid.IntRange(0, 1<<20).Draw(t, "tokens"))
			got := p.Predict(f)
			if got.Tokens < 1 || got.P90Tokens < got.Tokens || (f.MaxTokens > 0 && got.P90Tokens > max(f.MaxTokens, 1)) {
				t.Fatalf("predicted %+v for %+v", got, f)
			}
			if p.Cells() > 10 || len(p.keys) != p.Cells() {
				t.Fatalf("%d cells and %d keys, want equal numbers of at most 10", p.Cells(), len(p.keys))
			}
		},
	})
}

func TestBounds(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkBounds(t, 10) }) }

func TestBrokenVariantFails(t *testing.T) {
	rapidtest.MustFail(t, func(t *rapid.T) { checkBounds(t, 1000) })
}
