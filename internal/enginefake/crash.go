package enginefake

import (
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/admission"
	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/route"
)

// onCrash records the crash of the engine that ran a, sends it to the other daemons
// and retries the request.
func (a *attempt) onCrash() {
	d := a.d
	if !d.running[a.engine][a] {
		return
	}
	var digests []poison.Digest
	for other := range d.running[a.engine] {
		digests = append(digests, other.digest)
	}
	slices.Sort(digests)
	d.poisonRegistry.RecordCrash(d.clock(), engineID(a.engine), digests)
	entries := d.poisonRegistry.TakePending()
	d.cancelCopies(entries)
	for _, peer := range d.daemons {
		if peer != d && len(entries) > 0 {
			d.After(messageDelay, func() { peer.mergePoison(entries) })
		}
	}
	delete(d.running[a.engine], a)
	d.pool.Finished(d.clock(), &a.route, route.FailedAfterDispatch)
	a.liveAttempts = slices.DeleteFunc(a.liveAttempts, func(other *attempt) bool { return other == a })
	a.request.Exclude = append(a.request.Exclude, a.route.Endpoint)
	if len(a.liveAttempts) == 0 {
		a.retry(true)
	}
}

// mergePoison records crashes that another daemon reported, and cancels copies of
// the same requests that run on this daemon before they crash another engine.
func (d *daemon) mergePoison(entries []poison.Entry) {
	d.poisonRegistry.Merge(d.clock(), entries)
	d.cancelCopies(entries)
}

// cancelCopies cancels and reschedules the requests with the digest of a crash that
// run on another endpoint and have not produced a token yet.
func (d *daemon) cancelCopies(entries []poison.Entry) {
	for _, e := range entries {
		if e.Completed {
			continue
		}
		for id := admission.RequestID(1); id <= d.lastID; id++ {
			if c := d.calls[id]; c != nil && c.digest == e.Digest && c.First == 0 && c.runsElsewhere(e.Endpoint) {
				c.cancelAndReschedule()
			}
		}
	}
}

// runsElsewhere reports whether c runs, but not on the given endpoint.
func (c *call) runsElsewhere(endpoint string) bool {
	return len(c.liveAttempts) > 0 &&
		!slices.ContainsFunc(c.liveAttempts, func(a *attempt) bool { return engineID(a.engine) == endpoint })
}

// cancelAndReschedule cancels the attempts of a request and dispatches it again
// after a delay, unless its digest is a suspect by then.
func (c *call) cancelAndReschedule() {
	d := c.d
	for _, a := range c.liveAttempts {
		d.pool.Finished(d.clock(), &a.route, route.Cancelled)
		d.engines[a.engine].Cancel(a.job)
		delete(d.running[a.engine], a)
	}
	c.liveAttempts = nil
	d.After(poison.RestartDelay+time.Duration(d.rng.Int64N(int64(poison.RestartJitter))), func() {
		if d.poisonRegistry.Verdict(d.clock(), c.digest) < poison.Suspect {
			c.verdict = poison.Watched
			c.dispatch(false)
			return
		}
		c.Refused = true
		c.end(false)
		c.resend(time.Second)
	})
}

// resend makes the caller of a poison request send it again to a random daemon.
func (c *call) resend(after time.Duration) {
	if !c.Poison || !c.d.cfg.ResendPoison {
		return
	}
	f := c.d.fleet
	f.After(after, func() {
		r := &Record{Request: c.Request}
		f.result.Records = append(f.result.Records, r)
		f.arrive(r, f.rng.IntN(f.cfg.Daemons))
	})
}
