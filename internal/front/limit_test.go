package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// cappedEndpoint is an endpoint that names a limit of requests a second and records when requests
// arrived.
type cappedEndpoint struct {
	addr string

	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func (f *fleet) startCapped(limit string) *cappedEndpoint {
	e := &cappedEndpoint{limit: limit}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.arrivals = append(e.arrivals, time.Now())
		limit := e.limit
		e.mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		f.mu.Lock()
		f.runs[id]++
		f.mu.Unlock()
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Signature", "sig")
		if limit != "" {
			w.Header().Set("Server-Limit", limit)
		}
		_, _ = io.WriteString(w, "done")
	}))
	f.t.Cleanup(server.Close)
	e.addr = strings.TrimPrefix(server.URL, "http://")
	return e
}

func (e *cappedEndpoint) setLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// between returns the number of requests that arrived in a span.
func (e *cappedEndpoint) between(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// sendFor lets callers of all daemons send orders for a time, one after another at each daemon
// with a pause, and returns the statuses.
func (f *fleet) sendFor(d, gap time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	for i := range f.daemons {
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
				status := f.send(i, "/order/x", false)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return statuses
}

func cappedEntry(addr string) map[string]any {
	return map[string]any{"service": "desk", "address": addr, "zone": "z0", "slots": 6, "state": "ready"}
}

// Guards against an endpoint that gets more than it takes from all daemons, and against a limit without end.
func TestFleetKeepsToTheLimitOfAnEndpoint(t *testing.T) {
	f := newFleet(t, 1000)
	capped := f.startCapped("2")
	f.put("servers/i-2", cappedEntry(capped.addr))
	time.Sleep(500 * time.Millisecond)
	f.sendFor(time.Second, 20*time.Millisecond) // all daemons have been told
	const window, limit = 4 * time.Second, 2
	from := time.Now()
	f.sendFor(window, 20*time.Millisecond)
	got := capped.between(from, from.Add(window))
	if allowed := 3*limit*int(window/time.Second)/2 + 5; got > allowed {
		t.Errorf("%d requests in %v at a limit of %d a second, allowed are %d", got, window, limit, allowed)
	}
	if least := limit * int(window/time.Second) / 2; got < least {
		t.Errorf("%d requests in %v at a limit of %d a second: less than half of what the endpoint takes", got, window, limit)
	}
	capped.setLimit("")
	f.sendFor(2*time.Second, 20*time.Millisecond) // all daemons have been told of the end
	from = time.Now()
	f.sendFor(time.Second, 20*time.Millisecond)
	if got := capped.between(from, from.Add(time.Second)); got < 10*limit {
		t.Errorf("%d requests in a second after the limit of %d had ended, want many more", got, limit)
	}
}
