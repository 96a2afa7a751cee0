package budget

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// deployment is a fleet specified in section 2.3 or 2.4 of the design.
type deployment struct {
	name            string
	domains, shards int
	interval        time.Duration
	rate            float64 // requests/s of the budget in a failure domain
}

// deployments are the simulated fleets. The simulation has one shard with one
// busy budget, which stands for all 128 shards of the target size and for the ten
// shards with one account each of the small fleets: store calls are multiplied
// by the number of shards.
var deployments = []deployment{
	{"maracas", 4, 10, FlushInterval(4*10, 72), 4},
	{"verstraeten", 3, 10, FlushInterval(3*10, 72), 4},
	{"target", 14, Shards, FlushInterval(14*Shards, 72), 4},
}

const simTokens = 701 // mean use of a simulated request in tokens

// scenarios returns the scenarios of a deployment.
func (d deployment) scenarios() map[string]scenario {
	steady := func(i int, _ time.Duration) float64 { return d.rate * (0.5 + float64(i%3)/2) }
	total := 0.0
	for i := range d.domains {
		total += steady(i, 0)
	}
	base := func(length time.Duration, fill float64) scenario {
		return scenario{
			domains: d.domains, shards: d.shards, interval: d.interval, step: 20 * time.Millisecond, length: length,
			prepaid: int64(total * simTokens * length.Seconds() * fill), rate: steady, floor: 0.02,
		}
	}
	m := map[string]scenario{
		"ordinary": base(10*time.Minute, 0.9), "moving": base(10*time.Minute, 0.9),
		"partition": base(4*time.Hour+20*time.Minute, 1.05),
		"daemon":    base(5*time.Minute, 1.2), "allocator": base(5*time.Minute, 1.2), "outage": base(80*time.Minute, 1.2),
	}
	moving := m["moving"]
	moving.rate = func(i int, t time.Duration) float64 {
		if int(t/(10*time.Second))%d.domains == i {
			return total
		}
		return 0
	}
	m["moving"] = moving
	setFaults := func(name string, faults func(s *sim, t time.Duration)) {
		sc := m[name]
		sc.faults, sc.step = faults, 100*time.Millisecond
		m[name] = sc
	}
	setDeaths := func(name string, deaths func(s *sim, t time.Duration)) {
		sc := m[name]
		sc.deaths, sc.strandedAt = deaths, 3*time.Minute
		m[name] = sc
	}
	setFaults("partition", func(s *sim, t time.Duration) {
		for i, dom := range s.simDomains {
			dom.partitioned = i%2 == 1 && t > 10*time.Minute && t < 250*time.Minute
		}
	})
	setFaults("outage", func(s *sim, t time.Duration) { s.storeDown = t > 10*time.Minute && t < 70*time.Minute })
	setDeaths("daemon", func(s *sim, t time.Duration) {
		if t == 2*time.Minute {
			s.kill(s.simDomains[0], 2)
		}
		if t == 2*time.Minute+10*time.Second {
			s.simDomains[0].a.HolderGone(s.now, s.simDomains[0].name+"-2")
		}
	})
	setDeaths("allocator", func(s *sim, t time.Duration) {
		if t == 2*time.Minute {
			s.kill(s.simDomains[0], 0)
		}
		if t == 2*time.Minute+10*time.Second {
			s.allocate(s.simDomains[0])
			s.simDomains[0].a.HolderGone(s.now, s.simDomains[0].name+"-0")
		}
	})
	return m
}

// BenchmarkBudget measures the escrow and two baselines in virtual time: a fixed
// equal split among the failure domains, and a compare-and-swap for each
// reservation and settlement.
func BenchmarkBudget(b *testing.B) {
	for _, d := range deployments {
		for _, name := range []string{"ordinary", "moving", "partition", "daemon", "allocator", "outage"} {
			sc := d.scenarios()[name]
			b.Run(fmt.Sprintf("%s/%s/escrow", d.name, name), func(b *testing.B) {
				for range b.N {
					s := newSim(sc)
					s.run()
					// The first minute is not counted, the last one, without demand, is.
					seconds := sc.length.Seconds() / float64(sc.shards)
					report(b, s.overspend, s.stranded, s.falseRefusals, s.eligible, float64(s.writes)/seconds, float64(s.reads)/seconds)
				}
			})
			b.Run(fmt.Sprintf("%s/%s/split", d.name, name), func(b *testing.B) { baseline(b, sc, false) })
			b.Run(fmt.Sprintf("%s/%s/cas", d.name, name), func(b *testing.B) { baseline(b, sc, true) })
		}
	}
}

func report(b *testing.B, overspend, stranded int64, falseRefusals, eligible int, writes, reads float64) {
	b.ReportMetric(float64(overspend), "overspend_tokens")
	b.ReportMetric(100*float64(falseRefusals)/float64(max(1, eligible)), "false_refusal_pct")
	b.ReportMetric(float64(stranded), "stranded_tokens")
	b.ReportMetric(writes, "store_writes/s")
	b.ReportMetric(reads, "store_reads/s")
}

// baseline runs a scenario's load with one balance for each failure domain, or
// with one balance in the store that is changed twice for each request.
func baseline(b *testing.B, sc scenario, cas bool) {
	for range b.N {
		s := newSim(sc)
		pool, writes := sc.prepaid, 0
		for s.elapsed = 0; s.elapsed < sc.length; s.elapsed += sc.step {
			if sc.faults != nil {
				sc.faults(s, s.elapsed)
			}
			for i, d := range s.simDomains {
				for p := sc.rate(i, s.elapsed) * sc.step.Seconds(); p > 0; p-- {
					if s.rng.Float64() >= p {
						continue
					}
					left, tokens := sc.prepaid-s.used, simPrompt+1+s.rng.Int64N(1000)
					if float64(left) > sc.floor*float64(sc.prepaid) {
						s.eligible++
					}
					balance := &d.balance
					if cas {
						balance = &pool
					}
					if *balance < tokens || (cas && (d.partitioned || s.storeDown)) {
						s.refuse(nil)
						continue
					}
					*balance -= tokens
					s.used += tokens
					writes += 2
				}
			}
		}
		if !cas {
			writes = 0
		}
		report(b, max(0, s.used-sc.prepaid), 0, s.falseRefusals, s.eligible,
			float64(writes)/sc.length.Seconds()*float64(sc.shards), 0)
	}
}

// fullShard returns the record of one of 128 shards of 68,000 budgets, each
// with a grant in 14 failure domains, and a full list of bills.
func fullShard() *Record {
	r := NewRecord()
	var specs []Spec
	for i := range 68000 / Shards {
		specs = append(specs, Spec{ID: fmt.Sprintf("account-%05d/main", i*7919), Initial: 1 << 30})
	}
	r.SetBudgets(specs)
	for d := range 14 {
		name := fmt.Sprintf("region-%d-zone-%d", d/3, d%3)
		var members []string
		for i := range 30 {
			members = append(members, fmt.Sprintf("i-%08x-%02d", d*2654435761, i))
		}
		r.TakeOver(name, members[0], members)
		for i, s := range specs {
			r.Budgets[s.ID].setGrant(name, Grant{Tokens: int64(2048 + i*d), Rate: int64(i % 5)})
		}
	}
	for i := range maxBills {
		r.Bills = append(r.Bills, RecentBill{
			ID: fmt.Sprintf("018f%08x-%04x", i*2654435761, i), Budget: specs[i%len(specs)].ID,
			Tokens: int64(i % 1500), Unix: 1000, Keyed: true,
		})
	}
	return r
}

// BenchmarkBudgetFlush measures one flush of a full shard: decode, apply,
// encode.
func BenchmarkBudgetFlush(b *testing.B) {
	value, err := fullShard().Marshal()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		r, err := Unmarshal(value)
		if err != nil {
			b.Fatal(err)
		}
		f := &Flush{Domain: "region-0-zone-0", Epoch: 1, Seq: 1}
		for i := range 250 {
			f.Bills = append(f.Bills, Bill{N: uint64(i), ID: fmt.Sprint("u", i), Budget: r.Bills[i].Budget, Tokens: 1})
		}
		if err := r.Apply(f); err != nil {
			b.Fatal(err)
		}
		if _, err := r.Marshal(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value)), "record_bytes")
}

// BenchmarkBudgetMemory measures the memory per budget of an allocator of a full
// shard.
func BenchmarkBudgetMemory(b *testing.B) {
	value, err := fullShard().Marshal()
	if err != nil {
		b.Fatal(err)
	}
	var perBudget float64
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		now := time.Unix(1000, 0)
		a := NewAllocator(now, Options{Domain: "region-0-zone-0", Owner: "o", Interval: 25 * time.Second})
		a.TakeOutput()
		a.Loaded(now, value, 1, true)
		a.TakeOutput()
		a.Stored(now, StoreResult{Outcome: Applied, Revision: 2})
		a.TakeOutput()
		runtime.GC()
		runtime.ReadMemStats(&after)
		perBudget = float64(after.HeapAlloc-before.HeapAlloc) / float64(len(a.pools))
	}
	b.ReportMetric(perBudget, "B/budget")
}
