package rollout

import (
	"context"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// actions are the steps that a test chooses from.
func (w *world) actions() map[string]func() {
	return map[string]func(){
		"apply":    func() { w.begin(ActionApply) },
		"rollback": func() { w.begin(ActionRollback) },
		"record":   func() { w.begin(ActionAppendAudit) },
		"rotate":   func() { w.begin(ActionRotate) },
		"collect":  func() { w.begin(ActionCollect) },
		"edit":     func() { w.stepSession(true) },
		"edits":    func() { w.times(20, func() { w.stepSession(true) }) },
		"late write": func() {
			if len(w.delayed) > 0 {
				i := w.pick(len(w.delayed))
				put := w.delayed[i]
				w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
				_, _ = w.commit(put)
			}
		},
		"deliver": func() { w.times(20, func() { w.deliver(w.pick(20) == 0) }) },
		"lose":    func() { w.deliver(true) },
		"read":    func() { w.times(4, func() { w.answerRead(w.anyDaemon(), w.pick(3) == 0, w.pick(6) == 0) }) },
		"event":   func() { w.times(4, func() { w.watchEvent(w.anyDaemon(), w.pick(3) == 0) }) },
		"fetch":   func() { w.times(4, func() { w.answerFetch(w.anyDaemon(), w.pick(5) == 0) }) },
		"break":   func() { w.breakWatch(w.anyDaemon()) },
		"cut":     func() { w.cut(w.pick(4) == 0) },
		"isolate": func() {
			d := w.anyDaemon()
			d.isolated = w.pick(4) == 0
			d.disturbed = true
		},
		"pause": func() {
			d := w.anyDaemon()
			d.paused = w.pick(3) == 0
			d.disturbed = true
		},
		"restart": func() { w.boot(w.anyDaemon()) },
		"restart and read": func() {
			d := w.anyDaemon()
			w.boot(d)
			w.answerRead(d, true, false)
			w.answerFetch(d, false)
		},
		"time": func() { w.advance(time.Duration(1+w.pick(10)) * 100 * time.Millisecond) },
	}
}

// times repeats a step up to n times.
func (w *world) times(n int, step func()) {
	for range 1 + w.pick(n) {
		step()
	}
}

func (w *world) anyDaemon() *simDaemon { return w.daemons[w.pick(len(w.daemons))] }

func (w *world) daemon(id string) *simDaemon {
	for _, d := range w.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// deliver hands over any message in flight, which reorders them, or drops it.
func (w *world) deliver(drop bool) {
	if len(w.net) == 0 {
		return
	}
	i := w.pick(len(w.net))
	p := w.net[i]
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	from, to := w.daemon(p.from), w.daemon(p.to)
	if to.paused {
		w.net = append(w.net, p)
		return
	}
	if drop || from.isolated || to.isolated {
		from.disturbed, to.disturbed = true, true
		return
	}
	w.perform(to, to.follower.Receive(w.now, p.from, p.message))
}

// answerRead answers a read of the head, perhaps with an old version.
func (w *world) answerRead(d *simDaemon, lag, lose bool) {
	if d.reads == 0 || d.paused {
		return
	}
	d.reads--
	item, err := platform.Item{}, platform.ErrNotFound
	if n := len(w.heads); n > 0 {
		item, err = w.heads[n-1], nil
		if lag {
			item = w.heads[w.pick(n)]
		}
	}
	if d.cut || lose {
		item, err = platform.Item{}, platform.ErrUnavailable
	}
	w.perform(d, d.follower.HandleHead(w.now, item, err))
}

// watchEvent delivers the next event of a watch, or an old one again.
func (w *world) watchEvent(d *simDaemon, old bool) {
	if !d.watching || d.cut || d.paused || len(w.heads) == 0 {
		return
	}
	if old {
		w.perform(d, d.follower.HandleHead(w.now, w.heads[w.pick(len(w.heads))], nil))
		return
	}
	if d.seen < len(w.heads) {
		item := w.heads[d.seen]
		d.seen++
		w.perform(d, d.follower.HandleHead(w.now, item, nil))
	}
}

func (w *world) breakWatch(d *simDaemon) {
	if d.watching {
		d.watching = false
		w.perform(d, d.follower.HandleWatchEnd(w.now))
	}
}

func (w *world) answerFetch(d *simDaemon, lose bool) {
	if len(d.fetches) == 0 || d.paused {
		return
	}
	hashes := d.fetches[0]
	d.fetches = d.fetches[1:]
	contents := make(Sections)
	for _, h := range hashes {
		item, err := w.store.Get(context.Background(), SectionKey(h))
		if err == nil && !d.cut && !lose {
			contents[h] = item.Value
		}
	}
	w.perform(d, d.follower.HandleSections(w.now, contents))
}

// cut parts a failure domain from the platform, or joins it again. A watch that
// was open stays silent until it breaks.
func (w *world) cut(on bool) {
	domain := w.anyDaemon().domain
	for _, d := range w.daemons {
		if d.domain == domain {
			d.cut = on
		}
	}
}

func (w *world) advance(by time.Duration) {
	for end := w.now.Add(by); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, d := range w.daemons {
			if !d.paused {
				w.perform(d, d.follower.Tick(w.now))
			}
		}
	}
}

// settleAll ends all faults and delivers everything for the given time.
func (w *world) settleAll(d time.Duration) {
	for _, daemon := range w.daemons {
		daemon.cut, daemon.isolated, daemon.paused = false, false, false
	}
	for end := w.now.Add(d); w.now.Before(end) && w.err == nil; {
		for len(w.sessions) > 0 && w.err == nil {
			w.stepSession(false)
		}
		w.drain()
		w.advance(100 * time.Millisecond)
	}
}

func (w *world) drain() {
	for busy := true; busy && w.err == nil; {
		busy = len(w.net) > 0
		w.deliver(false)
		for _, d := range w.daemons {
			busy = busy || d.reads > 0 || len(d.fetches) > 0 || (d.watching && d.seen < len(w.heads))
			w.answerRead(d, false, false)
			w.answerFetch(d, false)
			w.watchEvent(d, false)
		}
	}
}

// checkInForce checks that each daemon has the newest revision.
func (w *world) checkInForce() {
	newest := uint64(len(w.contents) - 1)
	for _, d := range w.daemons {
		if d.revision != newest {
			w.fail("daemon %s has revision %d, newest is %d", d.id, d.revision, newest)
		}
	}
}
