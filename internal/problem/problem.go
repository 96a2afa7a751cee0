// Package problem defines the errors that are returned to callers: RFC 9457 problem
// documents with a stable type and a field that states whether the request ran.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/upstream"
)

// ContentType is the media type of a problem document (RFC 9457).
const ContentType = "application/problem+json"

// typeURIPrefix is the prefix of all problem type URIs.
const typeURIPrefix = "https://azurehatch.example/problems/"

// Kind is the stable name of an error; the problem type URI ends with it.
type Kind string

// The kinds of errors.
const (
	InvalidRequest      Kind = "invalid-request"
	Unauthorized        Kind = "unauthorized"
	UnknownService      Kind = "unknown-service"
	TooLarge            Kind = "too-large"
	RequestTimeout      Kind = "request-timeout"
	BudgetExhausted     Kind = "budget-exhausted"
	BudgetUnavailable   Kind = "budget-unavailable"
	Overloaded          Kind = "overloaded"
	DeadlineUnreachable Kind = "deadline-unreachable"
	DependencyDown      Kind = "dependency-down"
	NoEndpoint          Kind = "no-endpoint"
	ClaimUnavailable    Kind = "claim-unavailable"
	Poison              Kind = "poison"
	Duplicate           Kind = "duplicate-in-progress"
	AlreadyRan          Kind = "already-ran"
	OutcomeUnknown      Kind = "outcome-unknown"
	EndpointFailed      Kind = "endpoint-failed"
	StreamTruncated     Kind = "stream-truncated"
	ShuttingDown        Kind = "shutting-down"
	DaemonOverloaded    Kind = "daemon-overloaded"
)

// kindInfo holds the HTTP status and the title of each kind.
var kindInfo = map[Kind]struct {
	status int
	title  string
}{
	InvalidRequest:      {http.StatusBadRequest, "The request is not valid."},
	Unauthorized:        {http.StatusUnauthorized, "The API key is missing or wrong."},
	UnknownService:      {http.StatusNotFound, "The model or service does not exist."},
	TooLarge:            {http.StatusRequestEntityTooLarge, "The request body is too large."},
	RequestTimeout:      {http.StatusRequestTimeout, "The request body did not arrive in time."},
	BudgetExhausted:     {http.StatusPaymentRequired, "The prepaid budget does not cover the request."},
	BudgetUnavailable:   {http.StatusServiceUnavailable, "The budget can't be drawn on at the moment."},
	Overloaded:          {http.StatusTooManyRequests, "The service is at its capacity."},
	DeadlineUnreachable: {http.StatusServiceUnavailable, "The deadline can't be met."},
	DependencyDown:      {http.StatusServiceUnavailable, "A service that this service depends on is unavailable."},
	NoEndpoint:          {http.StatusServiceUnavailable, "No endpoint of the service is available."},
	ClaimUnavailable:    {http.StatusServiceUnavailable, "A non-idempotent request can't be recorded at the moment."},
	Poison:              {http.StatusUnprocessableEntity, "The request has crashed endpoints and is isolated."},
	Duplicate:           {http.StatusConflict, "A request with this idempotency key is in progress."},
	AlreadyRan:          {http.StatusConflict, "The request ran before; its answer is not kept."},
	OutcomeUnknown:      {http.StatusGatewayTimeout, "The request was sent before; its outcome is unknown."},
	EndpointFailed:      {http.StatusBadGateway, "The endpoint failed while it ran the request."},
	StreamTruncated:     {http.StatusBadGateway, "The answer ended before it was complete."},
	ShuttingDown:        {http.StatusServiceUnavailable, "The daemon is stopping."},
	DaemonOverloaded:    {http.StatusServiceUnavailable, "This daemon is at its capacity."},
}

// Error is an error to be returned to the caller.
type Error struct {
	Kind Kind
	// Ran states whether the request ran. It is RanNo only if the request certainly
	// did not run.
	Ran upstream.Ran
	// Detail is sent to the caller and must not contain secrets.
	Detail string
	// RetryAfter is sent to the caller if positive.
	RetryAfter time.Duration
	// Dependency is the unavailable service, for kind DependencyDown.
	Dependency string
	// Err is the cause, which is only logged; may be nil.
	Err error
}

// New returns an error for a request that did not run.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Ran: upstream.RanNo, Detail: fmt.Sprintf(format, args...)}
}

// WithCause sets the cause and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Err = err
	return e
}

// WithRetryAfter sets the time after which a retry may succeed and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithRan sets whether the request ran and returns e.
func (e *Error) WithRan(ran upstream.Ran) *Error {
	e.Ran = ran
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return string(e.Kind) + ": " + e.Detail + ": " + e.Err.Error()
	}
	return string(e.Kind) + ": " + e.Detail
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Status returns the HTTP status.
func (e *Error) Status() int { return kindInfo[e.Kind].status }

// From returns the *Error in err's chain. Any other error is wrapped in an
// EndpointFailed whose Ran is derived from err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: EndpointFailed, Ran: upstream.RanOf(err), Detail: "unexpected failure", Err: err}
}

// Document is the JSON body of an error response.
type Document struct {
	Type       string       `json:"type"`
	Title      string       `json:"title"`
	Status     int          `json:"status"`
	Detail     string       `json:"detail,omitempty"`
	Instance   string       `json:"instance,omitempty"`
	Ran        upstream.Ran `json:"ran"`
	RetryAfter int          `json:"retry_after_seconds,omitempty"`
	Dependency string       `json:"dependency,omitempty"`
}

// Document returns the problem document for the request with the given id.
func (e *Error) Document(requestID string) Document {
	k := kindInfo[e.Kind]
	return Document{
		Type: typeURIPrefix + string(e.Kind), Title: k.title, Status: k.status, Detail: e.Detail,
		Instance: "urn:request:" + requestID, Ran: e.Ran,
		RetryAfter: e.retryAfterSeconds(), Dependency: e.Dependency,
	}
}

func (e *Error) retryAfterSeconds() int {
	return int(math.Ceil(e.RetryAfter.Seconds()))
}

// Write sends e as an HTTP response.
func (e *Error) Write(w http.ResponseWriter, requestID string) error {
	body, err := json.Marshal(e.Document(requestID))
	if err != nil {
		return errors.Wrap(err, "encode problem document")
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if s := e.retryAfterSeconds(); s > 0 {
		h.Set("Retry-After", strconv.Itoa(s))
	}
	w.WriteHeader(e.Status())
	_, err = w.Write(append(body, '\n'))
	return errors.Wrap(err, "write problem document")
}
