package rollout

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// actions returns the steps that a test chooses from, by name.
func (sim *simulation) actions() map[string]func() {
	return map[string]func(){
		"apply":    func() { sim.startOperation(ActionApply) },
		"rollback": func() { sim.startOperation(ActionRollback) },
		"record":   func() { sim.startOperation(ActionAppendAudit) },
		"rotate":   func() { sim.startOperation(ActionRotate) },
		"collect":  func() { sim.startOperation(ActionCollect) },
		"edit":     func() { sim.stepSession(true) },
		"edits":    func() { sim.repeat(20, func() { sim.stepSession(true) }) },
		"late write": func() {
			if len(sim.delayedWrites) > 0 {
				i := sim.choose(len(sim.delayedWrites))
				put := sim.delayedWrites[i]
				sim.delayedWrites = append(sim.delayedWrites[:i:i], sim.delayedWrites[i+1:]...)
				_, _ = sim.writeStore(put)
			}
		},
		"deliver": func() { sim.repeat(20, func() { sim.deliver(sim.choose(20) == 0) }) },
		"lose":    func() { sim.deliver(true) },
		"read": func() {
			sim.repeat(4, func() { sim.respondToRead(sim.randomDaemon(), sim.choose(3) == 0, sim.choose(6) == 0) })
		},
		"event": func() { sim.repeat(4, func() { sim.watchEvent(sim.randomDaemon(), sim.choose(3) == 0) }) },
		"fetch": func() { sim.repeat(4, func() { sim.respondToFetch(sim.randomDaemon(), sim.choose(5) == 0) }) },
		"break": func() { sim.breakWatch(sim.randomDaemon()) },
		"cut":   func() { sim.setStoreUnreachable(sim.choose(4) == 0) },
		"isolate": func() {
			d := sim.randomDaemon()
			d.isolated = sim.choose(4) == 0
			d.mayMissUpdates = true
		},
		"pause": func() {
			d := sim.randomDaemon()
			d.paused = sim.choose(3) == 0
			d.mayMissUpdates = true
		},
		"restart": func() { sim.restart(sim.randomDaemon()) },
		"restart and read": func() {
			d := sim.randomDaemon()
			sim.restart(d)
			sim.respondToRead(d, true, false)
			sim.respondToFetch(d, false)
		},
		"time": func() { sim.advance(time.Duration(1+sim.choose(10)) * 100 * time.Millisecond) },
	}
}

// repeat runs a step between 1 and n times.
func (sim *simulation) repeat(n int, step func()) {
	for range 1 + sim.choose(n) {
		step()
	}
}

func (sim *simulation) randomDaemon() *simDaemon { return sim.daemons[sim.choose(len(sim.daemons))] }

func (sim *simulation) daemon(id string) *simDaemon {
	for _, d := range sim.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// deliver delivers or drops one of the messages in flight, in any order.
func (sim *simulation) deliver(drop bool) {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.choose(len(sim.inFlight))
	p := sim.inFlight[i]
	sim.inFlight = append(sim.inFlight[:i:i], sim.inFlight[i+1:]...)
	from, to := sim.daemon(p.from), sim.daemon(p.to)
	if to.paused {
		sim.inFlight = append(sim.inFlight, p)
		return
	}
	if drop || from.isolated || to.isolated {
		from.mayMissUpdates, to.mayMissUpdates = true, true
		return
	}
	sim.execute(to, to.follower.Receive(sim.now, p.from, p.message))
}

// respondToRead responds to a read of the head; with lag set, any version may be
// returned.
func (sim *simulation) respondToRead(d *simDaemon, lag, lose bool) {
	if d.pendingReads == 0 || d.paused {
		return
	}
	d.pendingReads--
	item, err := platform.Item{}, platform.ErrNotFound
	if n := len(sim.heads); n > 0 {
		item, err = sim.heads[n-1], nil
		if lag {
			item = sim.heads[sim.choose(n)]
		}
	}
	if d.storeUnreachable || lose {
		item, err = platform.Item{}, platform.ErrUnavailable
	}
	sim.execute(d, d.follower.HandleHead(sim.now, item, err))
}

// watchEvent delivers the next event of a watch or, with old set, any version of the
// head.
func (sim *simulation) watchEvent(d *simDaemon, old bool) {
	if !d.watching || d.storeUnreachable || d.paused || len(sim.heads) == 0 {
		return
	}
	if old {
		sim.execute(d, d.follower.HandleHead(sim.now, sim.heads[sim.choose(len(sim.heads))], nil))
		return
	}
	if d.nextEvent < len(sim.heads) {
		item := sim.heads[d.nextEvent]
		d.nextEvent++
		sim.execute(d, d.follower.HandleHead(sim.now, item, nil))
	}
}

func (sim *simulation) breakWatch(d *simDaemon) {
	if d.watching {
		d.watching = false
		sim.execute(d, d.follower.HandleWatchEnd(sim.now))
	}
}

func (sim *simulation) respondToFetch(d *simDaemon, lose bool) {
	if len(d.pendingFetches) == 0 || d.paused {
		return
	}
	hashes := d.pendingFetches[0]
	d.pendingFetches = d.pendingFetches[1:]
	contents := make(Sections)
	for _, h := range hashes {
		item, err := sim.store.Get(context.Background(), SectionKey(h))
		if err == nil && !d.storeUnreachable && !lose {
			contents[h] = item.Value
		}
	}
	sim.execute(d, d.follower.HandleSections(sim.now, contents))
}

// setStoreUnreachable makes the store unreachable for one failure domain, or
// reachable again. An open watch delivers no events meanwhile, but does not end.
func (sim *simulation) setStoreUnreachable(unreachable bool) {
	domain := sim.randomDaemon().domain
	for _, d := range sim.daemons {
		if d.domain == domain {
			d.storeUnreachable = unreachable
		}
	}
}

func (sim *simulation) advance(by time.Duration) {
	for end := sim.now.Add(by); sim.now.Before(end); {
		sim.now = sim.now.Add(100 * time.Millisecond)
		for _, d := range sim.daemons {
			if !d.paused {
				sim.execute(d, d.follower.Tick(sim.now))
			}
		}
	}
}

// heal ends all faults, then delivers all messages and responses for the given time.
func (sim *simulation) heal(d time.Duration) {
	for _, daemon := range sim.daemons {
		daemon.storeUnreachable, daemon.isolated, daemon.paused = false, false, false
	}
	for end := sim.now.Add(d); sim.now.Before(end) && sim.err == nil; {
		for len(sim.sessions) > 0 && sim.err == nil {
			sim.stepSession(false)
		}
		sim.deliverPending()
		sim.advance(100 * time.Millisecond)
	}
}

func (sim *simulation) deliverPending() {
	for busy := true; busy && sim.err == nil; {
		busy = len(sim.inFlight) > 0
		sim.deliver(false)
		for _, d := range sim.daemons {
			busy = busy || d.pendingReads > 0 || len(d.pendingFetches) > 0 || (d.watching && d.nextEvent < len(sim.heads))
			sim.respondToRead(d, false, false)
			sim.respondToFetch(d, false)
			sim.watchEvent(d, false)
		}
	}
}

// checkConverged checks that each daemon has the newest revision.
func (sim *simulation) checkConverged() {
	newest := uint64(len(sim.expected) - 1)
	for _, d := range sim.daemons {
		if d.revision != newest {
			sim.fail("daemon %s has revision %d, newest is %d", d.id, d.revision, newest)
		}
	}
}
