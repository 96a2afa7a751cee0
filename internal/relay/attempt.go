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
	maxSends = 4
	// silentPatience is the multiple of the latency objective after which a
	// request that may run again is given up at an endpoint that has not begun
	// to answer.
	firstByteTimeoutFactor = 2.5
	// stallPatience is the multiple of the longest pause on time after which a
	// stream that may go on elsewhere is given up at an endpoint that stalls;
	// leastStall bounds it from below.
	stallTimeoutFactor = 3.0
	minStallTimeout    = time.Second
	// leastLeft is the time below which another attempt is of no use.
	minRemaining = 20 * time.Millisecond
)

// errSilent is the cause with which an attempt ends that was given up.
var errNoFirstByte = errors.New("the endpoint did not begin to answer in time")

// attempt is one sending of the request to an endpoint.
type attempt struct {
	x      *exchange
	choice balance.Choice
	sentAt time.Time
	cancel context.CancelCauseFunc
	ctx    context.Context
	resp   *http.Response
	meta   ResponseMeta
	// started is true once the first byte of the body came.
	started bool
	// patience fires if the endpoint stays silent; nil if it may.
	timer *time.Timer
}

// verdict tells what follows from a failed attempt.
type attemptFailure struct {
	err error
	// ran is what the attempt tells about whether the request ran.
	ran     upstream.Ran
	outcome balance.Outcome
	// free means that another attempt costs no retry: nothing arrived.
	notReceived bool
	// crash means that the endpoint broke the connection while it ran the
	// request.
	crashed bool
	// gone means that another endpoint has the address.
	replaced bool
}

// attempts sends the request to endpoints until one answers, or no further
// attempt is allowed or of use.
func (x *exchange) attempts(ctx context.Context) error {
	x.tried = make(map[string]bool)
	x.handler.RetryBudget.Offered(x.service)
	runs := 0
	for {
		choice, ok := x.handler.Pools.Choose(x.service, x.work())
		if !ok {
			return x.callerError(problem.New(problem.NoEndpoint, "no endpoint of service %q can be asked", x.service).After(retryAfterNoEndpoint))
		}
		x.sentTo, x.tried[choice.ID] = append(x.sentTo, choice.ID), true
		failed := x.tryEndpoint(ctx, choice)
		if failed == nil {
			return nil
		}
		x.mergeRan(failed.ran)
		if failed.ran != upstream.RanNo {
			runs++
		}
		retry, reason := x.shouldRetry(ctx, failed, runs)
		x.handler.Log.Info().Str("request", x.meta.ID).Str("endpoint", choice.ID).Str("peer", choice.Addr).Err(failed.err).
			Str("ran", string(failed.ran)).Bool("again", retry).Str("reason", reason).Int("candidates", choice.Candidates).
			Float64("predicted_ms", choice.Cost).Msg("attempt failed")
		if !retry {
			return x.callerError(failed.err)
		}
	}
}

// again decides whether the request is sent to another endpoint.
func (x *exchange) shouldRetry(ctx context.Context, failed *attemptFailure, runs int) (retry bool, reason string) {
	switch {
	case ctx.Err() != nil:
		return false, "time limit or caller gone"
	case time.Until(x.deadline) < minRemaining:
		return false, "too little time left"
	case x.committed && !x.route.Resumable:
		return false, "answer begun"
	case x.ran != upstream.RanNo && !x.route.Idempotent():
		return false, "may have run"
	case runs >= max(x.route.MaxAttempts, 1):
		return false, "attempts used up"
	case len(x.sentTo) >= maxSends:
		return false, "sendings used up"
	case failed.notReceived:
		return true, "nothing arrived"
	case !x.handler.RetryBudget.Take(x.service):
		return false, "retry budget used up"
	}
	return true, "within the retry budget"
}

// note merges what an attempt tells about whether the request ran.
func (x *exchange) mergeRan(ran upstream.Ran) {
	if x.ran == upstream.RanYes || ran == upstream.RanNo {
		return
	}
	x.ran = ran
}

// failure turns the last attempt's error into what the caller may know.
func (x *exchange) callerError(err error) error {
	switch {
	case x.ran == upstream.RanNo:
		var p *problem.Error
		if errors.As(err, &p) {
			return p
		}
		return problem.New(problem.NoEndpoint, "no endpoint of service %q ran the request", x.service).After(retryAfterNoEndpoint).Because(err)
	case time.Until(x.deadline) <= 0:
		return problem.New(problem.OutcomeUnknown, "no answer within the time limit").Having(x.ran).Because(err)
	default:
		return problem.New(problem.EndpointFailed, "the endpoint did not give a whole answer").Having(x.ran).Because(err)
	}
}

// try makes one attempt; nil means that the caller has the answer.
func (x *exchange) tryEndpoint(ctx context.Context, choice balance.Choice) *attemptFailure {
	a := &attempt{x: x, choice: choice, sentAt: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	a.startTimer()
	failed := a.run()
	a.stopTimer()
	x.handler.Pools.Done(x.service, choice, a.started)
	outcome := balance.Succeeded
	if failed != nil {
		outcome = failed.outcome
	}
	// An attempt that ended because the caller left or the time ran out says
	// nothing of the endpoint, unless it had long been silent.
	if failed == nil || ctx.Err() == nil || !a.started && time.Since(a.sentAt) > firstByteTimeout(x.route) {
		x.handler.Pools.Observe(x.service, choice.ID, outcome)
	}
	if failed != nil && failed.replaced {
		x.handler.Pools.EndpointRemoved(x.service, choice.ID)
	}
	if failed != nil && failed.crashed && ctx.Err() == nil {
		x.handler.CrashIsolator.Crashed(x.digest, choice.ID)
	}
	return failed
}

// silentFor is the time without a sign of an answer that counts against an
// endpoint.
func firstByteTimeout(r *routing.Route) time.Duration {
	return time.Duration(firstByteTimeoutFactor * float64(r.Objective))
}

// watchSilence gives the attempt up if it may be repeated and stays silent.
func (a *attempt) startTimer() {
	r := a.x.route
	if !r.Idempotent() || r.Objective <= 0 {
		return
	}
	a.timer = time.AfterFunc(firstByteTimeout(r), func() { a.cancel(errNoFirstByte) })
}

// watchStall gives a stream up that may go on elsewhere and has stalled; it is
// called after each event.
func (a *attempt) resetStallTimer() {
	r := a.x.route
	if !r.Idempotent() || a.timer == nil {
		return
	}
	a.timer.Reset(max(time.Duration(stallTimeoutFactor*float64(r.EventGap)), minStallTimeout))
}

func (a *attempt) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

// run sends the request and relays the answer.
func (a *attempt) run() *attemptFailure {
	x := a.x
	meta := ForwardMeta{Endpoint: a.choice.ID, Remaining: time.Until(x.deadline), Priority: x.priority(), LastEventID: x.meta.LastEventID}
	if x.account != nil {
		meta.Account = x.account.Name
	}
	resp, err := x.handler.sender.send(a.ctx, outboundRequest{
		method: x.r.Method, addr: a.choice.Addr, uri: x.r.RequestURI, host: x.r.Host,
		header: x.handler.Codec.ForwardHeaders(x.r.Header, meta), body: x.body, ownConnection: x.route.Kind == routing.Unsafe,
	})
	if err != nil {
		return a.sendFailed(err)
	}
	defer resp.Body.Close()
	a.resp, a.meta = resp, x.handler.Codec.DecodeResponse(resp.Header)
	if failed := a.checkHead(); failed != nil {
		return failed
	}
	if a.meta.Reported {
		x.handler.Pools.Reported(x.service, a.choice.ID, a.meta.Report)
	}
	if x.route.Kind == routing.Stream && resp.StatusCode/100 == 2 {
		return a.relayStream()
	}
	return a.relayResponse()
}

// sendFailed judges a sending without an answer.
func (a *attempt) sendFailed(err error) *attemptFailure {
	var s *sendError
	if !errors.As(err, &s) {
		return &attemptFailure{err: err, ran: upstream.RanUnknown, outcome: balance.Broken}
	}
	switch {
	case !s.reached && !s.connected:
		return &attemptFailure{err: err, ran: upstream.RanNo, outcome: balance.Unreachable, notReceived: true}
	case !s.reached:
		return &attemptFailure{err: err, ran: upstream.RanNo, outcome: balance.Broken, notReceived: true}
	case context.Cause(a.ctx) != nil:
		return &attemptFailure{err: errors.WithMessage(err, context.Cause(a.ctx).Error()), ran: upstream.RanUnknown, outcome: balance.Broken}
	default:
		return &attemptFailure{err: err, ran: upstream.RanUnknown, outcome: balance.Broken, crashed: true}
	}
}

// checkHead judges an answer's head before anything goes to the caller.
func (a *attempt) checkHead() *attemptFailure {
	status := a.resp.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		return &attemptFailure{err: errors.Errorf("endpoint %q answers at %s", a.meta.Endpoint, a.choice.Addr), ran: upstream.RanNo, outcome: balance.Refused,
			replaced: a.meta.Endpoint != "" && a.meta.Endpoint != a.choice.ID}
	case a.meta.NotRun:
		return &attemptFailure{err: errors.Errorf("the endpoint refused with status %d", status), ran: upstream.RanNo, outcome: balance.Refused}
	case a.meta.RequestID != a.x.meta.ID:
		// A late answer to an earlier request of the connection: whether this
		// one ran is unknown.
		a.cancel(errors.New("answer to another request"))
		return &attemptFailure{err: errors.Errorf("the answer is to request %q", a.meta.RequestID), ran: upstream.RanUnknown, outcome: balance.Broken}
	case status/100 == 2 && !a.meta.Signed:
		return &attemptFailure{err: errors.Errorf("the answer with status %d has no signature", status), ran: upstream.RanUnknown, outcome: balance.Broken}
	case a.x.committed && status/100 != 2:
		return &attemptFailure{err: errors.Errorf("the stream was not resumed: status %d", status), ran: upstream.RanYes, outcome: balance.FailedAnswer}
	case status >= http.StatusInternalServerError && a.x.route.Idempotent() && !a.x.committed && a.mayRepeat():
		return &attemptFailure{err: errors.Errorf("the endpoint answered with status %d", status), ran: upstream.RanYes, outcome: balance.FailedAnswer}
	}
	return nil
}

// mayRepeat tells whether a failure of the endpoint's own is better repeated
// than passed on.
func (a *attempt) mayRepeat() bool {
	return len(a.x.sentTo) < max(a.x.route.MaxAttempts, 1) && time.Until(a.x.deadline) > minRemaining
}

// commit sends the answer's head to the caller.
func (x *exchange) commit(resp *http.Response) {
	if x.committed {
		return
	}
	x.committed = true
	x.status = resp.StatusCode
	x.firstByte = time.Since(x.start)
	x.handler.Codec.CopyResponse(x.w.Header(), resp.Header)
	if x.handler.closing.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(resp.StatusCode)
}
