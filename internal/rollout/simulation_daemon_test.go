package rollout

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// actions are the steps that a test chooses from.
func (w *simulation) actions() map[string]func() {
	return map[string]func(){
		"apply":    func() { w.startOperation(ActionApply) },
		"rollback": func() { w.startOperation(ActionRollback) },
		"record":   func() { w.startOperation(ActionAppendAudit) },
		"rotate":   func() { w.startOperation(ActionRotate) },
		"collect":  func() { w.startOperation(ActionCollect) },
		"edit":     func() { w.stepSession(true) },
		"edits":    func() { w.repeat(20, func() { w.stepSession(true) }) },
		"late write": func() {
			if len(w.delayedWrites) > 0 {
				i := w.choose(len(w.delayedWrites))
				put := w.delayedWrites[i]
				w.delayedWrites = append(w.delayedWrites[:i:i], w.delayedWrites[i+1:]...)
				_, _ = w.writeStore(put)
			}
		},
		"deliver": func() { w.repeat(20, func() { w.deliver(w.choose(20) == 0) }) },
		"lose":    func() { w.deliver(true) },
		"read":    func() { w.repeat(4, func() { w.answerRead(w.randomDaemon(), w.choose(3) == 0, w.choose(6) == 0) }) },
		"event":   func() { w.repeat(4, func() { w.watchEvent(w.randomDaemon(), w.choose(3) == 0) }) },
		"fetch":   func() { w.repeat(4, func() { w.answerFetch(w.randomDaemon(), w.choose(5) == 0) }) },
		"break":   func() { w.breakWatch(w.randomDaemon()) },
		"cut":     func() { w.setStoreUnreachable(w.choose(4) == 0) },
		"isolate": func() {
			d := w.randomDaemon()
			d.isolated = w.choose(4) == 0
			d.mayMissUpdates = true
		},
		"pause": func() {
			d := w.randomDaemon()
			d.paused = w.choose(3) == 0
			d.mayMissUpdates = true
		},
		"restart": func() { w.restart(w.randomDaemon()) },
		"restart and read": func() {
			d := w.randomDaemon()
			w.restart(d)
			w.answerRead(d, true, false)
			w.answerFetch(d, false)
		},
		"time": func() { w.advance(time.Duration(1+w.choose(10)) * 100 * time.Millisecond) },
	}
}

// repeat repeats a step up to n repeat.
func (w *simulation) repeat(n int, step func()) {
	for range 1 + w.choose(n) {
		step()
	}
}

func (w *simulation) randomDaemon() *simDaemon { return w.daemons[w.choose(len(w.daemons))] }

func (w *simulation) daemon(id string) *simDaemon {
	for _, d := range w.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// deliver hands over any message in flight, which reorders them, or drops it.
func (w *simulation) deliver(drop bool) {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.choose(len(w.inFlight))
	p := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	from, to := w.daemon(p.from), w.daemon(p.to)
	if to.paused {
		w.inFlight = append(w.inFlight, p)
		return
	}
	if drop || from.isolated || to.isolated {
		from.mayMissUpdates, to.mayMissUpdates = true, true
		return
	}
	w.execute(to, to.follower.Receive(w.now, p.from, p.message))
}

// answerRead answers a read of the head, perhaps with an old version.
func (w *simulation) answerRead(d *simDaemon, lag, lose bool) {
	if d.pendingReads == 0 || d.paused {
		return
	}
	d.pendingReads--
	item, err := platform.Item{}, platform.ErrNotFound
	if n := len(w.heads); n > 0 {
		item, err = w.heads[n-1], nil
		if lag {
			item = w.heads[w.choose(n)]
		}
	}
	if d.storeUnreachable || lose {
		item, err = platform.Item{}, platform.ErrUnavailable
	}
	w.execute(d, d.follower.HandleHead(w.now, item, err))
}

// watchEvent delivers the next event of a watch, or an old one again.
func (w *simulation) watchEvent(d *simDaemon, old bool) {
	if !d.watching || d.storeUnreachable || d.paused || len(w.heads) == 0 {
		return
	}
	if old {
		w.execute(d, d.follower.HandleHead(w.now, w.heads[w.choose(len(w.heads))], nil))
		return
	}
	if d.nextEvent < len(w.heads) {
		item := w.heads[d.nextEvent]
		d.nextEvent++
		w.execute(d, d.follower.HandleHead(w.now, item, nil))
	}
}

func (w *simulation) breakWatch(d *simDaemon) {
	if d.watching {
		d.watching = false
		w.execute(d, d.follower.HandleWatchEnd(w.now))
	}
}

func (w *simulation) answerFetch(d *simDaemon, lose bool) {
	if len(d.pendingFetches) == 0 || d.paused {
		return
	}
	hashes := d.pendingFetches[0]
	d.pendingFetches = d.pendingFetches[1:]
	contents := make(Sections)
	for _, h := range hashes {
		item, err := w.store.Get(context.Background(), SectionKey(h))
		if err == nil && !d.storeUnreachable && !lose {
			contents[h] = item.Value
		}
	}
	w.execute(d, d.follower.HandleSections(w.now, contents))
}

// setStoreUnreachable parts a failure domain from the platform, or joins it again. A watch that
// was open stays silent until it breaks.
func (w *simulation) setStoreUnreachable(unreachable bool) {
	domain := w.randomDaemon().domain
	for _, d := range w.daemons {
		if d.domain == domain {
			d.storeUnreachable = unreachable
		}
	}
}

func (w *simulation) advance(by time.Duration) {
	for end := w.now.Add(by); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, d := range w.daemons {
			if !d.paused {
				w.execute(d, d.follower.Tick(w.now))
			}
		}
	}
}

// heal ends all faults and delivers everything for the given time.
func (w *simulation) heal(d time.Duration) {
	for _, daemon := range w.daemons {
		daemon.storeUnreachable, daemon.isolated, daemon.paused = false, false, false
	}
	for end := w.now.Add(d); w.now.Before(end) && w.err == nil; {
		for len(w.sessions) > 0 && w.err == nil {
			w.stepSession(false)
		}
		w.deliverPending()
		w.advance(100 * time.Millisecond)
	}
}

func (w *simulation) deliverPending() {
	for busy := true; busy && w.err == nil; {
		busy = len(w.inFlight) > 0
		w.deliver(false)
		for _, d := range w.daemons {
			busy = busy || d.pendingReads > 0 || len(d.pendingFetches) > 0 || (d.watching && d.nextEvent < len(w.heads))
			w.answerRead(d, false, false)
			w.answerFetch(d, false)
			w.watchEvent(d, false)
		}
	}
}

// checkConverged checks that each daemon has the newest revision.
func (w *simulation) checkConverged() {
	newest := uint64(len(w.expected) - 1)
	for _, d := range w.daemons {
		if d.revision != newest {
			w.fail("daemon %s has revision %d, newest is %d", d.id, d.revision, newest)
		}
	}
}
