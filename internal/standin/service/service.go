// Package service emulates a plain HTTP service. It echoes each request, counts
// the executions of requests by idempotency key, reports its load with a lag and
// injects faults that are set over HTTP.
package service

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/azurehatch/azurehatch/internal/standin/delayed"
)

// DefaultSlots is the default maximum number of requests that run concurrently.
const DefaultSlots = 64

// maxBodyBytes limits the size of a request's body.
const maxBodyBytes = 16 << 20

// Options set the emulated service's capacity and timing.
type Options struct {
	// ID and Domain identify the instance in responses and load reports.
	ID, Domain string
	// Latency is the execution time of a request.
	Latency time.Duration
	// Slots is the maximum number of requests that run concurrently; 0 means
	// DefaultSlots.
	Slots int
	// ReportLag is the age of the load report.
	ReportLag time.Duration
}

// Service is an emulated service. It is an http.Handler.
type Service struct {
	opts   Options
	router *echo.Echo
	ctx    context.Context
	stop   context.CancelFunc
	slots  chan struct{}

	mu             sync.Mutex
	faults         Faults
	downUntil      time.Time          // end of the downtime after a crash
	incarnationCtx context.Context    // cancelled by a crash
	endIncarnation context.CancelFunc // cancels incarnationCtx
	crashes        int
	running        int
	queued         int
	loadHistory    delayed.History[Load]
	runsByKey      map[string]Runs
	totalRuns      Runs
}

// New returns a running service. Close stops it.
func New(opts Options) *Service {
	if opts.Slots <= 0 {
		opts.Slots = DefaultSlots
	}
	s := &Service{opts: opts, slots: make(chan struct{}, opts.Slots), runsByKey: make(map[string]Runs)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.incarnationCtx, s.endIncarnation = context.WithCancel(s.ctx)
	s.router = echo.New()
	s.router.HideBanner = true
	s.router.GET("/admin/runs", s.serveRuns)
	s.router.GET("/admin/faults", s.getFaults)
	s.router.PUT("/admin/faults", s.putFaults)
	s.router.DELETE("/admin/faults", s.resetFaults)
	s.router.GET("/health", s.serveHealth, s.applyConnectionFaults)
	s.router.GET("/load", s.serveLoad, s.applyConnectionFaults)
	s.router.Any("/*", s.serveEcho, s.applyConnectionFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Close aborts the requests in progress and closes their connections.
func (s *Service) Close() { s.stop() }

// Runs counts executions of requests.
type Runs struct {
	// Started counts the requests whose execution started.
	Started int `json:"started"`
	// Completed counts the executions that took effect, whether or not the response
	// reached the caller.
	Completed int `json:"completed"`
}

// Runs returns the executions by idempotency key and in total.
func (s *Service) Runs() (byKey map[string]Runs, total Runs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byKey = make(map[string]Runs, len(s.runsByKey))
	for k, r := range s.runsByKey {
		byKey[k] = r
	}
	return byKey, s.totalRuns
}

func (s *Service) serveRuns(c echo.Context) error {
	byKey, total := s.Runs()
	return c.JSON(http.StatusOK, map[string]any{"total": total, "runs": byKey})
}

// Load is the service's load report.
type Load struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	// At is the time of the reported state.
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	Slots   int       `json:"slots"`
}

// recordLoad records the current load. The caller holds s.mu.
func (s *Service) recordLoad() {
	s.loadHistory.Put(time.Now(), Load{Running: s.running, Queued: s.queued}, s.reportLag()+time.Second)
}

func (s *Service) reportLag() time.Duration {
	if s.faults.ReportLagMillis > 0 {
		return time.Duration(s.faults.ReportLagMillis) * time.Millisecond
	}
	return s.opts.ReportLag
}

func (s *Service) serveLoad(c echo.Context) error {
	s.mu.Lock()
	at := time.Now().Add(-s.reportLag())
	l := s.loadHistory.At(at)
	s.mu.Unlock()
	l.ID, l.Domain, l.At, l.Slots = s.opts.ID, s.opts.Domain, at, s.opts.Slots
	return c.JSON(http.StatusOK, l)
}

func (s *Service) serveHealth(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string]string{"status": "ok", "id": s.opts.ID})
}

// Echo is the service's response: a copy of the request.
type Echo struct {
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Query    string `json:"query,omitempty"`
	Body     string `json:"body"`
}

// runKey returns the key under which the executions of a request are counted.
func runKey(h http.Header) string {
	if key := h.Get("Idempotency-Key"); key != "" {
		return key
	}
	return h.Get("X-Request-ID")
}
