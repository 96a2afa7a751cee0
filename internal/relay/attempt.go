package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Bounds of the attempts of one request.
const (
	// maxSendings bounds the endpoints that are asked, those that refused or
	// could not be reached included.
	maxSendings = 4
	// silentPatience is the multiple of the latency objective after which a
	// request that may run again is given up at an endpoint that has not begun
	// to answer.
	silentPatience = 2.5
	// stallPatience is the multiple of the longest pause on time after which a
	// stream that may go on elsewhere is given up at an endpoint that stalls;
	// leastStall bounds it from below.
	stallPatience = 3.0
	leastStall    = time.Second
	// leastLeft is the time below which another attempt is of no use.
	leastLeft = 20 * time.Millisecond
)

// errSilent is the cause with which an attempt ends that was given up.
var errSilent = errors.New("the endpoint did not begin to answer in time")

// attempt is one sending of the request to an endpoint.
type attempt struct {
	x      *exchange
	choice balance.Choice
	sentAt time.Time
	cancel context.CancelCauseFunc
	ctx    context.Context
	resp   *http.Response
	answer ResponseMeta
	// started is true once the first byte of the body came.
	started bool
	// patience fires if the endpoint stays silent; nil if it may.
	patience *time.Timer
}

// verdict tells what follows from a failed attempt.
type verdict struct {
	err error
	// ran is what the attempt tells about whether the request ran.
	ran     upstream.Ran
	outcome balance.Outcome
	// free means that another attempt costs no retry: nothing arrived.
	free bool
	// crash means that the endpoint broke the connection while it ran the
	// request.
	crash bool
	// gone means that another endpoint has the address.
	gone bool
}

// attempts sends the request to endpoints until one answers, or no further
// attempt is allowed or of use.
func (x *exchange) attempts(ctx context.Context) error {
	x.tried = make(map[string]bool)
	x.e.RetryBudget.Offered(x.service)
	runs := 0
	for {
		choice, ok := x.e.Pools.Choose(x.service, x.work())
		if !ok {
			return x.failure(problem.New(problem.NoEndpoint, "no endpoint of service %q can be asked", x.service).After(retryNoEndpoint))
		}
		x.sent, x.tried[choice.ID] = append(x.sent, choice.ID), true
		v := x.try(ctx, choice)
		if v == nil {
			return nil
		}
		x.note(v.ran)
		if v.ran != upstream.RanNo {
			runs++
		}
		again, why := x.again(ctx, v, runs)
		x.e.Log.Info().Str("request", x.meta.ID).Str("endpoint", choice.ID).Str("peer", choice.Addr).Err(v.err).
			Str("ran", string(v.ran)).Bool("again", again).Str("reason", why).Int("candidates", choice.Candidates).
			Float64("predicted_ms", choice.Cost).Msg("attempt failed")
		if !again {
			return x.failure(v.err)
		}
	}
}

// again decides whether the request is sent to another endpoint.
func (x *exchange) again(ctx context.Context, v *verdict, runs int) (ok bool, why string) {
	switch {
	case ctx.Err() != nil:
		return false, "time limit or caller gone"
	case time.Until(x.deadline) < leastLeft:
		return false, "too little time left"
	case x.committed && !x.route.Resumable:
		return false, "answer begun"
	case x.ran != upstream.RanNo && !x.route.Idempotent():
		return false, "may have run"
	case runs >= max(x.route.MaxAttempts, 1):
		return false, "attempts used up"
	case len(x.sent) >= maxSendings:
		return false, "sendings used up"
	case v.free:
		return true, "nothing arrived"
	case !x.e.RetryBudget.Take(x.service):
		return false, "retry budget used up"
	}
	return true, "within the retry budget"
}

// note merges what an attempt tells about whether the request ran.
func (x *exchange) note(ran upstream.Ran) {
	if x.ran == upstream.RanYes || ran == upstream.RanNo {
		return
	}
	x.ran = ran
}

// failure turns the last attempt's error into what the caller may know.
func (x *exchange) failure(err error) error {
	switch {
	case x.ran == upstream.RanNo:
		var p *problem.Error
		if errors.As(err, &p) {
			return p
		}
		return problem.New(problem.NoEndpoint, "no endpoint of service %q ran the request", x.service).After(retryNoEndpoint).Because(err)
	case time.Until(x.deadline) <= 0:
		return problem.New(problem.OutcomeUnknown, "no answer within the time limit").Having(x.ran).Because(err)
	default:
		return problem.New(problem.EndpointFailed, "the endpoint did not give a whole answer").Having(x.ran).Because(err)
	}
}

// try makes one attempt; nil means that the caller has the answer.
func (x *exchange) try(ctx context.Context, choice balance.Choice) *verdict {
	a := &attempt{x: x, choice: choice, sentAt: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	a.watchSilence()
	v := a.run()
	a.stopWatching()
	x.e.Pools.Done(x.service, choice, a.started)
	outcome := balance.Succeeded
	if v != nil {
		outcome = v.outcome
	}
	// An attempt that ended because the caller left or the time ran out says
	// nothing of the endpoint, unless it had long been silent.
	if v == nil || ctx.Err() == nil || !a.started && time.Since(a.sentAt) > silentFor(x.route) {
		x.e.Pools.Observe(x.service, choice.ID, outcome)
	}
	if v != nil && v.gone {
		x.e.Pools.EndpointRemoved(x.service, choice.ID)
	}
	if v != nil && v.crash && ctx.Err() == nil {
		x.e.CrashIsolator.Crashed(x.digest, choice.ID)
	}
	return v
}

// silentFor is the time without a sign of an answer that counts against an
// endpoint.
func silentFor(r *routing.Route) time.Duration {
	return time.Duration(silentPatience * float64(r.Objective))
}

// watchSilence gives the attempt up if it may be repeated and stays silent.
func (a *attempt) watchSilence() {
	r := a.x.route
	if !r.Idempotent() || r.Objective <= 0 {
		return
	}
	a.patience = time.AfterFunc(silentFor(r), func() { a.cancel(errSilent) })
}

// watchStall gives a stream up that may go on elsewhere and has stalled; it is
// called after each event.
func (a *attempt) watchStall() {
	r := a.x.route
	if !r.Idempotent() || a.patience == nil {
		return
	}
	a.patience.Reset(max(time.Duration(stallPatience*float64(r.EventGap)), leastStall))
}

func (a *attempt) stopWatching() {
	if a.patience != nil {
		a.patience.Stop()
	}
}

// run sends the request and relays the answer.
func (a *attempt) run() *verdict {
	x := a.x
	d := ForwardMeta{Endpoint: a.choice.ID, Remaining: time.Until(x.deadline), Priority: x.rank(), LastEventID: x.meta.LastEventID}
	if x.account != nil {
		d.Account = x.account.Name
	}
	resp, err := x.e.sender.send(a.ctx, sending{
		method: x.r.Method, addr: a.choice.Addr, uri: x.r.RequestURI, host: x.r.Host,
		header: x.e.Codec.ForwardHeaders(x.r.Header, d), body: x.body, alone: x.route.Kind == routing.Unsafe,
	})
	if err != nil {
		return a.sendFailed(err)
	}
	defer resp.Body.Close()
	a.resp, a.answer = resp, x.e.Codec.DecodeResponse(resp.Header)
	if v := a.checkHead(); v != nil {
		return v
	}
	if a.answer.Reported {
		x.e.Pools.Reported(x.service, a.choice.ID, a.answer.Report)
	}
	if x.route.Kind == routing.Stream && resp.StatusCode/100 == 2 {
		return a.relayStream()
	}
	return a.relayWhole()
}

// sendFailed judges a sending without an answer.
func (a *attempt) sendFailed(err error) *verdict {
	var s *sendError
	if !errors.As(err, &s) {
		return &verdict{err: err, ran: upstream.RanUnknown, outcome: balance.Broken}
	}
	switch {
	case !s.reached && !s.connected:
		return &verdict{err: err, ran: upstream.RanNo, outcome: balance.Unreachable, free: true}
	case !s.reached:
		return &verdict{err: err, ran: upstream.RanNo, outcome: balance.Broken, free: true}
	case context.Cause(a.ctx) != nil:
		return &verdict{err: errors.WithMessage(err, context.Cause(a.ctx).Error()), ran: upstream.RanUnknown, outcome: balance.Broken}
	default:
		return &verdict{err: err, ran: upstream.RanUnknown, outcome: balance.Broken, crash: true}
	}
}

// checkHead judges an answer's head before anything goes to the caller.
func (a *attempt) checkHead() *verdict {
	status := a.resp.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		return &verdict{err: errors.Errorf("endpoint %q answers at %s", a.answer.Endpoint, a.choice.Addr), ran: upstream.RanNo, outcome: balance.Refused,
			gone: a.answer.Endpoint != "" && a.answer.Endpoint != a.choice.ID}
	case a.answer.NotRun:
		return &verdict{err: errors.Errorf("the endpoint refused with status %d", status), ran: upstream.RanNo, outcome: balance.Refused}
	case a.answer.RequestID != a.x.meta.ID:
		// A late answer to an earlier request of the connection: whether this
		// one ran is unknown.
		a.cancel(errors.New("answer to another request"))
		return &verdict{err: errors.Errorf("the answer is to request %q", a.answer.RequestID), ran: upstream.RanUnknown, outcome: balance.Broken}
	case status/100 == 2 && !a.answer.Signed:
		return &verdict{err: errors.Errorf("the answer with status %d has no signature", status), ran: upstream.RanUnknown, outcome: balance.Broken}
	case a.x.committed && status/100 != 2:
		return &verdict{err: errors.Errorf("the stream was not resumed: status %d", status), ran: upstream.RanYes, outcome: balance.FailedAnswer}
	case status >= http.StatusInternalServerError && a.x.route.Idempotent() && !a.x.committed && a.mayRepeat():
		return &verdict{err: errors.Errorf("the endpoint answered with status %d", status), ran: upstream.RanYes, outcome: balance.FailedAnswer}
	}
	return nil
}

// mayRepeat tells whether a failure of the endpoint's own is better repeated
// than passed on.
func (a *attempt) mayRepeat() bool {
	return len(a.x.sent) < max(a.x.route.MaxAttempts, 1) && time.Until(a.x.deadline) > leastLeft
}

// commit sends the answer's head to the caller.
func (x *exchange) commit(resp *http.Response) {
	if x.committed {
		return
	}
	x.committed = true
	x.status = resp.StatusCode
	x.firstByte = time.Since(x.start)
	x.e.Codec.CopyResponse(x.w.Header(), resp.Header)
	if x.e.closing.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(resp.StatusCode)
}
