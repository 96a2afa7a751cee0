package membership

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"pgregory.net/rapid"
)

// listMachine runs three daemons that read a list of endpoints, each with its own
// lag, and checks their events against the actual list.
type listMachine struct {
	s *sim
	// actual is the current list, and history its state at each second.
	actual  map[string]platform.InstanceState
	history []map[string]platform.InstanceState
	// wasLeaving contains the endpoints that have been leaving.
	wasLeaving map[string]bool
	// lag is the age in seconds of the list that a daemon reads.
	lag map[*proc]int
	// lastState is the last state of each endpoint at each daemon. The keys are the
	// IDs of the daemon and the endpoint.
	lastState map[[2]string]platform.InstanceState
	failures  []string
}

func (l *listMachine) onEvent(o *proc, e Event) {
	if e.Kind != EndpointChanged {
		return
	}
	key := [2]string{o.ID, e.Endpoint.ID}
	state := e.Endpoint.State
	if e.Endpoint.Removed {
		state = "gone"
	}
	last := l.lastState[key]
	if last == platform.InstanceLeaving && state == platform.InstanceLive ||
		last == "gone" && state != "gone" && l.actual[e.Endpoint.ID] == "" {
		l.failures = append(l.failures,
			fmt.Sprintf("%s: endpoint %s changes from %s to %s", o.ID, e.Endpoint.ID, last, state))
	}
	l.lastState[key] = state
}

// runSecond records the current list and advances virtual time by a second.
func (l *listMachine) runSecond() {
	now := make(map[string]platform.InstanceState, len(l.actual))
	for id, state := range l.actual {
		now[id] = state
	}
	l.history = append(l.history, now)
	l.s.run(time.Second)
}

func (l *listMachine) read(p *proc) []platform.Instance {
	var list []platform.Instance
	for id, state := range l.history[max(0, len(l.history)-1-l.lag[p])] {
		list = append(list, platform.Instance{ID: id, Domain: "zone-a", Role: platform.RoleEngine, State: state})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// TestListHistories guards against a stale list, or one that goes back by up to 20 s,
// that undoes the leaving or the removal of an endpoint, and against daemons whose
// lists stay different.
func TestListHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"))
		s.loss, s.maxDelay = 0.05, 3*time.Second
		l := &listMachine{
			s: s, actual: map[string]platform.InstanceState{}, wasLeaving: map[string]bool{}, lag: map[*proc]int{},
			lastState: map[[2]string]platform.InstanceState{},
		}
		s.onEvent, s.list = l.onEvent, l.read
		for _, id := range []string{"a1", "a2", "a3"} {
			s.add(id, "zone-a")
		}
		// The list has only endpoints; the daemons learn of each other by messages.
		for _, p := range s.procs {
			for _, q := range s.procs {
				p.table.Step(s.now, q.table.newMessage(Heartbeat, p.table.self))
			}
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0, 1:
				l.actual[fmt.Sprintf("n%d", i)] = platform.InstanceLive
				if !l.wasLeaving[id] {
					l.actual[id] = platform.InstanceLive
				}
			case 2:
				if l.actual[id] != "" {
					l.actual[id], l.wasLeaving[id] = platform.InstanceLeaving, true
				}
			case 3:
				if l.wasLeaving[id] {
					delete(l.actual, id)
				}
			case 4:
				l.lag[rapid.SampledFrom(s.procs).Draw(t, "reader")] = rapid.IntRange(0, 20).Draw(t, "lag")
			}
			for range rapid.IntRange(1, 15).Draw(t, "wait") {
				l.runSecond()
			}
		}
		clear(l.lag)
		for range 150 {
			l.runSecond()
		}
		l.check()
		if len(l.failures) > 0 {
			t.Fatalf("%d failures, the first: %s", len(l.failures), l.failures[0])
		}
	})
}

// check compares each daemon's endpoints with the actual list.
func (l *listMachine) check() {
	for _, p := range l.s.procs {
		endpoints := p.table.Endpoints()
		for _, e := range endpoints {
			if l.actual[e.ID] != e.State {
				l.failures = append(l.failures,
					fmt.Sprintf("%s sees endpoint %s as %s, the list has %q", p.ID, e.ID, e.State, l.actual[e.ID]))
			}
		}
		if len(endpoints) != len(l.actual) {
			l.failures = append(l.failures,
				fmt.Sprintf("%s has %d endpoints, the list has %d", p.ID, len(endpoints), len(l.actual)))
		}
	}
}
