package relay_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/relay"
	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/platform"
)

// endpoint is an endpoint on a raw TCP socket that responds by script.
type endpoint struct {
	addr     string
	listener net.Listener

	mu       sync.Mutex
	received []*http.Request
	// ended receives a value when the daemon closes a connection.
	ended chan struct{}
}

// script responds to one request on its connection; it returns false to close the
// connection.
type script func(r *http.Request, body string, c net.Conn) bool

func startEndpoint(t *testing.T, answer script) *endpoint {
	t.Helper()
	e := listen(t)
	go e.accept(func(c net.Conn) { e.serve(c, answer) })
	return e
}

// startRawEndpoint starts an endpoint that handles its connections itself.
func startRawEndpoint(t *testing.T, handle func(net.Conn)) *endpoint {
	t.Helper()
	e := listen(t)
	go e.accept(handle)
	return e
}

func listen(t *testing.T) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &endpoint{addr: l.Addr().String(), listener: l, ended: make(chan struct{}, 16)}
}

// unacceptingEndpoint returns an endpoint whose queue of connections is full, so that attempts to
// connect get no answer.
func unacceptingEndpoint(t *testing.T) *endpoint {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{addr: fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)}
	for range 8 {
		c, err := net.DialTimeout("tcp", e.addr, 100*time.Millisecond)
		if err != nil {
			return e
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the queue of connections does not fill up")
	return nil
}

func (e *endpoint) accept(handle func(net.Conn)) {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go handle(c)
	}
}

func (e *endpoint) serve(c net.Conn, answer script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			e.ended <- struct{}{}
			return
		}
		body := make([]byte, max(req.ContentLength, 0))
		for n := 0; n < len(body); {
			m, err := req.Body.Read(body[n:])
			n += m
			if err != nil && n < len(body) {
				return
			}
		}
		e.mu.Lock()
		e.received = append(e.received, req)
		e.mu.Unlock()
		if !answer(req, string(body), c) {
			return
		}
	}
}

func (e *endpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.received...)
}

// pools chooses endpoints in a fixed order.
type pools struct {
	mu       sync.Mutex
	order    []*endpoint
	outcomes []balance.Outcome
	removed  []string
	// announced holds the announcements in order.
	announced []balance.Announcement
	// pause is the RetryAfter of a choice without an endpoint.
	pause time.Duration
	// limit is that of each endpoint; denied are the endpoints whose limits allow no request.
	limit  float64
	denied map[string]bool
	// cold are the endpoints that are cold.
	cold map[string]bool
	// restriction is that of each request.
	restriction balance.Restriction
	// denials is the number of requests for permits that were denied.
	denials int
	// chosen and ended count the requests at endpoints.
	chosen, ended int
}

func (p *pools) counts() (chosen, ended int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chosen, p.ended
}

func (p *pools) Choose(_ string, r balance.Request) (balance.Choice, bool) {
	for i, e := range p.order {
		if id := string(rune('a' + i)); !r.Tried[id] && (!r.WithoutLimited || !p.denied[id]) {
			p.mu.Lock()
			p.chosen++
			p.mu.Unlock()
			return balance.Choice{Endpoint: balance.Endpoint{ID: id, Addr: e.addr}, Limit: balance.RateLimit{PerSecond: p.limit}, Cold: p.cold[id]}, true
		}
	}
	return balance.Choice{RetryAfter: p.pause}, false
}
func (p *pools) Restriction(string, map[string]bool) balance.Restriction { return p.restriction }
func (p *pools) Permit(_ context.Context, _ string, c balance.Choice, _ balance.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.denied[c.ID] {
		p.denials++
		p.ended++
	}
	return !p.denied[c.ID]
}
func (p *pools) Started(string, balance.Choice, time.Duration) {}
func (p *pools) Reported(string, string, balance.LoadReport)   {}
func (p *pools) Done(string, balance.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended++
}
func (p *pools) Announced(_ string, _ balance.Choice, a balance.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced = append(p.announced, a)
}
func (p *pools) EndpointRemoved(_, endpoint string) { p.removed = append(p.removed, endpoint) }
func (p *pools) Observe(_ string, _ string, o balance.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

// budgets records the tokens reserved and billed.
type budgets struct {
	mu               sync.Mutex
	reserved, billed []int64
	err              error
}

type reservation struct{ b *budgets }

func (r reservation) Settle(used int64) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.b.billed = append(r.b.billed, used)
}

func (b *budgets) Reserve(_ context.Context, _ *routing.Account, tokens int64, _ bool) (relay.Reservation, error) {
	if b.err != nil {
		return nil, b.err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved = append(b.reserved, tokens)
	return reservation{b}, nil
}

func (b *budgets) bills() []int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]int64(nil), b.billed...)
}

type retryBudget struct{ allowed bool }

func (retryBudget) Offered(string)     {}
func (r retryBudget) Take(string) bool { return r.allowed }

type crashIsolator struct {
	isolated bool
	mu       sync.Mutex
	crashed  []string
	// begun holds the fingerprints of the requests in order.
	begun []relay.Fingerprint
	// isolateAfterCrash isolates each request that crashed an endpoint.
	isolateAfterCrash bool
	// partsCrashed and partsAnswered count the parts of the requests.
	partsCrashed, partsAnswered int
	// completed holds for each ended request whether it completed.
	completed []bool
}

func (c *crashIsolator) Begin(f relay.Fingerprint) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = append(c.begun, f)
	return time.Second, !c.isolated
}
func (c *crashIsolator) MayRetry(relay.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isolated
}
func (c *crashIsolator) PartsCrashed(f relay.Fingerprint, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partsCrashed += len(f.Parts)
}
func (c *crashIsolator) PartsAnswered(f relay.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partsAnswered += len(f.Parts)
}
func (c *crashIsolator) End(_ relay.Fingerprint, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed = append(c.completed, completed)
}
func (c *crashIsolator) Crashed(_ relay.Fingerprint, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashed, c.isolated = append(c.crashed, endpoint), c.isolateAfterCrash
}

// harness is a handler with its fakes.
type harness struct {
	pools   *pools
	budgets *budgets
	crashes *crashIsolator
	handler *relay.Handler
	server  *httptest.Server
	// table must not be changed during a request.
	table *routing.Table
}

const (
	testHost  = "shop.example"
	testKey   = "key-1"
	requestID = "r-1"
)

func newTable(t *testing.T) *routing.Table {
	t.Helper()
	return newTableFor(t, "desk", "llm", 700*time.Millisecond)
}

// newTableFor returns a table whose routes lead to the given services and have a timeout,
// unless they are resumable.
func newTableFor(t *testing.T, desk, llm string, timeout time.Duration) *routing.Table {
	t.Helper()
	route := func(name string, kind routing.Kind, attempts int, resumable bool, service string) routing.Route {
		timeout := timeout
		if resumable {
			timeout = 3 * time.Second // longer than the stall timeout
		}
		return routing.Route{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Timeout: timeout, LatencyObjective: 80 * time.Millisecond, Targets: []routing.Target{{Service: service, Weight: 1}},
		}
	}
	table, err := routing.NewTable(routing.Config{
		Version: 3,
		Routes: []routing.Route{
			route("order", routing.Unsafe, 1, false, desk), route("look", routing.Safe, 2, false, desk),
			route("plan", routing.Streaming, 1, false, llm), route("ask", routing.Streaming, 2, true, llm),
		},
		Services: []routing.Service{{Name: desk}, {Name: llm, Engine: &routing.Engine{MaxTokensPerEvent: 6}}},
		Accounts: []routing.Account{{Name: "acme", Keys: []string{testKey}, PrepaidTokens: 100000}},
		Limits:   routing.Limits{BodyBytes: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func newHarness(t *testing.T, endpoints ...*endpoint) *harness {
	t.Helper()
	return newHarnessWith(t, retryBudget{allowed: true}, endpoints...)
}

func newHarnessWith(t *testing.T, retries retryBudget, endpoints ...*endpoint) *harness {
	t.Helper()
	h := &harness{pools: &pools{order: endpoints}, budgets: &budgets{}, crashes: &crashIsolator{}, table: newTable(t)}
	h.handler = relay.New(relay.Options{
		Codec: platform.Codec{}, Budgets: h.budgets, Pools: h.pools,
		RetryBudget: retries, CrashIsolator: h.crashes,
		Table:    func() (*routing.Table, time.Duration) { return h.table, 0 },
		Outdated: func() bool { return false }, Log: zerolog.Nop(), BufferBytes: testBufferBytes,
	})
	h.server = httptest.NewServer(h.handler)
	t.Cleanup(func() {
		h.server.Close()
		h.handler.Close()
	})
	return h
}
