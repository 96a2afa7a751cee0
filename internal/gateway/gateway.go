// Package gateway is the callers' HTTP API: chat completions, models and plain
// services. It takes a request through authentication, claim, admission,
// reservation, endpoint choice, relay and settlement.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Account is an authenticated client account.
type Account struct {
	Name string
	// Weight is the account's share when a pool is full.
	Weight float64
}

// Service is what the gateway needs to know of a service.
type Service struct {
	Name string
	// Model is true for a model pool, false for a plain service.
	Model bool
	// MaxOutput caps the answer, in tokens, of a request without its own cap.
	MaxOutput int64
	// Price is the bill of one call of a plain service, in tokens.
	Price int64
	// Timeout bounds a request without a deadline; 0 takes the gateway's.
	Timeout time.Duration
	// FirstToken bounds the wait for the first token, or for the first byte of
	// a plain answer, at one endpoint; 0 means no bound.
	FirstTokenTimeout time.Duration
	// MaxBody is the largest request body in bytes; 0 takes the gateway's.
	MaxBody int64
	// RequireKey refuses non-idempotent requests without an Idempotency-Key.
	RequireKey bool
	// Priority is sent to engines; lower is more urgent.
	Priority int
	// NonIdempotent tells whether a method and path may run only once; nil
	// means that none is so marked.
	NonIdempotent func(method, path string) bool
}

// Directory answers from the configuration in force.
type Directory interface {
	// Authenticate returns the account of an API key.
	Authenticate(key string) (Account, bool)
	// Service returns a plain service by name.
	Service(name string) (Service, bool)
	// Model returns the service that serves a model.
	Model(model string) (Service, bool)
	// Models lists the served models.
	Models() []string
	// Endpoint returns the address of an endpoint, for resuming a stream.
	Endpoint(id string) (addr string, ok bool)
	// DependencyDown names a service that s depends on and that is
	// unavailable; empty if there is none.
	DependencyDown(s Service) string
}

// Charge asks for tokens of an account's budget.
type ReservationRequest struct {
	// ID is the request id; a repeat with the same id is billed once.
	ID      string
	Account string
	Service string
	// Tokens is the amount reserved at first.
	Tokens int64
	// Keyed is true if the caller chose the id, so that it can come again.
	Keyed bool
	// Resume takes over the reservation of an earlier attempt with this id.
	Resume bool
}

// Hold is a reservation. Exactly one of Settle and Release ends it.
type Reservation interface {
	// Extend raises the reservation to total tokens. An Extend that is in
	// progress when the reservation ends has no effect.
	Extend(ctx context.Context, total int64) error
	// Settle bills tokens and frees the rest.
	Settle(tokens int64)
	// Release frees the reservation of a request that did not run.
	Release()
}

// Ledger reserves tokens. A refusal is a *problem.Error.
type Ledger interface {
	Reserve(ctx context.Context, c ReservationRequest) (Reservation, error)
}

// ClaimKey identifies a non-idempotent request.
type ClaimKey struct{ Account, Service, Key string }

// Answer is a kept answer of a non-idempotent request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Claim is the durable right to dispatch a non-idempotent request once.
// Exactly one of its methods ends it.
type Claim interface {
	// Done records the answer; a nil answer is not kept.
	Done(a *Answer)
	// Release gives the claim back; the request was not dispatched.
	Release()
	// Unknown records that the outcome can't be known.
	Unknown()
}

// Claims makes claims. If the request ran before, Claim returns its answer, or
// a *problem.Error if the answer is not kept or no claim can be made.
type Claims interface {
	Claim(ctx context.Context, k ClaimKey) (Claim, *Answer, error)
}

// Work describes a request to a pool.
type Work struct {
	Account Account
	Service Service
	// RequestID identifies the request in logs and in the pool's state.
	RequestID string
	// Digest identifies the request's content, for poison requests.
	Digest uint64
	// PrefixDigest identifies the prompt's prefix, for cache affinity.
	PrefixDigest uint64
	// PromptTokens is an upper bound; MaxOutput the cap of the answer.
	PromptTokens, MaxOutput int64
	Idempotent              bool
	// Stream is true if the answer shows progress before its end.
	Stream   bool
	Deadline time.Time
}

// Endpoint is a chosen endpoint.
type Endpoint struct{ ID, Addr string }

// Ticket is admitted work. Finish must be called once.
type Ticket interface {
	// Choose picks an endpoint that this ticket has not tried.
	Choose() (Endpoint, error)
	// HedgeDelay returns the wait after which a second endpoint may be asked;
	// ok is false if the request must not be hedged.
	HedgeDelay() (delay time.Duration, ok bool)
	// Hedge picks a second endpoint if the hedge budget allows it.
	Hedge() (Endpoint, bool)
	// Won tells which of two endpoints answered first; the other's work is
	// cancelled.
	Won(e Endpoint)
	// FirstToken and Token report progress at the chosen endpoint.
	FirstToken()
	Token(count int64)
	// Retry reports the failure of the chosen endpoint. It tells whether
	// another attempt is allowed. The next attempt, or the answer to the
	// caller if there is none, waits for the delay.
	Retry(err error) (delay time.Duration, ok bool)
	// Finish ends the work with the answer's tokens.
	Finish(ok bool, tokens int64)
}

// Pools admits work to the pool of its service.
type Pools interface {
	// Admit waits until the work may start. A refusal is a *problem.Error.
	Admit(ctx context.Context, w Work) (Ticket, error)
}

// Options configure a Gateway.
type Options struct {
	Directory Directory
	Ledger    Ledger
	Claims    Claims
	Pools     Pools
	Upstream  *upstream.Client
	Log       zerolog.Logger
	Scope     tally.Scope
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// Timeout bounds a request without a deadline of its own.
	Timeout time.Duration
	// Step is the number of tokens by which a stream's reservation grows.
	ExtensionTokens int64
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Gateway serves callers.
type Gateway struct {
	Options
	requests requestTracker
}

// New returns a gateway.
func New(o Options) *Gateway {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	g := &Gateway{Options: o}
	g.requests.init()
	return g
}

// Handler returns the HTTP handler for the callers' listener.
func (g *Gateway) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		p := problem.New(problem.UnknownService, "%s %s does not exist", c.Request().Method, c.Request().URL.Path)
		var he *echo.HTTPError
		if !errors.As(err, &he) || he.Code != http.StatusNotFound {
			p = problem.New(problem.InvalidRequest, "%v", err)
		}
		c.Response().Header().Set(headerRan, string(p.Ran))
		_ = p.Write(c.Response(), "none") // the caller may have left
	}
	e.POST("/v1/chat/completions", g.handle(g.chat))
	e.GET("/v1/models", g.handle(g.models))
	e.Any("/services/:name", g.handle(g.plain))
	e.Any("/services/:name/*", g.handle(g.plain))
	return e
}
