package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fragileEndpoint crashes as it begins to answer a request with the part "dead" in its
// prompt, and is back after downTime.
type fragileEndpoint struct {
	addr     string
	downTime time.Duration
	crashes  *atomic.Int64

	mu     sync.Mutex
	server *http.Server
}

func (e *fragileEndpoint) start(t *testing.T) {
	t.Helper()
	e.serve(t)
	t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.server.Close()
		e.server = nil
	})
}

func (e *fragileEndpoint) serve(t *testing.T) {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		t.Error(err)
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.answer(t, w, r) })}
	e.mu.Lock()
	e.addr, e.server = l.Addr().String(), server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

func (e *fragileEndpoint) answer(t *testing.T, w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.Header.Get("X-Prompt-Prefix"), "dead:") {
		e.crashes.Add(1)
		e.mu.Lock()
		crashed := e.server
		e.mu.Unlock()
		if crashed == nil {
			return
		}
		crashed.Close()
		time.AfterFunc(e.downTime, func() {
			e.mu.Lock()
			ended := e.server == nil
			e.mu.Unlock()
			if !ended {
				e.serve(t)
			}
		})
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "sig")
	_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// Guards against requests of one kind, no two alike, that crash one endpoint after the other
// at whichever daemon they arrive, and against refusing sound requests that share their
// other parts.
func TestDeadlyPartReachesFewEndpoints(t *testing.T) {
	f := newFleet(t, 100_000_000)
	var crashes atomic.Int64
	for i := range 8 {
		e := &fragileEndpoint{addr: "127.0.0.1:0", downTime: 700 * time.Millisecond, crashes: &crashes}
		e.start(t)
		f.put(fmt.Sprint("servers/f-", i), map[string]any{
			"service": "llm", "address": e.addr, "zone": "z0", "slots": 64, "state": "ready",
		})
	}
	f.remove("servers/i-1")
	f.eventually("all daemons know the endpoints", func() bool {
		for _, d := range f.daemons {
			if d.pools.available("llm") != 8 {
				return false
			}
		}
		return true
	})
	served := 0
	const rounds = 25
	for i := range rounds {
		f.sendPrompt(i%3, fmt.Sprintf("sys:40,s%d:20,dead:10,own%d:30", i%4, i))
		if f.sendPrompt((i+1)%3, fmt.Sprintf("sys:40,s%d:20,own%d:40", i%4, i)) == http.StatusOK {
			served++
		}
		time.Sleep(120 * time.Millisecond)
	}
	// Five crashes tell the part, and three more requests may be on their way.
	if n := crashes.Load(); n > 8 {
		t.Errorf("%d requests with the deadly part reached endpoints, want at most 8 of %d", n, rounds)
	}
	if served < rounds-2 {
		t.Errorf("%d of %d sound requests were served", served, rounds)
	}
}

// available returns the number of endpoints of a service.
func (p *pools) available(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).Available()
}
