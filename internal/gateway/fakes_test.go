package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeFleet implements the gateway's interfaces over a list of endpoints.
type fakeFleet struct {
	mu                    sync.Mutex
	endpoints             []Endpoint
	unavailableDependency string
	balance               int64
	reserved              int64
	bills                 map[string]int64
	claims                map[ClaimKey]*fakeClaim
	hedgeDelay            time.Duration
	winner                string
	firstTokenTimeout     time.Duration
	// maxBody is that of the service; 0 means 100.
	maxBody int64
}

const testKey = "secret"

func (f *fakeFleet) Authenticate(key string) (Account, bool) {
	return Account{Name: "shop", Weight: 1}, key == testKey
}

func (f *fakeFleet) Service(name string) (Service, bool) {
	return Service{Name: "orders", Price: 10, MaxBody: max(f.maxBody, 100), NonIdempotent: func(method, path string) bool {
		return method == http.MethodPost && path == "/reprint"
	}}, name == "orders"
}

func (f *fakeFleet) Model(model string) (Service, bool) {
	return Service{Name: "chat", Model: true, MaxOutput: 100, FirstTokenTimeout: f.firstTokenTimeout}, model == "m1"
}

func (f *fakeFleet) Models() []string { return []string{"m1"} }

func (f *fakeFleet) Endpoint(id string) (string, bool) {
	for _, e := range f.endpoints {
		if e.ID == id {
			return e.Addr, true
		}
	}
	return "", false
}

func (f *fakeFleet) DependencyDown(Service) string { return f.unavailableDependency }

type fakeReservation struct {
	f      *fakeFleet
	id     string
	tokens int64
	ended  bool
}

func (f *fakeFleet) Reserve(_ context.Context, r ReservationRequest) (Reservation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.balance-f.reserved < r.Tokens {
		return nil, problem.New(problem.BudgetExhausted, "balance %d", f.balance-f.reserved)
	}
	f.reserved += r.Tokens
	return &fakeReservation{f: f, id: r.ID, tokens: r.Tokens}, nil
}

func (r *fakeReservation) Extend(_ context.Context, total int64) error {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if r.ended {
		return problem.New(problem.BudgetUnavailable, "the reservation has ended")
	}
	if r.f.balance-r.f.reserved < total-r.tokens {
		return problem.New(problem.BudgetExhausted, "no tokens left")
	}
	r.f.reserved += total - r.tokens
	r.tokens = total
	return nil
}

func (r *fakeReservation) Settle(tokens int64) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if _, twice := r.f.bills[r.id]; twice {
		panic("request " + r.id + " settled twice")
	}
	r.ended = true
	r.f.reserved -= r.tokens
	r.f.balance -= tokens
	r.f.bills[r.id] = tokens
}

func (r *fakeReservation) Release() {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	r.ended = true
	r.f.reserved -= r.tokens
}

type fakeClaim struct {
	f      *fakeFleet
	key    ClaimKey
	state  string
	stored *Answer
}

func (f *fakeFleet) Claim(_ context.Context, k ClaimKey) (Claim, *Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.claims[k]; ok {
		switch {
		case c.stored != nil:
			return nil, c.stored, nil
		case c.state == "unknown":
			return nil, nil, problem.New(problem.OutcomeUnknown, "sent before").WithRan(upstream.RanUnknown)
		}
		return nil, nil, problem.New(problem.AlreadyRan, "ran before").WithRan(upstream.RanYes)
	}
	c := &fakeClaim{f: f, key: k}
	f.claims[k] = c
	return c, nil, nil
}

func (c *fakeClaim) set(state string, a *Answer) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.state, c.stored = state, a
}

func (c *fakeClaim) Done(a *Answer) { c.set("done", a) }
func (c *fakeClaim) Unknown()       { c.set("unknown", nil) }
func (c *fakeClaim) Release() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	delete(c.f.claims, c.key)
}

type fakeTicket struct {
	f     *fakeFleet
	tried int
}

func (f *fakeFleet) Admit(context.Context, Work) (Ticket, error) { return &fakeTicket{f: f}, nil }

func (t *fakeTicket) Choose() (Endpoint, error) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	if t.tried == len(t.f.endpoints) {
		return Endpoint{}, problem.New(problem.NoEndpoint, "all tried")
	}
	t.tried++
	return t.f.endpoints[t.tried-1], nil
}

func (t *fakeTicket) HedgeDelay() (time.Duration, bool) { return t.f.hedgeDelay, t.f.hedgeDelay > 0 }
func (t *fakeTicket) Hedge() (Endpoint, bool) {
	e, err := t.Choose()
	return e, err == nil
}
func (t *fakeTicket) Won(e Endpoint) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	t.f.winner = e.ID
}
func (t *fakeTicket) FirstToken()                       {}
func (t *fakeTicket) Token(int64)                       {}
func (t *fakeTicket) Retry(error) (time.Duration, bool) { return 0, true }
func (t *fakeTicket) Finish(bool, int64)                {}

// fixture is a gateway with fake dependencies, served over real sockets.
type fixture struct {
	t      testing.TB
	fleet  *fakeFleet
	g      *Gateway
	server *httptest.Server
}

func newFixture(t testing.TB, engines ...http.HandlerFunc) *fixture {
	f := &fakeFleet{balance: 100_000, bills: map[string]int64{}, claims: map[ClaimKey]*fakeClaim{}}
	for i, h := range engines {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		f.endpoints = append(f.endpoints, Endpoint{ID: fmt.Sprint("e", i), Addr: s.Listener.Addr().String()})
	}
	client := upstream.New(upstream.Options{})
	t.Cleanup(client.Close)
	g := New(Options{
		Directory: f, Ledger: f, Claims: f, Pools: f, Upstream: client, Log: zerolog.Nop(),
		MaxBody: 4096, BufferBytes: testBufferBytes, Timeout: time.Minute, ExtensionTokens: 4,
	})
	x := &fixture{t: t, fleet: f, g: g, server: httptest.NewServer(g.Handler())}
	t.Cleanup(func() {
		x.server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return x
}

// addRefusingEndpoint adds an address that refuses connections as the first
// endpoint.
func (x *fixture) addRefusingEndpoint() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	x.fleet.endpoints = append([]Endpoint{{ID: "dead", Addr: addr}}, x.fleet.endpoints...)
}

func (x *fixture) post(path, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, x.server.URL+path, strings.NewReader(body))
	if err != nil {
		x.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// awaitBills waits until no request is in progress, checks that no reservation is
// left open and returns the bills by request id.
func (x *fixture) awaitBills() map[string]int64 {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := x.g.Drain(ctx); err != nil {
		x.t.Fatal(err)
	}
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	if x.fleet.reserved != 0 {
		x.t.Errorf("%d tokens are still reserved", x.fleet.reserved)
	}
	return x.fleet.bills
}

// streamEngine returns an engine that sends n content chunks and then ends the
// stream as given by end: "done", "cut", "garbage" or "hang".
func streamEngine(n int, end string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= n; i++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"w%d \"}}]}\n\n", i, i)
			w.(http.Flusher).Flush()
		}
		switch end {
		case "done":
			fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", n)
		case "cut":
			panic(http.ErrAbortHandler)
		case "garbage":
			fmt.Fprint(w, "data: \x00\x01 not json\n\n")
		case "hang":
			<-r.Context().Done()
		}
	}
}

var errStreamEnded = errors.New("stream ended")

// readEvents reads n data lines of a stream.
func readEvents(r io.Reader, n int) ([]string, error) {
	var data []string
	scan := bufio.NewScanner(r)
	for len(data) < n {
		if !scan.Scan() {
			return data, errStreamEnded
		}
		if d, ok := strings.CutPrefix(scan.Text(), "data: "); ok {
			data = append(data, d)
		}
	}
	return data, nil
}
