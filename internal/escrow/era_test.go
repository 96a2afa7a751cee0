package escrow

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurehatch/azurehatch/internal/rapidtest"
)

// restorable is a store with one account's records, by era, whose content can be replaced by
// an older copy. Revisions are composed of an era and a number.
type restorable struct {
	era, number int64
	// records are by the era of their key, with the numbers of their last writes.
	records map[int64]Known
	copies  []restorable
}

func revision(era, number int64) int64 { return era<<32 | number }

// execute applies a write to the key of its era if the expected number matches.
func (s *restorable) execute(w Write) bool {
	if w.Expected&(1<<32-1) != s.records[w.Era].Revision {
		return false
	}
	s.number++
	s.records[w.Era] = Known{Record: w.Record, Revision: s.number}
	s.copies = append(s.copies, restorable{number: s.number, records: maps.Clone(s.records)})
	return true
}

func (s *restorable) restore(age int) {
	copied := restorable{records: map[int64]Known{}}
	if age < len(s.copies) {
		copied = s.copies[len(s.copies)-1-age]
	}
	s.era, s.number, s.records = s.era+1, copied.number, maps.Clone(copied.records)
}

// eraSimulation is a fleet on a restorable store.
type eraSimulation struct {
	simulation
	store restorable
	// lateAnswers are answers on the way.
	lateAnswers []lateAnswer
	// broken variants
	ignorePeers, countLateAnswers, copyIsNewest bool
}

type lateAnswer struct {
	holding  *Holding
	write    Write
	revision int64
}

func newEraSimulation(prepaid int64) *eraSimulation {
	s := &eraSimulation{simulation: *newSimulation(prepaid)}
	s.store.records = make(map[int64]Known)
	return s
}

// answer delivers the store's answer to a write.
func (s *eraSimulation) answer(a lateAnswer) {
	switch {
	case s.countLateAnswers:
		a.write.Era = a.holding.era
		a.holding.Written(a.write, a.revision)
	case a.revision>>32 != a.write.Era: // as Manager.discardWrite does
		a.holding.Unknown()
		a.holding.EnterEra(a.revision >> 32)
	default:
		a.holding.Written(a.write, a.revision)
	}
}

func (s *eraSimulation) submitEra(d *daemon, write Write, how outcome, late bool) {
	switch how {
	case refused:
		d.holding.Failed()
	case lostApplied:
		s.store.execute(write)
		d.holding.Unknown()
	case lostDropped:
		d.holding.Unknown()
	case lostDelayed:
		s.delayedWrites = append(s.delayedWrites, write)
		d.holding.Unknown()
	default:
		if s.store.execute(write) {
			a := lateAnswer{holding: d.holding, write: write, revision: revision(s.store.era, s.store.number)}
			if late {
				s.lateAnswers = append(s.lateAnswers, a)
			} else {
				s.answer(a)
			}
			return
		}
		d.holding.Failed()
		s.read(d)
	}
}

// read has a daemon read the record of the current era.
func (s *eraSimulation) read(d *daemon) {
	d.holding.EnterEra(s.store.era)
	if r, ok := s.store.records[s.store.era]; ok {
		d.holding.Read(r.Record, revision(s.store.era, r.Revision))
	}
}

// evidence asks all daemons for their newest records.
func (s *eraSimulation) evidence(d *daemon) Evidence {
	e := Evidence{Heard: make(map[string]bool)}
	for _, other := range s.daemons {
		if s.ignorePeers && other != d {
			continue
		}
		other.holding.EnterEra(s.store.era)
		e.Heard[other.holding.holder] = true
		if k, ok := other.holding.Known(); ok && k.Revision>>32 < s.store.era {
			e.Known = append(e.Known, k)
		}
	}
	for _, era := range slices.Sorted(maps.Keys(s.store.records)) {
		if era < s.store.era {
			r := s.store.records[era]
			e.Copy = &Known{Record: r.Record, Revision: revision(era, r.Revision)}
		}
	}
	if s.copyIsNewest && e.Copy != nil {
		e.Known = []Known{*e.Copy}
	}
	return e
}

// reconcile has a daemon create the record of the current era. It returns false if there is
// one.
func (s *eraSimulation) reconcile(d *daemon) (Write, bool) {
	s.read(d)
	if d.holding.Reconciled() {
		return Write{}, false
	}
	e := s.evidence(d)
	if len(e.Known) == 0 && e.Copy == nil {
		d.holding.BeginEmpty()
		return Write{}, false
	}
	return d.holding.Begin(Reconcile(e, s.prepaid))
}

// kill restarts a daemon if another one has read what it wrote last.
func (s *eraSimulation) kill(d, witness *daemon) bool {
	if k, ok := d.holding.Known(); ok && k.Revision > witness.holding.revision {
		if witness.holding.era != d.holding.era || k.Revision>>32 != d.holding.era || d.holding.era != s.store.era {
			return false
		}
		witness.holding.Read(k.Record, k.Revision)
	}
	s.restart(d)
	d.holding.EnterEra(s.store.era)
	return true
}

func (s *eraSimulation) checkEra(t interface{ Fatalf(string, ...any) }) {
	if s.consumed > s.prepaid {
		t.Fatalf("requests used %d tokens, more than the budget of %d", s.consumed, s.prepaid)
	}
	if n := s.store.records[s.store.era].Record.TotalDrawn(); n > s.prepaid {
		t.Fatalf("%d tokens are drawn, more than the budget of %d", n, s.prepaid)
	}
}

func runEraSteps(t *rapid.T, s *eraSimulation) {
	drawDaemon := func(t *rapid.T) *daemon { return s.daemons[rapid.IntRange(0, 2).Draw(t, "daemon")] }
	outcomes := rapid.SampledFrom([]outcome{
		acknowledged, acknowledged, acknowledged, acknowledged, refused, lostApplied, lostDropped, lostDelayed,
	})
	submit := func(t *rapid.T, d *daemon, write Write, ok bool) {
		if ok {
			s.submitEra(d, write, outcomes.Draw(t, "outcome"), rapid.IntRange(0, 3).Draw(t, "late") == 0)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"reserve": func(t *rapid.T) { s.reserve(drawDaemon(t), rapid.Int64Range(1, 400).Draw(t, "tokens")) },
		"reserve all": func(t *rapid.T) {
			if d := drawDaemon(t); d.holding.Available() > 0 {
				s.reserve(d, d.holding.Available())
			}
		},
		"settle": func(t *rapid.T) {
			d := drawDaemon(t)
			if len(d.reservations) == 0 {
				t.Skip("nothing open")
			}
			i := rapid.IntRange(0, len(d.reservations)-1).Draw(t, "which")
			s.settle(d, i, rapid.Int64Range(0, d.reservations[i]).Draw(t, "used"))
		},
		"draw": func(t *rapid.T) {
			d := drawDaemon(t)
			if d.stopped {
				t.Skip("stopped")
			}
			write, ok := d.holding.Draw(s.now, min(rapid.Int64Range(0, 500).Draw(t, "need"), d.holding.Undrawn()), true)
			submit(t, d, write, ok)
		},
		"rebalance": func(t *rapid.T) {
			d := drawDaemon(t)
			if d.stopped {
				t.Skip("stopped")
			}
			write, ok := d.holding.Rebalance(s.now)
			submit(t, d, write, ok)
		},
		"give": func(t *rapid.T) {
			from, to := drawDaemon(t), drawDaemon(t)
			if from == to || from.stopped || to.stopped {
				t.Skip("same or stopped")
			}
			n := from.holding.TransferOut(rapid.Int64Range(1, 300).Draw(t, "asked"))
			if !rapid.Bool().Draw(t, "answer lost") {
				to.holding.Receive(n)
			}
		},
		"stop": func(t *rapid.T) {
			d := drawDaemon(t)
			write, ok := d.holding.Return()
			d.stopped = d.stopped || ok
			submit(t, d, write, ok)
		},
		"read": func(t *rapid.T) { s.read(drawDaemon(t)) },
		"reconcile": func(t *rapid.T) {
			d := drawDaemon(t)
			write, ok := s.reconcile(d)
			submit(t, d, write, ok)
		},
		"restore": func(t *rapid.T) { s.store.restore(rapid.IntRange(0, len(s.store.copies)).Draw(t, "age")) },
		"kill": func(t *rapid.T) {
			d, witness := drawDaemon(t), drawDaemon(t)
			if d == witness || !s.kill(d, witness) {
				t.Skip("no other daemon knows its last write")
			}
		},
		"late write": func(t *rapid.T) {
			if len(s.delayedWrites) == 0 {
				t.Skip("none")
			}
			s.store.execute(s.delayedWrites[0])
			s.delayedWrites = s.delayedWrites[1:]
		},
		"late answer": func(t *rapid.T) {
			if len(s.lateAnswers) == 0 {
				t.Skip("none")
			}
			s.answer(s.lateAnswers[0])
			s.lateAnswers = s.lateAnswers[1:]
		},
		"top up": func(t *rapid.T) {
			s.prepaid += rapid.Int64Range(0, 300).Draw(t, "more")
			for _, d := range s.daemons {
				d.holding.SetPrepaid(s.prepaid)
			}
		},
		"wait": func(*rapid.T) { s.now = s.now.Add(3 * time.Second) },
		"":     func(t *rapid.T) { s.checkEra(t) },
	})
}

// Guards against overspend when the store comes back from copies of any age, any number of
// times, with late and lost answers, kills, stops, transfers and top-ups in any order.
func TestEraMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runEraSteps(t, newEraSimulation(rapid.Int64Range(100, 600).Draw(t, "prepaid")))
	})
}

// Guards against a check that cannot fail: it must detect each broken variant.
func TestEraMachineBrokenVariants(t *testing.T) {
	for name, variant := range map[string]func(*eraSimulation){
		"a daemon reconciles without its peers":           func(s *eraSimulation) { s.ignorePeers = true },
		"an answer from a former era is counted":          func(s *eraSimulation) { s.countLateAnswers = true },
		"the restored copy is taken as the newest record": func(s *eraSimulation) { s.copyIsNewest = true },
	} {
		t.Run(name, func(t *testing.T) {
			rapidtest.MustFail(t, func(t *rapid.T) {
				s := newEraSimulation(rapid.Int64Range(100, 600).Draw(t, "prepaid"))
				variant(s)
				runEraSteps(t, s)
			})
		})
	}
}

// Guards against a budget that is offered whole again, or lost whole, when a holder is missing
// that may have drawn after the newest known record.
func TestMissingHolderCountsAsDrawn(t *testing.T) {
	const prepaid = 1_000_000
	known := Record{}
	for i := range 7 {
		known = known.withHolder(HolderID(fmt.Sprint("d", i), "1"), 60_000, 2000)
	}
	heard := make(map[string]bool)
	for i := range 6 {
		heard[HolderID(fmt.Sprint("d", i), "1")] = true
	}
	missing := HolderID("d6", "1")
	r := Reconcile(Evidence{Known: []Known{{Record: known, Revision: 9}}, Heard: heard}, prepaid)
	if n := r.Drawn[missing] - 60_000; n < 2000*int64(maxCopyAge.Seconds()) || n > prepaid/10 {
		t.Errorf("%d tokens are counted for the missing holder, want what it spends in %v and holds, at most a tenth", n, maxCopyAge)
	}
	h := NewHolding(time.Unix(1000, 0), missing)
	h.SetPrepaid(prepaid)
	h.EnterEra(1)
	h.Read(r, revision(1, 3))
	if w, ok := h.Rebalance(time.Unix(1100, 0)); !ok || w.Record.Drawn[missing] >= r.Drawn[missing] {
		t.Errorf("the holder returns nothing of the tokens that it did not draw: %v %+v", ok, w)
	}
	heard[missing] = true
	if r = Reconcile(Evidence{Known: []Known{{Record: known, Revision: 9}}, Heard: heard}, prepaid); r.TotalDrawn() != known.TotalDrawn() {
		t.Errorf("%d tokens are drawn with all holders heard, want %d", r.TotalDrawn(), known.TotalDrawn())
	}
}
