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
// bubble. The engines are called in the process, without sockets.
type rig struct {
	t       *testing.T
	store   *memstore.Store
	engines []*engine.Engine
	config  *config.Config
	daemons []*node

	mu sync.Mutex
	// loseAnswers is the number of next orders whose answer is lost.
	loseAnswers int
	// sick engines answer /health with 503.
	sick map[string]bool
	// sent are the order ids that reached engines, by engine.
	sent map[string][]string
}

// node is one daemon. Its store and its way to the engines can be cut.
type node struct {
	r *rig
	m *Manager
	platform.Store

	mu   sync.Mutex
	down bool
	// loseHead is the number of next writes of the configuration head whose
	// answer is lost; the head can't be read for 5 s after each, until headDown.
	loseHead int
	headDown time.Time
	// resumeDown makes the numbers of resumptions unreadable.
	resumeDown bool
	// hold delays the next orders between the start of the request and the
	// reading of its body.
	hold chan struct{}
}

func (n *node) cut(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
}

func (n *node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

func (n *node) Get(ctx context.Context, key string) (platform.Item, error) {
	n.mu.Lock()
	unreadable := key == rollout.HeadKey && time.Now().Before(n.headDown) || n.resumeDown && strings.HasPrefix(key, resumePrefix)
	n.mu.Unlock()
	if unreadable || n.isDown() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return n.Store.Get(ctx, key)
}

func (n *node) CompareAndSwap(ctx context.Context, w platform.Write) (platform.Item, error) {
	if n.isDown() {
		return platform.Item{}, platform.ErrUnavailable
	}
	item, err := n.Store.CompareAndSwap(ctx, w)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil && w.Key == rollout.HeadKey && n.loseHead > 0 {
		n.loseHead--
		n.headDown = time.Now().Add(5 * time.Second)
		return platform.Item{}, platform.ErrOutcomeUnknown
	}
	return item, err
}

func (n *node) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if n.isDown() {
		return platform.ErrUnavailable
	}
	return n.Store.KeepAlive(ctx, id)
}

// RoundTrip implements http.RoundTripper.
func (n *node) RoundTrip(req *http.Request) (*http.Response, error) {
	r := n.r
	var index int
	if _, err := fmt.Sscanf(req.URL.Host, "127.0.0.1:%d", &index); err != nil {
		return nil, err
	}
	id := fmt.Sprintf("e%02d", index)
	w := httptest.NewRecorder()
	if req.Method == http.MethodGet {
		r.mu.Lock()
		sick := r.sick[id] && req.URL.Path == healthPath
		r.mu.Unlock()
		if sick {
			w.WriteHeader(http.StatusServiceUnavailable)
			return w.Result(), nil
		}
		r.engines[index].ServeHTTP(w, req)
		return w.Result(), nil
	}
	n.mu.Lock()
	hold := n.hold
	n.mu.Unlock()
	if hold != nil {
		<-hold
	}
	var o wireOrder
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		return nil, err
	}
	content, _ := json.Marshal(o)
	again := httptest.NewRequest(http.MethodPost, ordersPath, strings.NewReader(string(content)))
	again.Header.Set("Content-Type", "application/json")
	r.engines[index].ServeHTTP(w, again)
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
	r := &rig{t: t, store: memstore.New(time.Now), sick: make(map[string]bool), sent: make(map[string][]string)}
	r.config = config.New()
	r.config.Services["chat"] = config.Service{Kind: config.KindModel, Models: []string{"m"}, Version: "v2", IgnoresFencing: ignoresFencing}
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		r.engines = append(r.engines, engine.New(engine.Options{ID: id, Models: []string{"m", "v1"}, OrderDuration: loadTime, RefuseStaleOrders: !ignoresFencing}))
		r.config.Endpoints[id] = config.Endpoint{Service: "chat", Address: fmt.Sprintf("127.0.0.1:%d", i), Domain: "a"}
	}
	return r
}

func (r *rig) start(id string) *node {
	n := &node{r: r, Store: r.store}
	n.m = New(Options{Self: id, Store: n, Transport: n, Log: zerolog.Nop(), Ranked: func(string, int) []string { return []string{"d1", "d2", "d3"} }})
	n.m.SetConfig(r.config)
	r.daemons = append(r.daemons, n)
	return n
}

func (r *rig) close() {
	for _, n := range r.daemons {
		n.m.Close()
	}
	for _, e := range r.engines {
		e.Close()
	}
}

// until advances the time until done, at most for the limit.
func (r *rig) until(what string, limit time.Duration, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(limit); !done(); {
		if time.Now().After(end) {
			r.t.Fatalf("not reached in %v: %s; %+v", limit, what, r.status())
		}
		time.Sleep(time.Second)
		synctest.Wait()
		r.invariants()
	}
}

// loaded counts the engines that have the version.
func (r *rig) loaded(version string) int {
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

// invariants: no order id reaches an engine twice, and at most a tenth of the
// engines, at least one, works on orders.
func (r *rig) invariants() {
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
		r.t.Fatalf("%d engines work on orders, at most %d may", working, limit)
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

// once checks that each engine ran one order.
func (r *rig) once() {
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
	rec, err := r.daemons[len(r.daemons)-1].m.record(context.Background(), "chat")
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

// inBubble runs a test in virtual time and checks that no goroutine is left.
func inBubble(t *testing.T, engines int, ignoresFencing bool, run func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, engines, ignoresFencing)
		defer r.close()
		run(r)
	})
}
