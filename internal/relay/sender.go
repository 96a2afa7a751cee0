package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/dialer"
	"github.com/azurehatch/azurehatch/internal/failure"
)

// Connections to endpoints.
const (
	// connectTimeout bounds a connection attempt: round trips take a few ms,
	// and another endpoint can still be tried in time.
	connectTimeout = 400 * time.Millisecond
	// reuseWithin is the idle time after which a connection is not used again;
	// the shortest idle timeout of the endpoints is a whole second.
	idleConnTimeout = 800 * time.Millisecond
	// idlePerEndpoint bounds the kept connections to one endpoint.
	maxIdlePerEndpoint = 16
	// maxHeadBytes bounds an answer's head.
	maxHeadBytes = 64 << 10
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)

// sender sends requests to endpoints.
type sender struct {
	// kept reuses connections; fresh makes one for each request that can't be
	// repeated, since a kept one may be closed or carry a stray answer.
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
			return d.DialContext(ctx, network, addr)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		WriteBufferSize:        16 << 10,
	}
}

func (s *sender) close() {
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}

// sending is one request to an endpoint.
type outboundRequest struct {
	method, addr, uri, host string
	header                  http.Header
	body                    []byte
	// alone asks for a connection of its own.
	ownConnection bool
}

// sendError is the failure of a sending before an answer's head came.
type sendError struct {
	// reached is true if the endpoint may have seen the request.
	reached bool
	// connected is true if there was a connection.
	connected bool
	err       error
}

// Error implements error.
func (e *sendError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }

// send sends a request and returns the answer, whose body is not read yet. An
// error is a *sendError.
func (s *sender) send(ctx context.Context, out outboundRequest) (*http.Response, error) {
	var connected, wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaders: func() { wrote.Store(true) },
	}
	req := &http.Request{
		Method: out.method, URL: &url.URL{Scheme: "http", Host: out.addr, Opaque: out.uri},
		Host: out.host, Header: out.header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(out.body) > 0 {
		// Without GetBody the transport does not repeat the request by itself.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(out.body)), int64(len(out.body))
	}
	transport := s.pooled
	if out.ownConnection {
		transport = s.unpooled
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, &sendError{reached: wrote.Load(), connected: connected.Load(), err: failure.At(err, "relay.send", out.addr)}
	}
	return resp, nil
}
