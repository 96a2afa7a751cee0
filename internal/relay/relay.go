// Package relay is a reverse proxy from callers to endpoints. For each request it
// matches the route, authenticates the caller, reserves tokens, chooses an
// endpoint, forwards the request, returns the response unchanged and settles the
// reservation. A Codec translates between wire headers and this package's types.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/overload"
	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Limits of connections to endpoints.
const (
	// connectTimeout bounds a connection attempt. Round trips take a few ms, and
	// the remaining time must allow an attempt at another endpoint.
	connectTimeout = 400 * time.Millisecond
	// idleConnTimeout closes idle connections. It is below the endpoints'
	// shortest idle timeout, 1 s, so that requests are not sent on connections
	// that the endpoint is closing.
	idleConnTimeout = 800 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
)

// latencyBuckets are those of the times of requests.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)

// RequestMeta holds the values decoded from a caller's request headers.
type RequestMeta struct {
	// ID is the request id that the caller chose for this attempt.
	ID string
	// CallerTimeout is how long the caller waits for the response; 0 if unset.
	CallerTimeout time.Duration
	// Key is the API key; empty if the request has none.
	Key string
	// PromptTokens and MaxOutput are the declared prompt size and output limit
	// in tokens. Sized is false if the caller declares neither.
	PromptTokens, MaxOutput int64
	Sized                   bool
	// Prompt lists the parts of the prompt in order.
	Prompt []balance.PromptPart
	// LastEventID is the id of the event after which a stream resumes; empty if
	// the request does not resume a stream.
	LastEventID string
}

// ForwardMeta holds the values that the daemon adds to a forwarded request.
type ForwardMeta struct {
	// Endpoint is the id of the endpoint that the request is addressed to.
	Endpoint string
	// Account is the caller's account; empty for an anonymous request.
	Account string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Priority is the scheduling priority, 0 being the most urgent; negative if
	// the endpoint does not schedule by priority.
	Priority int
	// LastEventID is the id of the last event that the caller received; empty if
	// there is none.
	LastEventID string
}

// ResponseMeta holds the values decoded from an endpoint's response headers.
type ResponseMeta struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// Endpoint is the id of the responding endpoint; empty if not stated.
	Endpoint string
	// Signed is true if the response carries an endpoint's signature.
	Signed bool
	// Leaving is true if the endpoint states that it is about to leave.
	Leaving bool
	// RetryAfter is the time for which the endpoint asks not to be sent requests; 0 if
	// not stated.
	RetryAfter time.Duration
	// InvalidRetryAfter lists times to wait that are none and are ignored.
	InvalidRetryAfter []string
	// Limit is the number of requests a second that the endpoint takes from all daemons
	// together; 0 if it names none. InvalidLimits lists limits that are none.
	Limit         float64
	InvalidLimits []string
	// ColdFor is how long the endpoint says that it stays cold; 0 if not stated.
	ColdFor time.Duration
	// Report is the endpoint's load; valid if Reported.
	Report   balance.LoadReport
	Reported bool
}

// Codec translates between wire headers and the types of this package.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(h http.Header) (RequestMeta, error)
	// ForwardHeaders returns the headers of the request to an endpoint, made from
	// those of the caller's request.
	ForwardHeaders(h http.Header, m ForwardMeta) http.Header
	// DecodeResponse decodes the headers of an endpoint's response.
	DecodeResponse(h http.Header) ResponseMeta
	// CopyResponse copies an endpoint's response headers to the caller's response.
	CopyResponse(to, from http.Header)
	// RetryAfter returns the header that asks the caller to retry after d.
	RetryAfter(d time.Duration) (name, value string)
	// SetRequestID sets the request's id on a response of the daemon's own.
	SetRequestID(h http.Header, id string)
}

// Reservation holds tokens set aside for one request. Settle ends it and bills
// the tokens used.
type Reservation interface {
	Settle(used int64)
}

// Budgets reserves tokens of an account's budget. The last part of a budget is kept for
// urgent requests. A refusal is a *problem.Error.
type Budgets interface {
	Reserve(ctx context.Context, a *routing.Account, tokens int64, urgent bool) (Reservation, error)
}

// Pools chooses among the endpoints of all services and records their outcomes.
type Pools interface {
	// Choose picks an endpoint and counts the request as in progress there; Done
	// ends that. Without an eligible endpoint, the choice has a RetryAfter if known.
	// Started records the time to the first byte of a response.
	Choose(service string, r balance.Request) (balance.Choice, bool)
	// Restriction returns why no endpoint may get a request that may go to the given failure
	// domains; nil means all.
	Restriction(service string, domains map[string]bool) balance.Restriction
	// Permit reports whether the endpoint's limit allows the request; if not, the choice has
	// ended.
	Permit(ctx context.Context, service string, c balance.Choice, r balance.Request) bool
	Started(service string, c balance.Choice, elapsed time.Duration)
	Done(service string, c balance.Choice, started bool)
	Observe(service, endpoint string, o balance.Outcome)
	Reported(service, endpoint string, r balance.LoadReport)
	// Announced records what an endpoint said about further requests.
	Announced(service string, c balance.Choice, a balance.Announcement)
	// EndpointRemoved records that another endpoint now uses the endpoint's address.
	EndpointRemoved(service, endpoint string)
}

// RetryBudget limits the requests that the fleet sends more than once.
type RetryBudget interface {
	// Offered records the first attempt of a request for a service.
	Offered(service string)
	// Take reports whether one more attempt is allowed, and counts it if so.
	Take(service string) bool
}

// CrashIsolator rejects requests that repeatedly crash the endpoints that run them, by
// their whole content or by a part of their prompt that other requests share.
type CrashIsolator interface {
	// Begin reports whether a request may be sent, and if not, when the caller may
	// retry.
	Begin(f Fingerprint) (retryAfter time.Duration, ok bool)
	// MayRetry reports whether a request that failed at an endpoint may be sent to
	// another one.
	MayRetry(f Fingerprint) bool
	// Crashed records that a connection broke while the endpoint ran the request.
	Crashed(f Fingerprint, endpoint string)
	// PartsCrashed records that the endpoint went down before it began to answer a
	// request with the parts, PartsAnswered that an endpoint answered one.
	PartsCrashed(f Fingerprint, endpoint string)
	PartsAnswered(f Fingerprint)
	End(f Fingerprint, completed bool)
}

// Fingerprint identifies what of a request may crash endpoints.
type Fingerprint struct {
	// Content is the digest of the whole request.
	Content poison.Digest
	// Parts are the digests of the parts of the prompt without the last one, which
	// belongs to the request itself.
	Parts []poison.Digest
}

// Link admits requests by what the machine's link carries.
type Link interface {
	// Admit decides on a request of a route. The size of its body is -1 if unknown, that of its response
	// is not given.
	Admit(route string, r overload.Request) overload.Decision
	// Ended records the sizes of the body and of the response of a request that was admitted.
	Ended(route string, body, response int64)
}

// unlimitedLink admits all requests.
type unlimitedLink struct{}

// Admit implements Link.
func (unlimitedLink) Admit(string, overload.Request) overload.Decision {
	return overload.Decision{Admitted: true}
}

// Ended implements Link.
func (unlimitedLink) Ended(string, int64, int64) {}

// Options configure a Handler.
type Options struct {
	Codec         Codec
	Budgets       Budgets
	Pools         Pools
	RetryBudget   RetryBudget
	CrashIsolator CrashIsolator
	// Link admits requests; nil admits all.
	Link Link
	// Table returns the current configuration and the time since it was
	// installed; nil before the first one.
	Table func() (*routing.Table, time.Duration)
	// Outdated reports whether the configuration must not be used any more because a
	// newer one is in force elsewhere.
	Outdated func() bool
	// BufferBytes bounds the memory of all unfinished responses together, and that of all
	// requests' bodies; 0 means upstream.DefaultBufferBytes.
	BufferBytes int64
	Log         zerolog.Logger
	Scope       tally.Scope
}

// Handler serves callers' requests.
type Handler struct {
	Options
	client *upstream.Client
	// buffers bounds the memory of unfinished responses, bodies that of requests.
	buffers, bodies *upstream.Buffers
	// closing adds "Connection: close" to responses.
	closing  atomic.Bool
	shutdown shutdown
	// stopBegun is the beginning of the shutdown; nil before it.
	stopBegun atomic.Pointer[time.Time]
	active    atomic.Int64
	// cut is the number of responses that the end of the shutdown cut.
	cut atomic.Int64
	// checks are the running checks of endpoints that may have crashed.
	checks sync.WaitGroup
}

// New returns a Handler.
func New(opts Options) *Handler {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Link == nil {
		opts.Link = unlimitedLink{}
	}
	client := upstream.New(upstream.Options{
		ConnectTimeout: connectTimeout, IdleTimeout: idleConnTimeout, IdlePerEndpoint: maxIdlePerEndpoint, Scope: opts.Scope,
	})
	return &Handler{Options: opts, client: client, buffers: upstream.NewBuffers(opts.BufferBytes),
		bodies: upstream.NewBuffers(opts.BufferBytes), shutdown: newShutdown()}
}

// DisableKeepAlives begins the shutdown: it adds "Connection: close" to all further responses.
func (h *Handler) DisableKeepAlives() {
	now := time.Now()
	h.stopBegun.CompareAndSwap(nil, &now)
	h.closing.Store(true)
}

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int64 { return h.active.Load() }

// Close closes the idle connections to endpoints and waits for the checks of endpoints
// to end. There must be no active requests.
func (h *Handler) Close() {
	h.checks.Wait()
	h.client.Close()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	counted := &countedWriter{ResponseWriter: w}
	x := &exchange{handler: h, w: counted, response: counted, r: r, start: time.Now()}
	x.serve()
}
