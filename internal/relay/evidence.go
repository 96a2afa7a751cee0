package relay

import (
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// notRunReason is why a request counts as not run at an endpoint.
type notRunReason string

const (
	notConnected   notRunReason = "no connection"
	nothingWritten notRunReason = "nothing written"
	// misdirected is a response of another endpoint at the address.
	misdirected notRunReason = "misdirected"
	// refused is a response that states that the request has not run.
	refused notRunReason = "refused"
)

// evidence is what is known of the connection and the response of a failed attempt. It
// shows on what the verdict rests that the request has run or not.
type evidence struct {
	// connected is true if a connection was established, reused if it had carried an
	// earlier request, closed if it was closed by the end of the attempt.
	connected, reused, closed bool
	// written is the number of bytes of the request that were written.
	written int64
	// status is the status of the response, 0 without one. namesRequest is true if the
	// response has the request's id.
	status       int
	namesRequest bool
	// earlierHere is the number of earlier attempts of the request at the address.
	earlierHere int
}

// evidence returns what is known of an attempt that failed with err.
func (a *attempt) evidence(err error) evidence {
	e := evidence{earlierHere: a.x.sentToAddr[a.choice.Addr] - 1}
	var s *upstream.Error
	switch {
	case a.resp != nil:
		e.connected, e.reused, e.closed, e.written = true, a.resp.Reused(), a.resp.Closed(), a.resp.Written()
		e.status, e.namesRequest = a.resp.StatusCode, a.respMeta.RequestID == a.x.meta.ID
	case errors.As(err, &s):
		e.connected, e.reused, e.closed, e.written = s.Connected, s.Reused, true, s.Written
	}
	return e
}

// recordFailure logs and counts a failed attempt; retry is whether the request is sent to
// another endpoint, reason why.
func (x *exchange) recordFailure(choice balance.Choice, failed *attemptFailure, retry bool, reason string) {
	e := failed.evidence
	x.handler.Log.Info().Str("request", x.meta.ID).Str("endpoint", choice.ID).Str("peer", choice.Addr).Err(failed.err).
		Str("ran", string(failed.ran)).Str("not_run", string(failed.notRun)).Bool("again", retry).Str("reason", reason).
		Int("status", e.status).Bool("names_request", e.namesRequest).Bool("connected", e.connected).
		Bool("reused", e.reused).Bool("closed", e.closed).Int64("written", e.written).Int("earlier_here", e.earlierHere).
		Int("candidates", choice.Candidates).Float64("predicted_ms", choice.Cost).Msg("attempt failed")
	x.handler.Scope.Tagged(map[string]string{
		"service": x.service, "ran": string(failed.ran), "not_run": string(failed.notRun),
	}).Counter("attempts_failed").Inc(1)
}
