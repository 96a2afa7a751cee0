package rollout

import (
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// newConvergedSimulation returns a world in force at revision 1 without faults.
func newConvergedSimulation(t *testing.T, setup func(*simulation)) *simulation {
	t.Helper()
	w := newSimulation(func(int) int { return 0 })
	setup(w)
	w.start()
	w.applyEdit("a", 1)
	w.heal(3 * time.Second)
	w.checkConverged()
	if w.err != nil {
		t.Fatal(w.err)
	}
	return w
}

// applyEdit applies a change at once.
func (w *simulation) applyEdit(account string, weight int) {
	w.nextOp++
	newest := uint64(len(w.expected) - 1)
	op := operation{account: account, weight: weight, edit: Edit{Action: ActionApply, OpID: account + time.Duration(w.nextOp).String(),
		Base: newest, HasSpend: func(string) bool { return false }}}
	content := map[string]int{}
	for k, v := range w.expected[newest] {
		content[k] = v
	}
	op.applyTo(content)
	op.edit.Config = configOf(content)
	w.openSession(op)
	for len(w.sessions) > 0 && w.err == nil {
		w.stepSession(false)
	}
}

// Guards against a daemon that misses an update for longer than 3 s because
// messages to it are lost: the watchers repeat until it has the revision. The
// broken variant, which announces a revision only once, must be late.
func TestLostUpdateIsRepeated(t *testing.T) {
	for _, broken := range []bool{false, true} {
		w := newConvergedSimulation(t, func(w *simulation) { w.faults.follower.skipRepeatedAnnouncements = broken })
		w.applyEdit("a", 2)
		for _, d := range w.daemons {
			w.watchEvent(d, false)
			w.answerFetch(d, false)
		}
		for round := range 4 {
			withoutPulls := filter(w.inFlight, func(p packet) bool { return p.message.Kind != MessagePull })
			if round < 2 {
				w.inFlight = withoutPulls
			}
			for range len(w.inFlight) {
				w.deliver(false)
			}
			w.advance(100 * time.Millisecond)
		}
		w.heal(2500 * time.Millisecond)
		w.checkConverged()
		if (w.err != nil) != broken {
			t.Errorf("broken %v: got %v", broken, w.err)
		}
	}
}

// Guards against a cut-off daemon that drops its configuration or hides its age.
func TestCutOffKeepsRevision(t *testing.T) {
	w := newConvergedSimulation(t, func(*simulation) {})
	for _, d := range w.daemons {
		if d.domain == "a" {
			d.storeUnreachable = true
			w.breakWatch(d)
		}
	}
	w.applyEdit("a", 2)
	outage := time.Minute
	for end := w.now.Add(outage); w.now.Before(end); {
		w.deliverPending()
		w.advance(100 * time.Millisecond)
	}
	for _, d := range w.daemons {
		want := uint64(2)
		if d.domain == "a" {
			want = 1
		}
		s := d.follower.Status(w.now)
		if s.Revision != want {
			t.Errorf("daemon %s: revision %d, want %d", d.id, s.Revision, want)
		}
		if d.domain == "a" && s.Age < outage {
			t.Errorf("daemon %s: age %v after %v without the platform", d.id, s.Age, outage)
		}
	}
	// A daemon that starts in the cut-off failure domain gets the configuration
	// from the others.
	d := w.daemons[0]
	w.restart(d)
	d.storeUnreachable = true
	for range 30 {
		w.deliverPending()
		w.advance(100 * time.Millisecond)
	}
	if d.revision != 1 {
		t.Errorf("daemon started without the platform has revision %d, want 1", d.revision)
	}
	w.heal(3 * time.Second)
	w.checkConverged()
	if w.err != nil {
		t.Error(w.err)
	}
}

// Guards against a revert after the store was restored from an old copy.
func TestStoreBehindIsReported(t *testing.T) {
	w := newConvergedSimulation(t, func(*simulation) {})
	old := w.heads[0]
	w.applyEdit("a", 2)
	w.heal(time.Second)
	d := w.daemons[0]
	w.execute(d, d.follower.HandleHead(w.now, platform.Item{Key: HeadKey, Value: old.Value, Revision: 99}, nil))
	if s := d.follower.Status(w.now); s.Revision != 2 || !s.StoreBehind {
		t.Errorf("status %+v, want revision 2 and the store behind", s)
	}
}
