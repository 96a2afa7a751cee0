package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that each run has the same result. Flags on
// the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// checker compares the events of all daemons with the actual state of the simulation.
type checker struct {
	s *sim
	// state is the last state of each member at each observer. The keys are the
	// IDs of the observer and the member.
	state map[[2]string]State
	// declaredDead contains killed members that the observer has declared dead.
	declaredDead map[[2]string]bool
	// leavingSeen contains members that the observer has seen leaving.
	leavingSeen map[[2]string]bool
	// settleTime is how long after a disturbance a wrong state is tolerated.
	settleTime time.Duration
	failures   []string
}

func newChecker(s *sim) *checker {
	c := &checker{
		s: s, state: map[[2]string]State{}, declaredDead: map[[2]string]bool{}, leavingSeen: map[[2]string]bool{},
		settleTime: 45 * time.Second,
	}
	s.onEvent = c.onEvent
	return c
}

func (c *checker) fail(format string, args ...any) {
	c.failures = append(c.failures, fmt.Sprintf("%s: ", c.s.now.Sub(c.s.start))+fmt.Sprintf(format, args...))
}

func (c *checker) onEvent(o *proc, e Event) {
	if e.Kind != MemberChanged {
		return
	}
	key := [2]string{o.ID, e.Member.ID}
	last, known := c.state[key]
	if known == e.New || known && last != e.Previous {
		c.fail("%s: event of %s has previous state %v (new %v), the last was %v (known %v)",
			o.ID, e.Member.ID, e.Previous, e.New, last, known)
	}
	c.state[key] = e.Member.State
	m := c.s.byID[e.Member.ID]
	if c.declaredDead[key] && e.Member.State != Dead {
		c.fail("%s: killed member %s is %v again (%s)", o.ID, m.ID, e.Member.State, e.Cause)
	}
	if c.leavingSeen[key] && !e.Member.Leaving {
		c.fail("%s: leaving member %s is no longer leaving", o.ID, m.ID)
	}
	c.leavingSeen[key] = c.leavingSeen[key] || e.Member.Leaving
	c.declaredDead[key] = c.declaredDead[key] || m.dead && e.Member.State == Dead
	settledBefore := c.s.now.Add(-c.settleTime)
	if !e.New && !m.dead && m.lastDisturbed.Before(settledBefore) && o.lastDisturbed.Before(settledBefore) &&
		e.Member.State != Live && e.Member.State != Leaving {
		c.fail("%s: healthy member %s becomes %v (%s)", o.ID, m.ID, e.Member.State, e.Cause)
	}
}

// checkConverged checks that each daemon has the actual state of each other one.
func (c *checker) checkConverged() {
	for _, o := range c.s.procs {
		if o.dead {
			continue
		}
		for _, p := range c.s.procs {
			m, known := o.table.Member(p.ID)
			want := Live
			switch {
			case p.dead:
				want = Dead
			case p.leaving:
				want = Leaving
			}
			if !known && p.dead {
				continue
			}
			if !known || m.State != want {
				c.fail("%s sees %s as %v (known %v), want %v", o.ID, p.ID, m.State, known, want)
			}
		}
	}
}

func (c *checker) disturb(ps ...*proc) {
	for _, p := range ps {
		p.lastDisturbed = c.s.now
	}
}

// cuts is the set of broken links of a sim, keyed by the sending and the receiving
// daemon or failure domain.
type cuts map[[2]string]bool

func (c cuts) cut(from, to *proc) bool {
	return c[[2]string{from.ID, to.ID}] || c[[2]string{from.Domain, to.Domain}]
}

// fleetMachine is a rapid state machine that injects faults into a fleet.
type fleetMachine struct {
	*checker
	cuts     cuts
	restarts int
}

func (f *fleetMachine) live() []*proc {
	var live []*proc
	for _, p := range f.s.procs {
		if !p.dead {
			live = append(live, p)
		}
	}
	return live
}

// applyFault injects one random fault and lets random time pass.
func (f *fleetMachine) applyFault(t *rapid.T) {
	s := f.s
	live := f.live()
	p := rapid.SampledFrom(live).Draw(t, "daemon")
	q := rapid.SampledFrom(live).Draw(t, "other")
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0, 1:
		// A failure domain keeps a majority. Otherwise silence would not mean death.
		if alive := aliveCount(s, p.Domain); alive > 3 {
			s.kill(p)
			s.publish()
			f.restarts++
			s.add(fmt.Sprintf("r-%03d", f.restarts), p.Domain)
			s.publish()
		}
	case 2:
		s.pause(p, time.Duration(rapid.IntRange(1, 25).Draw(t, "pause"))*time.Second)
	case 3:
		if !p.leaving && f.leavingCount(p.Domain) == 0 {
			s.leave(p)
			s.publish()
		}
	case 4:
		// A one-way link inside a failure domain must not affect any state.
		if p.Domain == q.Domain && p != q && len(f.cuts) == 0 {
			f.cuts[[2]string{p.ID, q.ID}] = true
		}
	case 5:
		if p.Domain != q.Domain {
			f.cuts[[2]string{p.Domain, q.Domain}] = true
			f.cuts[[2]string{q.Domain, p.Domain}] = true
			f.disturb(s.procs...)
		}
	case 6:
		clear(f.cuts)
		f.disturb(s.procs...)
	case 7:
		// A longer lag makes the list go back in time.
		s.listLag = time.Duration(rapid.IntRange(0, 20).Draw(t, "lag")) * time.Second
	case 8:
		if p.Domain != q.Domain {
			f.cuts[[2]string{p.Domain, q.Domain}] = true
			f.disturb(s.procs...)
		}
	}
	s.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "wait")) * time.Second)
}

func (f *fleetMachine) leavingCount(domain string) int {
	n := 0
	for _, p := range f.s.domain(domain) {
		if p.leaving && !p.dead {
			n++
		}
	}
	return n
}

func aliveCount(s *sim, domain string) int {
	n := 0
	for _, p := range s.domain(domain) {
		if !p.dead {
			n++
		}
	}
	return n
}

// runHistory runs a random history of faults, heals the network and checks that all
// daemons have the actual state.
func runHistory(t *rapid.T, rules disabledRules) []string {
	s := newSim(rapid.Uint64().Draw(t, "seed"))
	s.loss, s.disabled, s.maxDelay = 0.01, rules, 200*time.Millisecond
	s.options.FullMeshLimit = rapid.SampledFrom([]int{3, 6}).Draw(t, "mesh")
	f := &fleetMachine{checker: newChecker(s), cuts: cuts{}}
	s.linkCut = f.cuts.cut
	for d := range 3 {
		for i := range 5 {
			s.add(fmt.Sprintf("i-%d-%d", d, i), fmt.Sprintf("zone-%d", d))
		}
	}
	s.publish()
	s.run(20 * time.Second)
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		f.applyFault(t)
	}
	clear(f.cuts)
	s.listLag = 0
	f.disturb(s.procs...)
	s.run(2 * time.Minute)
	f.checkConverged()
	return f.failures
}

// TestMembershipHistories guards against flapping, resurrection, gaps in the events
// of a member and views that stay different after the network heals.
func TestMembershipHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if failures := runHistory(t, disabledRules{}); len(failures) > 0 {
			t.Fatalf("%d failures, the first: %v", len(failures), failures[:min(3, len(failures))])
		}
	})
}
