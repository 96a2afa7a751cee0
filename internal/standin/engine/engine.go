// Package engine emulates a language model engine with continuous batching. It
// serves the OpenAI-compatible chat API, executes orders, publishes prefix cache
// events, reports its load with a lag and injects faults that are set over HTTP.
//
// A token is one whitespace-separated word, in prompts and in answers.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/azurehatch/azurehatch/internal/standin/delayed"
)

// Defaults of Options.
const (
	DefaultSlots       = 32
	DefaultAnswerWords = 32
	DefaultCacheBlocks = 4096
	DefaultModel       = "standin"
	DefaultRole        = "mixed"
	DefaultUsageLimit  = 100_000
)

// Options set the emulated engine's capacity and timing. A duration of zero
// means no delay.
type Options struct {
	// ID and Domain are the instance id and the failure domain in the load report.
	ID, Domain string
	// Models are the initially loaded models; empty means DefaultModel.
	Models []string
	// Role is the initial role; empty means DefaultRole.
	Role string
	// Slots is the maximum batch size; 0 means DefaultSlots.
	Slots int
	// MaxQueue is the maximum number of queued requests, above which requests
	// are refused with status 429; 0 means no limit.
	MaxQueue int
	// PrefillTokensPerSecond is the rate, shared by all requests, at which
	// uncached prompt tokens are processed; 0 means that prefill takes no time.
	PrefillTokensPerSecond float64
	// InterToken is the time between two tokens in a batch of one.
	InterToken time.Duration
	// InterTokenPerSlot is added to InterToken for each further request in the batch.
	InterTokenPerSlot time.Duration
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// ResumeGrace is how long a resumable generation is kept without a connection.
	ResumeGrace time.Duration
	// OrderDuration is the execution time of an order.
	OrderDuration time.Duration
	// RefuseStaleOrders refuses orders whose fencing token is lower than the
	// highest one received.
	RefuseStaleOrders bool
	// AnswerWords is the answer length without "words:NN" in the prompt; 0 means
	// DefaultAnswerWords.
	AnswerWords int
	// CacheBlocks is the maximum number of blocks in the prefix cache; 0 means
	// DefaultCacheBlocks.
	CacheBlocks int
	// CacheEventLag is the delay before a cache event is published.
	CacheEventLag time.Duration
	// CacheEventGap n drops every n-th cache event; 0 drops none.
	CacheEventGap int
	// UsageLimit is the maximum number of request ids whose usage is kept; 0
	// means DefaultUsageLimit.
	UsageLimit int
}

func (o *Options) setDefaults() {
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.AnswerWords, DefaultAnswerWords)
	setDefault(&o.CacheBlocks, DefaultCacheBlocks)
	setDefault(&o.UsageLimit, DefaultUsageLimit)
	setDefault(&o.Role, DefaultRole)
	if len(o.Models) == 0 {
		o.Models = []string{DefaultModel}
	}
}

func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

// Engine is an emulated engine. It is an http.Handler.
type Engine struct {
	opts   Options
	router *echo.Echo
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	faults    Faults
	downUntil time.Time // end of the downtime after a crash
	crashes   int
	models    []string
	role      string

	running       int // generations that occupy a slot
	queue         queue
	lastArrival   int64
	prefillFreeAt time.Time                // end of the last scheduled prefill
	active        map[*generation]struct{} // queued and running
	resumable     map[string]*generation   // by request id

	cache          *prefixCache
	loadHistory    delayed.History[loadSample]
	usage          usageLog
	orders         []*Order
	highestFencing int64 // highest fencing token received
}

// New returns a running engine. Close stops it.
func New(opts Options) *Engine {
	opts.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		opts:      opts,
		ctx:       ctx,
		cancel:    stop,
		faults:    Faults{IgnoreFencing: !opts.RefuseStaleOrders},
		models:    append([]string(nil), opts.Models...),
		role:      opts.Role,
		active:    make(map[*generation]struct{}),
		resumable: make(map[string]*generation),
		cache:     newPrefixCache(opts.CacheBlocks, opts.CacheEventGap),
		usage:     newUsageLog(opts.UsageLimit),
	}
	e.router = e.routes()
	return e
}

func (e *Engine) routes() *echo.Echo {
	mux := echo.New()
	mux.HideBanner = true
	api := mux.Group("", e.applyConnectionFaults)
	api.POST("/v1/chat/completions", e.chat)
	api.GET("/v1/models", e.listModels)
	api.GET("/health", e.health)
	api.GET("/load", e.serveLoad)
	api.POST("/admin/orders", e.placeOrder)
	mux.GET("/admin/orders", e.listOrders)
	mux.GET("/admin/usage", e.serveUsage)
	mux.GET("/admin/cache-events", e.serveCacheEvents)
	mux.GET("/admin/faults", e.getFaults)
	mux.PUT("/admin/faults", e.putFaults)
	mux.DELETE("/admin/faults", e.resetFaults)
	return mux
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close aborts all generations and orders, waits for their goroutines and closes the
// connections of the requests in progress.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	for g := range e.active {
		e.abortGeneration(g)
	}
	e.mu.Unlock()
	e.cancel()
	e.wg.Wait()
}

func (e *Engine) health(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string]string{"status": "ok", "id": e.opts.ID})
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Engine) listModels(c echo.Context) error {
	e.mu.Lock()
	entries := make([]modelEntry, 0, len(e.models))
	for _, m := range e.models {
		entries = append(entries, modelEntry{ID: m, Object: "model", OwnedBy: "azurehatch"})
	}
	e.mu.Unlock()
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": entries})
}
