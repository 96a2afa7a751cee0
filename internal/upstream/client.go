package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/dialer"
	"github.com/azurehatch/azurehatch/internal/failure"
)

// Defaults for connections to endpoints.
const (
	defaultConnectTimeout  = 500 * time.Millisecond
	defaultIdleTimeout     = 90 * time.Second
	defaultIdlePerEndpoint = 64
)

// Limits of connections to endpoints.
const (
	// maxHeadBytes bounds a response's header. An endpoint in trouble may send one without
	// end.
	maxHeadBytes = 64 << 10
	// writeBufferBytes is the size up to which a request is sent in one write.
	writeBufferBytes = 16 << 10
)

// Options configure a Client. Zero values mean the defaults.
type Options struct {
	// ConnectTimeout bounds a connection attempt.
	ConnectTimeout time.Duration
	// IdleTimeout closes idle connections, IdlePerEndpoint bounds their number.
	IdleTimeout     time.Duration
	IdlePerEndpoint int
	// Scope has the counter endpoint_connections; nil means none.
	Scope tally.Scope
}

// Client sends calls to endpoints. It sends no call twice.
type Client struct {
	// pooled reuses connections, unpooled opens one for each call.
	pooled, unpooled *http.Transport
	dials            tally.Counter
}

// New returns a client.
func New(o Options) *Client {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.IdlePerEndpoint == 0 {
		o.IdlePerEndpoint = defaultIdlePerEndpoint
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	c := &Client{dials: o.Scope.Counter("endpoint_connections")}
	c.pooled, c.unpooled = c.transport(o), c.transport(o)
	c.unpooled.DisableKeepAlives = true
	return c
}

func (c *Client) transport(o Options) *http.Transport {
	d := dialer.New(o.ConnectTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c.dials.Inc(1)
			conn, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newEndpointConn(conn), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    o.IdlePerEndpoint,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		WriteBufferSize:        writeBufferBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// RefusesConnections reports whether the host of an endpoint refuses connections to addr,
// because no process listens there. A host that does not answer may be cut off.
func (c *Client) RefusesConnections(addr string, timeout time.Duration) bool {
	c.dials.Inc(1)
	conn, err := dialer.New(timeout).DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// Call is one request to one endpoint.
type Call struct {
	// Endpoint is the endpoint's ID, Addr its address as IP:port.
	Endpoint, Addr string
	Method         string
	// Path is the URL path with the query string.
	Path string
	// Host is the Host header; empty means Addr.
	Host   string
	Header http.Header
	Body   []byte
	// OwnConnection sends the request on a new connection that is not reused: a kept
	// connection may have been closed, or may deliver a late response to an earlier request.
	OwnConnection bool
	// ConnectWithin bounds the time until the call has a connection; 0 means only by the timeout of
	// connection attempts.
	ConnectWithin time.Duration
}

// Do sends the call and returns the response. The caller must close its body, before which
// no other call uses the connection unless Accept is called. The error contains an *Error.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	// The transport calls GotConn in the goroutine of RoundTrip, again if it replaces a
	// connection that the endpoint had closed.
	ctx, connected, cancel := call.boundConnect(ctx)
	var use *connUse
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connected()
		if ctx.Err() != nil {
			i.Conn.Close() // nothing of a call that has ended is sent
		}
		if use != nil {
			use.release()
		}
		use = newConnUse(ctx, i.Conn.(*endpointConn), i.Reused, call.Header.Get(HeaderRequestID), int64(len(call.Body)))
	}}
	req, err := call.request()
	if err != nil {
		cancel()
		return nil, failure.At(&Error{Endpoint: call.Endpoint, Ran: RanNo, Err: err}, "upstream.request", call.Addr)
	}
	transport := c.pooled
	if call.OwnConnection || req.Body == nil && hasIdempotencyKey(call.Header) {
		transport = c.unpooled
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && !validStatus(resp.StatusCode) {
		err = errors.Wrapf(ErrInvalidStatus, "status %q", resp.Status)
		use.Close()
		resp.Body.Close()
	}
	if err != nil {
		// A connection that came as the time ended was closed, which fails with other errors.
		if errors.Is(context.Cause(ctx), ErrConnectTime) && !errors.Is(err, ErrConnectTime) {
			err = errors.Wrap(ErrConnectTime, err.Error())
		}
		cancel()
		failed := &Error{Endpoint: call.Endpoint, Ran: RanNo, Err: err}
		if use != nil {
			failed.Connected, failed.Reused, failed.Written = true, use.reused, use.requestBytes()
			use.release()
		}
		// A response may arrive before the write has returned and was counted.
		if failed.Written > 0 || resp != nil {
			failed.Ran = RanUnknown
		}
		return nil, failure.At(failed, "upstream.request", call.Addr)
	}
	r := &Response{Response: resp, use: use}
	r.Body = releasingBody{resp.Body, use, cancel}
	return r, nil
}

// validStatus reports whether a status is that of a final response. The transport's parser
// passes on all numbers of three digits, and informational ones that switch protocols.
func validStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// boundConnect returns a context that ends if connected is not called within ConnectWithin. It does
// not end because of that after connected has returned.
func (c Call) boundConnect(ctx context.Context) (bounded context.Context, connected, cancel func()) {
	if c.ConnectWithin == 0 {
		return ctx, func() {}, func() {}
	}
	bounded, end := context.WithCancelCause(ctx)
	var once sync.Once
	timer := time.AfterFunc(c.ConnectWithin, func() { once.Do(func() { end(ErrConnectTime) }) })
	connected = func() { once.Do(func() { timer.Stop() }) }
	return bounded, connected, func() { connected(); end(nil) }
}

// request returns the HTTP request of a call. A request with a body but without GetBody is
// not repeated by the transport itself. A body that turns out to be empty is sent as none
// with methods that have none.
func (c Call) request() (*http.Request, error) {
	target, err := requestTarget(c.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", c.Addr
	req := &http.Request{
		Method: c.Method, URL: target, Host: c.Host, Header: c.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(c.Body) > 0 || !mayHaveBody(c.Method) {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(c.Body)), int64(len(c.Body))
	}
	return req, nil
}

// CheckPath returns an error if a path with its query can't be sent to an endpoint unchanged.
func CheckPath(path string) error {
	_, err := requestTarget(path)
	return err
}

// requestTarget returns a URL without a host whose request target is exactly path. The
// opaque form keeps all bytes, but gets a scheme if the path begins with two slashes.
func requestTarget(path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "//") {
		return &url.URL{Opaque: path}, nil
	}
	target, err := url.ParseRequestURI("/." + path)
	if err != nil {
		return nil, errors.Wrapf(err, "path %q", path)
	}
	target.Path, target.RawPath = strings.TrimPrefix(target.Path, "/."), strings.TrimPrefix(target.RawPath, "/.")
	if sent := target.RequestURI(); sent != path {
		return nil, errors.Errorf("path %q would be sent as %q", path, sent)
	}
	return target, nil
}

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

// Response is an endpoint's response to a call.
type Response struct {
	*http.Response
	use *connUse
}

// Accept lets the next call use the connection. The response must have been found to be the
// call's own, and usable as far as it can be read to its end.
func (r *Response) Accept() { r.use.release() }

// Abandon closes the connection, by whose end an endpoint that may still work on the call
// notices that its response is not wanted. It does nothing if the connection is closed.
func (r *Response) Abandon() error {
	if r.Closed() {
		return nil
	}
	return errors.Wrap(r.use.Close(), "close connection to endpoint")
}

// NamesEarlierCall reports whether the response has the id of the call before on its
// connection, of which it is a late copy then.
func (r *Response) NamesEarlierCall() bool {
	id := r.Header.Get(HeaderRequestID)
	return id != "" && id == r.use.earlierID && id != r.use.requestID
}

// Reused reports whether the connection had carried an earlier call, Closed whether it is
// closed.
func (r *Response) Reused() bool { return r.use.reused }

// Closed reports whether the connection is closed.
func (r *Response) Closed() bool { return r.use.isClosed() }

// Written returns the number of bytes of the call that were written.
func (r *Response) Written() int64 { return r.use.requestBytes() }

// releasingBody is a response body whose end of use lets the next call use the connection.
type releasingBody struct {
	io.ReadCloser
	use    *connUse
	cancel func()
}

// Close implements io.Closer.
func (b releasingBody) Close() error {
	defer b.cancel()
	defer b.use.release()
	return b.ReadCloser.Close()
}
