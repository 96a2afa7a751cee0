package enginefake

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/azurehatch/azurehatch/internal/admission"
	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/predict"
	"github.com/azurehatch/azurehatch/internal/retry"
	"github.com/azurehatch/azurehatch/internal/route"
)

const (
	service     = "model"
	tickEvery   = 100 * time.Millisecond
	messageTime = 2 * time.Millisecond
	// PromptShare is the work of a prompt token in output tokens. A step with
	// 15 sequences takes 33 ms, so an output token costs 2.2 ms of the engine
	// and a prompt token 0.1 ms; the share is rounded up.
	PromptShare = 0.1
)

var epoch = time.Unix(1_000_000_000, 0)

// daemon is one daemon with its own core packages. Baselines use inFlight only.
type daemon struct {
	*fleet
	name     string
	domain   string
	rng      *rand.Rand
	pool     *route.Pool
	queue    *admission.Queue
	predict  *predict.Predictor
	budget   *retry.Budget
	poison   *poison.Registry
	calls    map[admission.RequestID]*call
	open     []map[*attempt]bool // by engine
	next     admission.RequestID
	inFlight []int
}

// call is one request inside a daemon.
type call struct {
	*Record
	d        *daemon
	ticket   admission.RequestID
	work     int
	features predict.Features
	request  route.Request
	attempts int
	live     []*attempt
	last     time.Duration
	digest   poison.Digest
	verdict  poison.Verdict
}

type attempt struct {
	*call
	route  route.Attempt
	job    *Job
	engine int
	hedge  bool
}

func (f *fleet) startDaemons(end time.Duration) {
	var set []route.Endpoint
	for k := range f.engines {
		set = append(set, route.Endpoint{ID: route.EndpointID(engineID(k)), Domain: f.domain(k), Slots: f.cfg.Engine.Slots})
	}
	for k := range f.cfg.Daemons {
		d := &daemon{
			fleet: f, name: "daemon-" + strconv.Itoa(k), domain: f.domain(k),
			rng:  rand.New(rand.NewPCG(f.cfg.Seed, uint64(100+k))),
			pool: route.New(route.Options{PlainService: f.cfg.Services}), queue: admission.New(admission.Options{PlainService: f.cfg.Services}),
			predict: predict.New(predict.Options{}), budget: retry.New(retry.Options{}),
			poison: poison.New(poison.Options{}),
			calls:  make(map[admission.RequestID]*call), open: make([]map[*attempt]bool, len(f.engines)),
		}
		for k := range d.open {
			d.open[k] = make(map[*attempt]bool)
		}
		d.pool.Update(epoch, set)
		d.queue.SetCapacity(epoch, d.capacity())
		f.daemons = append(f.daemons, d)
		// Daemons tick and send digests at different moments.
		offset := time.Duration(d.rng.Int64N(int64(f.cfg.DigestEvery)))
		f.After(offset, func() {
			f.Every(tickEvery, end, d.tick)
			f.Every(f.cfg.DigestEvery, end, d.sendDigest)
			f.Every(time.Second, end, d.readReports)
		})
	}
}

func (f *fleet) domain(k int) string { return "domain-" + strconv.Itoa(k%max(1, f.cfg.Domains)) }

func (f *fleet) clock() time.Time { return epoch.Add(f.now) }

func (d *daemon) capacity() admission.Capacity {
	c := d.pool.Capacity()
	return admission.Capacity{Endpoints: c.Endpoints, Slots: c.Slots, PeersInFlight: c.PeersInFlight, Peers: c.Peers}
}

func (d *daemon) tick() {
	d.pool.Tick(d.clock())
	d.start(d.queue.SetCapacity(d.clock(), d.capacity()))
	for _, r := range d.queue.Expire(d.clock()) {
		d.refuse(r.ID, r.RetryAfter)
	}
	if d.queue.Stats().Queued > 0 {
		d.res.QueueEmpty = d.now
	}
}

func (d *daemon) sendDigest() {
	digest := d.pool.AppendDigest(nil, 0)
	d.res.DigestBytes += len(digest)
	d.res.Digests++
	for _, peer := range d.daemons {
		if peer == d {
			continue
		}
		d.After(messageTime, func() {
			if err := peer.pool.SetPeerDigest(d.clock(), d.name, digest); err != nil {
				panic(err)
			}
		})
	}
}

func (d *daemon) readReports() {
	if len(d.reports) == 0 {
		return
	}
	for k, load := range d.reports[0] {
		age := time.Duration(len(d.reports)-1) * 250 * time.Millisecond
		d.pool.RecordReport(d.clock(), route.EndpointID(engineID(k)), route.LoadReport{Running: load, Age: age})
	}
}

func (d *daemon) arrive(r *Record) {
	c := &call{Record: r, d: d, digest: poison.Digest(r.Content)}
	verdict := d.poison.Begin(d.clock(), c.digest)
	if verdict.Verdict == poison.Isolated {
		r.Refused = true
		c.resend(time.Second)
		return
	}
	c.verdict = verdict.Verdict
	c.features = predict.Features{Account: r.Account, Service: service, PromptTokens: r.Prompt, MaxTokens: r.Cap}
	predicted := d.predict.Predict(c.features).Tokens
	c.work = predicted + int(PromptShare*float64(r.Prompt))
	c.request = route.Request{PredictedTokens: predicted, PromptTokens: r.Prompt, PrefixHash: r.Prefix,
		PrefixTokens: r.PrefixTokens, Domain: d.domain}
	if r.Cap > 4*256 {
		c.request.Class = route.Long
	}
	if d.cfg.Policy == CoreNoAffinity {
		c.request.PrefixHash = 0
	}
	d.next++
	c.ticket = d.next
	d.calls[c.ticket] = c
	dec := d.queue.Offer(d.clock(), admission.Request{ID: c.ticket, Account: r.Account, Tokens: c.work,
		Long: c.request.Class == route.Long})
	for _, x := range dec.Displaced {
		d.refuse(x.ID, x.RetryAfter)
	}
	switch dec.Verdict {
	case admission.Admitted:
		d.start([]admission.RequestID{c.ticket})
	case admission.Refused:
		d.refuse(c.ticket, dec.RetryAfter)
	}
}

// refuse ends a call. If the callers retry, this one comes back to any daemon
// after the time that it was advised.
func (d *daemon) refuse(t admission.RequestID, retryAfter time.Duration) {
	c := d.calls[t]
	c.Refused = true
	delete(d.calls, t)
	d.poison.End(d.clock(), c.digest, false)
	if c.Repeats >= d.cfg.CallerRetries {
		return
	}
	f := d.fleet
	f.After(retryAfter, func() {
		again := *c.Request
		again.At = f.now
		r := &Record{Request: &again, Repeats: c.Repeats + 1}
		f.res.Records = append(f.res.Records, r)
		f.arrive(r, f.rng.IntN(f.cfg.Daemons))
	})
}

func (d *daemon) start(tickets []admission.RequestID) {
	for _, t := range tickets {
		c := d.calls[t]
		d.budget.RecordRequest(c.work)
		c.dispatch(false)
	}
}

func (c *call) dispatch(hedge bool) {
	d := c.d
	choice, err := d.pool.Choose(d.clock(), &c.request, d.rng)
	if err != nil {
		c.fail(false)
		return
	}
	c.attempts++
	k := engineIndex(choice.Endpoint)
	a := &attempt{call: c, job: d.job(c.Record), engine: k, hedge: hedge}
	d.pool.Started(d.clock(), choice, &c.request, &a.route)
	a.job.OnToken = a.token
	a.job.OnFail = a.crashed
	if d.engines[k].Submit(a.job) != nil {
		d.pool.Finished(d.clock(), &a.route, route.ConnectFailed)
		c.request.Exclude = append(c.request.Exclude, choice.Endpoint)
		c.retry(false)
		return
	}
	d.open[k][a] = true
	c.live = append(c.live, a)
	if !hedge && d.cfg.Policy != CoreNoHedge && c.verdict == poison.Allowed {
		c.planHedge(0)
	}
}

func engineIndex(id route.EndpointID) int {
	k, err := strconv.Atoi(string(id[len("engine-"):]))
	if err != nil {
		panic(err)
	}
	return k
}

// planHedge asks for a hedge when the delay has passed without a first token.
func (c *call) planHedge(waited time.Duration) {
	delay, ok := c.d.budget.HedgeDelay()
	if !ok {
		return
	}
	from := c.d.now
	c.d.After(max(delay-waited, time.Millisecond), func() {
		if c.First != 0 || len(c.live) != 1 || c.Failed {
			return
		}
		waited += c.d.now - from
		dec := c.d.budget.Hedge(c.d.clock(), c.retryAttempt(true), waited)
		switch {
		case dec.OK:
			c.d.res.Hedges++
			first := c.live[0]
			c.request.Exclude = append(c.request.Exclude, first.route.Endpoint)
			c.dispatch(true)
		case dec.Reason == retry.TooEarly:
			c.planHedge(waited)
		}
	})
}

func (c *call) retryAttempt(dispatched bool) retry.Attempt {
	return retry.Attempt{Attempts: c.attempts, Idempotent: true, Dispatched: dispatched, AnswerStarted: c.First != 0,
		Suspect: c.d.poison.Verdict(c.d.clock(), c.digest) >= poison.Suspect, Work: c.work,
		Short: c.request.Class == route.Short}
}

func (a *attempt) token(first, done bool) {
	d := a.d
	if d.cfg.Services {
		if !done {
			return
		}
		first = true
	}
	if first {
		o := d.pool.FirstToken(d.clock(), &a.route)
		d.budget.RecordFirstToken(o.FirstToken)
		a.cancelOthers()
	} else {
		o := d.pool.Tokens(d.clock(), &a.route, 1)
		d.queue.Observe(d.clock(), o.Gap, o.InFlight)
	}
	d.seen(a.Record, &a.last, first, done)
	if !done {
		return
	}
	d.pool.Finished(d.clock(), &a.route, route.Completed)
	delete(d.open[a.engine], a)
	d.predict.Record(a.features, a.Tokens)
	a.end(true)
}

// cancelOthers ends the attempt that lost against a hedge, or the hedge.
func (a *attempt) cancelOthers() {
	for _, o := range a.live {
		if o == a {
			continue
		}
		a.d.pool.Finished(a.d.clock(), &o.route, route.Cancelled)
		a.d.engines[o.engine].Cancel(o.job)
		delete(a.d.open[o.engine], o)
		// The loser computed at most its prompt.
		done := int(PromptShare * float64(a.Prompt))
		a.d.res.HedgeTokens += done
		a.d.budget.SettleHedge(a.work, done)
	}
	a.live = a.live[:0]
	a.live = append(a.live, a)
}

func (c *call) retry(dispatched bool) {
	dec := c.d.budget.Retry(c.d.clock(), c.retryAttempt(dispatched), c.d.rng)
	if !dec.OK {
		c.fail(dispatched)
		return
	}
	c.d.After(dec.Delay, func() { c.dispatch(false) })
}

func (c *call) fail(ran bool) {
	c.Failed = true
	c.end(false)
	if ran {
		c.resend(poison.FailureAnswerDelay)
	}
}

func (c *call) end(completed bool) {
	d := c.d
	d.poison.End(d.clock(), c.digest, completed)
	delete(d.calls, c.ticket)
	d.start(d.queue.Finished(d.clock(), c.ticket, admission.Usage{Tokens: c.Tokens + c.work - c.request.PredictedTokens, Dispatched: c.attempts > 0}))
}
