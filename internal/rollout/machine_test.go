package rollout

import (
	"flag"
	"maps"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260804", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// convergenceLimit is the time after the end of all faults within which each daemon
// must have the newest revision without a new edit. A revision missed by a stalled
// watch is found by a watcher's poll, at most 37.5 s later (30 s plus jitter), and
// announced immediately.
const convergenceLimit = 40 * time.Second

// Guards against a lost, duplicated or reverted revision, an edit without its audit
// entry, a broken hash chain and a daemon that stays behind, under concurrent edits,
// lost and late responses, partitions, restarts, stale events and reordering.
func TestRolloutMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		sim.start()
		actions := make(map[string]func(*rapid.T))
		for name, action := range sim.actions() {
			actions[name] = func(*rapid.T) { action() }
		}
		actions[""] = func(t *rapid.T) {
			if sim.err != nil {
				t.Fatal(sim.err)
			}
		}
		t.Repeat(actions)
		sim.heal(convergenceLimit)
		sim.checkConverged()
		if sim.err != nil {
			t.Fatal(sim.err)
		}
	})
}

// runRandomSteps runs a simulation with random choices from a seed and returns the
// first violated check.
func runRandomSteps(seed int64, steps int, setup func(*simulation)) error {
	r := rand.New(rand.NewSource(seed))
	sim := newSimulation(r.Intn)
	setup(sim)
	sim.start()
	actions := sim.actions()
	names := slices.Sorted(maps.Keys(actions))
	for range steps {
		actions[names[r.Intn(len(names))]]()
		if sim.err != nil {
			return sim.err
		}
	}
	sim.heal(convergenceLimit)
	sim.checkConverged()
	return sim.err
}

const (
	variantSeeds = 12
	variantSteps = 300
)

// Guards against seeds that fail without a defect, which would make the result of
// TestBrokenVariants meaningless.
func TestIntactVariant(t *testing.T) {
	for seed := range int64(variantSeeds) {
		if err := runRandomSteps(seed, variantSteps, func(*simulation) {}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Guards against invariant checks that cannot fail: at least one of the seeds must
// detect each deliberate defect.
func TestBrokenVariants(t *testing.T) {
	for name, setup := range map[string]func(*simulation){
		"retry is not recognised":           func(sim *simulation) { sim.faults.editor.ignoreOpID = true },
		"edits are not merged":              func(sim *simulation) { sim.faults.editor.skipMerge = true },
		"head is overwritten":               func(sim *simulation) { sim.faults.editor.blindSwap = true },
		"edit without audit entry":          func(sim *simulation) { sim.faults.editor.omitAuditEntry = true },
		"head before sections":              func(sim *simulation) { sim.faults.editor.headBeforeSections = true },
		"lower revision is installed":       func(sim *simulation) { sim.faults.follower.installLowerRevision = true },
		"restart does not wait for reports": func(sim *simulation) { sim.faults.follower.skipStartupWait = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(variantSeeds) {
				if err := runRandomSteps(seed, variantSteps, setup); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("no seed of %d finds the defect", variantSeeds)
		})
	}
}

// runCollections runs only collections, store faults and edits that often return to
// earlier content.
func runCollections(seed int64, steps int, setup func(*simulation)) error {
	r := rand.New(rand.NewSource(seed))
	sim := newSimulation(r.Intn)
	sim.accountCount, sim.weightCount = 1, 3
	setup(sim)
	actions := sim.actions()
	names := []string{"apply", "collect", "collect", "edit", "edit", "edits", "late write"}
	for range steps {
		actions[names[r.Intn(len(names))]]()
		for len(sim.sessions) > 4 && sim.err == nil {
			sim.stepSession(true)
		}
		if sim.err != nil {
			return sim.err
		}
	}
	return sim.err
}

const (
	collectSeeds = 40
	collectSteps = 300
)

// Guards against a collection that deletes content which a concurrent edit
// references again. Disabling either safeguard must be detected.
func TestCollection(t *testing.T) {
	for seed := range int64(collectSeeds) {
		if err := runCollections(seed, collectSteps, func(*simulation) {}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	for name, setup := range map[string]func(*simulation){
		"without fence":    func(sim *simulation) { sim.faults.editor.skipCollectionFence = true },
		"without rewrites": func(sim *simulation) { sim.faults.editor.skipContentRewrite = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(collectSeeds) {
				if err := runCollections(seed, collectSteps, setup); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("no seed of %d finds the defect", collectSeeds)
		})
	}
}
