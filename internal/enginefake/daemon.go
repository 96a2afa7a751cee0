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
	service      = "model"
	tickInterval = 100 * time.Millisecond
	messageDelay = 2 * time.Millisecond
	// PromptTokenWork is the work of a prompt token in units of output tokens. A
	// step with 15 sequences takes 33 ms, so an output token takes 2.2 ms of the
	// engine's time and a prompt token 0.1 ms. The ratio is rounded up.
	PromptTokenWork = 0.1
)

// startTime is the wall-clock time at the start of a run.
var startTime = time.Unix(1_000_000_000, 0)

// daemon is a simulated daemon with its own state of the core packages. Baseline
// policies use only inFlight.
type daemon struct {
	*fleet
	name           string
	domain         string
	rng            *rand.Rand
	pool           *route.Pool
	queue          *admission.Queue
	predictor      *predict.Predictor
	retryBudget    *retry.Budget
	poisonRegistry *poison.Registry
	calls          map[admission.RequestID]*call
	running        []map[*attempt]bool // by engine
	lastID         admission.RequestID
	inFlight       []int // number of requests by engine
}

// call is a request in a daemon.
type call struct {
	*Record
	d            *daemon
	id           admission.RequestID
	work         int // predicted work, in output tokens
	features     predict.Features
	request      route.Request
	attempts     int // including hedges
	liveAttempts []*attempt
	lastToken    time.Duration // time of the latest token
	digest       poison.Digest
	verdict      poison.Verdict
}

// attempt is one execution of a call on an engine.
type attempt struct {
	*call
	route  route.Attempt
	job    *Job
	engine int
	hedge  bool
}

func (f *fleet) startDaemons(end time.Duration) {
	var endpoints []route.Endpoint
	for k := range f.engines {
		endpoints = append(endpoints, route.Endpoint{
			ID: route.EndpointID(engineID(k)), Domain: f.domain(k), Slots: f.cfg.Engine.Slots,
		})
	}
	for k := range f.cfg.Daemons {
		d := &daemon{
			fleet: f, name: "daemon-" + strconv.Itoa(k), domain: f.domain(k),
			rng:       rand.New(rand.NewPCG(f.cfg.Seed, uint64(100+k))),
			pool:      route.New(route.Options{PlainService: f.cfg.PlainService}),
			queue:     admission.New(admission.Options{PlainService: f.cfg.PlainService}),
			predictor: predict.New(predict.Options{}), retryBudget: retry.New(retry.Options{}),
			poisonRegistry: poison.New(poison.Options{}),
			calls:          make(map[admission.RequestID]*call), running: make([]map[*attempt]bool, len(f.engines)),
		}
		for k := range d.running {
			d.running[k] = make(map[*attempt]bool)
		}
		d.pool.Update(startTime, endpoints)
		d.queue.SetCapacity(startTime, d.capacity())
		f.daemons = append(f.daemons, d)
		// The random offset spreads the ticks and digests of the daemons over time.
		offset := time.Duration(d.rng.Int64N(int64(f.cfg.DigestInterval)))
		f.After(offset, func() {
			f.Every(tickInterval, end, d.tick)
			f.Every(f.cfg.DigestInterval, end, d.sendDigest)
			f.Every(time.Second, end, d.readReports)
		})
	}
}

func (f *fleet) domain(k int) string { return "domain-" + strconv.Itoa(k%max(1, f.cfg.Domains)) }

func (f *fleet) clock() time.Time { return startTime.Add(f.now) }

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
		d.result.LastQueued = d.now
	}
}

func (d *daemon) sendDigest() {
	digest := d.pool.AppendDigest(nil, 0)
	d.result.DigestBytes += len(digest)
	d.result.Digests++
	for _, peer := range d.daemons {
		if peer == d {
			continue
		}
		d.After(messageDelay, func() {
			if err := peer.pool.SetPeerDigest(d.clock(), d.name, digest); err != nil {
				panic(err)
			}
		})
	}
}

func (d *daemon) readReports() {
	if len(d.loadReports) == 0 {
		return
	}
	for k, load := range d.loadReports[0] {
		age := time.Duration(len(d.loadReports)-1) * 250 * time.Millisecond
		d.pool.RecordReport(d.clock(), route.EndpointID(engineID(k)), route.LoadReport{Running: load, Age: age})
	}
}

func (d *daemon) arrive(r *Record) {
	c := &call{Record: r, d: d, digest: poison.Digest(r.Digest)}
	verdict := d.poisonRegistry.Begin(d.clock(), c.digest)
	if verdict.Verdict == poison.Isolated {
		r.Refused = true
		c.resend(time.Second)
		return
	}
	c.verdict = verdict.Verdict
	c.features = predict.Features{
		Account: r.Account, Service: service, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
	}
	predicted := d.predictor.Predict(c.features).Tokens
	c.work = predicted + int(PromptTokenWork*float64(r.PromptTokens))
	c.request = route.Request{PredictedTokens: predicted, PromptTokens: r.PromptTokens, PrefixHash: r.PrefixHash,
		PrefixTokens: r.PrefixTokens, Domain: d.domain}
	if r.MaxTokens > 4*256 {
		c.request.Class = route.Long
	}
	if d.cfg.Policy == CoreNoAffinity {
		c.request.PrefixHash = 0
	}
	d.lastID++
	c.id = d.lastID
	d.calls[c.id] = c
	dec := d.queue.Offer(d.clock(), admission.Request{ID: c.id, Account: r.Account, Tokens: c.work,
		Long: c.request.Class == route.Long})
	for _, x := range dec.Displaced {
		d.refuse(x.ID, x.RetryAfter)
	}
	switch dec.Verdict {
	case admission.Admitted:
		d.start([]admission.RequestID{c.id})
	case admission.Refused:
		d.refuse(c.id, dec.RetryAfter)
	}
}

// refuse ends a call. With Config.CallerRetries the caller retries after retryAfter
// at a random daemon.
func (d *daemon) refuse(id admission.RequestID, retryAfter time.Duration) {
	c := d.calls[id]
	c.Refused = true
	delete(d.calls, id)
	d.poisonRegistry.End(d.clock(), c.digest, false)
	if c.Retries >= d.cfg.CallerRetries {
		return
	}
	f := d.fleet
	f.After(retryAfter, func() {
		again := *c.Request
		again.At = f.now
		r := &Record{Request: &again, Retries: c.Retries + 1}
		f.result.Records = append(f.result.Records, r)
		f.arrive(r, f.rng.IntN(f.cfg.Daemons))
	})
}

func (d *daemon) start(ids []admission.RequestID) {
	for _, id := range ids {
		c := d.calls[id]
		d.retryBudget.RecordRequest(c.work)
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
	a.job.OnToken = a.onToken
	a.job.OnCrash = a.onCrash
	if d.engines[k].Submit(a.job) != nil {
		d.pool.Finished(d.clock(), &a.route, route.ConnectFailed)
		c.request.Exclude = append(c.request.Exclude, choice.Endpoint)
		c.retry(false)
		return
	}
	d.running[k][a] = true
	c.liveAttempts = append(c.liveAttempts, a)
	if !hedge && d.cfg.Policy != CoreNoHedge && c.verdict == poison.Allowed {
		c.scheduleHedge(0)
	}
}

func engineIndex(id route.EndpointID) int {
	k, err := strconv.Atoi(string(id[len("engine-"):]))
	if err != nil {
		panic(err)
	}
	return k
}

// scheduleHedge requests a hedge if no first token has arrived when the hedge delay
// has passed. waited is the time that the call has waited already.
func (c *call) scheduleHedge(waited time.Duration) {
	delay, ok := c.d.retryBudget.HedgeDelay()
	if !ok {
		return
	}
	armedAt := c.d.now
	c.d.After(max(delay-waited, time.Millisecond), func() {
		if c.First != 0 || len(c.liveAttempts) != 1 || c.Failed {
			return
		}
		waited += c.d.now - armedAt
		dec := c.d.retryBudget.Hedge(c.d.clock(), c.retryAttempt(true), waited)
		switch {
		case dec.OK:
			c.d.result.Hedges++
			first := c.liveAttempts[0]
			c.request.Exclude = append(c.request.Exclude, first.route.Endpoint)
			c.dispatch(true)
		case dec.Reason == retry.TooEarly:
			c.scheduleHedge(waited)
		}
	})
}

func (c *call) retryAttempt(dispatched bool) retry.Attempt {
	return retry.Attempt{Attempts: c.attempts, Idempotent: true, Dispatched: dispatched, AnswerStarted: c.First != 0,
		Suspect: c.d.poisonRegistry.Verdict(c.d.clock(), c.digest) >= poison.Suspect, Work: c.work,
		Short: c.request.Class == route.Short}
}

// onToken handles a token of the engine, or only the last one for a plain service.
func (a *attempt) onToken(first, done bool) {
	d := a.d
	if d.cfg.PlainService {
		if !done {
			return
		}
		first = true
	}
	if first {
		observation := d.pool.FirstToken(d.clock(), &a.route)
		d.retryBudget.RecordFirstToken(observation.FirstToken)
		a.cancelOthers()
	} else {
		observation := d.pool.Tokens(d.clock(), &a.route, 1)
		d.queue.Observe(d.clock(), observation.Gap, observation.InFlight)
	}
	d.recordToken(a.Record, &a.lastToken, first, done)
	if !done {
		return
	}
	d.pool.Finished(d.clock(), &a.route, route.Completed)
	delete(d.running[a.engine], a)
	d.predictor.Record(a.features, a.Tokens)
	a.end(true)
}

// cancelOthers cancels the other attempts of the call after the first token of a.
func (a *attempt) cancelOthers() {
	for _, other := range a.liveAttempts {
		if other == a {
			continue
		}
		a.d.pool.Finished(a.d.clock(), &other.route, route.Cancelled)
		a.d.engines[other.engine].Cancel(other.job)
		delete(a.d.running[other.engine], other)
		// The cancelled attempt has computed at most its prompt.
		computed := int(PromptTokenWork * float64(a.PromptTokens))
		a.d.result.HedgeTokens += computed
		a.d.retryBudget.SettleHedge(a.work, computed)
	}
	a.liveAttempts = a.liveAttempts[:0]
	a.liveAttempts = append(a.liveAttempts, a)
}

func (c *call) retry(dispatched bool) {
	dec := c.d.retryBudget.Retry(c.d.clock(), c.retryAttempt(dispatched), c.d.rng)
	if !dec.OK {
		c.fail(dispatched)
		return
	}
	c.d.After(dec.Delay, func() { c.dispatch(false) })
}

// fail ends a call with a failure. ran is whether an engine may have executed it.
func (c *call) fail(ran bool) {
	c.Failed = true
	c.end(false)
	if ran {
		c.resend(poison.FailureAnswerDelay)
	}
}

func (c *call) end(completed bool) {
	d := c.d
	d.poisonRegistry.End(d.clock(), c.digest, completed)
	delete(d.calls, c.id)
	d.start(d.queue.Finished(d.clock(), c.id, admission.Usage{
		Tokens: c.Tokens + c.work - c.request.PredictedTokens, Dispatched: c.attempts > 0,
	}))
}
