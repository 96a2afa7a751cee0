package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/settings"
	wire "github.com/azurehatch/azurehatch/platform"
	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// lossyStore serves a store. While losing is true, it executes the next write and sends no response to it.
func lossyStore(t *testing.T, losing *atomic.Bool) (addr string) {
	t.Helper()
	s := platformtest.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.Method != http.MethodPost || !losing.CompareAndSwap(true, false) {
			s.ServeHTTP(w, r)
			return
		}
		s.ServeHTTP(httptest.NewRecorder(), r)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startUnseeded starts a daemon that finds others by the store only.
func startUnseeded(t *testing.T, name string, store func(tally.Scope, func(net.Conn) net.Conn) Store) *Daemon {
	t.Helper()
	s := settings.DefaultFront()
	s.Instance = settings.FrontInstance{Name: name, FailureDomain: "z", FirstStart: true}
	s.Listen = settings.FrontListen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Mesh: "127.0.0.1:0"}
	d, err := New(Options{Settings: s, Log: zerolog.Nop(), Wire: testWire, Store: store})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// Guards against a daemon that stays unknown to all others, and grants permits beside them, because the
// response to the write of its registration is lost.
func TestDaemonsFindEachOtherAfterALostRegistrationResponse(t *testing.T) {
	var losing atomic.Bool
	addr := lossyStore(t, &losing)
	store := func(scope tally.Scope, wrap func(net.Conn) net.Conn) Store {
		return wire.NewStore(addr, wire.StoreOptions{Scope: scope, Wrap: wrap})
	}
	first := startUnseeded(t, "d1", store)
	awaitCondition(t, "the first daemon is registered", func() bool { return first.otherDaemons() >= 0 })
	losing.Store(true)
	second := startUnseeded(t, "d2", store)
	awaitCondition(t, "the daemons know each other", func() bool {
		return first.mesh.Count() == 2 && second.mesh.Count() == 2
	})
	if losing.Load() {
		t.Error("no response was lost")
	}
}
