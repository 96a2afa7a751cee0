package front

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/settings"
	wire "github.com/azurehatch/azurehatch/platform"
)

// Guards against failures of a fleet without faults: streams, orders, refusals
// when the budget is exhausted, and the readiness probe.
func TestServesWithoutFaults(t *testing.T) {
	f := newFleet(t, 10*(promptTokens+outputTokens))
	served := 0
	for n := range 15 {
		switch status := f.send(n%3, "/plan/x", true); status {
		case 200:
			served++
		case 402, 503:
		default:
			t.Errorf("status %d", status)
		}
	}
	if served != 10 {
		t.Errorf("%d requests served from a budget for 10", served)
	}
	f.eventually("callers are told that the budget is exhausted", func() bool { return f.send(2, "/plan/x", true) == 402 })
	if status := f.send(1, "/order/x", false); status != 200 {
		t.Errorf("an order got status %d", status)
	}
	resp, err := http.Get("http://" + f.daemons[0].ReadyAddr() + wire.ReadyPath)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("readiness %v %v", resp, err)
	}
}

// Guards against a daemon that, while it can't reach the store, keeps an old
// configuration or refuses requests although its peers hold tokens.
func TestCutOffFromTheStore(t *testing.T) {
	f := newFleet(t, 1000*(promptTokens+outputTokens))
	for n := range 6 {
		f.send(n%3, "/plan/x", true)
	}
	f.stores[0].partitioned.Store(true)
	time.Sleep(200 * time.Millisecond)
	f.configure(2, 1000*(promptTokens+outputTokens), "/new/")
	f.eventually("the partitioned daemon serves the new route", func() bool { return f.send(0, "/new/x", true) == 200 })
	if status := f.send(0, "/plan/x", true); status != 404 {
		t.Errorf("the removed route got status %d, want 404", status)
	}
	for n := range 100 {
		if status := f.send(0, "/new/x", true); status != 200 {
			t.Fatalf("request %d to the partitioned daemon got status %d although its peers hold tokens", n, status)
		}
	}
}

// Guards against overspending, double runs, refusals of requests that have run and refusals
// for other reasons than faults while daemons lose the store and are killed and restarted in a
// seeded random order, and against daemons that don't serve after the last fault.
func TestFaultsInSeries(t *testing.T) {
	const budget = 150
	rng := rand.New(rand.NewPCG(7, 11))
	f := newFleet(t, budget*(promptTokens+outputTokens))
	served := 0
	for step := range 40 {
		i := rng.IntN(3)
		switch rng.IntN(8) {
		case 0:
			f.stores[i].partitioned.Store(!f.stores[i].partitioned.Load())
		case 1:
			f.daemons[i].Close()
			f.start(i, false)
		case 2:
			f.store.SetFaults(memstore.Faults{LoseAnswers: rng.IntN(3), Outage: rng.IntN(3) == 0})
		}
		for n := range 8 {
			path := "/plan/x"
			if n == 7 {
				path = "/order/x"
			}
			if f.send(rng.IntN(3), path, n < 7) == 200 {
				served++
			}
		}
		f.checkRuns(step, budget*(promptTokens+outputTokens))
	}
	if served == 0 {
		t.Error("no request was served")
	}
	f.store.SetFaults(memstore.Faults{})
	for i := range f.daemons {
		f.stores[i].partitioned.Store(false)
		f.eventually("each daemon serves after the last fault", func() bool { return f.send(i, "/order/x", false) == 200 })
	}
	f.checkRuns(40, budget*(promptTokens+outputTokens))
}

// Guards against a failed start that does not name the listener that failed, or that keeps
// the others open, so that the next start fails as well.
func TestStartFails(t *testing.T) {
	listen := func(addr string) net.Listener {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	names := []string{"callers", "ready", "mesh", "metrics"}
	for taken, name := range names {
		var addrs []string
		for i := range names {
			l := listen("127.0.0.1:0")
			addrs = append(addrs, l.Addr().String())
			if i != taken {
				l.Close()
			}
		}
		s := settings.DefaultFront()
		s.Listen = settings.FrontListen{Callers: addrs[0], Ready: addrs[1], Mesh: addrs[2], Metrics: addrs[3]}
		if _, err := New(Options{Settings: s, Log: zerolog.Nop()}); err == nil || !strings.Contains(err.Error(), "listener "+name) {
			t.Errorf("got %v, want an error that names the %s listener", err, name)
		}
		for i, addr := range addrs {
			if i != taken {
				listen(addr)
			}
		}
	}
}
