package etcdhttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	standin "github.com/azurehatch/azurehatch/internal/standin/platform"
)

// closedAddr refuses connections: nothing listens on port 1.
const closedAddr = "http://127.0.0.1:1"

// startServer starts an HTTP server that is closed at the end of the test and
// returns its URL.
func startServer(t testing.TB, h http.Handler) string {
	web := httptest.NewServer(h)
	t.Cleanup(web.Close)
	return web.URL
}

// Guards against an unknown outcome of a write that is in the store: when the
// response is lost, the adapter must find the write by its operation ID.
func TestWriteIsFoundAfterLostResponse(t *testing.T) {
	b := newHTTPBackend(t)
	b.data.SetFaults(memstore.Faults{LoseAnswers: 1})
	w := platform.Write{Key: "k", Value: []byte("v"), OpID: "1"}
	wantSame(t, "item", platform.Item{Key: "k", Value: w.Value, Revision: 1, OpID: "1"}, put(t, b, w))
	if calls := b.data.Calls(); calls.Writes != 1 || calls.Reads != 1 {
		t.Errorf("calls %+v, want one write and one read", calls)
	}
}

// Guards against a write that is reported as successful after a lost response
// although the key holds another client's value.
func TestOtherClientsWriteIsNotTakenForOwn(t *testing.T) {
	server := standin.New(standin.Options{})
	defer server.Close()
	put(t, server.Store, platform.Write{Key: "azurehatch/k", Value: []byte("azurehatch/1 \"other\"\n")})
	put(t, server.Store, platform.Write{Key: "azurehatch/raw"})
	s := newStore(t, startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == etcdjson.PathTxn {
			panic(http.ErrAbortHandler)
		}
		server.ServeHTTP(w, r)
	})))
	for key, op := range map[string]string{"k": "mine", "raw": ""} {
		_, err := s.CompareAndSwap(t.Context(), platform.Write{Key: key, OpID: op})
		wantErr(t, "write without response", err, platform.ErrOutcomeUnknown)
	}
}

// Guards against a write that is reported as not executed although the store may
// have received it, and against an error without the step and the peer.
func TestCallsWithoutResponse(t *testing.T) {
	server := standin.New(standin.Options{})
	defer server.Close()
	server.SetFaults(standin.Faults{DropCalls: true})
	droppingAddr := startServer(t, server)
	for _, tc := range []struct {
		name, addr  string
		read, write error
	}{
		{"connection refused", closedAddr, platform.ErrUnavailable, platform.ErrUnavailable},
		{"connection closed", droppingAddr, platform.ErrUnavailable, platform.ErrOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newStore(t, tc.addr)
			_, err := s.Get(t.Context(), "k")
			wantErr(t, "read", err, tc.read)
			_, err = s.CompareAndSwap(t.Context(), platform.Write{Key: "k", OpID: "1"})
			wantErr(t, "write", err, tc.write)
			if step, peer := failure.Location(err); step != "platform.compare-and-swap" || peer != tc.addr {
				t.Errorf("step %q, peer %q", step, peer)
			}
			wantErr(t, "keep alive", s.KeepAlive(t.Context(), 1), tc.write)
			_, err = s.Watch(t.Context(), "", 0)
			wantErr(t, "watch", err, platform.ErrUnavailable)
		})
	}
}

// Guards against a store that is unavailable because one of its addresses is, and
// against a write that is sent to a second address although the first may have
// executed it.
func TestFailover(t *testing.T) {
	abortingAddr := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	server := standin.New(standin.Options{})
	defer server.Close()
	workingAddr := startServer(t, server)

	s := newStore(t, closedAddr, workingAddr)
	put(t, s, platform.Write{Key: "k", OpID: "1"})
	ctx, cancel := context.WithCancel(t.Context())
	_, err := newStore(t, closedAddr, workingAddr).Watch(ctx, "", 0)
	wantErr(t, "watch", err, nil)
	cancel()

	s = newStore(t, abortingAddr, workingAddr)
	_, err = s.CompareAndSwap(t.Context(), platform.Write{Key: "other", Expected: 0})
	wantErr(t, "write with a closed connection", err, platform.ErrOutcomeUnknown)
	if calls := server.Store.Calls(); calls.Writes != 1 {
		t.Errorf("%d writes at the second address, want 1", calls.Writes)
	}
	_, err = s.Get(t.Context(), "k")
	wantErr(t, "read", err, nil)
}

// Guards against a slow store that blocks its caller beyond the deadline, and
// against a wrong outcome of a write that was in flight at the deadline.
func TestLatencyBeyondDeadline(t *testing.T) {
	server := standin.New(standin.Options{})
	defer server.Close()
	server.SetFaults(standin.Faults{Faults: memstore.Faults{LatencyMillis: time.Hour.Milliseconds()}})
	arrived := make(chan struct{}, 2)
	s := newStore(t, startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		server.ServeHTTP(w, r)
	})))
	for _, tc := range []struct {
		name string
		call func(context.Context) error
		want error
	}{
		{"read", func(ctx context.Context) error { _, err := s.Get(ctx, "k"); return err }, platform.ErrUnavailable},
		{"write", func(ctx context.Context) error {
			_, err := s.CompareAndSwap(ctx, platform.Write{Key: "k", OpID: "1"})
			return err
		}, platform.ErrOutcomeUnknown},
		{"watch", func(ctx context.Context) error { _, err := s.Watch(ctx, "", 0); return err }, platform.ErrUnavailable},
	} {
		// The context ends while the store delays the call.
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-arrived
			cancel()
		}()
		wantErr(t, tc.name, tc.call(ctx), tc.want)
		wantErr(t, tc.name+" after the deadline", tc.call(ctx), platform.ErrUnavailable)
		cancel()
	}
}

// Guards against an error response of etcd that is treated as a refusal although
// the proposal may still commit, and against the reverse.
func TestErrorResponses(t *testing.T) {
	for _, tc := range []struct {
		status      int
		body        string
		read, write error
	}{
		{503, `{"code":14,"message":"etcdserver: no leader"}`, platform.ErrUnavailable, platform.ErrUnavailable},
		{503, `{"code":14,"message":"etcdserver: request timed out"}`, platform.ErrUnavailable, platform.ErrOutcomeUnknown},
		{500, `<html>`, platform.ErrUnavailable, platform.ErrOutcomeUnknown},
		{429, `{"code":8,"message":"etcdserver: too many requests"}`, platform.ErrUnavailable, platform.ErrUnavailable},
		{401, `{"code":16,"message":"etcdserver: invalid auth token"}`, platform.ErrUnavailable, platform.ErrUnavailable},
		{307, ``, platform.ErrUnavailable, platform.ErrUnavailable},
		{400, `{"code":3,"message":"etcdserver: request is too large"}`, platform.ErrTooLarge, platform.ErrTooLarge},
		{404, `{"code":5,"message":"etcdserver: requested lease not found"}`, platform.ErrLeaseExpired, platform.ErrLeaseExpired},
	} {
		s := newStore(t, startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/")
			w.WriteHeader(tc.status)
			_, _ = io.WriteString(w, tc.body)
		})))
		_, err := s.Get(t.Context(), "k")
		wantErr(t, tc.body+": read", err, tc.read)
		_, err = s.CompareAndSwap(t.Context(), platform.Write{Key: "k", OpID: "1"})
		wantErr(t, tc.body+": write", err, tc.write)
	}
}

// Guards against an event that is sent after the watch's context was cancelled.
func TestCancelledWatchSendsNoEvent(t *testing.T) {
	b := newHTTPBackend(t)
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		events, err := b.Watch(ctx, "", 0)
		wantErr(t, "watch", err, nil)
		cancel()
		if ev, open := <-events; open {
			t.Fatalf("event %+v after the end", ev)
		}
	}
}
