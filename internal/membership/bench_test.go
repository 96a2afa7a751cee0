package membership

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

var fleets = []struct{ domains, members int }{{7, 1}, {3, 14}, {14, 30}}

// watch records when each observer first sees the member in a state for which
// ok is true.
func watch(s *sim, id string, ok func(Member) bool) map[*proc]time.Time {
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

func delays(seen map[*proc]time.Time, since time.Time) []float64 {
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

// benchDeath returns the delays until each daemon holds a killed one for dead.
func benchDeath(s *sim, victim *proc) []float64 {
	seen := watch(s, victim.ID, func(m Member) bool { return m.State == Dead })
	at := s.now
	s.kill(victim)
	s.publish()
	s.run(30 * time.Second)
	return delays(seen, at)
}

func benchLeaving(s *sim, p *proc) []float64 {
	seen := watch(s, p.ID, func(m Member) bool { return m.State == Leaving })
	at := s.now
	s.drain(p)
	s.run(10 * time.Second)
	return delays(seen, at)
}

// quiet measures a fleet without faults other than 1% loss.
func quiet(s *sim, d time.Duration) (bytes, worst, cpu float64, suspicions int) {
	for _, p := range s.procs {
		p.bytes, p.messages, p.cpu = 0, 0, 0
	}
	s.onEvent = func(_ *proc, e Event) {
		if e.Kind == MemberChanged && (e.Member.State == Suspected || e.Member.State == Dead || e.Member.State == Unreachable) {
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

func BenchmarkMembership(b *testing.B) {
	for _, f := range fleets {
		for _, mesh := range []int{0, 1000} {
			n := f.domains * f.members
			name := fmt.Sprintf("ring/daemons=%d", n)
			if mesh > 0 {
				name = fmt.Sprintf("mesh/daemons=%d", n)
			}
			b.Run(name, func(b *testing.B) { benchMembership(b, f.domains, f.members, mesh) })
		}
	}
}

func benchMembership(b *testing.B, domains, members, mesh int) {
	for range b.N {
		fleet := newSim(7)
		fleet.options.MeshLimit = mesh
		for d := range domains {
			for i := range members {
				fleet.add(fmt.Sprintf("i-%02d-%02d-%04x", d, i, 0xa5b0+i), fmt.Sprintf("zone-%02d", d))
			}
		}
		fleet.publish()
		fleet.loss = 0.01
		fleet.run(40 * time.Second)
		const span = 60 * time.Second
		bytes, worst, cpu, suspicions := quiet(fleet, span)
		leaving := benchLeaving(fleet, fleet.procs[1])
		death := benchDeath(fleet, fleet.procs[len(fleet.procs)-1])
		b.ReportMetric(bytes, "bytes/s")
		b.ReportMetric(worst, "worst_bytes/s")
		b.ReportMetric(cpu, "cpu_ns/s")
		b.ReportMetric(float64(suspicions)*3600/span.Seconds(), "false_suspicions/h")
		b.ReportMetric(quantile(leaving, 1), "leaving_p100_ms")
		b.ReportMetric(float64(len(leaving)), "leaving_seen")
		b.ReportMetric(quantile(death, 0.99), "detect_p99_ms")
		b.ReportMetric(float64(len(death)), "death_seen")
	}
}
