package order

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of rapid's test cases; flags on the
// command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// oddCheckFencing lets each second endpoint of a rig refuse stale fencing tokens.
func oddCheckFencing(i int) bool { return i%2 == 1 }

// runHistory draws pauses, outages, lost answers, late sends and version
// changes, then ends all faults and expects the last version at each endpoint.
// It returns the violations.
func runHistory(t *rapid.T) []string {
	r := newRig(rapid.Uint64().Draw(t, "seed"), 8, oddCheckFencing, disabledRules{})
	if rapid.Bool().Draw(t, "late") {
		r.sendDelay, r.allowLate = 40*time.Second, true
	}
	r.losePercent = rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "lose")
	version := "1"
	for range rapid.IntRange(1, 10).Draw(t, "steps") {
		m := rapid.SampledFrom(r.daemons).Draw(t, "member")
		switch rapid.IntRange(0, 4).Draw(t, "fault") {
		case 0:
			m.pausedUntil = r.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * time.Second)
		case 1:
			r.store.SetFaults(memstore.Faults{Outage: rapid.Bool().Draw(t, "outage")})
		case 2:
			r.store.SetFaults(memstore.Faults{LoseAnswers: rapid.IntRange(1, 3).Draw(t, "lost")})
		case 3, 4:
			version = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version")
			r.setDesired(Desired{
				Version: version, MaxUnavailableShare: 0.3, LoadInterval: 2 * time.Second, MaxLoadTime: 20 * time.Second,
			})
		}
		r.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * time.Second)
	}
	r.store.SetFaults(memstore.Faults{})
	r.losePercent, r.sendDelay = 0, min(r.sendDelay, 50*time.Millisecond)
	r.run(6 * time.Minute)
	r.checkVersions(version)

	return r.failures
}

// TestOrderHistories guards against an order that is applied twice, sent
// without a recorded intent, or applied after a newer one, and against a
// service that does not reach its desired state.
func TestOrderHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if f := runHistory(t); len(f) > 0 {
			t.Fatalf("%d failures, the first: %v", len(f), f[:min(3, len(f))])
		}
	})
}

// TestOrderRules runs one history for each rule: it must show no failure, and
// must show one when the rule is disabled.
func TestOrderRules(t *testing.T) {
	// The first of two holders is paused while or after an intent is recorded,
	// and resumes after the second has taken the duty.
	takeover := func(rules disabledRules) []string {
		var all []string
		for ms := range 40 {
			r := newRig(uint64(ms), 6, oddCheckFencing, rules)
			r.sendDelay = 3 * time.Second
			r.run(5 * time.Second)
			r.setDesired(Desired{
				Version: "2", MaxUnavailableShare: 0.5, LoadInterval: time.Second, MaxLoadTime: 20 * time.Second,
			})
			for range 3 {
				r.run(time.Duration(3+ms%4) * 250 * time.Millisecond)
				for _, m := range r.daemons {
					if _, _, ok := m.holder.Fence(r.now); ok {
						m.pausedUntil = r.now.Add(25 * time.Second)
					}
				}
				r.run(30 * time.Second)
			}
			r.run(5 * time.Minute)
			r.checkVersions("2")
			all = append(all, r.failures...)
		}
		return all
	}
	// The store is unavailable when the holder wants to record an intent, so
	// that the record differs from the draft.
	conflict := func(rules disabledRules) []string {
		r := newRig(2, 6, oddCheckFencing, rules)
		r.run(5 * time.Second)
		r.store.SetFaults(memstore.Faults{Outage: true})
		r.setDesired(Desired{Version: "2", MaxUnavailableShare: 0.5, LoadInterval: time.Second})
		r.run(5 * time.Second)
		return r.failures
	}
	share := func(rules disabledRules) []string {
		r := newRig(3, 10, oddCheckFencing, rules)
		r.maxUnavailable = 2
		r.setDesired(Desired{Version: "2", MaxUnavailableShare: 0.2, LoadInterval: time.Second})
		r.run(5 * time.Minute)
		r.checkVersions("2")
		return r.failures
	}
	for name, c := range map[string]struct {
		disabled disabledRules
		run      func(disabledRules) []string
	}{
		"an order of another holder is not sent again":       {disabledRules{resendIntents: true}, takeover},
		"an order is sent after its intent is recorded":      {disabledRules{sendBeforeRecord: true}, conflict},
		"a rollout keeps the capacity that operators demand": {disabledRules{ignoreMaxShare: true}, share},
	} {
		t.Run(name, func(t *testing.T) {
			if f := c.run(disabledRules{}); len(f) > 0 {
				t.Errorf("failures: %v", f[:min(3, len(f))])
			}
			if f := c.run(c.disabled); len(f) == 0 {
				t.Error("the checks found no failure with the rule disabled")
			}
		})
	}
}

// TestRolloutHalts guards against a bad version that spreads: the rollout halts,
// continues after an operator's resume, and a later bad version is rolled back
// when the previous one is desired again.
func TestRolloutHalts(t *testing.T) {
	r := newRig(4, 10, oddCheckFencing, disabledRules{})
	r.badVersions["2"] = true
	d := Desired{Version: "2", MaxUnavailableShare: 0.2, LoadInterval: time.Second}
	r.setDesired(d)
	r.run(10 * time.Minute)
	p := r.daemons[0].controller.Progress()
	if r.daemons[1].controller.duty.Held {
		p = r.daemons[1].controller.Progress()
	}
	if p.Halt == nil || countVersion(r, "2") != 2 {
		t.Fatalf("halt %v with %d endpoints changed, want a halt after 2", p.Halt, countVersion(r, "2"))
	}
	r.badVersions["2"] = false
	for _, e := range r.endpoints {
		e.Healthy = true
	}
	r.run(2 * time.Minute)
	if countVersion(r, "2") != 2 {
		t.Errorf("the rollout continued without an operator's resume")
	}
	d.Resume = 1
	r.setDesired(d)
	r.run(5 * time.Minute)
	r.checkVersions("2")
	r.badVersions["3"] = true
	d.Version = "3"
	r.setDesired(d)
	r.run(5 * time.Minute)
	d.Version = "2"
	r.setDesired(d)
	r.run(5 * time.Minute)
	r.checkVersions("2")
	if len(r.failures) > 0 {
		t.Errorf("failures: %v", r.failures)
	}
}

func countVersion(r *rig, version string) int {
	n := 0
	for _, e := range r.endpoints {
		if e.Version == version {
			n++
		}
	}
	return n
}

// TestLoadsAreSpaced guards against loads that exceed the rate limit of the
// weight store, and against a rollout that continues although its loads fail.
func TestLoadsAreSpaced(t *testing.T) {
	r := newRig(5, 10, oddCheckFencing, disabledRules{})
	r.setDesired(Desired{Version: "2", MaxUnavailableShare: 1, LoadInterval: 7 * time.Second})
	r.run(5 * time.Minute)
	r.checkVersions("2")
	for i := 1; i < len(r.loadTimes); i++ {
		// The transit time of an order varies by up to 50 ms, and time advances in
		// steps of 250 ms.
		if gap := r.loadTimes[i].Sub(r.loadTimes[i-1]); gap < 7*time.Second-250*time.Millisecond {
			t.Errorf("load %d follows %s after the previous one, want 7 s", i, gap)
		}
	}
	for _, e := range r.endpoints {
		e.refuseAll = true
	}
	r.setDesired(Desired{Version: "3", MaxUnavailableShare: 1, LoadInterval: time.Second})
	r.run(2 * time.Minute)
	for _, m := range r.daemons {
		if p := m.controller.Progress(); m.controller.duty.Held && p.Halt == nil {
			t.Errorf("the rollout continues after %d failed loads", p.Failed)
		}
	}
	if len(r.failures) > 0 {
		t.Errorf("failures: %v", r.failures)
	}
}

// TestPlan guards the plan that operators see: steps that keep to the capacity
// limit, what orders wait for, and the risk at endpoints without fencing.
func TestPlan(t *testing.T) {
	now := time.Unix(100, 0)
	observed := []Observed{
		{Endpoint: "a", Model: "m", Version: "1", Healthy: true, ChecksFencing: true},
		{Endpoint: "b", Model: "m", Version: "1", Healthy: true},
		{Endpoint: "c", Model: "m", Version: "2", Adapters: []string{"x"}, Healthy: true},
		{Endpoint: "d", ChecksFencing: true, Healthy: true},
		{Endpoint: "e", Model: "m", Version: "1", Healthy: true, Leaving: true},
	}
	r := &Record{LastID: 1, Orders: []Order{
		{ID: 1, Endpoint: "b", Action: Action{LoadVersion, "2"}, State: Unknown, At: now},
	}}
	got := Plan(Desired{
		Model: "m", Version: "2", Adapters: []string{"x"}, MaxUnavailableShare: 0.25, MaxLoadTime: time.Minute,
	}, observed, r, now)
	wait := "the end of sends by an earlier holder: a report shows the outcome of order 1 after 00:02:55"
	want := []Planned{
		{1, "a", Action{LoadVersion, "2"}, "", ""}, {1, "a", Action{LoadAdapter, "x"}, "", ""},
		{1, "d", Action{LoadModel, "m@2"}, "", ""}, {1, "d", Action{LoadAdapter, "x"}, "", ""},
		{2, "b", Action{LoadVersion, "2"}, wait, LateOrderRisk}, {2, "b", Action{LoadAdapter, "x"}, wait, LateOrderRisk},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
}

// TestRecordRoundTrip guards the encoding of the record.
func TestRecordRoundTrip(t *testing.T) {
	want := &Record{
		Service: "chat", Fence: 7, LastID: 2,
		Orders:   []Order{{ID: 2, Endpoint: "a", State: Done, At: time.Unix(1, 0).UTC()}},
		LastLoad: time.Unix(2, 0).UTC(), Halt: &Halt{Version: "2"},
	}
	b, err := want.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unmarshal(b)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	if _, err := Unmarshal([]byte("{")); err == nil {
		t.Error("a broken record is accepted")
	}
}

// TestLateOrders shows what remains possible at endpoints that ignore fencing
// tokens, and guards against the same at endpoints that check them: an order that
// arrives minutes late is applied after a newer one, once. The service must still
// reach its desired state.
func TestLateOrders(t *testing.T) {
	late := 0
	for seed := range uint64(20) {
		r := newRig(seed, 6, oddCheckFencing, disabledRules{})
		r.sendDelay, r.allowLate = 3*time.Minute, true
		for _, version := range []string{"2", "3"} {
			r.setDesired(Desired{
				Version: version, MaxUnavailableShare: 0.5, LoadInterval: time.Second, MaxLoadTime: 10 * time.Second,
			})
			r.run(3 * time.Minute)
		}
		r.sendDelay = 50 * time.Millisecond
		r.run(8 * time.Minute)
		r.checkVersions("3")
		if len(r.failures) > 0 {
			t.Fatalf("seed %d: %s", seed, r.failures[0])
		}
		for _, e := range r.endpoints {
			for i := 1; i < len(e.applied); i++ {
				if e.applied[i].ID < e.applied[i-1].ID {
					late++
				}
			}
		}
	}
	if late == 0 {
		t.Error("no order was applied late: the test does not cover the case")
	}
	t.Logf("%d orders were applied late at endpoints that ignore fencing tokens", late)
}

// BenchmarkRollout changes the version of one service of the target size in
// virtual time: 187 endpoints, a tenth of them at a time, loads of 8 s.
func BenchmarkRollout(b *testing.B) {
	for range b.N {
		r := newRig(1, 187, oddCheckFencing, disabledRules{})
		r.maxUnavailable = 18
		r.run(20 * time.Second)
		before := r.store.Calls().Writes
		start := r.now
		r.setDesired(Desired{Version: "2", MaxUnavailableShare: 0.1, LoadInterval: 2 * time.Second})
		for countVersion(r, "2") < 187 && r.now.Sub(start) < time.Hour {
			r.run(time.Second)
		}
		seconds := r.now.Sub(start).Seconds()
		item, err := r.store.Get(context.Background(), KeyPrefix+"chat")
		if err != nil || len(r.failures) > 0 {
			b.Fatal(err, r.failures)
		}
		b.ReportMetric(seconds, "rollout_s")
		b.ReportMetric(float64(r.store.Calls().Writes-before)/seconds, "writes/s")
		b.ReportMetric(float64(len(item.Value)), "record_bytes")
	}
}
