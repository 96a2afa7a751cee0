package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/settings"
	"github.com/azurehatch/azurehatch/internal/unit"
	wire "github.com/azurehatch/azurehatch/platform"
	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// partitionedStore is a daemon's access to the store; it fails while partitioned is
// true.
type partitionedStore struct {
	*memstore.Store
	partitioned atomic.Bool
}

func (s *partitionedStore) CompareAndSwapAll(ctx context.Context, w []platform.Write) (platform.Revision, error) {
	if s.partitioned.Load() {
		return 0, platform.ErrUnavailable
	}
	return s.Store.CompareAndSwapAll(ctx, w)
}

func (s *partitionedStore) CompareAndSwap(ctx context.Context, w platform.Write) (platform.Item, error) {
	if s.partitioned.Load() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, w)
}

func (s *partitionedStore) Get(ctx context.Context, key string) (platform.Item, error) {
	if s.partitioned.Load() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *partitionedStore) Range(ctx context.Context, prefix string) ([]platform.Item, platform.Revision, error) {
	if s.partitioned.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.Range(ctx, prefix)
}

func (s *partitionedStore) Probe(ctx context.Context) error {
	if s.partitioned.Load() {
		return platform.ErrUnavailable
	}
	return s.Store.Probe(ctx)
}

func (s *partitionedStore) Poll(
	ctx context.Context, prefix string, after platform.Revision, wait time.Duration,
) (platform.Changes, error) {
	if s.partitioned.Load() {
		return platform.Changes{}, platform.ErrUnavailable
	}
	changes, err := s.Store.Poll(ctx, prefix, after, wait)
	if s.partitioned.Load() { // a response in transit is lost
		return platform.Changes{}, platform.ErrUnavailable
	}
	return changes, err
}

// fleet is three daemons that share a store, with one engine and one service.
type fleet struct {
	t       *testing.T
	store   *memstore.Store
	daemons []*Daemon
	stores  []*partitionedStore
	// mu guards runs and statuses, the runs of each request and the status that its caller
	// got, and used, the tokens used by all runs.
	mu       sync.Mutex
	runs     map[string]int
	statuses map[string]int
	used     int64
	lastID   atomic.Int64
}

const (
	promptTokens = 100
	outputTokens = 12
)

var testWire = Wire{
	Codec: wire.Codec{}, DecodeConfig: wire.DecodeConfig, DecodeEndpoint: wire.DecodeEndpoint,
	ConfigPrefix: wire.ConfigPrefix, ConfigKey: wire.ConfigKey, EndpointPrefix: wire.EndpointPrefix,
	EvacuationPrefix: wire.EvacuationPrefix, ReadyPath: wire.ReadyPath,
}

func newFleet(t *testing.T, prepaid int64) *fleet {
	t.Helper()
	f := &fleet{t: t, store: memstore.New(nil), runs: make(map[string]int), statuses: make(map[string]int)}
	f.put("servers/i-1", map[string]any{
		"service": "llm", "address": f.endpoint(), "zone": "z0", "slots": 64, "state": "ready",
	})
	f.put("servers/i-2", map[string]any{
		"service": "desk", "address": f.endpoint(), "zone": "z0", "slots": 6, "state": "ready",
	})
	f.put("servers/bad", "not an endpoint")
	f.configure(1, prepaid, "/plan/")
	for i := range 3 {
		f.stores = append(f.stores, &partitionedStore{Store: f.store})
		f.daemons = append(f.daemons, nil)
		f.start(i, true)
	}
	t.Cleanup(func() {
		for _, d := range f.daemons {
			d.Close()
		}
	})
	f.eventually("all daemons are ready", func() bool {
		for _, d := range f.daemons {
			if !d.Ready() || d.mesh.Count() != len(f.daemons) {
				return false
			}
		}
		return true
	})
	return f
}

// endpoint starts an endpoint that responds with two events of six tokens each, and
// returns its address.
func (f *fleet) endpoint() string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		f.mu.Lock()
		f.runs[id]++
		if r.Header.Get("X-Token-Count") != "" {
			f.used += promptTokens + outputTokens
		}
		f.mu.Unlock()
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Signature", "sig")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	}))
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *fleet) put(key string, value any) {
	operator := platformtest.Store{Store: f.store}
	if _, err := operator.Put(f.t.Context(), key, value); err != nil {
		f.t.Fatal(err)
	}
}

// remove removes a key from the store.
func (f *fleet) remove(key string) {
	item, err := f.store.Get(f.t.Context(), key)
	if err == nil {
		err = f.store.Delete(f.t.Context(), key, item.Revision)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) configure(version int, prepaid int64, prefix string) {
	f.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "plan", "host": "h", "prefix": prefix, "route_type": "streaming", "timeout_ms": 3000,
				"target_latency_ms": 500, "max_attempts": 1, "service": "llm",
			},
			{
				"name": "order", "host": "h", "prefix": "/order/", "route_type": "unsafe", "timeout_ms": 3000,
				"target_latency_ms": 100, "max_attempts": 1, "service": "desk",
			},
		},
		"services": []map[string]any{
			{"name": "llm", "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 100000, "stride": 6}}, {"name": "desk"},
		},
		"tenants": []map[string]any{{"name": "t", "api_keys": []string{"k"}, "prepaid": prepaid}},
	})
}

func (f *fleet) start(i int, first bool) {
	f.t.Helper()
	s := settings.DefaultFront()
	s.Instance = settings.FrontInstance{Name: fmt.Sprintf("d%d", i), FailureDomain: fmt.Sprintf("z%d", i), FirstStart: first}
	s.Instance.Regions = map[string]string{"z0": "north", "z1": "south"}
	mesh := "127.0.0.1:0"
	if f.daemons[i] != nil {
		mesh = f.daemons[i].meshListener.Addr().String()
	}
	s.Listen = settings.FrontListen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Mesh: mesh}
	for _, d := range f.daemons {
		if d != nil {
			s.Listen.Seeds = append(s.Listen.Seeds, d.meshListener.Addr().String())
		}
	}
	s.Bounds.Grace = unit.Seconds(8)
	d, err := New(Options{
		Settings: s, Log: zerolog.Nop(), Wire: testWire,
		Store: func(tally.Scope, func(net.Conn) net.Conn) Store { return f.stores[i] },
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.daemons[i] = d
}

func (f *fleet) eventually(condition string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("condition not met within 5 s: %s", condition)
}

// sendPrompt sends a request with the given parts of its prompt and returns its status, as
// send does.
func (f *fleet) sendPrompt(i int, parts string) int {
	return f.sendWith(i, "/plan/x", http.Header{
		"X-Token-Count": {fmt.Sprintf("%d,%d", promptTokens, outputTokens)}, "X-Prompt-Prefix": {parts},
	})
}

// send sends one request and returns its status; 0 if there was no complete
// response.
func (f *fleet) send(i int, path string, sized bool) int {
	headers := http.Header{}
	if sized {
		headers.Set("X-Token-Count", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	}
	return f.sendWith(i, path, headers)
}

func (f *fleet) sendWith(i int, path string, headers http.Header) int {
	req, err := http.NewRequest("POST", "http://"+f.daemons[i].CallersAddr()+path, strings.NewReader("x"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host, req.Header = "h", headers
	req.Header.Set("Authorization", "Bearer k")
	req.Header.Set("X-Request-Id", fmt.Sprintf("r%d", f.lastID.Add(1)))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[req.Header.Get("X-Request-Id")] = resp.StatusCode
	return resp.StatusCode
}

// checkRuns checks what the endpoints ran against the budget and what callers were told.
func (f *fleet) checkRuns(step int, prepaid int64) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.used > prepaid {
		f.t.Fatalf("step %d: endpoints used %d tokens of a budget of %d", step, f.used, prepaid)
	}
	for id, status := range f.statuses {
		refused := status == 402 || status == 408 || status == 429 || status == 503
		switch runs := f.runs[id]; {
		case runs > 1:
			f.t.Fatalf("step %d: request %s ran %d times", step, id, runs)
		case refused && runs > 0:
			f.t.Fatalf("step %d: request %s was refused with status %d and has run", step, id, status)
		case status >= 400 && status < 500 && !refused:
			f.t.Fatalf("step %d: request %s got status %d, which no configuration asks for", step, id, status)
		}
	}
}
