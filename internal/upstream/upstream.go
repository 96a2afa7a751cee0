// Package upstream sends requests to endpoints over HTTP and relays their
// responses. It reports for each failure whether the endpoint may have run the
// request.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
)

// Defaults for connections to endpoints.
const (
	defaultConnectTimeout  = 500 * time.Millisecond
	defaultIdleTimeout     = 90 * time.Second
	defaultIdlePerEndpoint = 64
	// keepAliveInterval is the interval of TCP keep-alive probes. A half-open
	// connection is detected within a few intervals.
	keepAliveInterval = 2 * time.Second
)

// Headers that the daemon and an endpoint exchange in addition to HTTP's own.
const (
	HeaderRequestID   = "X-Request-ID"
	HeaderLastEventID = "Last-Event-ID"
	HeaderResumable   = "X-Resumable"
	HeaderPriority    = "X-Priority"
	HeaderDeadline    = "X-Deadline-Ms"
)

// Ran says whether an endpoint ran a request.
type Ran string

// The values of Ran. RanNo is used only if it is certain that the request did not
// run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failed exchange with an endpoint.
type Error struct {
	// Endpoint is the endpoint's ID.
	Endpoint string
	// Ran says whether the endpoint ran the request.
	Ran Ran
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return "endpoint " + e.Endpoint + " (ran: " + string(e.Ran) + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RanOf returns the Ran of the *Error in err's chain, RanUnknown if there is none.
func RanOf(err error) Ran {
	var e *Error
	if errors.As(err, &e) {
		return e.Ran
	}
	return RanUnknown
}

// ErrStatus means that the endpoint is up and answered with an error status.
var ErrStatus = errors.New("the endpoint answered with an error status")

// Call is one request to one endpoint.
type Call struct {
	// Endpoint is the endpoint's ID, Addr its address as IP:port.
	Endpoint, Addr string
	Method         string
	// Path is the URL path with the query string.
	Path   string
	Header http.Header
	Body   []byte
}

// Options configure a Client. Zero values mean the defaults.
type Options struct {
	ConnectTimeout  time.Duration
	IdlePerEndpoint int
}

// Client sends calls to endpoints.
type Client struct {
	transport *http.Transport
}

// New returns a client.
func New(o Options) *Client {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.IdlePerEndpoint == 0 {
		o.IdlePerEndpoint = defaultIdlePerEndpoint
	}
	dialer := &net.Dialer{Timeout: o.ConnectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3,
	}}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: o.IdlePerEndpoint,
		IdleConnTimeout:     defaultIdleTimeout,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends the call and returns the response, whose body the caller must close.
// The error contains an *Error. Do never sends the request twice.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method,
		"http://"+call.Addr+call.Path, nonRewindableBody(call.Body))
	if err != nil {
		return nil, c.newError(call, RanNo, err)
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Header
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		ran := RanNo
		if wrote.Load() {
			ran = RanUnknown
		}
		return nil, c.newError(call, ran, err)
	}
	return resp, nil
}

// newError returns an error with an *Error of the call and the step upstream.request.
func (c *Client) newError(call Call, ran Ran, err error) error {
	return failure.At(&Error{Endpoint: call.Endpoint, Ran: ran, Err: err}, "upstream.request", call.Addr)
}

// nonRewindableBody returns a request body that the transport cannot rewind. The
// transport would otherwise resend a request with an Idempotency-Key, or without
// a body, after the connection broke; only the daemon may decide about retries.
func nonRewindableBody(body []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(body))
}
