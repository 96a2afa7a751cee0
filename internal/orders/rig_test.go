package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/order"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/rollout"
	"github.com/azurehatch/azurehatch/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const loadTime = 8 * time.Second

// rig is a store, engines and daemons in the virtual time of a synctest
// bubble. The engines are called in process, without sockets.
type rig struct {
	t       *testing.T
	store   *memstore.Store
	engines []*engine.Engine
	config  *config.Config
	daemons []*daemon

	mu sync.Mutex
	// loseAnswers is the number of the next orders whose answers are lost.
	loseAnswers int
	// unhealthy engines answer /health with 503.
	unhealthy map[string]bool
	// sent are the ids of the orders that reached engines, by engine.
	sent map[string][]string
}

// daemon is a daemon whose connections to the store and to the engines can be
// interrupted.
type daemon struct {
	r *rig
	m *Manager
	platform.Store

	mu          sync.Mutex
	unreachable bool
	// loseHeadAnswers is the number of the next writes of the configuration head
	// whose answers are lost; the head is unreadable for 5 s after each, until
	// headUnreadableUntil.
	loseHeadAnswers     int
	headUnreadableUntil time.Time
	// resumesUnreadable makes the resume numbers unreadable.
	resumesUnreadable bool
	// blockOrders, if not nil, blocks orders before their request body is read
	// until it is closed.
	blockOrders chan struct{}
}

func (d *daemon) setUnreachable(unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable = unreachable
}

func (d *daemon) isUnreachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable
}

func (d *daemon) Get(ctx context.Context, key string) (platform.Item, error) {
	d.mu.Lock()
	unreadable := key == rollout.HeadKey && time.Now().Before(d.headUnreadableUntil) ||
		d.resumesUnreadable && strings.HasPrefix(key, resumePrefix)
	d.mu.Unlock()
	if unreadable || d.isUnreachable() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return d.Store.Get(ctx, key)
}

func (d *daemon) CompareAndSwap(ctx context.Context, w platform.Write) (platform.Item, error) {
	if d.isUnreachable() {
		return platform.Item{}, platform.ErrUnavailable
	}
	item, err := d.Store.CompareAndSwap(ctx, w)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil && w.Key == rollout.HeadKey && d.loseHeadAnswers > 0 {
		d.loseHeadAnswers--
		d.headUnreadableUntil = time.Now().Add(5 * time.Second)
		return platform.Item{}, platform.ErrOutcomeUnknown
	}
	return item, err
}

func (d *daemon) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if d.isUnreachable() {
		return platform.ErrUnavailable
	}
	return d.Store.KeepAlive(ctx, id)
}

// RoundTrip implements http.RoundTripper.
func (d *daemon) RoundTrip(req *http.Request) (*http.Response, error) {
	r := d.r
	var index int
	if _, err := fmt.Sscanf(req.URL.Host, "127.0.0.1:%d", &index); err != nil {
		return nil, err
	}
	id := fmt.Sprintf("e%02d", index)
	w := httptest.NewRecorder()
	if req.Method == http.MethodGet {
		r.mu.Lock()
		unhealthy := r.unhealthy[id] && req.URL.Path == healthPath
		r.mu.Unlock()
		if unhealthy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return w.Result(), nil
		}
		r.engines[index].ServeHTTP(w, req)
		return w.Result(), nil
	}
	d.mu.Lock()
	blocked := d.blockOrders
	d.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	var o wireOrder
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		return nil, err
	}
	content, _ := json.Marshal(o)
	forwarded := httptest.NewRequest(http.MethodPost, ordersPath, strings.NewReader(string(content)))
	forwarded.Header.Set("Content-Type", "application/json")
	r.engines[index].ServeHTTP(w, forwarded)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = append(r.sent[id], o.ID)
	if r.loseAnswers > 0 {
		r.loseAnswers--
		return nil, errors.New("connection reset")
	}
	return w.Result(), nil
}

func newRig(t *testing.T, engines int, ignoresFencing bool) *rig {
	r := &rig{t: t, store: memstore.New(time.Now), unhealthy: make(map[string]bool), sent: make(map[string][]string)}
	r.config = config.New()
	r.config.Services["chat"] = config.Service{
		Kind: config.KindModel, Models: []string{"m"}, Version: "v2", IgnoresFencing: ignoresFencing,
	}
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		r.engines = append(r.engines, engine.New(engine.Options{
			ID: id, Models: []string{"m", "v1"}, OrderDuration: loadTime, RefuseStaleOrders: !ignoresFencing,
		}))
		r.config.Endpoints[id] = config.Endpoint{
			Service: "chat", Address: fmt.Sprintf("127.0.0.1:%d", i), Domain: "a",
		}
	}
	return r
}

func (r *rig) start(id string) *daemon {
	d := &daemon{r: r, Store: r.store}
	d.m = New(Options{
		Self: id, Store: d, Transport: d, Log: zerolog.Nop(),
		Ranked: func(string, int) []string { return []string{"d1", "d2", "d3"} },
	})
	d.m.SetConfig(r.config)
	r.daemons = append(r.daemons, d)
	return d
}

func (r *rig) close() {
	for _, d := range r.daemons {
		d.m.Close()
	}
	for _, e := range r.engines {
		e.Close()
	}
}

// waitFor advances the time until done returns true, at most for the limit.
func (r *rig) waitFor(what string, limit time.Duration, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(limit); !done(); {
		if time.Now().After(end) {
			r.t.Fatalf("not reached within %v: %s; %+v", limit, what, r.status())
		}
		time.Sleep(time.Second)
		synctest.Wait()
		r.checkInvariants()
	}
}

// countLoaded counts the engines that have the version.
func (r *rig) countLoaded(version string) int {
	n := 0
	for _, e := range r.engines {
		for _, m := range e.Load().Models {
			if m == version {
				n++
			}
		}
	}
	return n
}

// checkInvariants checks that no order id reaches an engine twice, and that at
// most max(1, a tenth of the engines) execute orders at the same time.
func (r *rig) checkInvariants() {
	r.t.Helper()
	working := 0
	for _, e := range r.engines {
		for _, o := range e.Orders() {
			if o.State == engine.OrderRunning {
				working++
			}
		}
	}
	if limit := max(1, len(r.engines)/10); working > limit {
		r.t.Fatalf("%d engines execute orders at the same time, want at most %d", working, limit)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, sent := range r.sent {
		seen := make(map[string]bool)
		for _, o := range sent {
			if seen[o] {
				r.t.Fatalf("order %s was sent to %s twice", o, id)
			}
			seen[o] = true
		}
	}
}

// checkRanOnce checks that each engine executed one order.
func (r *rig) checkRanOnce() {
	r.t.Helper()
	for i, e := range r.engines {
		ran := 0
		for _, o := range e.Orders() {
			if o.State != engine.OrderRefused {
				ran++
			}
		}
		if ran != 1 {
			r.t.Errorf("engine %d ran %d orders, want 1: %+v", i, ran, e.Orders())
		}
	}
}

func (r *rig) status() admin.ServiceOrders {
	r.t.Helper()
	list, err := r.daemons[len(r.daemons)-1].m.Status(context.Background(), "chat")
	if err != nil || len(list) != 1 {
		return admin.ServiceOrders{}
	}
	return list[0]
}

func (r *rig) record() *order.Record {
	rec, err := r.daemons[len(r.daemons)-1].m.readRecord(context.Background(), "chat")
	if err != nil {
		r.t.Fatal(err)
	}
	return rec
}

func (r *rig) head() rollout.Head {
	item, err := r.store.Get(context.Background(), rollout.HeadKey)
	if err != nil {
		return rollout.Head{}
	}
	h, err := rollout.DecodeHead(item.Value)
	if err != nil {
		r.t.Fatal(err)
	}
	return h
}

// inBubble runs a test in virtual time and checks that no goroutine remains.
func inBubble(t *testing.T, engines int, ignoresFencing bool, run func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, engines, ignoresFencing)
		defer r.close()
		run(r)
	})
}
