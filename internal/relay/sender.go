package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/dialer"
	"github.com/azurehatch/azurehatch/internal/failure"
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
	// maxHeadBytes bounds a response's header.
	maxHeadBytes = 64 << 10
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)

// sender sends requests to endpoints.
type sender struct {
	// pooled reuses connections. unpooled opens one for each request that can't
	// be repeated, since a reused connection may have been closed or may deliver
	// a late response to an earlier request.
	pooled, unpooled *http.Transport
	dials            tally.Counter
}

func newSender(scope tally.Scope) *sender {
	s := &sender{dials: scope.Counter("endpoint_connections")}
	s.pooled = s.transport()
	s.unpooled = s.transport()
	s.unpooled.DisableKeepAlives = true
	return s
}

func (s *sender) transport() *http.Transport {
	d := dialer.New(connectTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			s.dials.Inc(1)
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newEndpointConn(c), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		WriteBufferSize:        16 << 10,
	}
}

// isDown reports whether the host of the endpoint refuses connections to it, because no
// process listens at addr. A host that does not answer may be cut off.
func (s *sender) isDown(addr string) bool {
	s.dials.Inc(1)
	conn, err := dialer.New(downTimeout).Dial("tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

func (s *sender) close() {
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}

// outboundRequest is a request to an endpoint.
type outboundRequest struct {
	method, addr, uri, host string
	header                  http.Header
	body                    []byte
	// ownConnection sends the request on a new connection that is not reused.
	ownConnection bool
}

// sendError is a failure before a response's header arrived.
type sendError struct {
	// written is the number of bytes of the request that were written, and that the
	// endpoint may have received.
	written int64
	// connected is true if a connection was established, reused if it had carried an
	// earlier request.
	connected, reused bool
	err               error
}

// Error implements error.
func (e *sendError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }

// mayHaveBody reports whether requests with a method usually have a body. The transport
// announces an empty body with such a method.
func mayHaveBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return false
	}
	return true
}

// hasIdempotencyKey reports whether a request has a header because of which the transport
// repeats it by itself on a reused connection.
func hasIdempotencyKey(h http.Header) bool {
	return h.Get("Idempotency-Key") != "" || h.Get("X-Idempotency-Key") != ""
}

// send sends a request and returns the response, whose body is not read yet, and its
// connection. The caller must call checked on the connection once it has found that the
// response is the request's own, or has closed the connection. An error is a *sendError.
func (s *sender) send(ctx context.Context, out outboundRequest) (*http.Response, *connUse, error) {
	// The transport calls GotConn in the goroutine of RoundTrip, again if it replaces a
	// connection that the endpoint had closed.
	var use *connUse
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if use != nil {
			use.checked()
		}
		conn := i.Conn.(*endpointConn)
		begun := conn.begin(ctx)
		use = &connUse{endpointConn: conn, reused: i.Reused, writtenBefore: conn.written.Load(), begun: begun}
	}}
	req := &http.Request{
		Method: out.method, URL: &url.URL{Scheme: "http", Host: out.addr, Opaque: out.uri},
		Host: out.host, Header: out.header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	// A request with a body but without GetBody is not repeated by the transport itself.
	// A body that turns out to be empty is sent as none with methods that have none.
	if len(out.body) > 0 || !mayHaveBody(out.method) {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(out.body)), int64(len(out.body))
	}
	transport := s.pooled
	if out.ownConnection || req.Body == nil && hasIdempotencyKey(out.header) {
		transport = s.unpooled
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		failed := &sendError{connected: use != nil, err: failure.At(err, "relay.send", out.addr)}
		if use != nil {
			failed.written, failed.reused = use.requestBytes(), use.reused
			use.checked()
		}
		return nil, nil, failed
	}
	return resp, use, nil
}
