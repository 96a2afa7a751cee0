package pool

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/admission"
	"github.com/azurehatch/azurehatch/internal/gateway"
	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/predict"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/retry"
	"github.com/azurehatch/azurehatch/internal/route"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Estimates of the size of a request.
const (
	// minLongTokens is the predicted answer length in tokens from which a
	// request is of the long class; the answers of lookups are far shorter.
	minLongTokens = 512
	// promptTokensPerAnswerToken is the number of prompt tokens that cost an
	// engine as much as one answer token, because a prompt is processed in
	// parallel.
	promptTokensPerAnswerToken = 16
	// bytesPerToken converts gateway.Work.PromptTokens, an upper bound that
	// counts each byte as a token, into an estimate.
	bytesPerToken = 4
)

// ticket is one request to a pool. It implements gateway.Ticket; its methods
// are called only from the request's goroutine.
type ticket struct {
	pool          *Pool
	work          gateway.Work
	id            admission.RequestID
	features      predict.Features
	request       route.Request
	predictedWork int // in answer tokens, including the prompt's share
	digest        poison.Digest
	attempt       *route.Attempt
	// hedge is the attempt at a second endpoint, nil if there is none.
	hedge          *route.Attempt
	attemptStarted time.Time
	attempts       int
	// dispatched is true if an endpoint may have received the request.
	dispatched     bool
	firstTokenSeen bool
	tokens         int64
	finished       bool
}

func (p *Pool) newTicket(w gateway.Work) *ticket {
	prompt := int(w.PromptTokens / bytesPerToken)
	t := &ticket{pool: p, work: w, digest: poison.Digest(w.Digest)}
	t.features = predict.Features{
		Account: w.Account.Name, Service: w.Service.Name, PromptTokens: prompt, MaxTokens: int(w.MaxOutput),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	predicted := 1
	if w.Service.Model {
		predicted = p.predict.Predict(t.features).Tokens
	}
	t.request = route.Request{
		PredictedTokens: predicted, PromptTokens: prompt, PrefixHash: w.PrefixDigest, PrefixTokens: prompt,
		Domain: p.set.opts.Domain, NonStreaming: w.Service.Model && !w.Stream,
	}
	if predicted >= minLongTokens {
		t.request.Class = route.Long
	}
	t.predictedWork = predicted + prompt/promptTokensPerAnswerToken
	p.lastID++
	t.id = p.lastID
	return t
}

// beginPoisonCheck refuses a request that is isolated because it crashed
// endpoints. Otherwise the caller must call endPoisonCheck.
func (t *ticket) beginPoisonCheck() error {
	s := t.pool.set
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.poison.Begin(s.opts.Now(), t.digest)
	if d.Verdict == poison.Isolated {
		return problem.New(problem.Poison, "the request crashed several endpoints").WithRetryAfter(d.RetryAfter)
	}
	return nil
}

func (t *ticket) endPoisonCheck(completed bool) {
	s := t.pool.set
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.End(s.opts.Now(), t.digest, completed)
}

func (t *ticket) offer(ctx context.Context) error {
	p := t.pool
	p.mu.Lock()
	d := p.queue.Offer(p.set.opts.Now(), admission.Request{
		ID: t.id, Account: t.work.Account.Name, Weight: t.work.Account.Weight, Tokens: t.predictedWork,
		Long: t.request.Class == route.Long, Deadline: t.work.Deadline,
	})
	for _, r := range d.Displaced {
		p.resolve(r.ID, admissionResult{refusal: &r})
	}
	var ch chan admissionResult
	switch d.Verdict {
	case admission.Admitted:
		p.retry.RecordRequest(t.predictedWork)
	case admission.Queued:
		ch = make(chan admissionResult, 1)
		p.waiting[t.id] = ch
	}
	p.mu.Unlock()
	switch d.Verdict {
	case admission.Refused:
		return t.refusalError(d.Reason, d.RetryAfter)
	case admission.Queued:
		return t.awaitAdmission(ctx, ch)
	}
	return nil
}

func (t *ticket) awaitAdmission(ctx context.Context, ch chan admissionResult) error {
	p := t.pool
	select {
	case result := <-ch:
		return t.applyResult(result)
	case <-ctx.Done():
	}
	p.mu.Lock()
	delete(p.waiting, t.id)
	queued := p.queue.Withdraw(t.id)
	p.mu.Unlock()
	if queued {
		return problem.New(problem.DeadlineUnreachable, "the request ended while it was queued").WithCause(ctx.Err())
	}
	return t.applyResult(<-ch)
}

func (t *ticket) applyResult(result admissionResult) error {
	if result.refusal != nil {
		return t.refusalError(result.refusal.Reason, result.refusal.RetryAfter)
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.pool.retry.RecordRequest(t.predictedWork)
	return nil
}

func (t *ticket) refusalError(reason admission.Reason, after time.Duration) error {
	kind := problem.Overloaded
	switch reason {
	case admission.DeadlineUnreachable:
		kind = problem.DeadlineUnreachable
	case admission.NoCapacity:
		kind = problem.NoEndpoint
	}
	return problem.New(kind, "service %q: %s", t.work.Service.Name, reason).WithRetryAfter(after)
}

// Choose implements gateway.Ticket.
func (t *ticket) Choose() (gateway.Endpoint, error) {
	p := t.pool
	now := p.set.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e, attempt, err := t.dispatch(now)
	if err != nil {
		return gateway.Endpoint{},
			problem.New(problem.NoEndpoint, "service %q", t.work.Service.Name).WithCause(err).WithRetryAfter(time.Second)
	}
	t.attempt, t.attemptStarted = attempt, now
	t.attempts++
	t.firstTokenSeen, t.tokens = false, 0
	return e, nil
}

// dispatch chooses an endpoint and records the request as running on it. The
// caller holds t.pool.mu.
func (t *ticket) dispatch(now time.Time) (gateway.Endpoint, *route.Attempt, error) {
	p := t.pool
	choice, err := p.route.Choose(now, &t.request, p.rng)
	if err != nil {
		return gateway.Endpoint{}, nil, err
	}
	attempt := &route.Attempt{}
	p.route.Started(now, choice, &t.request, attempt)
	if p.runningDigests[choice.Endpoint] == nil {
		p.runningDigests[choice.Endpoint] = make(map[*ticket]poison.Digest)
	}
	p.runningDigests[choice.Endpoint][t] = t.digest
	return gateway.Endpoint{ID: string(choice.Endpoint), Addr: p.addrs[choice.Endpoint]}, attempt, nil
}

// HedgeDelay implements gateway.Ticket.
func (t *ticket) HedgeDelay() (time.Duration, bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.request.Class != route.Short || t.attempt == nil {
		return 0, false
	}
	return t.pool.retry.HedgeDelay()
}

// Hedge implements gateway.Ticket.
func (t *ticket) Hedge() (gateway.Endpoint, bool) {
	p := t.pool
	now := p.set.opts.Now()
	suspect := p.set.isSuspect(t.digest)
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.retry.Hedge(now, retry.Attempt{
		Attempts: t.attempts, Idempotent: t.work.Idempotent, Dispatched: true, Suspect: suspect, Work: t.predictedWork,
		Short: t.request.Class == route.Short, Deadline: t.work.Deadline,
	}, now.Sub(t.attemptStarted))
	if !d.OK {
		return gateway.Endpoint{}, false
	}
	exclude := t.request.Exclude
	t.request.Exclude = append(slices.Clone(exclude), t.attempt.Endpoint)
	e, attempt, err := t.dispatch(now)
	t.request.Exclude = exclude
	if err != nil {
		p.retry.SettleHedge(t.predictedWork, 0)
		return gateway.Endpoint{}, false
	}
	t.hedge = attempt
	p.hedges.Inc(1)
	return e, true
}

// Won implements gateway.Ticket.
func (t *ticket) Won(e gateway.Endpoint) {
	if t.hedge == nil {
		return
	}
	p := t.pool
	now := p.set.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	loser := t.hedge
	if string(t.hedge.Endpoint) == e.ID {
		loser, t.attempt = t.attempt, t.hedge
	}
	t.hedge = nil
	p.route.Finished(now, loser, route.Cancelled)
	t.removeRunning(loser.Endpoint)
	// The losing attempt's engine has processed the prompt and generated nothing.
	p.retry.SettleHedge(t.predictedWork, t.features.PromptTokens/promptTokensPerAnswerToken)
}

// FirstToken implements gateway.Ticket.
func (t *ticket) FirstToken() {
	if t.attempt == nil || t.firstTokenSeen {
		return
	}
	p := t.pool
	now := p.set.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	t.firstTokenSeen = true
	if obs := p.route.FirstToken(now, t.attempt); obs.FirstToken > 0 {
		p.retry.RecordFirstToken(obs.FirstToken)
	}
}

// Token implements gateway.Ticket.
func (t *ticket) Token(count int64) {
	if t.attempt == nil || count <= 1 || count <= t.tokens {
		t.tokens = max(t.tokens, count)
		return
	}
	p := t.pool
	now := p.set.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	obs := p.route.Tokens(now, t.attempt, int(count-t.tokens))
	t.tokens = count
	p.queue.Observe(now, obs.Gap, obs.InFlight)
}

// Retry implements gateway.Ticket.
func (t *ticket) Retry(err error) (time.Duration, bool) {
	ran := upstream.RanOf(err)
	t.dispatched = t.dispatched || ran != upstream.RanNo
	endpoint := t.endAttempt(outcomeOf(ran, err))
	p := t.pool
	if endpoint != "" {
		t.request.Exclude = append(t.request.Exclude, endpoint)
	}
	suspect := false
	if ran != upstream.RanNo && isCrash(err) {
		suspect = p.set.recordCrash(p, endpoint, t.digest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.retry.Retry(p.set.opts.Now(), retry.Attempt{
		Attempts: t.attempts, Idempotent: t.work.Idempotent, Dispatched: t.dispatched, Suspect: suspect,
		Work: t.predictedWork, Short: t.request.Class == route.Short, Deadline: t.work.Deadline,
	}, p.rng)
	if suspect {
		// Delay the failure answer until every daemon of the failure domain
		// knows of the crash, so that a retry by the caller is refused as isolated.
		d.Delay = poison.FailureAnswerDelay
	}
	if d.OK {
		p.retries.Inc(1)
	} else {
		p.set.opts.Log.Debug().Str("request", t.work.RequestID).Str("reason", d.Reason.String()).Msg("no retry")
	}
	return d.Delay, d.OK
}

func outcomeOf(ran upstream.Ran, err error) route.Outcome {
	switch {
	case errors.Is(err, context.Canceled) || errors.Is(err, upstream.ErrCallerDisconnected):
		return route.Cancelled
	case ran == upstream.RanNo:
		return route.ConnectFailed
	}
	return route.FailedAfterDispatch
}

// isCrash reports whether the endpoint broke the connection, as it does when it
// crashes; an answer with an error status is not a crash.
func isCrash(err error) bool {
	var e *upstream.Error
	return errors.As(err, &e) && !errors.Is(err, upstream.ErrStatus) && !errors.Is(err, context.Canceled)
}

// endAttempt ends the current attempt and returns its endpoint, empty if there
// is no attempt.
func (t *ticket) endAttempt(o route.Outcome) route.EndpointID {
	if t.attempt == nil {
		return ""
	}
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	id := t.attempt.Endpoint
	p.route.Finished(p.set.opts.Now(), t.attempt, o)
	t.attempt = nil
	return id
}

// Finish implements gateway.Ticket.
func (t *ticket) Finish(ok bool, tokens int64) {
	if t.finished {
		return
	}
	t.finished = true
	outcome := route.Cancelled
	if ok {
		outcome = route.Completed
	}
	endpoint := t.endAttempt(outcome)
	t.endPoisonCheck(ok)
	p := t.pool
	now := p.set.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint != "" {
		t.removeRunning(endpoint)
	}
	for _, excluded := range t.request.Exclude {
		t.removeRunning(excluded)
	}
	if ok && t.work.Service.Model {
		p.predict.Record(t.features, int(tokens))
	}
	used := t.features.PromptTokens/promptTokensPerAnswerToken + max(int(tokens), 1)
	p.admitAll(p.queue.Finished(now, t.id, admission.Usage{Tokens: used, Dispatched: t.attempts > 0}))
}

func (t *ticket) removeRunning(id route.EndpointID) {
	delete(t.pool.runningDigests[id], t)
	if len(t.pool.runningDigests[id]) == 0 {
		delete(t.pool.runningDigests, id)
	}
}
