package rollout

import (
	"container/heap"
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// deployment describes a fleet of section 2.3 or 2.4 of the design page.
type deployment struct {
	name                                   string
	daemons, domains                       int
	accounts, budgets, endpoints           int
	localDelay, storeDelay                 time.Duration // one-way delays
	lossPercent, edits, editIntervalTenths int           // interval in tenths of a second
}

var deployments = []deployment{
	{"maracas", 7, 4, 10, 10, 16, 500 * time.Microsecond, 1500 * time.Microsecond, 1, 10, 149},
	{"verstraeten", 7, 3, 10, 10, 23, 500 * time.Microsecond, 500 * time.Microsecond, 1, 10, 149},
	{"target", 420, 14, 31_000, 68_000, 4_300, 500 * time.Microsecond, 80 * time.Millisecond, 1, 10, 149},
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// fleet simulates followers in virtual time with message delays and losses.
type fleet struct {
	deployment     deployment
	now            time.Time
	queue          queue
	seq            int
	store          *memstore.Store
	daemonsByID    map[string]*benchDaemon
	daemons        []*benchDaemon
	reads          int
	sends          int
	head           platform.Item
	acceptedAt     time.Time
	maxRolloutTime time.Duration
	reverts        int
	joined         map[config.Hash]*config.Config
	sections       Sections
}

type benchDaemon struct {
	id       string
	follower *Follower
	revision uint64
	watching bool
	bytes    int
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, run})
}

func (f *fleet) runUntil(end time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func estimatedBytes(m Message) int {
	n := 64 + 48*len(m.Delta) + 40*len(m.Hashes)
	if m.Manifest != nil {
		n += len(m.Manifest.Encode())
	}
	for _, s := range m.Sections {
		n += len(s)
	}
	return n
}

func (f *fleet) execute(d *benchDaemon, out Output) {
	for _, e := range out.Send {
		f.sends++
		size := estimatedBytes(e.Message)
		d.bytes += size
		if f.sends%100 < f.deployment.lossPercent {
			continue
		}
		to := f.daemonsByID[e.To]
		f.schedule(f.deployment.localDelay, func() {
			to.bytes += size
			f.execute(to, to.follower.Receive(f.now, d.id, e.Message))
		})
	}
	if out.ReadHead {
		f.reads++
		f.schedule(2*f.deployment.storeDelay, func() {
			d.bytes += len(f.head.Value)
			f.execute(d, d.follower.HandleHead(f.now, f.head, nil))
		})
	}
	if out.StartWatch {
		f.reads++
		d.watching = true
	}
	if len(out.Fetch) > 0 {
		f.reads += len(out.Fetch)
		f.schedule(2*f.deployment.storeDelay, func() {
			contents := make(Sections)
			for _, h := range out.Fetch {
				contents[h] = f.sections[h]
				d.bytes += len(f.sections[h])
			}
			f.execute(d, d.follower.HandleSections(f.now, contents))
		})
	}
	if out.Install != nil {
		if out.Install.Revision <= d.revision {
			f.reverts++
		}
		d.revision = out.Install.Revision
		f.maxRolloutTime = max(f.maxRolloutTime, f.now.Sub(f.acceptedAt))
	}
}

func (f *fleet) join(previous *config.Config, pm, m config.Manifest, section func(config.Hash) ([]byte, bool)) (*config.Config, error) {
	key := m.Hash()
	if c, ok := f.joined[key]; ok {
		return c, nil
	}
	c, err := config.Join(previous, pm, m, section)
	f.joined = map[config.Hash]*config.Config{key: c}
	return c, err
}

// apply writes the edit to the store and sends the watch events.
func (f *fleet) apply(b *testing.B, c *config.Config, base uint64) {
	e := NewEditor(Edit{Action: ActionApply, OpID: fmt.Sprintf("op-%d", base), Base: base, Config: c,
		HasSpend: func(string) bool { return false }}, f.sections)
	for !e.Done() {
		var responses []Response
		for _, key := range e.Request().Get {
			item, err := f.store.Get(context.Background(), key)
			responses = append(responses, Response{item, err})
		}
		for _, put := range e.Request().Put {
			item, err := f.store.CompareAndSwap(context.Background(), put)
			responses = append(responses, Response{item, err})
			if err == nil && put.Key == HeadKey {
				f.head = item
			}
		}
		e.Step(f.now, responses)
	}
	if _, err := e.Result(); err != nil {
		b.Fatal(err)
	}
	f.acceptedAt = f.now
	head := f.head
	for _, d := range f.daemons {
		if d.watching {
			f.schedule(f.deployment.storeDelay, func() {
				d.bytes += len(head.Value)
				f.execute(d, d.follower.HandleHead(f.now, head, nil))
			})
		}
	}
}

func (f *fleet) tick(d *benchDaemon) {
	f.execute(d, d.follower.Tick(f.now))
	f.schedule(100*time.Millisecond, func() { f.tick(d) })
}

func newFleet(b *testing.B, d deployment, fresh bool) (*fleet, *config.Config) {
	f := &fleet{deployment: d, now: time.Unix(1_000_000, 0), daemonsByID: make(map[string]*benchDaemon), sections: make(Sections)}
	f.store = memstore.New(func() time.Time { return f.now })
	c := config.New()
	c.Services["chat"] = config.Service{Kind: config.KindModel, Models: []string{"m"}}
	for i := range d.endpoints {
		c.Endpoints[fmt.Sprintf("worker-%05d", i)] = config.Endpoint{Service: "chat",
			Address: fmt.Sprintf("127.%d.%d.1:9000", i/250, i%250), Domain: fmt.Sprintf("domain-%02d", i%14)}
	}
	for i := range d.accounts {
		c.Accounts[fmt.Sprintf("account-%05d", i)] = config.Account{Weight: 1, Keys: []string{fmt.Sprintf("sha256:%064x", i)}}
	}
	for i := range d.budgets {
		c.Budgets[config.BudgetID(fmt.Sprintf("account-%05d", i%d.accounts), fmt.Sprintf("b%d", i/d.accounts))] =
			config.Budget{Services: []string{"chat"}}
	}
	f.apply(b, c, 0)
	byDomain := make(map[int][]string)
	for i := range d.daemons {
		byDomain[i%d.domains] = append(byDomain[i%d.domains], fmt.Sprintf("d%03d", i))
	}
	head, err := DecodeHead(f.head.Value)
	if err != nil {
		b.Fatal(err)
	}
	for i := range d.daemons {
		m := &benchDaemon{id: fmt.Sprintf("d%03d", i), revision: 1}
		var out Output
		m.follower, out = NewFollower(Options{Self: m.id, Domain: fmt.Sprint(i % d.domains)}, f.now)
		// Unless fresh is set, the fleet starts with revision 1 installed, as a
		// long-running fleet has it.
		m.follower.join = f.join
		if fresh {
			m.revision = 0
		} else {
			m.follower.revision, m.follower.manifest, m.follower.config = 1, head.Manifest, c
			m.follower.sections = maps.Clone(f.sections)
			m.follower.history = []target{{revision: 1, manifest: head.Manifest}}
		}
		f.daemonsByID[m.id], f.daemons = m, append(f.daemons, m)
		f.execute(m, out)
		f.schedule(time.Duration(i%100)*time.Millisecond, func() { f.tick(m) })
	}
	for i, m := range f.daemons {
		f.execute(m, m.follower.SetMembers(f.now, byDomain[i%d.domains]))
	}
	return f, c
}

// BenchmarkConfigRollout measures the time until the last daemon has installed an
// accepted edit, with one message in 100 lost, and the store reads and bytes that
// this takes. The rate of edits is that of the target size, 5,800 a day.
func BenchmarkConfigRollout(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.name, func(b *testing.B) {
			for b.Loop() {
				f, c := newFleet(b, d, false)
				f.runUntil(f.now.Add(30 * time.Second))
				start, reads := f.now, f.reads
				for _, m := range f.daemons {
					m.bytes = 0
				}
				f.maxRolloutTime = 0
				for i := range d.edits {
					c = c.Clone()
					c.Accounts[fmt.Sprintf("account-%05d", i)] = config.Account{Weight: 2 + i}
					f.apply(b, c, uint64(i)+1)
					f.runUntil(f.now.Add(time.Duration(d.editIntervalTenths) * 100 * time.Millisecond))
				}
				seconds := f.now.Sub(start).Seconds()
				var total, maxBytes int
				for _, m := range f.daemons {
					if m.revision != uint64(d.edits)+1 {
						b.Fatalf("daemon %s has revision %d, want %d", m.id, m.revision, d.edits+1)
					}
					total, maxBytes = total+m.bytes, max(maxBytes, m.bytes)
				}
				b.ReportMetric(float64(f.maxRolloutTime.Microseconds())/1000, "in_force_ms")
				b.ReportMetric(float64(f.reverts), "reverts")
				b.ReportMetric(float64(f.reads-reads)/seconds, "store_reads/s")
				b.ReportMetric(float64(total)/float64(len(f.daemons))/seconds, "bytes/s")
				b.ReportMetric(float64(maxBytes)/seconds, "bytes_max/s")
			}
		})
	}
}

// BenchmarkFleetRestart measures a simultaneous start of all daemons: the time
// until the last one has a configuration, and the store reads in the busiest second.
func BenchmarkFleetRestart(b *testing.B) {
	for b.Loop() {
		f, _ := newFleet(b, deployments[2], true)
		peak, last := 0, f.reads
		for range 60 {
			f.runUntil(f.now.Add(time.Second))
			peak, last = max(peak, f.reads-last), f.reads
		}
		for _, m := range f.daemons {
			if m.revision != 1 {
				b.Fatalf("daemon %s has revision %d after a minute", m.id, m.revision)
			}
		}
		b.ReportMetric(f.maxRolloutTime.Seconds()*1000, "in_force_ms")
		b.ReportMetric(float64(peak), "store_reads_peak/s")
		b.ReportMetric(float64(f.reads), "store_reads")
	}
}
