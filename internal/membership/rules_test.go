package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/google/go-cmp/cmp"
)

// deathBound is the target for the detection of a death: 10 s of silence,
// 5 heartbeats along the ring, and 2 s for ticks and lost messages.
const deathBound = 17 * time.Second

// TestRules runs one scenario per rule. The checker must find no failure, and must
// find one if the rule is disabled.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled disabledRules
		run      func(disabledRules) []string
	}{
		{"an old list does not revive a dead member", disabledRules{listRevivesDead: true}, runStaleList},
		{"a repeated message is no sign of life", disabledRules{acceptStaleHeartbeats: true}, runReplayedHeartbeat},
		{"a one-way or slow link is no death", disabledRules{ignoreRelayed: true}, runOneWayLinks},
		{"a partition is no death", disabledRules{ignorePartitions: true}, runPartition},
		{"an old list does not undo leaving", disabledRules{listUndoesLeaving: true}, runListUndoingLeaving},
	} {
		t.Run(c.name, func(t *testing.T) {
			if failures := c.run(disabledRules{}); len(failures) > 0 {
				t.Errorf("failures: %v", failures[:min(3, len(failures))])
			}
			if failures := c.run(c.disabled); len(failures) == 0 {
				t.Errorf("the checker finds no failure although the rule is disabled")
			}
		})
	}
}

func newCheckedFleet(rules disabledRules) (*sim, *checker) {
	s := newSim(3)
	s.disabled, s.loss = rules, 0.01
	c := newChecker(s)
	c.settleTime = 5 * time.Second
	for _, id := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "b1", "b2", "b3"} {
		s.add(id, "zone-"+id[:1])
	}
	s.publish()
	s.run(20 * time.Second)
	return s, c
}

func runStaleList(rules disabledRules) []string {
	s, c := newCheckedFleet(rules)
	s.kill(s.byID["a3"])
	s.run(time.Minute)
	c.checkConverged()
	return c.failures
}

func runReplayedHeartbeat(rules disabledRules) []string {
	s, c := newCheckedFleet(rules)
	victim := s.byID["a3"]
	// The list keeps showing the victim, so that only missing heartbeats reveal
	// its death.
	old := victim.table.newMessage(Heartbeat, s.byID["a1"].table.self)
	s.kill(victim)
	for i := range 60 {
		s.schedule(delivery{at: s.now.Add(time.Duration(i) * time.Second / 2), to: s.byID["a1"], message: &old})
	}
	s.run(deathBound)
	c.checkConverged()
	return c.failures
}

func runOneWayLinks(rules disabledRules) []string {
	s, c := newCheckedFleet(rules)
	s.linkCut = cuts{{"a1", "a2"}: true, {"a5", "a4"}: true, {"b1", "b3"}: true}.cut
	slow := cuts{{"a3", "a4"}: true, {"b2", "b1"}: true}
	s.extraDelay = func(from, to *proc) time.Duration {
		if slow.cut(from, to) {
			return 5 * time.Second
		}
		return 0
	}
	s.run(time.Minute)
	c.checkConverged()
	return c.failures
}

func runPartition(rules disabledRules) []string {
	s, c := newCheckedFleet(rules)
	s.onEvent = func(o *proc, e Event) {
		if e.Kind == MemberChanged && e.Member.State == Dead {
			c.fail("%s: healthy member %s is declared dead", o.ID, e.Member.ID)
		}
	}
	s.linkCut = cuts{{"zone-a", "zone-b"}: true, {"zone-b", "zone-a"}: true}.cut
	s.run(time.Minute)
	if !s.byID["a1"].table.DomainUnreachable("zone-b") {
		c.fail("a1 does not report zone-b as unreachable")
	}
	s.linkCut = cuts{}.cut
	s.run(20 * time.Second)
	c.checkConverged()
	return c.failures
}

// runListUndoingLeaving reads lists that show an endpoint as live, leaving, live
// again from stale reads, and leaving.
func runListUndoingLeaving(rules disabledRules) []string {
	now := time.Unix(1, 0)
	table := New(Options{Self: Identity{ID: "a1", Domain: "zone-a"}}, now)
	table.disabled = rules
	engine := platform.Instance{ID: "e1", Domain: "zone-a", Role: platform.RoleEngine, State: platform.InstanceLive}
	leaving := engine
	leaving.State = platform.InstanceLeaving
	var failures []string
	for i, in := range []platform.Instance{engine, leaving, engine, engine, leaving} {
		now = now.Add(time.Second)
		table.ApplyList(now, []platform.Instance{in})
		if e := table.Endpoints()[0]; i > 0 && e.State != platform.InstanceLeaving {
			failures = append(failures, "endpoint e1 is no longer leaving")
		}
	}
	return failures
}

// TestLeavingReachesAll checks that all daemons learn within 3 s that a daemon and an
// endpoint are leaving, also those that cannot reach the platform, at 1% loss and
// with a one-way link.
func TestLeavingReachesAll(t *testing.T) {
	s := newFleet(5, 48, 4)
	s.loss = 0.01
	s.run(20 * time.Second)
	c := cuts{{s.procs[1].ID, s.procs[2].ID}: true}
	s.linkCut = c.cut
	s.leave(s.procs[1])
	engine := platform.Instance{ID: "e1", Domain: "zone-00", Role: platform.RoleEngine, State: platform.InstanceLeaving}
	for _, p := range s.procs {
		// Only the list readers of the first failure domain reach the platform.
		if p.Domain == "zone-00" && p.table.rank() >= 0 {
			s.call(p, func() Output { return p.table.ApplyList(s.now, append(s.readList(), engine)) })
		}
	}
	s.run(3 * time.Second)
	for _, p := range s.procs {
		if m, _ := p.table.Member(s.procs[1].ID); m.State != Leaving {
			t.Errorf("%s sees the leaving daemon as %v", p.ID, m.State)
		}
		if e := p.table.Endpoints(); len(e) != 1 || e[0].State != platform.InstanceLeaving {
			t.Errorf("%s sees the leaving endpoint as %v", p.ID, e)
		}
	}
}

// TestViewsConverge guards against views that stay different if changes and all
// their retransmissions are lost. A start, a leave and a death must then spread
// through the comparison of view hashes.
func TestViewsConverge(t *testing.T) {
	s := newFleet(8, 24, 3)
	s.run(20 * time.Second)
	s.dropped = func(k Kind) bool { return k == Changes }
	s.leave(s.procs[1])
	s.kill(s.procs[9])
	s.add("r-1", "zone-02")
	s.run(time.Minute)
	c := newChecker(s)
	c.checkConverged()
	if len(c.failures) > 0 {
		t.Errorf("%d differences, the first: %s", len(c.failures), c.failures[0])
	}
}

// TestDeathBound checks deathBound if the platform's list does not show the death.
func TestDeathBound(t *testing.T) {
	s := newFleet(6, 42, 3)
	s.loss = 0.01
	s.run(20 * time.Second)
	s.kill(s.procs[3])
	s.run(deathBound)
	c := newChecker(s)
	c.checkConverged()
	if len(c.failures) > 0 {
		t.Errorf("%d daemons are late, the first: %s", len(c.failures), c.failures[0])
	}
}

// TestLastMember checks that a death is detected in a failure domain whose only
// other member is leaving, in a fleet of seven daemons, the size of present fleets.
func TestLastMember(t *testing.T) {
	s := newFleet(7, 7, 3)
	s.loss = 0.01
	s.run(40 * time.Second)
	s.leave(s.procs[4])
	s.run(5 * time.Second)
	s.kill(s.procs[3])
	s.run(deathBound)
	c := newChecker(s)
	c.checkConverged()
	if len(c.failures) > 0 {
		t.Errorf("%d daemons are late, the first: %s", len(c.failures), c.failures[0])
	}
}

// TestMessageSize checks the limit on a heartbeat at the target fleet size: 600
// bytes with a digest of 30 members and 13 other failure domains.
func TestMessageSize(t *testing.T) {
	s := newFleet(4, 30, 1)
	for d := range 13 {
		s.add(fmt.Sprintf("j-%02d", d), fmt.Sprintf("far-%02d", d))
	}
	s.publish()
	s.run(10 * time.Second)
	largest := 0
	table := s.procs[0].table
	table.sendHeartbeats()
	for _, m := range table.out.Messages {
		largest = max(largest, m.Size())
	}
	if largest == 0 || largest > 600 {
		t.Errorf("heartbeat has %d bytes, want 1 to 600", largest)
	}
	t.Logf("a heartbeat has %d bytes", largest)
}

// TestForget checks that dead members are forgotten, so that memory does not grow,
// and that the list, which still shows a forgotten member, does not revive it.
func TestForget(t *testing.T) {
	s := newFleet(11, 8, 2)
	s.run(20 * time.Second)
	s.kill(s.procs[2])
	s.run(40 * time.Second)
	for _, p := range s.procs {
		p.table.nodes[s.procs[2].ID].deadSince = s.now.Add(-forgetAfter)
	}
	s.run(20 * time.Second)
	for _, p := range s.procs {
		if m, known := p.table.Member(s.procs[2].ID); !p.dead && known {
			t.Errorf("%s still has the dead member as %v", p.ID, m.State)
		}
	}
}

// TestOwner checks that all daemons agree on the owners, that owners are live, and
// that only the keys of a leaving owner move.
func TestOwner(t *testing.T) {
	s := newFleet(7, 12, 2)
	s.run(20 * time.Second)
	owners := map[string]string{}
	for _, key := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		for _, p := range s.procs {
			m, ok := p.table.Owner("zone-00", key)
			if !ok || owners[key] != "" && owners[key] != m.ID {
				t.Fatalf("%s names %q as owner of %s, others %q", p.ID, m.ID, key, owners[key])
			}
			owners[key] = m.ID
		}
	}
	for _, p := range s.procs {
		if diff := cmp.Diff(s.procs[0].table.Ranked("orders-chat", 3), p.table.Ranked("orders-chat", 3)); diff != "" {
			t.Errorf("%s returns other candidates: %s", p.ID, diff)
		}
	}
	leaving := s.byID[owners["1"]]
	s.leave(leaving)
	s.run(3 * time.Second)
	for key, owner := range owners {
		m, _ := s.procs[11].table.Owner("zone-00", key)
		if m.ID == leaving.ID || owner != leaving.ID && m.ID != owner {
			t.Errorf("key %s moved from %s to %s", key, owner, m.ID)
		}
	}
}
