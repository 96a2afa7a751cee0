package rollout

import (
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// newConvergedSimulation returns a simulation without faults in which all daemons
// have installed revision 1.
func newConvergedSimulation(t *testing.T, setup func(*simulation)) *simulation {
	t.Helper()
	sim := newSimulation(func(int) int { return 0 })
	setup(sim)
	sim.start()
	sim.applyEdit("a", 1)
	sim.heal(3 * time.Second)
	sim.checkConverged()
	if sim.err != nil {
		t.Fatal(sim.err)
	}
	return sim
}

// applyEdit sets the weight of an account and runs the edit to its end.
func (sim *simulation) applyEdit(account string, weight int) {
	sim.nextOp++
	newest := uint64(len(sim.expected) - 1)
	op := operation{account: account, weight: weight, edit: Edit{Action: ActionApply, OpID: account + time.Duration(sim.nextOp).String(),
		Base: newest, HasSpend: func(string) bool { return false }}}
	content := map[string]int{}
	for k, v := range sim.expected[newest] {
		content[k] = v
	}
	op.applyTo(content)
	op.edit.Config = configOf(content)
	sim.openSession(op)
	for len(sim.sessions) > 0 && sim.err == nil {
		sim.stepSession(false)
	}
}

// Guards against a daemon that stays behind for more than 3 s because messages to
// it are lost: the watchers repeat the announcement until the daemon has confirmed
// the revision. The broken variant, which announces a revision only once, must
// exceed the limit.
func TestLostUpdateIsRepeated(t *testing.T) {
	for _, broken := range []bool{false, true} {
		sim := newConvergedSimulation(t, func(sim *simulation) { sim.faults.follower.skipRepeatedAnnouncements = broken })
		sim.applyEdit("a", 2)
		for _, d := range sim.daemons {
			sim.watchEvent(d, false)
			sim.respondToFetch(d, false)
		}
		for round := range 4 {
			withoutPulls := filter(sim.inFlight, func(p packet) bool { return p.message.Kind != MessagePull })
			if round < 2 {
				sim.inFlight = withoutPulls
			}
			for range len(sim.inFlight) {
				sim.deliver(false)
			}
			sim.advance(100 * time.Millisecond)
		}
		sim.heal(2500 * time.Millisecond)
		sim.checkConverged()
		if (sim.err != nil) != broken {
			t.Errorf("broken %v: got %v", broken, sim.err)
		}
	}
}

// Guards against daemons that drop their configuration, or report too low an age of
// it, while their failure domain cannot reach the store.
func TestCutOffKeepsRevision(t *testing.T) {
	sim := newConvergedSimulation(t, func(*simulation) {})
	for _, d := range sim.daemons {
		if d.domain == "a" {
			d.storeUnreachable = true
			sim.breakWatch(d)
		}
	}
	sim.applyEdit("a", 2)
	outage := time.Minute
	for end := sim.now.Add(outage); sim.now.Before(end); {
		sim.deliverPending()
		sim.advance(100 * time.Millisecond)
	}
	for _, d := range sim.daemons {
		want := uint64(2)
		if d.domain == "a" {
			want = 1
		}
		s := d.follower.Status(sim.now)
		if s.Revision != want {
			t.Errorf("daemon %s: revision %d, want %d", d.id, s.Revision, want)
		}
		if d.domain == "a" && s.Age < outage {
			t.Errorf("daemon %s: age %v after %v without the store", d.id, s.Age, outage)
		}
	}
	// A daemon that starts while the store is unreachable gets the configuration from
	// the others of its failure domain.
	d := sim.daemons[0]
	sim.restart(d)
	d.storeUnreachable = true
	for range 30 {
		sim.deliverPending()
		sim.advance(100 * time.Millisecond)
	}
	if d.revision != 1 {
		t.Errorf("daemon started without the store has revision %d, want 1", d.revision)
	}
	sim.heal(3 * time.Second)
	sim.checkConverged()
	if sim.err != nil {
		t.Error(sim.err)
	}
}

// Guards against a reverted configuration after the store was restored from an old
// backup.
func TestStoreBehindIsReported(t *testing.T) {
	sim := newConvergedSimulation(t, func(*simulation) {})
	old := sim.heads[0]
	sim.applyEdit("a", 2)
	sim.heal(time.Second)
	d := sim.daemons[0]
	sim.execute(d, d.follower.HandleHead(sim.now, platform.Item{Key: HeadKey, Value: old.Value, Revision: 99}, nil))
	if s := d.follower.Status(sim.now); s.Revision != 2 || !s.StoreBehind {
		t.Errorf("status %+v, want revision 2 and StoreBehind", s)
	}
}
