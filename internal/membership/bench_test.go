package membership

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

var fleetSizes = []struct{ daemons, domains int }{{7, 3}, {42, 3}, {420, 14}}

// watchFirst records when each other daemon first sees the member in a state for
// which ok returns true.
func watchFirst(s *sim, id string, ok func(Member) bool) map[*proc]time.Time {
	seen := map[*proc]time.Time{}
	s.onEvent = func(observer *proc, e Event) {
		if e.Kind == MemberChanged && e.Member.ID == id && ok(e.Member) && observer.ID != id {
			if _, done := seen[observer]; !done {
				seen[observer] = s.now
			}
		}
	}
	return seen
}

// delaysMs returns the sorted delays of the observers in milliseconds.
func delaysMs(seen map[*proc]time.Time, since time.Time) []float64 {
	ms := make([]float64, 0, len(seen))
	for _, at := range seen {
		ms = append(ms, float64(at.Sub(since))/1e6)
	}
	sort.Float64s(ms)
	return ms
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return -1
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// measureDeath returns the delays until the daemons declare a killed one dead.
func measureDeath(s *sim, victim *proc) []float64 {
	seen := watchFirst(s, victim.ID, func(m Member) bool { return m.State == Dead })
	at := s.now
	s.kill(victim)
	s.run(20 * time.Second)
	return delaysMs(seen, at)
}

// measureLeaving returns the delays until the daemons see a daemon leaving.
func measureLeaving(s *sim, p *proc) []float64 {
	seen := watchFirst(s, p.ID, func(m Member) bool { return m.State == Leaving })
	at := s.now
	s.leave(p)
	s.run(5 * time.Second)
	return delaysMs(seen, at)
}

// measureIdle measures a fleet without faults other than message loss. The results
// are bytes per second and daemon on average and in the worst daemon, nanoseconds of
// wall time per second and daemon, and the number of false suspicions.
func measureIdle(s *sim, d time.Duration) (bytes, worst, cpu float64, suspicions int) {
	for _, p := range s.procs {
		p.bytes, p.messages, p.cpu = 0, 0, 0
	}
	s.onEvent = func(_ *proc, e Event) {
		if e.Kind == MemberChanged &&
			(e.Member.State == Suspected || e.Member.State == Dead || e.Member.State == Unreachable) {
			suspicions++
		}
	}
	s.timed = true
	s.run(d)
	s.timed = false
	for _, p := range s.procs {
		b := float64(p.bytes) / d.Seconds()
		bytes += b / float64(len(s.procs))
		worst = max(worst, b)
		cpu += float64(p.cpu.Nanoseconds()) / d.Seconds() / float64(len(s.procs))
	}
	return bytes, worst, cpu, suspicions
}

// BenchmarkMembership measures fleets of three sizes at 1% loss in virtual time.
// The list never shows the death, which is the worst case. cpu_ns/s is the wall
// time of the table's calls per daemon and second.
func BenchmarkMembership(b *testing.B) {
	for _, mesh := range []int{0, 1000} {
		scheme := "ring"
		if mesh > 0 {
			scheme = "mesh"
		}
		before := result{}
		for _, f := range fleetSizes {
			b.Run(fmt.Sprintf("%s/daemons=%d", scheme, f.daemons), func(b *testing.B) {
				for range b.N {
					r := measureFleet(f.daemons, f.domains, mesh)
					r.report(b, before)
					before = r
				}
			})
		}
	}
}

type result struct {
	daemons, bytes, worst, cpu, suspicions float64
	leaving, death                         []float64
}

// samples is the number of daemons that leave, and of those that are killed.
const samples = 3

func measureFleet(daemons, domains, mesh int) result {
	s := newSim(7)
	s.options.FullMeshLimit = mesh
	s.grow(daemons, domains)
	s.loss = 0.01
	s.run(40 * time.Second)
	r := result{daemons: float64(len(s.procs))}
	idleTime := 10 * time.Minute
	if len(s.procs) > 100 {
		idleTime = time.Minute
	}
	var n int
	r.bytes, r.worst, r.cpu, n = measureIdle(s, idleTime)
	r.suspicions = float64(n) * float64(time.Hour) / float64(idleTime)
	// With three samples, each failure domain of the smallest fleet keeps a daemon.
	n = len(s.procs)
	for i := range samples {
		r.leaving = append(r.leaving, measureLeaving(s, s.procs[i*n/samples])...)
	}
	for i := range samples {
		r.death = append(r.death, measureDeath(s, s.procs[i*n/samples+1])...)
	}
	sort.Float64s(r.leaving)
	sort.Float64s(r.death)
	return r
}

func (r result) report(b *testing.B, before result) {
	b.ReportMetric(r.bytes, "bytes/s")
	b.ReportMetric(r.worst, "worst_bytes/s")
	b.ReportMetric(r.cpu, "cpu_ns/s")
	b.ReportMetric(r.suspicions, "false_suspicions/h")
	b.ReportMetric(quantile(r.leaving, 1), "leaving_p100_ms")
	b.ReportMetric(quantile(r.death, 0.99), "detect_p99_ms")
	// Each death leaves one observer fewer for the next.
	b.ReportMetric(samples*(r.daemons-1)-float64(len(r.leaving)), "unaware_leaving")
	b.ReportMetric(samples*(r.daemons-2)-float64(len(r.death)), "unaware_death")
	if before.daemons > 0 && before.daemons < r.daemons {
		grow := math.Log(r.daemons / before.daemons)
		b.ReportMetric(math.Log(r.bytes/before.bytes)/grow, "bytes_slope")
		b.ReportMetric(math.Log(r.cpu/before.cpu)/grow, "cpu_slope")
	}
}

// BenchmarkMassRestart kills a rack (a third of a failure domain) or a whole
// failure domain in a fleet of the target size. Replacements start after 5 s.
func BenchmarkMassRestart(b *testing.B) {
	for name, killed := range map[string]int{"rack": 10, "domain": 30} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				massRestart(b, killed)
			}
		})
	}
}

func massRestart(b *testing.B, killed int) {
	s := newFleet(9, 420, 14)
	s.loss = 0.01
	s.run(30 * time.Second)
	for _, p := range s.procs[:killed] {
		s.kill(p)
	}
	s.run(5 * time.Second)
	for i := range killed {
		s.add(fmt.Sprintf("r-%02d", i), s.procs[0].Domain)
	}
	s.publish()
	flaps := 0
	s.onEvent = func(_ *proc, e Event) {
		if e.Kind == MemberChanged && e.Member.State == Dead && !s.byID[e.Member.ID].dead {
			flaps++
		}
	}
	for _, p := range s.procs {
		p.bytes = 0
	}
	start, joinedAfter, deadAfter := s.now, time.Duration(-1), time.Duration(-1)
	worst := 0.0
	for s.now.Sub(start) < 40*time.Second && (joinedAfter < 0 || deadAfter < 0) {
		s.run(250 * time.Millisecond)
		live, dead := s.allAgree(killed)
		if live && joinedAfter < 0 {
			joinedAfter = s.now.Sub(start)
		}
		if dead && deadAfter < 0 {
			deadAfter = s.now.Sub(start)
		}
	}
	for _, p := range s.procs {
		worst = max(worst, float64(p.bytes)/s.now.Sub(start).Seconds())
	}
	b.ReportMetric(float64(joinedAfter.Milliseconds()), "joined_p100_ms")
	b.ReportMetric(float64(deadAfter.Milliseconds()), "dead_p100_ms")
	b.ReportMetric(worst, "worst_bytes/s")
	b.ReportMetric(float64(flaps), "false_deaths")
}

// allAgree reports whether all daemons see the replacements as live and the killed
// daemons as dead.
func (s *sim) allAgree(killed int) (live, dead bool) {
	live, dead = true, true
	for _, o := range s.procs {
		if o.dead {
			continue
		}
		for i := range killed {
			m, _ := o.table.Member(fmt.Sprintf("r-%02d", i))
			live = live && m.ID != "" && m.State == Live
			if m, known := o.table.Member(s.procs[i].ID); known {
				dead = dead && m.State == Dead
			}
		}
	}
	return live, dead
}

// BenchmarkList measures a read of a list of the target size without changes, which
// a list reader does once a second.
func BenchmarkList(b *testing.B) {
	now := time.Unix(1, 0)
	table := New(Options{Self: Identity{ID: "a", Domain: "zone-00"}}, now)
	var list []platform.Instance
	for i := range 4720 {
		in := platform.Instance{
			ID: fmt.Sprintf("i-%05d", i), Domain: fmt.Sprintf("zone-%02d", i%14),
			Role: platform.RoleEngine, State: platform.InstanceLive,
		}
		if i < 420 {
			in.Role = platform.RoleDaemon
		}
		list = append(list, in)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		table.ApplyList(now, list)
	}
}
