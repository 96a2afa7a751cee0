// Package relay takes callers' requests in the operators' own HTTP interface to
// endpoints and brings the answers back unchanged: it matches the route,
// authenticates, reserves tokens, chooses an endpoint, forwards, and settles.
// What headers are called on the wire is the business of a Codec.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/routing"
)

// RequestMeta is what a caller's request says of itself in its headers.
type RequestMeta struct {
	// ID identifies this attempt of the caller.
	ID string
	// CallerTimeout is how long the caller waits; 0 if it does not say.
	CallerTimeout time.Duration
	// Key is the API key; empty if there is none.
	Key string
	// PromptTokens and MaxOutput are the sizes that the caller declares;
	// Sized is false if it declares none.
	PromptTokens, MaxOutput int64
	Sized                   bool
	// Prompt lists the parts of the prompt in order.
	Prompt []balance.Part
	// LastEventID is the event after which a stream goes on; empty if the
	// request does not resume a stream.
	LastEventID string
}

// ForwardMeta is what the daemon adds to a request that it forwards.
type ForwardMeta struct {
	// Endpoint is the id of the endpoint that the request is meant for.
	Endpoint string
	// Account is the caller's account; empty for an anonymous request.
	Account string
	// Remaining is the time in which the answer is of use.
	Remaining time.Duration
	// Priority is the urgency, 0 is first; negative if the endpoint has no ranks.
	Priority int
	// LastEventID is the last event that the caller has; empty at the start.
	LastEventID string
}

// ResponseMeta is what an endpoint's answer says of itself in its headers.
type ResponseMeta struct {
	// RequestID is the id of the request that it answers.
	RequestID string
	// NotRun is true if the endpoint says that it did not run the request.
	NotRun bool
	// Endpoint is the id of the endpoint that answered, if it says so.
	Endpoint string
	// Signed is true if the answer bears an endpoint's signature.
	Signed bool
	// Report is the endpoint's load, if Reported.
	Report   balance.Report
	Reported bool
}

// Codec translates headers between the wire and the types above.
type Codec interface {
	// DecodeRequest decodes a caller's headers.
	DecodeRequest(h http.Header) (RequestMeta, error)
	// ForwardHeaders returns the headers of the request to an endpoint.
	ForwardHeaders(h http.Header, d ForwardMeta) http.Header
	// DecodeResponse decodes an endpoint's headers.
	DecodeResponse(h http.Header) ResponseMeta
	// CopyResponse copies an endpoint's headers to the caller's answer.
	CopyResponse(to, from http.Header)
	// RetryAfter formats a delay.
	RetryAfter(d time.Duration) (name, value string)
	// SetRequestID marks the daemon's own answers with the request's id.
	SetRequestID(h http.Header, id string)
}

// Reservation is a reservation of tokens; Settle ends it.
type Reservation interface {
	Settle(used int64)
}

// Budgets reserves tokens of an account's budget. A refusal is a *problem.Error.
type Budgets interface {
	Reserve(ctx context.Context, a *routing.Account, tokens int64) (Reservation, error)
}

// Pools knows the endpoints of all services.
type Pools interface {
	// Choose picks and records an endpoint; Done ends the record.
	Choose(service string, w balance.Work) (balance.Choice, bool)
	Started(service string, c balance.Choice, elapsed time.Duration)
	Done(service string, c balance.Choice, started bool)
	Observe(service, endpoint string, o balance.Outcome)
	Reported(service, endpoint string, r balance.Report)
	// EndpointRemoved records that another endpoint has the endpoint's address.
	EndpointRemoved(service, endpoint string)
}

// RetryBudget bounds what the fleet sends more than once.
type RetryBudget interface {
	// Offered records the first arrival of a request for a service.
	Offered(service string)
	// Take asks for one more arrival.
	Take(service string) bool
}

// CrashIsolator isolates requests that crash the endpoints that run them.
type CrashIsolator interface {
	// Begin tells whether a request with the digest may be sent.
	Begin(digest uint64) (retryAfter time.Duration, ok bool)
	Crashed(digest uint64, endpoint string)
	End(digest uint64, completed bool)
}

// Options configure an Entry.
type Options struct {
	Codec         Codec
	Budgets       Budgets
	Pools         Pools
	RetryBudget   RetryBudget
	CrashIsolator CrashIsolator
	// Table returns the configuration in force and the time since it was
	// installed; nil before the first one.
	Table func() (*routing.Table, time.Duration)
	Log   zerolog.Logger
	Scope tally.Scope
}

// Handler serves callers.
type Handler struct {
	Options
	sender *sender
	// closing marks answers as the last of their connection; refusing refuses
	// new requests.
	closing, refusing atomic.Bool
	active            atomic.Int64
}

// New returns an entry.
func New(opts Options) *Handler {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Handler{Options: opts, sender: newSender(opts.Scope)}
}

// DisableKeepAlives marks all answers from now on as the last of their connection.
func (h *Handler) DisableKeepAlives() { h.closing.Store(true) }

// RefuseNew refuses new requests as not run.
func (h *Handler) RefuseNew() { h.refusing.Store(true) }

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int64 { return h.active.Load() }

// CloseIdleConnections closes the connections to endpoints.
func (h *Handler) CloseIdleConnections() { h.sender.close() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{handler: h, w: w, r: r, start: time.Now()}
	x.serve()
}
