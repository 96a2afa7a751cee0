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
	reuseWithin = 800 * time.Millisecond
	// idlePerEndpoint bounds the kept connections to one endpoint.
	idlePerEndpoint = 16
	// maxHeadBytes bounds an answer's head.
	maxHeadBytes = 64 << 10
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)

// sender sends requests to endpoints.
type sender struct {
	// kept reuses connections; fresh makes one for each request that can't be
	// repeated, since a kept one may be closed or carry a stray answer.
	kept, fresh *http.Transport
	dials       tally.Counter
}

func newSender(scope tally.Scope) *sender {
	u := &sender{dials: scope.Counter("endpoint_connections")}
	u.kept = u.transport()
	u.fresh = u.transport()
	u.fresh.DisableKeepAlives = true
	return u
}

func (u *sender) transport() *http.Transport {
	d := dialer.New(connectTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			u.dials.Inc(1)
			return d.DialContext(ctx, network, addr)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		IdleConnTimeout:        reuseWithin,
		MaxResponseHeaderBytes: maxHeadBytes,
		WriteBufferSize:        16 << 10,
	}
}

func (u *sender) close() {
	u.kept.CloseIdleConnections()
	u.fresh.CloseIdleConnections()
}

// sending is one request to an endpoint.
type sending struct {
	method, addr, uri, host string
	header                  http.Header
	body                    []byte
	// alone asks for a connection of its own.
	alone bool
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
func (u *sender) send(ctx context.Context, s sending) (*http.Response, error) {
	var connected, wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaders: func() { wrote.Store(true) },
	}
	req := &http.Request{
		Method: s.method, URL: &url.URL{Scheme: "http", Host: s.addr, Opaque: s.uri},
		Host: s.host, Header: s.header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(s.body) > 0 {
		// Without GetBody the transport does not repeat the request by itself.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(s.body)), int64(len(s.body))
	}
	transport := u.kept
	if s.alone {
		transport = u.fresh
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, &sendError{reached: wrote.Load(), connected: connected.Load(), err: failure.At(err, "relay.send", s.addr)}
	}
	return resp, nil
}
