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

// Sizes of requests.
const (
	// longTokens is the predicted work from which a request is of the long
	// class; a lookup's answer is far below it.
	longTokens = 512
	// promptShare is the number of prompt tokens that cost an engine as much
	// as one answer token: a prompt is read in parallel.
	promptShare = 16
	// bytesPerToken turns the upper bound of a prompt into an estimate.
	bytesPerToken = 4
)

// ticket is one request of a pool. It implements gateway.Ticket; its methods
// are called from the request's goroutine only.
type ticket struct {
	p        *Pool
	w        gateway.Work
	id       admission.RequestID
	features predict.Features
	request  route.Request
	work     int
	digest   poison.Digest
	attempt  *route.Attempt
	// hedge is the attempt at a second endpoint, nil if there is none.
	hedge    *route.Attempt
	started  time.Time // of attempt
	attempts int
	// dispatched is true if an endpoint may have got the request.
	dispatched bool
	gotToken   bool
	tokens     int64
	finished   bool
}

func (p *Pool) newTicket(w gateway.Work) *ticket {
	prompt := int(w.PromptTokens / bytesPerToken)
	t := &ticket{p: p, w: w, digest: poison.Digest(w.Digest)}
	t.features = predict.Features{Account: w.Account.Name, Service: w.Service.Name, PromptTokens: prompt, MaxTokens: int(w.MaxOutput)}
	p.mu.Lock()
	defer p.mu.Unlock()
	predicted := 1
	if w.Service.Model {
		predicted = p.predict.Predict(t.features).Tokens
	}
	t.request = route.Request{
		PredictedTokens: predicted, PromptTokens: prompt, PrefixHash: w.PrefixDigest, PrefixTokens: prompt, Domain: p.set.o.Domain,
		NonStreaming: w.Service.Model && !w.Stream,
	}
	if predicted >= longTokens {
		t.request.Class = route.Long
	}
	t.work = predicted + prompt/promptShare
	p.next++
	t.id = p.next
	return t
}

// begin refuses a request that has crashed endpoints.
func (t *ticket) begin() error {
	s := t.p.set
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.poison.Begin(s.o.Now(), t.digest)
	if d.Verdict == poison.Isolated {
		return problem.New(problem.Poison, "the request crashed several endpoints").After(d.RetryAfter)
	}
	return nil
}

func (t *ticket) endPoison(completed bool) {
	s := t.p.set
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.End(s.o.Now(), t.digest, completed)
}

func (t *ticket) admit(ctx context.Context) error {
	p := t.p
	p.mu.Lock()
	d := p.queue.Offer(p.set.o.Now(), admission.Request{
		ID: t.id, Account: t.w.Account.Name, Weight: t.w.Account.Weight, Tokens: t.work,
		Long: t.request.Class == route.Long, Deadline: t.w.Deadline,
	})
	for _, r := range d.Displaced {
		p.wake(r.ID, verdict{refused: &r})
	}
	var ch chan verdict
	switch d.Verdict {
	case admission.Admitted:
		p.retry.Offered(t.work)
	case admission.Queued:
		ch = make(chan verdict, 1)
		p.waiting[t.id] = ch
	}
	p.mu.Unlock()
	switch d.Verdict {
	case admission.Refused:
		return t.refusal(d.Reason, d.RetryAfter)
	case admission.Queued:
		return t.await(ctx, ch)
	}
	return nil
}

func (t *ticket) await(ctx context.Context, ch chan verdict) error {
	p := t.p
	select {
	case v := <-ch:
		return t.resolved(v)
	case <-ctx.Done():
	}
	p.mu.Lock()
	delete(p.waiting, t.id)
	queued := p.queue.Withdraw(t.id)
	p.mu.Unlock()
	if queued {
		return problem.New(problem.DeadlineUnreachable, "the request left the queue").Because(ctx.Err())
	}
	return t.resolved(<-ch)
}

func (t *ticket) resolved(v verdict) error {
	if v.refused != nil {
		return t.refusal(v.refused.Reason, v.refused.RetryAfter)
	}
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.p.retry.Offered(t.work)
	return nil
}

func (t *ticket) refusal(reason admission.Reason, after time.Duration) error {
	kind := problem.Overloaded
	switch reason {
	case admission.DeadlineUnreachable:
		kind = problem.DeadlineUnreachable
	case admission.NoCapacity:
		kind = problem.NoEndpoint
	}
	return problem.New(kind, "service %q: %s", t.w.Service.Name, reason).After(after)
}

// Choose implements gateway.Ticket.
func (t *ticket) Choose() (gateway.Endpoint, error) {
	p := t.p
	now := p.set.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e, attempt, err := t.dispatch(now)
	if err != nil {
		return gateway.Endpoint{}, problem.New(problem.NoEndpoint, "service %q", t.w.Service.Name).Because(err).After(time.Second)
	}
	t.attempt, t.started = attempt, now
	t.attempts++
	t.gotToken, t.tokens = false, 0
	return e, nil
}

// dispatch chooses an endpoint and counts the request on it. The caller holds
// p.mu.
func (t *ticket) dispatch(now time.Time) (gateway.Endpoint, *route.Attempt, error) {
	p := t.p
	choice, err := p.route.Choose(now, &t.request, p.rng)
	if err != nil {
		return gateway.Endpoint{}, nil, err
	}
	attempt := &route.Attempt{}
	p.route.Started(now, choice, &t.request, attempt)
	if p.running[choice.Endpoint] == nil {
		p.running[choice.Endpoint] = make(map[*ticket]poison.Digest)
	}
	p.running[choice.Endpoint][t] = t.digest
	return gateway.Endpoint{ID: string(choice.Endpoint), Addr: p.addrs[choice.Endpoint]}, attempt, nil
}

// HedgeDelay implements gateway.Ticket.
func (t *ticket) HedgeDelay() (time.Duration, bool) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.request.Class != route.Short || t.attempt == nil {
		return 0, false
	}
	return t.p.retry.HedgeDelay()
}

// Hedge implements gateway.Ticket.
func (t *ticket) Hedge() (gateway.Endpoint, bool) {
	p := t.p
	now := p.set.o.Now()
	suspect := p.set.suspect(t.digest)
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.retry.Hedge(now, retry.Attempt{
		Number: t.attempts, Idempotent: t.w.Idempotent, Dispatched: true, Suspect: suspect, Work: t.work,
		Short: t.request.Class == route.Short, Deadline: t.w.Deadline,
	}, now.Sub(t.started))
	if !d.OK {
		return gateway.Endpoint{}, false
	}
	exclude := t.request.Exclude
	t.request.Exclude = append(slices.Clone(exclude), t.attempt.Endpoint)
	e, attempt, err := t.dispatch(now)
	t.request.Exclude = exclude
	if err != nil {
		p.retry.HedgeDone(t.work, 0)
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
	p := t.p
	now := p.set.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	loser := t.hedge
	if string(t.hedge.Endpoint) == e.ID {
		loser, t.attempt = t.attempt, t.hedge
	}
	t.hedge = nil
	p.route.Finished(now, loser, route.Cancelled)
	t.leave(loser.Endpoint)
	// The loser's engine has read the prompt, and generated nothing.
	p.retry.HedgeDone(t.work, t.features.PromptTokens/promptShare)
}

// FirstToken implements gateway.Ticket.
func (t *ticket) FirstToken() {
	if t.attempt == nil || t.gotToken {
		return
	}
	p := t.p
	now := p.set.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	t.gotToken = true
	if obs := p.route.FirstToken(now, t.attempt); obs.FirstToken > 0 {
		p.retry.FirstToken(obs.FirstToken)
	}
}

// Token implements gateway.Ticket.
func (t *ticket) Token(count int64) {
	if t.attempt == nil || count <= 1 || count <= t.tokens {
		t.tokens = max(t.tokens, count)
		return
	}
	p := t.p
	now := p.set.o.Now()
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
	endpoint := t.end(outcomeOf(ran, err))
	p := t.p
	if endpoint != "" {
		t.request.Exclude = append(t.request.Exclude, endpoint)
	}
	suspect := false
	if ran != upstream.RanNo && isCrash(err) {
		suspect = p.set.crashed(p, endpoint, t.digest)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.retry.Retry(p.set.o.Now(), retry.Attempt{
		Number: t.attempts, Idempotent: t.w.Idempotent, Dispatched: t.dispatched, Suspect: suspect,
		Work: t.work, Short: t.request.Class == route.Short, Deadline: t.w.Deadline,
	}, p.rng)
	if suspect {
		// The answer waits until every daemon of the failure domain knows of
		// the crash, so that the caller's repeat finds it isolated.
		d.Delay = poison.HoldFailure
	}
	if d.OK {
		p.retries.Inc(1)
	} else {
		p.set.o.Log.Debug().Str("request", t.w.RequestID).Str("reason", d.Reason.String()).Msg("no retry")
	}
	return d.Delay, d.OK
}

func outcomeOf(ran upstream.Ran, err error) route.Outcome {
	switch {
	case errors.Is(err, context.Canceled) || errors.Is(err, upstream.ErrCallerGone):
		return route.Cancelled
	case ran == upstream.RanNo:
		return route.ConnectFailed
	}
	return route.FailedAfterDispatch
}

// isCrash reports whether the endpoint broke the connection, as a crash does;
// an answer with an error status is no crash.
func isCrash(err error) bool {
	var e *upstream.Error
	return errors.As(err, &e) && !errors.Is(err, upstream.ErrStatus) && !errors.Is(err, context.Canceled)
}

// end closes the current attempt and returns its endpoint, empty if none.
func (t *ticket) end(o route.Outcome) route.EndpointID {
	if t.attempt == nil {
		return ""
	}
	p := t.p
	p.mu.Lock()
	defer p.mu.Unlock()
	id := t.attempt.Endpoint
	p.route.Finished(p.set.o.Now(), t.attempt, o)
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
	endpoint := t.end(outcome)
	t.endPoison(ok)
	p := t.p
	now := p.set.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint != "" {
		t.leave(endpoint)
	}
	for _, excluded := range t.request.Exclude {
		t.leave(excluded)
	}
	if ok && t.w.Service.Model {
		p.predict.Finished(t.features, int(tokens))
	}
	used := t.features.PromptTokens/promptShare + max(int(tokens), 1)
	p.start(p.queue.Finished(now, t.id, admission.Usage{Tokens: used, Dispatched: t.attempts > 0}))
}

func (t *ticket) leave(id route.EndpointID) {
	delete(t.p.running[id], t)
	if len(t.p.running[id]) == 0 {
		delete(t.p.running, id)
	}
}
