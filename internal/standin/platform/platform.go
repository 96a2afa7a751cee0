// Package platform is a stand-in for the users' platform. It serves a memstore
// over the part of etcd v3's HTTP/JSON API that package etcdhttp uses, provides
// the instance list with a lag as JSON documents under platform/instances/, and
// injects faults that are set over HTTP.
//
// It stores nothing on disk. The only supported transactions compare the
// modification revision of one key and then write or delete this key.
package platform

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// expiryInterval is the interval between checks for expired leases, so that
// watchers are notified of an expiry when no call arrives.
const expiryInterval = 100 * time.Millisecond

// Options configure a Server.
type Options struct {
	// Now is the clock for leases and for the lag of the instance list; nil means
	// time.Now.
	Now func() time.Time
}

// Faults configures the injected faults of the store and of its connections.
type Faults struct {
	memstore.Faults
	// DropCalls closes the connection of each call before the call takes effect.
	DropCalls bool `json:"drop_calls"`
}

// Server is the stand-in platform. It is an http.Handler.
type Server struct {
	// Store holds the keys, leases and instances; tests may use it directly.
	Store  *memstore.Store
	router *echo.Echo
	stop   context.CancelFunc
	done   chan struct{}

	mu        sync.Mutex
	dropCalls bool
}

// New returns a running server. Close stops it.
func New(opts Options) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{Store: memstore.New(opts.Now), router: echo.New(), stop: stop, done: make(chan struct{})}
	s.router.HideBanner = true
	s.router.POST(etcdjson.PathRange, s.serveRange, s.dropCallsMiddleware)
	s.router.POST(etcdjson.PathTxn, s.serveTxn, s.dropCallsMiddleware)
	s.router.POST(etcdjson.PathLeaseGrant, s.grantLease, s.dropCallsMiddleware)
	s.router.POST(etcdjson.PathLeaseKeepAlive, s.keepAliveLease, s.dropCallsMiddleware)
	s.router.POST(etcdjson.PathLeaseRevoke, s.revokeLease, s.dropCallsMiddleware)
	s.router.POST(etcdjson.PathWatch, s.serveWatch, s.dropCallsMiddleware)
	s.router.GET("/health", s.getHealth, s.dropCallsMiddleware)
	s.router.GET("/admin/faults", s.getFaults)
	s.router.PUT("/admin/faults", s.putFaults)
	s.router.GET("/admin/calls", s.getCalls)
	s.router.POST("/admin/instances", s.putInstance)
	s.router.DELETE("/admin/instances/:id", s.deleteInstance)
	s.router.POST("/admin/leases/:id/expire", s.expireLease)
	go s.expireLeases(ctx)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Close stops the expiry of leases and ends all watches. Further calls to the store
// fail.
func (s *Server) Close() {
	s.stop()
	<-s.done
	s.Store.SetFaults(memstore.Faults{Outage: true})
}

func (s *Server) expireLeases(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Store.ExpireDueLeases()
		case <-ctx.Done():
			return
		}
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.dropCalls = f.DropCalls
	s.mu.Unlock()
	s.Store.SetFaults(f.Faults)
}

// Faults returns the faults that are currently injected.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Faults{Faults: s.Store.Faults(), DropCalls: s.dropCalls}
}

func (s *Server) dropCallsMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.Faults().DropCalls {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

func (s *Server) getHealth(c echo.Context) error {
	if s.Store.Faults().Outage {
		return c.JSON(http.StatusServiceUnavailable, map[string]string{"health": "false"})
	}
	return c.JSON(http.StatusOK, map[string]string{"health": "true"})
}

func (s *Server) getFaults(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) }

func (s *Server) putFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

func (s *Server) getCalls(c echo.Context) error {
	calls := s.Store.Calls()
	return c.JSON(http.StatusOK, map[string]int64{
		"reads": calls.Reads, "writes": calls.Writes, "watches": calls.Watches, "conflicts": calls.Conflicts,
	})
}

func (s *Server) putInstance(c echo.Context) error {
	var in platform.Instance
	if err := c.Bind(&in); err != nil {
		return err
	}
	if in.ID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "the instance has no id")
	}
	if in.State == "" {
		in.State = platform.InstanceLive
	}
	s.Store.SetInstance(in)
	return c.JSON(http.StatusOK, in)
}

func (s *Server) deleteInstance(c echo.Context) error {
	s.Store.RemoveInstance(c.Param("id"))
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) expireLease(c echo.Context) error {
	id, err := strconv.ParseInt(c.Param("id"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the lease id is not a number")
	}
	s.Store.ExpireLease(platform.LeaseID(id))
	return c.NoContent(http.StatusNoContent)
}

// instancePrefix is the key prefix under which etcdhttp reads the instance list by
// default.
const instancePrefix = etcdhttp.DefaultInstancePrefix
