// Package gateway implements the HTTP API for callers: chat completions, the
// model list and plain services. A request passes through authentication, claim,
// admission, reservation, endpoint choice, relay and settlement.
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
	// Weight is the account's relative share of a pool that is full.
	Weight float64
}

// Service is the configuration of a service that the gateway uses.
type Service struct {
	Name string
	// Model is true for a model pool, false for a plain service.
	Model bool
	// MaxOutput is the largest answer in tokens, and the limit of a request
	// that sets none.
	MaxOutput int64
	// Price is the price of one call of a plain service in tokens.
	Price int64
	// Timeout limits a request without a deadline; 0 means the gateway's
	// default.
	Timeout time.Duration
	// FirstTokenTimeout limits the wait for the first token, or for the first
	// byte of a plain answer, at one endpoint; 0 means Options.Timeout.
	FirstTokenTimeout time.Duration
	// MaxBody is the largest request body in bytes; 0 means the gateway's limit.
	MaxBody int64
	// RequireKey refuses non-idempotent requests without an Idempotency-Key.
	RequireKey bool
	// Priority is passed to engines; lower is more urgent.
	Priority int
	// NonIdempotent reports whether a request with this method and path may run
	// only once; nil means that all are idempotent.
	NonIdempotent func(method, path string) bool
}

// Directory looks up accounts, services and endpoints in the current
// configuration.
type Directory interface {
	// Authenticate returns the account of an API key.
	Authenticate(key string) (Account, bool)
	// Service returns a plain service by name.
	Service(name string) (Service, bool)
	// Model returns the service that serves a model.
	Model(model string) (Service, bool)
	// Models lists the served models.
	Models() []string
	// Endpoint returns the address of an endpoint. It is used to resume a stream.
	Endpoint(id string) (addr string, ok bool)
	// DependencyDown returns the name of an unavailable service that s depends
	// on, or the empty string if there is none.
	DependencyDown(s Service) string
}

// ReservationRequest is a request for tokens of an account's budget.
type ReservationRequest struct {
	// ID is the request id; requests with the same id are billed once.
	ID      string
	Account string
	Service string
	// Tokens is the initial amount.
	Tokens int64
	// Keyed is true if the caller can send another request with this id.
	Keyed bool
	// Resume takes over the reservation of an earlier attempt with this id.
	Resume bool
}

// Reservation is an amount of tokens reserved for one request. Exactly one of
// Settle and Release ends it.
type Reservation interface {
	// Extend increases the reservation to total tokens. An Extend that is in
	// progress when the reservation ends has no effect.
	Extend(ctx context.Context, total int64) error
	// Settle bills tokens and releases the rest.
	Settle(tokens int64)
	// Release releases the reservation of a request that did not run.
	Release()
}

// Ledger reserves tokens. A refusal is a *problem.Error.
type Ledger interface {
	Reserve(ctx context.Context, r ReservationRequest) (Reservation, error)
}

// ClaimKey identifies a non-idempotent request.
type ClaimKey struct{ Account, Service, Key string }

// Answer is the stored answer of a non-idempotent request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Claim is the durable right to dispatch a non-idempotent request once. Exactly
// one call of one of its methods ends it.
type Claim interface {
	// Done records that the request ran and stores its answer, unless a is nil.
	Done(a *Answer)
	// Release gives up the claim; the request did not run.
	Release()
	// Unknown records that it is unknown whether the request ran.
	Unknown()
}

// Claims creates claims. If the request ran before, Claim returns its stored
// answer. It returns a *problem.Error if there is no stored answer or no claim can
// be made.
type Claims interface {
	Claim(ctx context.Context, k ClaimKey) (Claim, *Answer, error)
}

// Work describes a request for admission to a pool.
type Work struct {
	Account Account
	Service Service
	// RequestID identifies the request in logs and in the pool's state.
	RequestID string
	// Digest identifies the request's content, to detect poison requests.
	Digest uint64
	// PrefixDigest identifies the prompt's prefix, for cache affinity.
	PrefixDigest uint64
	// PromptTokens is an upper bound of the prompt and MaxOutput the limit of
	// the answer, both in tokens.
	PromptTokens, MaxOutput int64
	Idempotent              bool
	// Stream is true if the answer is streamed, so that its progress is visible.
	Stream   bool
	Deadline time.Time
}

// Endpoint is an endpoint chosen for an attempt.
type Endpoint struct{ ID, Addr string }

// Ticket represents admitted work. Finish must be called once.
type Ticket interface {
	// Choose picks an endpoint that this ticket has not tried.
	Choose() (Endpoint, error)
	// HedgeDelay returns the wait after which the request may also be sent to a
	// second endpoint; ok is false if the request must not be hedged.
	HedgeDelay() (delay time.Duration, ok bool)
	// Hedge picks a second endpoint if the hedge budget allows it.
	Hedge() (Endpoint, bool)
	// Won reports which of two endpoints answered first; the request at the
	// other one is cancelled.
	Won(e Endpoint)
	// FirstToken and Token report progress at the chosen endpoint.
	FirstToken()
	Token(count int64)
	// Retry reports the failure of the chosen endpoint and returns whether
	// another attempt is allowed. The next attempt, or the error to the caller if
	// none is allowed, is delayed by delay.
	Retry(err error) (delay time.Duration, ok bool)
	// Finish ends the work and reports its success and its output tokens.
	Finish(ok bool, tokens int64)
}

// Pools admits requests to the pool of their service.
type Pools interface {
	// Admit waits until the request may be sent. A refusal is a *problem.Error.
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
	// BufferBytes bounds the memory of all unfinished answers of endpoints together; 0 means
	// upstream.DefaultBufferBytes.
	BufferBytes int64
	// MaxBody is the largest request body in bytes for all services.
	MaxBody int64
	// Timeout limits a request without a deadline of its own.
	Timeout time.Duration
	// ExtensionTokens is the number of tokens by which a stream's reservation
	// is extended at a time.
	ExtensionTokens int64
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Gateway handles the requests of callers.
type Gateway struct {
	Options
	requests requestTracker
	buffers  *upstream.Buffers
}

// New returns a gateway.
func New(o Options) *Gateway {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	g := &Gateway{Options: o, buffers: upstream.NewBuffers(o.BufferBytes)}
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
		_ = p.Write(c.Response(), "none") // the caller may have disconnected
	}
	e.POST("/v1/chat/completions", g.handle(g.chat))
	e.GET("/v1/models", g.handle(g.models))
	e.Any("/services/:name", g.handle(g.plain))
	e.Any("/services/:name/*", g.handle(g.plain))
	return e
}
