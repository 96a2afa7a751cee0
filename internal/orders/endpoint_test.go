package orders

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/order"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/standin/engine"
)

func decodeSegment(t *testing.T, value []byte) []audit.Entry {
	t.Helper()
	var s audit.Segment
	if err := json.Unmarshal(value, &s); err != nil {
		t.Fatal(err)
	}
	return s.Entries
}

func newManager(t *testing.T) *Manager {
	m := New(Options{
		Self: "d1", Store: memstore.New(nil), Ranked: func(string, int) []string { return nil }, Log: zerolog.Nop(),
	})
	t.Cleanup(m.Close)
	return m
}

func testSend(a order.Action) order.Send {
	return order.Send{Order: order.Order{ID: 7, Endpoint: "e1", Action: a, Fence: 5}, Timeout: 5 * time.Second}
}

// Guards against a wrong classification of answers: if a lost answer counted as
// a failure, the order would be placed again.
func TestResultsOverHTTP(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	answer := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(status)
		}
	}
	hangUp := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}
	invalid := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	}
	m := newManager(t)
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		held    bool
		want    order.Result
	}{
		{"accepted", answer(202), true, order.ResultAccepted},
		{"stale fencing token", answer(409), true, order.ResultRefused},
		{"invalid", answer(400), true, order.ResultFailed},
		{"redirect", answer(307), true, order.ResultFailed},
		{"server error", answer(500), true, order.ResultUnknown},
		{"no status of the protocol", invalid, true, order.ResultUnknown},
		{"answer lost", hangUp, true, order.ResultUnknown},
		{"duty lost", answer(202), false, order.ResultUnsent},
		{"connection refused", nil, true, order.ResultFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := closed.Listener.Addr().String()
			if test.handler != nil {
				s := httptest.NewServer(test.handler)
				defer s.Close()
				addr = s.Listener.Addr().String()
			}
			got, err := m.sendOrder("chat", testSend(order.Action{Kind: order.LoadVersion, Value: "v2"}), addr,
				func() bool { return test.held })
			if got != test.want {
				t.Errorf("result %v (%v), want %v", got, err, test.want)
			}
		})
	}
}

// Guards against a late copy of the refusal of an earlier order that is taken for the answer
// to the next one: an order that was accepted would be placed again.
func TestLateCopyOfARefusalIsNotTheNextOrdersResult(t *testing.T) {
	const refusal = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
	var received atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if received.Add(1) > 1 {
			w.WriteHeader(http.StatusAccepted)
			return
		}
		c, in, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, refusal)
		if _, err := http.ReadRequest(in.Reader); err == nil {
			_, _ = io.WriteString(c, refusal) // a late copy; the endpoint accepts the order
			received.Add(1)
		}
	}))
	defer s.Close()
	m := newManager(t)
	var results []order.Result
	for range 2 {
		got, _ := m.sendOrder("chat", testSend(order.Action{Kind: order.LoadVersion, Value: "v2"}), s.Listener.Addr().String(),
			func() bool { return true })
		results = append(results, got)
	}
	if diff := cmp.Diff([]order.Result{order.ResultFailed, order.ResultAccepted}, results); diff != "" {
		t.Errorf("results of two orders (-want +got):\n%s", diff)
	}
}

// Guards against an endpoint that executes an order although the duty was lost
// between opening the connection and writing the request.
func TestOrderIsNotWrittenWithoutDuty(t *testing.T) {
	e := engine.New(engine.Options{})
	defer e.Close()
	s := httptest.NewServer(e)
	defer s.Close()
	m := newManager(t)
	held := true
	for range 3 {
		if _, err := m.sendOrder("chat", testSend(order.Action{Kind: order.LoadVersion, Value: "v2"}),
			s.Listener.Addr().String(), func() bool { return held }); held && err != nil {
			t.Error(err)
		}
		held = false
	}
	if n := len(e.Orders()); n != 1 {
		t.Errorf("%d orders arrived, want only the one sent while the duty was held", n)
	}
}

// Guards against orders whose encoding endpoints do not accept.
func TestOrdersOnTheWire(t *testing.T) {
	e := engine.New(engine.Options{})
	defer e.Close()
	s := httptest.NewServer(e)
	defer s.Close()
	m := newManager(t)
	for _, a := range []order.Action{
		{Kind: order.LoadModel, Value: "m@"}, {Kind: order.LoadModel, Value: "m@v2"},
		{Kind: order.ChangeRole, Value: "prefill"}, {Kind: order.LoadAdapter, Value: "a"},
	} {
		if got, err := m.sendOrder("chat", testSend(a), s.Listener.Addr().String(),
			func() bool { return true }); got != order.ResultAccepted {
			t.Errorf("%v: result %v (%v)", a, got, err)
		}
	}
	var got []engine.Order
	for _, o := range e.Orders() {
		got = append(got, engine.Order{ID: o.ID, Kind: o.Kind, Target: o.Target, Fencing: o.Fencing})
	}
	want := []engine.Order{
		{ID: "chat/7", Kind: engine.OrderLoadModel, Target: "m", Fencing: 5},
		{ID: "chat/7", Kind: engine.OrderLoadModel, Target: "m@v2", Fencing: 5},
		{ID: "chat/7", Kind: engine.OrderSetRole, Target: "prefill", Fencing: 5},
		{ID: "chat/7", Kind: engine.OrderLoadAdapter, Target: "a", Fencing: 5},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("orders on the wire (-want +got):\n%s", diff)
	}
}

// Guards against a list of models that is interpreted as a wrong state.
func TestObservedState(t *testing.T) {
	at := time.Unix(100, 0)
	d := order.Desired{Model: "m", Version: "v2", Adapters: []string{"a", "b"}}
	for _, test := range []struct {
		name   string
		models []string
		want   order.Observed
	}{
		{"old version", []string{"m", "v1", "a"}, order.Observed{Model: "m", Version: "v1", Adapters: []string{"a"}}},
		{"both versions", []string{"m", "v2", "v1"}, order.Observed{Model: "m", Version: "v2"}},
		{"model with version", []string{"m@v2", "b"}, order.Observed{Model: "m", Version: "v2", Adapters: []string{"b"}}},
		{"another model", []string{"x"}, order.Observed{Version: "x"}},
		{"empty", nil, order.Observed{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.want.Endpoint, test.want.At, test.want.Healthy, test.want.ChecksFencing = "e1", at, true, true
			got := endpointReport{startedAt: at, models: test.models, reachable: true, healthy: true}.
				observedState(d, endpoint{id: "e1", checksFencing: true}, false)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
	unreachable := endpointReport{startedAt: at}.observedState(d, endpoint{id: "e1"}, false)
	if plan := order.Plan(d, []order.Observed{unreachable}, nil, at); len(plan) != 0 ||
		unreachable.Healthy || !unreachable.At.IsZero() {
		t.Errorf("an endpoint that does not answer: %+v, plan %+v", unreachable, plan)
	}
}

// Guards against an endpoint without a health check that counts as unhealthy,
// and an unreachable endpoint that counts as healthy.
func TestReadOverHTTP(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"data":[{"id":"m"}]}`)
	})
	s := httptest.NewServer(mux)
	m := newManager(t)
	e := endpoint{id: "e1", addr: s.Listener.Addr().String()}
	if r := m.readEndpoint(context.Background(), e); !r.reachable || !r.healthy || len(r.models) != 1 {
		t.Errorf("report %+v", r)
	}
	s.Close()
	if r := m.readEndpoint(context.Background(), e); r.reachable || r.healthy {
		t.Errorf("report of a closed endpoint %+v", r)
	}
}
