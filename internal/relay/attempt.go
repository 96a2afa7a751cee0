package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/permit"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Limits of the attempts of one request.
const (
	// maxSends is the largest number of endpoints that a request is sent to,
	// including those that refused it or could not be reached.
	maxSends = 4
	// minRemaining is the time to the deadline below which no further attempt
	// is made.
	minRemaining = 20 * time.Millisecond
	// answerBegunTime is the time from the first byte of a response after which a
	// crash of the endpoint is not put down to the request: an endpoint that can't
	// run a request crashes as it begins to answer it.
	answerBegunTime = 500 * time.Millisecond
	// retryAfterSpread is the ratio of a pause of all endpoints to the time over which
	// their callers are spread after it.
	retryAfterSpread = 4
	// maxDenials bounds the requests for permits of one attempt, each of which takes a few ms,
	// and maxPermitTime the time until the last of them where peers don't answer.
	maxDenials    = 4
	maxPermitTime = 200 * time.Millisecond
	// downTimeout bounds the check whether an endpoint is down.
	downTimeout = 300 * time.Millisecond
)

// attempt is one attempt to have a request served by an endpoint.
type attempt struct {
	x        *exchange
	choice   balance.Choice
	sentAt   time.Time
	cancel   context.CancelCauseFunc
	ctx      context.Context
	resp     *upstream.Response
	respMeta ResponseMeta
	// started is true once the first byte of the body arrived, at startedAt.
	started   bool
	startedAt time.Time
	// timer moves the request on if no data arrives in time; nil if the request can't be
	// repeated or the route has no latency objective.
	timer *time.Timer
	// last is true if the attempts allowed end with this one.
	last bool
	// begun is true once the caller has a part of the answer, retryTaken once the timer
	// has taken a retry from the budget.
	begun, retryTaken atomic.Bool
}

// attemptFailure describes a failed attempt.
type attemptFailure struct {
	err error
	// ran is whether the request ran at the endpoint, notRun why it counts as not run.
	ran      upstream.Ran
	notRun   notRunReason
	outcome  balance.Outcome
	evidence evidence
	// notReceived is true if the request did not reach the endpoint; another
	// attempt then does not count against the retry budget.
	notReceived bool
	// retryTaken is true if a retry was taken from the budget.
	retryTaken bool
	// crashed is true if the connection broke while the endpoint may have been
	// running the request.
	crashed bool
	// replaced is true if another endpoint responded at the address.
	replaced bool
	// callerFailed is true if the caller could not be written to, which is no
	// evidence against the endpoint.
	callerFailed bool
	// noEvidence is true if the failure tells nothing about the endpoint.
	noEvidence bool
	// corrupt is true if the caller has received bytes that belong to no response,
	// so that no other endpoint can continue it.
	corrupt bool
}

// attempts sends the request to one endpoint after another until the caller has a
// response or shouldRetry allows no further attempt.
func (x *exchange) attempts(ctx context.Context) error {
	x.tried, x.sentToAddr = make(map[string]bool), make(map[string]int)
	x.handler.RetryBudget.Offered(x.service)
	for {
		if err := x.handler.stopped(); err != nil && x.ran == upstream.RanNo {
			return err
		}
		choice, ok := x.choose(ctx)
		if !ok {
			if err := x.restricted(choice.Restriction); err != nil {
				return x.callerError(err)
			}
			return x.callerError(problem.New(problem.NoEndpoint, "no endpoint of service %q is available", x.service).
				WithRetryAfter(spreadRetryAfter(choice.RetryAfter)))
		}
		if len(x.sentTo) == 0 {
			x.offered = time.Since(x.start)
		}
		x.sentTo, x.tried[choice.ID] = append(x.sentTo, choice.ID), true
		x.sentToAddr[choice.Addr]++
		failed := x.tryEndpoint(ctx, choice)
		if failed == nil {
			return nil
		}
		x.mergeRan(failed.ran)
		if failed.ran != upstream.RanNo {
			x.runs++
		}
		retry, reason := x.shouldRetry(ctx, failed)
		x.recordFailure(choice, failed, retry, reason)
		if !retry {
			return x.callerError(failed.err)
		}
	}
}

// choose returns the endpoint for the next attempt. After maxDenials endpoints whose limits
// allowed no request, or maxPermitTime, only those without a limit are considered.
func (x *exchange) choose(ctx context.Context) (balance.Choice, bool) {
	r, start := x.balanceRequest(), time.Now()
	for denials := 0; ; denials++ {
		r.WithoutLimited = denials >= maxDenials || time.Since(start) > maxPermitTime
		choice, ok := x.handler.Pools.Choose(x.service, r)
		x.chosenAt = time.Now()
		if !ok || x.handler.Pools.Permit(ctx, x.service, choice, r) {
			return choice, ok
		}
	}
}

// spreadRetryAfter returns the time after which a caller that found no endpoint may return,
// given the time until one accepts requests again, 0 if unknown. The callers refused during
// a pause of all endpoints return over a quarter of it instead of in one wave.
func spreadRetryAfter(pause time.Duration) time.Duration {
	if pause < retryAfterNoEndpoint {
		return retryAfterNoEndpoint
	}
	return pause + time.Duration(rand.Float64()*float64(pause)/retryAfterSpread)
}

// shouldRetry reports whether the request is sent to another endpoint, and why.
func (x *exchange) shouldRetry(ctx context.Context, failed *attemptFailure) (retry bool, reason string) {
	switch {
	case ctx.Err() != nil || failed.callerFailed:
		return false, "deadline passed or caller disconnected"
	case failed.corrupt:
		return false, "caller received invalid data"
	case time.Until(x.deadline) < minRemaining:
		return false, "too little time before the deadline"
	case x.committed && !x.route.Resumable:
		return false, "answer begun"
	case x.ran != upstream.RanNo && !x.route.Idempotent():
		return false, "may have run"
	case x.runs >= max(x.route.MaxAttempts, 1):
		return false, "attempts used up"
	case len(x.sentTo) >= maxSends:
		return false, "endpoint limit reached"
	case !x.handler.CrashIsolator.MayRetry(x.fingerprint):
		return false, "has crashed endpoints"
	case failed.notReceived:
		return true, "nothing arrived"
	case !failed.retryTaken && !x.handler.RetryBudget.Take(x.service):
		return false, "retry budget used up"
	}
	return true, "within the retry budget"
}

// mergeRan updates ran with the result of one attempt: RanYes is final, and RanNo
// changes nothing.
func (x *exchange) mergeRan(ran upstream.Ran) {
	if x.ran == upstream.RanYes || ran == upstream.RanNo {
		return
	}
	x.ran = ran
}

// callerError returns the error to send to the caller, given that of the last
// attempt.
func (x *exchange) callerError(err error) error {
	switch {
	case x.ran == upstream.RanNo:
		var p *problem.Error
		if errors.As(err, &p) {
			return p
		}
		return problem.New(problem.NoEndpoint, "no endpoint of service %q ran the request", x.service).
			WithRetryAfter(retryAfterNoEndpoint).WithCause(err)
	case time.Until(x.deadline) <= 0:
		return problem.New(problem.OutcomeUnknown, "no response before the deadline").WithRan(x.ran).WithCause(err)
	default:
		return problem.New(problem.EndpointFailed, "the endpoint did not send a complete response").WithRan(x.ran).WithCause(err)
	}
}

// tryEndpoint makes one attempt and records its outcome. It returns nil if the
// caller has the complete response.
func (x *exchange) tryEndpoint(ctx context.Context, choice balance.Choice) *attemptFailure {
	a := &attempt{x: x, choice: choice, sentAt: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	a.begun.Store(x.committed)
	a.last = x.runs+1 >= max(x.route.MaxAttempts, 1) || len(x.sentTo) >= maxSends || choice.Candidates == 1
	a.startTimer()
	failed := a.runToEnd()
	if failed != nil {
		failed.retryTaken = a.retryTaken.Load()
		failed.evidence = a.evidence(failed.err)
	}
	outcome := balance.Succeeded
	if failed != nil {
		outcome = failed.outcome
	}
	// An attempt that ended because the caller disconnected or the deadline
	// passed is no evidence against the endpoint, unless the endpoint had
	// exceeded the first-byte timeout.
	noEvidence := failed != nil && (failed.callerFailed || failed.noEvidence)
	if failed == nil || ctx.Err() == nil && !noEvidence || !a.started && time.Since(a.sentAt) > firstByteTimeout(x.route) {
		x.handler.Pools.Observe(x.service, choice.ID, outcome)
	}
	if failed != nil && failed.replaced {
		x.handler.Pools.EndpointRemoved(x.service, choice.ID)
	}
	a.recordCrash(ctx, failed)
	return failed
}

// recordCrash records what the end of an attempt tells about requests that crash
// endpoints.
func (a *attempt) recordCrash(ctx context.Context, failed *attemptFailure) {
	x, isolator := a.x, a.x.handler.CrashIsolator
	answered := a.started && time.Since(a.startedAt) > answerBegunTime
	if failed == nil && x.status/100 == 2 || answered {
		isolator.PartsAnswered(x.fingerprint)
	}
	if failed == nil || !failed.crashed || ctx.Err() != nil {
		return
	}
	isolator.Crashed(x.fingerprint, a.choice.ID)
	if answered || len(x.fingerprint.Parts) == 0 {
		return
	}
	// A lost answer breaks a connection as well, but leaves the endpoint up.
	fingerprint, choice := x.fingerprint, a.choice
	x.handler.checks.Go(func() {
		if x.handler.client.RefusesConnections(choice.Addr, downTimeout) {
			isolator.PartsCrashed(fingerprint, choice.ID)
		}
	})
}

// runToEnd runs the attempt and ends its choice, also if it panics: the request would count as
// open at the endpoint for ever.
func (a *attempt) runToEnd() *attemptFailure {
	defer func() { a.x.handler.Pools.Done(a.x.service, a.choice, a.started) }()
	defer a.stopTimer()
	return a.run()
}

// run sends the request and relays the response.
func (a *attempt) run() *attemptFailure {
	x := a.x
	forward := ForwardMeta{
		Endpoint: a.choice.ID, Remaining: time.Until(x.deadline), Priority: x.priority(), LastEventID: x.meta.LastEventID,
	}
	if x.account != nil {
		forward.Account = x.account.Name
	}
	resp, err := x.handler.client.Do(a.ctx, upstream.Call{
		Endpoint: a.choice.ID, Addr: a.choice.Addr, Method: x.r.Method, Path: x.r.RequestURI, Host: x.r.Host,
		Header: x.handler.Codec.ForwardHeaders(x.r.Header, forward), Body: x.body,
		// A late copy of the refusal of an earlier attempt can't arrive on a new connection.
		OwnConnection: x.route.Kind == routing.Unsafe || x.sentToAddr[a.choice.Addr] > 1,
		ConnectWithin: x.connectWithin(a.choice),
	})
	if err != nil {
		return a.sendFailed(err)
	}
	defer resp.Body.Close()
	a.resp, a.respMeta = resp, x.handler.Codec.DecodeResponse(resp.Header)
	a.recordAnnouncement()
	failed := a.relay()
	if failed != nil && failed.ran == upstream.RanUnknown {
		// The endpoint may still work on the request. It stops when its connection ends.
		if err := resp.Abandon(); err != nil {
			x.handler.Log.Debug().Err(err).Str("request", x.meta.ID).Str("peer", a.choice.Addr).Msg("connection to endpoint not closed")
		}
	}
	return failed
}

// connectWithin returns the time in which an attempt must have a connection, 0 if it is not bounded. The
// permit of a cold endpoint counts in the second in which it was granted.
func (x *exchange) connectWithin(c balance.Choice) time.Duration {
	if !c.Cold {
		return 0
	}
	return max(permit.UseWithin-time.Since(x.chosenAt), time.Millisecond)
}

// relay checks the response and relays it.
func (a *attempt) relay() *attemptFailure {
	if failed := a.checkHead(); failed != nil {
		return failed
	}
	if a.respMeta.Reported {
		a.x.handler.Pools.Reported(a.x.service, a.choice.ID, a.respMeta.Report)
	}
	if a.x.route.Kind == routing.Streaming && a.resp.StatusCode/100 == 2 {
		return a.relayStream()
	}
	a.resp.Accept()
	return a.relayResponse()
}

// sendFailed classifies the failure of an attempt without a response header.
func (a *attempt) sendFailed(err error) *attemptFailure {
	var s *upstream.Error
	if !errors.As(err, &s) {
		return &attemptFailure{err: err, ran: upstream.RanUnknown, outcome: balance.NoValidResponse}
	}
	switch {
	case errors.Is(err, upstream.ErrConnectTime):
		return &attemptFailure{err: err, ran: upstream.RanNo, notRun: notConnected, notReceived: true, noEvidence: true}
	case !s.Connected:
		return &attemptFailure{
			err: err, ran: upstream.RanNo, notRun: notConnected, outcome: balance.Unreachable, notReceived: true,
		}
	case s.Ran == upstream.RanNo:
		return &attemptFailure{
			err: err, ran: upstream.RanNo, notRun: nothingWritten, outcome: balance.NoValidResponse, notReceived: true,
		}
	case context.Cause(a.ctx) != nil:
		return &attemptFailure{
			err: errors.WithMessage(err, context.Cause(a.ctx).Error()), ran: upstream.RanUnknown, outcome: balance.NoValidResponse,
		}
	case errors.Is(err, upstream.ErrInvalidStatus):
		return &attemptFailure{err: err, ran: upstream.RanUnknown, outcome: balance.NoValidResponse}
	default:
		return &attemptFailure{err: err, ran: upstream.RanUnknown, outcome: balance.NoValidResponse, crashed: true}
	}
}

// commit sends the response's header to the caller, once per request.
func (x *exchange) commit(resp *upstream.Response) {
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
