package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000_000, 0)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// Guards against isolation that comes too late, isolates requests that ran beside
// a poison request, or does not end.
func TestVerdicts(t *testing.T) {
	type crashEvent struct {
		at       float64
		endpoint string
		digests  []Digest
	}
	for _, c := range []struct {
		name    string
		crashes []crashEvent
		checkAt float64
		want    map[Digest]Verdict
	}{
		{"unknown", nil, 0, map[Digest]Verdict{1: Allowed}},
		{"one crash", []crashEvent{{0, "a", []Digest{1, 2}}}, 1, map[Digest]Verdict{1: Watched, 2: Watched}},
		{"two crashes, one suspect", []crashEvent{{0, "a", []Digest{1, 2}}, {1, "b", []Digest{1, 3}}}, 2,
			map[Digest]Verdict{1: Isolated, 2: Watched, 3: Watched}},
		{"two crashes, two suspects", []crashEvent{{0, "a", []Digest{1, 2}}, {1, "b", []Digest{1, 2}}}, 2,
			map[Digest]Verdict{1: Suspect, 2: Suspect}},
		{"three crashes", []crashEvent{{0, "a", []Digest{1, 2}}, {1, "b", []Digest{1, 2}}, {2, "c", []Digest{1}}}, 3,
			map[Digest]Verdict{1: Isolated, 2: Suspect}},
		{"one crash, reported twice", []crashEvent{{0, "a", []Digest{1}}, {1, "a", []Digest{1}}}, 2,
			map[Digest]Verdict{1: Watched}},
		{"same endpoint, later", []crashEvent{{0, "a", []Digest{1}}, {40, "a", []Digest{1}}}, 41,
			map[Digest]Verdict{1: Isolated}},
		{"coincidence ends after a minute", []crashEvent{{0, "a", []Digest{1}}, {1, "b", []Digest{1}}}, 62,
			map[Digest]Verdict{1: Suspect}},
		{"third crash lasts", []crashEvent{{0, "a", []Digest{1}}, {1, "b", []Digest{1}}, {62, "c", []Digest{1}}}, 1800,
			map[Digest]Verdict{1: Isolated}},
		{"window", []crashEvent{{0, "a", []Digest{1}}}, 3601, map[Digest]Verdict{1: Allowed}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, peer := New(Options{}), New(Options{})
			for _, x := range c.crashes {
				r.RecordCrash(at(x.at), x.endpoint, x.digests)
				entries := r.TakePending()
				peer.Merge(at(x.at), entries)
				peer.Merge(at(x.at), entries) // merging is idempotent
			}
			joined := New(Options{})
			joined.Merge(at(c.checkAt), r.Entries())
			for name, registry := range map[string]*Registry{"own": r, "peer": peer} {
				registry.Tick(at(c.checkAt))
				got := map[Digest]Verdict{}
				for d := range c.want {
					got[d] = registry.Begin(at(c.checkAt), d).Verdict
				}
				if d := cmp.Diff(c.want, got); d != "" {
					t.Errorf("%s: %s", name, d)
				}
			}
			if d := cmp.Diff(r.Entries(), joined.Entries()); d != "" {
				t.Errorf("daemon that joined: %s", d)
			}
		})
	}
}

// Guards against a healthy request that remains isolated after it completed, and
// against several concurrent trials of a suspect digest.
func TestTrialAndClear(t *testing.T) {
	r, peer := New(Options{}), New(Options{})
	r.RecordCrash(t0, "a", []Digest{1, 2})
	r.RecordCrash(at(1), "b", []Digest{1, 2})
	peer.Merge(at(1), r.TakePending())
	if v := r.Begin(at(2), 1).Verdict; v != Suspect {
		t.Fatalf("verdict %v, want Suspect", v)
	}
	if d := r.Begin(at(2), 1); d.Verdict != Isolated || d.RetryAfter <= 0 {
		t.Errorf("second request during the trial: %+v, want Isolated with a RetryAfter", d)
	}
	r.End(at(5), 1, true)
	peer.Merge(at(5), r.TakePending())
	for name, reg := range map[string]*Registry{"own": r, "peer": peer} {
		if v := reg.Begin(at(6), 1).Verdict; v != Allowed {
			t.Errorf("%s: verdict %v after completion, want Allowed", name, v)
		}
	}
	r.RecordCrash(at(7), "c", []Digest{1})
	if v := r.Begin(at(8), 1).Verdict; v != Allowed {
		t.Errorf("verdict %v on a request that completed recently, want Allowed", v)
	}
}

// checkRegistry checks with random crashes that two daemons with the same entries
// agree, and that no digest runs after maxCrashes crashes.
func checkRegistry(t *rapid.T, broken string) {
	r, peer := New(Options{}), New(Options{})
	r.broken = broken
	now := t0
	count := map[Digest]int{}
	t.Repeat(map[string]func(*rapid.T){
		"crash": func(t *rapid.T) {
			now = now.Add(5 * time.Second)
			d := Digest(rapid.IntRange(1, 6).Draw(t, "digest"))
			if r.Begin(now, d).Verdict == Isolated {
				return
			}
			if count[d] >= maxCrashes {
				t.Fatalf("digest %d runs after %d crashes", d, count[d])
			}
			count[d]++
			r.RecordCrash(now, fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "endpoint")),
				[]Digest{d, Digest(rapid.IntRange(100, 120).Draw(t, "neighbour"))})
			r.End(now, d, false)
			peer.Merge(now, r.TakePending())
		},
		"": func(t *rapid.T) {
			if d := cmp.Diff(r.Entries(), peer.Entries()); d != "" {
				t.Fatal(d)
			}
			if d := cmp.Diff(r.IsolatedDigests(now), peer.IsolatedDigests(now)); d != "" {
				t.Fatal(d)
			}
		},
	})
}

func TestRegistryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkRegistry(t, "") })
}

func TestBrokenVariantFails(t *testing.T) {
	rapidtest.MustFail(t, func(t *rapid.T) { checkRegistry(t, "isolation") })
}

// Guards against memory that grows with the number of digests or endpoints.
func TestBoundedMemory(t *testing.T) {
	r := New(Options{MaxDigests: 8})
	r.RecordCrash(t0, "a", []Digest{1})
	r.RecordCrash(at(10), "b", []Digest{1})
	for k := range 1000 {
		r.RecordCrash(at(20+float64(k)), fmt.Sprint("e", k), []Digest{Digest(1000 + k)})
	}
	if len(r.records) > 8 || len(r.digestsByEndpoint) > 9 {
		t.Errorf("%d records of at most 8, %d endpoints of at most 9", len(r.records), len(r.digestsByEndpoint))
	}
	if v := r.Begin(at(20), 1).Verdict; v != Isolated {
		t.Errorf("verdict %v on the digest with the most crashes, want Isolated", v)
	}
	r.Tick(at(5000))
	if len(r.records)+len(r.digestsByEndpoint) != 0 {
		t.Errorf("%d records and %d endpoints after the crash window, want none", len(r.records), len(r.digestsByEndpoint))
	}
}
