package enginefake

import (
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/admission"
	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/route"
)

func (a *attempt) crashed() {
	d := a.d
	if !d.open[a.engine][a] {
		return
	}
	var digests []poison.Digest
	for o := range d.open[a.engine] {
		digests = append(digests, o.digest)
	}
	slices.Sort(digests)
	d.poison.RecordCrash(d.clock(), engineID(a.engine), digests)
	entries := d.poison.TakePending()
	d.callBackCopies(entries)
	for _, peer := range d.daemons {
		if peer != d && len(entries) > 0 {
			d.After(messageTime, func() { peer.mergePoison(entries) })
		}
	}
	delete(d.open[a.engine], a)
	d.pool.Finished(d.clock(), &a.route, route.FailedAfterDispatch)
	a.live = slices.DeleteFunc(a.live, func(o *attempt) bool { return o == a })
	a.request.Exclude = append(a.request.Exclude, a.route.Endpoint)
	if len(a.live) == 0 {
		a.retry(true)
	}
}

// mergePoison records crashes that another daemon saw. Copies of the same
// requests that run here are called back before they crash another engine.
func (d *daemon) mergePoison(entries []poison.Entry) {
	d.poison.Merge(d.clock(), entries)
	d.callBackCopies(entries)
}

func (d *daemon) callBackCopies(entries []poison.Entry) {
	for _, e := range entries {
		if e.Completed {
			continue
		}
		for t := admission.RequestID(1); t <= d.next; t++ {
			if c := d.calls[t]; c != nil && c.digest == e.Digest && c.First == 0 && c.runsBeside(e.Endpoint) {
				c.callBack()
			}
		}
	}
}

// runsBeside reports whether c runs, and not on the given endpoint.
func (c *call) runsBeside(endpoint string) bool {
	return len(c.live) > 0 && !slices.ContainsFunc(c.live, func(a *attempt) bool { return engineID(a.engine) == endpoint })
}

// callBack cancels the attempts of a request and starts it again later if the
// verdict on it allows.
func (c *call) callBack() {
	d := c.d
	for _, a := range c.live {
		d.pool.Finished(d.clock(), &a.route, route.Cancelled)
		d.engines[a.engine].Cancel(a.job)
		delete(d.open[a.engine], a)
	}
	c.live = nil
	d.After(poison.RestartDelay+time.Duration(d.rng.Int64N(int64(poison.RestartJitter))), func() {
		if d.poison.Verdict(d.clock(), c.digest) < poison.Suspect {
			c.verdict = poison.Watched
			c.dispatch(false)
			return
		}
		c.Refused = true
		c.end(false)
		c.resend(time.Second)
	})
}

// resend makes the caller of a poison request send it again to any daemon.
func (c *call) resend(after time.Duration) {
	if !c.Poison || !c.d.cfg.ResendPoison {
		return
	}
	f := c.d.fleet
	f.After(after, func() {
		r := &Record{Request: c.Request}
		f.res.Records = append(f.res.Records, r)
		f.arrive(r, f.rng.IntN(f.cfg.Daemons))
	})
}
