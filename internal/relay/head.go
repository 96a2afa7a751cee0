package relay

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// checkHead returns the failure that a response's header shows; nil if the
// response can go to the caller.
func (a *attempt) checkHead() *attemptFailure {
	status := a.resp.StatusCode
	switch {
	case !a.ownResponse():
		// A late response to an earlier request of the connection does not show
		// whether this request ran, even if it states that the earlier one did not.
		return &attemptFailure{
			err: errors.Errorf("the response belongs to request %q", a.respMeta.RequestID),
			ran: upstream.RanUnknown, outcome: balance.NoValidResponse,
		}
	case status == http.StatusMisdirectedRequest:
		return &attemptFailure{
			err: errors.Errorf("endpoint %q responded at %s", a.respMeta.Endpoint, a.choice.Addr),
			ran: upstream.RanNo, notRun: misdirected, outcome: balance.Refused,
			replaced: a.respMeta.Endpoint != "" && a.respMeta.Endpoint != a.choice.ID,
		}
	case a.respMeta.NotRun:
		return &attemptFailure{
			err: errors.Errorf("the endpoint refused the request with status %d", status),
			ran: upstream.RanNo, notRun: refused, outcome: balance.Refused,
		}
	case promisesNotRun(status) && !a.x.route.Idempotent():
		return &attemptFailure{
			err: errors.Errorf("the endpoint responded with status %d and did not state that the request has not run", status),
			ran: upstream.RanUnknown, outcome: a.errorOutcome(),
		}
	case status/100 == 2 && !a.respMeta.Signed:
		return &attemptFailure{
			err: errors.Errorf("the response with status %d has no signature", status),
			ran: upstream.RanUnknown, outcome: balance.NoValidResponse,
		}
	case a.x.committed && status/100 != 2:
		return &attemptFailure{
			err: errors.Errorf("the stream was not resumed: status %d", status),
			ran: upstream.RanYes, outcome: balance.ErrorResponse,
		}
	case status >= http.StatusInternalServerError && a.x.route.Idempotent() && !a.x.committed && a.mayRepeat():
		return &attemptFailure{
			err: errors.Errorf("the endpoint responded with status %d", status),
			ran: upstream.RanYes, outcome: a.errorOutcome(),
		}
	}
	return nil
}

// promisesNotRun reports whether callers take a status to mean that a request has not run and
// never will. Only an endpoint's own statement shows that.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// errorOutcome returns the outcome of a response with a server error. An endpoint that asks
// for a pause is overloaded and does not count as failing.
func (a *attempt) errorOutcome() balance.Outcome {
	if a.resp.StatusCode == http.StatusServiceUnavailable && a.respMeta.RetryAfter > 0 {
		return balance.Refused
	}
	return balance.ErrorResponse
}

// ownResponse reports whether the response belongs to the request. Endpoints repeat a
// request's id; a refusal without one can belong to no other request if it is the
// connection's first response.
func (a *attempt) ownResponse() bool {
	refused := a.respMeta.NotRun || a.resp.StatusCode == http.StatusMisdirectedRequest
	return a.respMeta.RequestID == a.x.meta.ID || a.respMeta.RequestID == "" && refused && !a.resp.Reused()
}

// mayRepeat reports whether a server error is retried instead of being returned to
// the caller: attempts and time must remain.
func (a *attempt) mayRepeat() bool {
	return len(a.x.sentTo) < max(a.x.route.MaxAttempts, 1) && time.Until(a.x.deadline) > minRemaining
}

// recordAnnouncement records what the endpoint says about further requests. Only a refusal
// asks for a pause.
func (a *attempt) recordAnnouncement() {
	if !a.ownResponse() || a.respMeta.Endpoint != "" && a.respMeta.Endpoint != a.choice.ID {
		return
	}
	announced := balance.Announcement{Leaving: a.respMeta.Leaving, Limit: a.respMeta.Limit, ColdFor: a.respMeta.ColdFor}
	if len(a.respMeta.InvalidLimits) > 0 {
		a.x.handler.Log.Info().Str("request", a.x.meta.ID).Str("endpoint", a.choice.ID).
			Strs("values", a.respMeta.InvalidLimits).Msg("limits of an endpoint ignored: no number of requests a second")
	} else if announced.Limit == 0 && a.choice.Limit.PerSecond > 0 {
		announced.UnlimitedSince = a.sentAt
	}
	if a.resp.StatusCode == http.StatusServiceUnavailable {
		announced.RetryAfter = a.respMeta.RetryAfter
		if len(a.respMeta.InvalidRetryAfter) > 0 {
			a.x.handler.Log.Info().Str("request", a.x.meta.ID).Str("endpoint", a.choice.ID).
				Strs("values", a.respMeta.InvalidRetryAfter).Msg("times to wait of an endpoint ignored: no positive number of seconds")
		}
	}
	if announced != (balance.Announcement{}) {
		a.x.handler.Pools.Announced(a.x.service, a.choice, announced)
	}
}
