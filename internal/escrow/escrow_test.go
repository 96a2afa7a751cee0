package escrow

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
)

// manyChecks finds the orders of five or six steps that a fault needs; a check
// takes 50 us.
const manyChecks = "20000"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", manyChecks); err != nil {
		panic(err)
	}
	rapidtest.Main(m)
}

// world is a store with one record and the daemons that draw on it. Its oracle
// is exact: it counts each token that a request used.
type world struct {
	record   Record
	revision int64
	prepaid  int64
	now      time.Time
	daemons  []*daemon
	starts   int
	// consumed is what requests used, at their most while they are open.
	consumed int64
	// late are writes that the store may still execute.
	late []Write
}

type daemon struct {
	instance string
	h        *Holding
	open     []int64
	ended    bool
}

func newWorld(prepaid int64) *world {
	w := &world{prepaid: prepaid, now: time.Unix(1000, 0)}
	for i := range 3 {
		w.daemons = append(w.daemons, &daemon{instance: fmt.Sprintf("d%d", i)})
		w.restart(w.daemons[i])
	}
	return w
}

// restart kills a daemon: its open requests count at their most, and what it
// held is gone.
func (w *world) restart(d *daemon) {
	w.starts++
	d.h = NewHolding(w.now, HolderID(d.instance, fmt.Sprint(w.starts)))
	d.h.SetPrepaid(w.prepaid)
	d.open, d.ended = nil, false
}

// outcome is how the store answers a write.
type outcome int

const (
	acknowledged outcome = iota
	refused
	lostDone
	lostNot
	lostLate
)

func (w *world) execute(write Write) bool {
	if write.Expected != w.revision {
		return false
	}
	w.revision++
	w.record = write.Record
	return true
}

func (w *world) submit(d *daemon, write Write, how outcome) {
	switch how {
	case refused:
		d.h.Failed()
	case lostDone:
		w.execute(write)
		d.h.Unknown()
	case lostNot:
		d.h.Unknown()
	case lostLate:
		w.late = append(w.late, write)
		d.h.Unknown()
	default:
		if w.execute(write) {
			d.h.Written(write, w.revision)
		} else {
			d.h.Conflict(w.record, w.revision)
		}
	}
}

func (w *world) reserve(d *daemon, tokens int64) bool {
	if d.ended || !d.h.Reserve(w.now, tokens) {
		return false
	}
	d.open = append(d.open, tokens)
	w.consumed += tokens
	return true
}

func (w *world) settle(d *daemon, i int, used int64) {
	reserved := d.open[i]
	d.open = append(d.open[:i], d.open[i+1:]...)
	d.h.Settle(w.now, reserved, used)
	w.consumed -= reserved - used
}

// check states the invariants: the spend stays within the budget, and so does
// what the record says is drawn, while no budget was lowered.
func (w *world) check(t interface{ Fatalf(string, ...any) }) {
	if w.consumed > w.prepaid {
		t.Fatalf("requests used %d tokens of a budget of %d", w.consumed, w.prepaid)
	}
	if w.record.TotalDrawn() > w.prepaid {
		t.Fatalf("%d tokens are drawn of a budget of %d", w.record.TotalDrawn(), w.prepaid)
	}
}

// play runs random steps; lies, if set, breaks the daemons' rules after a lost write.
func play(t *rapid.T, lies func(w *world, d *daemon, write Write)) {
	w := newWorld(rapid.Int64Range(100, 600).Draw(t, "prepaid"))
	daemonOf := func(t *rapid.T) *daemon { return w.daemons[rapid.IntRange(0, 2).Draw(t, "daemon")] }
	outcomes := rapid.SampledFrom([]outcome{acknowledged, acknowledged, acknowledged, refused, lostDone, lostNot, lostLate})
	submit := func(t *rapid.T, d *daemon, write Write, ok bool) {
		if !ok {
			return
		}
		how := outcomes.Draw(t, "outcome")
		w.submit(d, write, how)
		if lies != nil && how != acknowledged && how != refused {
			lies(w, d, write)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"reserve": func(t *rapid.T) {
			w.reserve(daemonOf(t), rapid.Int64Range(1, 400).Draw(t, "tokens"))
		},
		"reserve all": func(t *rapid.T) {
			d := daemonOf(t)
			if n := d.h.Available(); n > 0 {
				w.reserve(d, n)
			}
		},
		"settle": func(t *rapid.T) {
			d := daemonOf(t)
			if len(d.open) == 0 {
				t.Skip("nothing open")
			}
			i := rapid.IntRange(0, len(d.open)-1).Draw(t, "which")
			w.settle(d, i, rapid.Int64Range(0, d.open[i]).Draw(t, "used"))
		},
		"draw": func(t *rapid.T) {
			d := daemonOf(t)
			if d.ended {
				t.Skip("stopped")
			}
			need := rapid.Int64Range(0, 500).Draw(t, "need")
			for range 2 { // the first write may meet a conflict
				write, ok := d.h.Draw(w.now, min(need, d.h.Undrawn()))
				submit(t, d, write, ok && write.Record.Drawn[d.h.holder] > d.h.drawn)
				if ok && d.h.busy {
					d.h.Failed()
				}
			}
		},
		"level": func(t *rapid.T) {
			d := daemonOf(t)
			if d.ended {
				t.Skip("stopped")
			}
			write, ok := d.h.Rebalance(w.now)
			submit(t, d, write, ok)
		},
		"give": func(t *rapid.T) {
			from, to := daemonOf(t), daemonOf(t)
			if from == to || from.ended || to.ended {
				t.Skip("same or stopped")
			}
			n := from.h.TransferOut(rapid.Int64Range(1, 300).Draw(t, "asked"))
			if !rapid.Bool().Draw(t, "answer lost") {
				to.h.Receive(n)
			}
		},
		"stop": func(t *rapid.T) {
			d := daemonOf(t)
			write, ok := d.h.Return()
			if ok {
				d.ended = true
				submit(t, d, write, true)
			}
		},
		"kill": func(t *rapid.T) { w.restart(daemonOf(t)) },
		"late write": func(t *rapid.T) {
			if len(w.late) == 0 {
				t.Skip("none")
			}
			w.execute(w.late[0])
			w.late = w.late[1:]
		},
		"top up": func(t *rapid.T) {
			w.prepaid += rapid.Int64Range(0, 300).Draw(t, "more")
			for _, d := range w.daemons {
				d.h.SetPrepaid(w.prepaid)
			}
		},
		"wait": func(*rapid.T) { w.now = w.now.Add(3 * time.Second) },
		"":     func(t *rapid.T) { w.check(t) },
	})
}

// Guards against overspend through lost, late and conflicting writes, kills,
// stops, transfers with lost answers, and top-ups, in any order.
func TestHoldingMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { play(t, nil) })
}

// variants are deliberately wrong readings of a write whose answer was lost.
var variants = map[string]func(w *world, d *daemon, write Write){
	"a lost draw is counted as done": func(_ *world, d *daemon, write Write) {
		d.h.drawn = write.Record.Drawn[d.h.holder]
	},
	"a lost return is counted as not done": func(_ *world, d *daemon, _ Write) { d.h.returning = 0 },
}

// Guards against a check that can't fail: each broken variant must break it.
func TestHoldingBrokenVariants(t *testing.T) {
	for name, lies := range variants {
		t.Run(name, func(t *testing.T) {
			rapidtest.MustFail(t, func(t *rapid.T) { play(t, lies) })
		})
	}
}

// Guards against a restart that frees or doubles what the former start of the
// same instance had drawn.
func TestRecordRetiresEarlierStarts(t *testing.T) {
	r := Record{}.with("a/1", 100, 5).with("b/1", 50, 5).with("a/2", 30, 5)
	if r.Retired != 100 || r.Drawn["a/2"] != 30 || r.Drawn["b/1"] != 50 || len(r.Drawn) != 2 {
		t.Errorf("record %+v", r)
	}
	if r = r.without("b/1", 20); r.TotalDrawn() != 150 {
		t.Errorf("granted %d after a stop that spent 20 of 50, want 150", r.TotalDrawn())
	}
}

// Guards against a holding that neither covers the rate of spend nor leaves the
// rest of the budget to the others.
func TestTargetFollowsRate(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolding(now, "a/1")
	h.SetPrepaid(10_000_000)
	w, _ := h.Draw(now, 2_000_000)
	h.Written(w, 1)
	for range 100 { // 20,000 tokens a second for 10 s
		h.Reserve(now, 2000)
		h.Settle(now, 2000, 2000)
		now = now.Add(100 * time.Millisecond)
	}
	want := 20_000 * horizon.Seconds()
	if got := float64(h.Target(now)); got < 0.8*want || got > 1.2*want {
		t.Errorf("target %v at 20,000 tokens a second, want about %v", got, want)
	}
	if _, ok := h.Rebalance(now); !ok {
		t.Error("a holding of 1.8 million tokens gives nothing back")
	}
}

// Guards against a keeper of a wide fleet that holds as little as a daemon that
// draws for itself only, and so draws twice as often.
func TestKeeperHoldsMore(t *testing.T) {
	now := time.Unix(100, 0)
	target := func(keeper bool) int64 {
		h := NewHolding(now, HolderID("a", "1"))
		h.SetPrepaid(1000)
		h.SetOwner(keeper)
		h.RecordTransfer(now, 100_000)
		return h.Target(now)
	}
	if own, keeper := target(false), target(true); own != int64(riskShare*1000) || keeper != int64(keepersRisk*1000) {
		t.Errorf("targets %d and %d of 1,000 tokens, want %.0f and %.0f", own, keeper, riskShare*1000, keepersRisk*1000)
	}
}
