// Package front assembles an entry daemon for the users' platform: it follows
// the store's configuration and list of endpoints, shares them with the other
// daemons, and serves callers through package relay.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/discovery"
	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/escrow/bank"
	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/metrics"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/relay"
	"github.com/azurehatch/azurehatch/internal/retry"
	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/internal/settings"
)

// Times of a daemon's life.
const (
	// tickInterval is the period of housekeeping.
	tickInterval = 200 * time.Millisecond
	// announceFor is the time between the end of readiness and the refusal of
	// new requests: the balancer probes each second and needs two misses.
	announceFor = 3 * time.Second
	// stopPoll is the period in which a stop looks for open requests.
	stopPoll = 50 * time.Millisecond
	// returnTimeout bounds the return of tokens to the store at a stop.
	returnTimeout = 500 * time.Millisecond
	// exitMargin is the part of the grace time left for the end itself.
	exitMargin = 700 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections, generously: the
	// configuration's limits are shorter for callers that keep them.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeadBytes  = 64 << 10
)

// Store is what the daemon needs of the metadata store.
type Store interface {
	platform.Records
	platform.ChangeLog
}

// Wire is what the daemon needs to know of the platform's wire.
type Wire struct {
	Codec          relay.Codec
	DecodeConfig   func(platform.Item) (routing.Config, error)
	DecodeEndpoint discovery.Decode
	// ConfigPrefix holds ConfigKey; EndpointPrefix holds the endpoints.
	ConfigPrefix, ConfigKey, EndpointPrefix string
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
}

// Options configure a Daemon.
type Options struct {
	Settings settings.Front
	Wire     Wire
	// Store returns the client of the store, which counts its calls in scope.
	Store func(scope tally.Scope) Store
	Log   zerolog.Logger
}

// Daemon is one running entry daemon.
type Daemon struct {
	o     Options
	s     settings.Front
	id    string
	log   zerolog.Logger
	store Store
	scope tally.Scope

	closeScope  func()
	metricsHTTP http.Handler

	configFeed, endpointFeed *feed
	config                   *configuration
	endpoints                *endpoints
	pools                    *pools
	retries                  *retries
	crashes                  *crashes
	bank                     *bank.Bank
	mesh                     *mesh.Mesh
	entry                    *relay.Entry

	arrivals                         arrivals
	callers, ready, meshing, metrics net.Listener
	callersHTTP, readyHTTP           *http.Server
	metricsServer                    *http.Server

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	stopping atomic.Bool
	// grace is the time from SIGTERM to SIGKILL, in ns.
	grace atomic.Int64
}

// New opens the listeners and starts the daemon.
func New(o Options) (*Daemon, error) {
	d := &Daemon{o: o, s: o.Settings, id: escrow.HolderID(o.Settings.Instance.Name, uuid.NewString()[:8])}
	d.log = o.Log.With().Str("instance", d.s.Instance.Name).Str("domain", d.s.Instance.FailureDomain).Logger()
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.assemble()
	d.start()
	d.log.Info().Str("id", d.id).Str("callers", d.callers.Addr().String()).Str("mesh", d.meshing.Addr().String()).
		Str("store", d.s.Store.Address).Bool("first_start", d.s.Instance.FirstStart).Msg("daemon started")
	return d, nil
}

func (d *Daemon) listen() (err error) {
	for _, l := range []struct {
		name, addr string
		to         *net.Listener
	}{
		{"callers", d.s.Listen.Callers, &d.callers}, {"ready", d.s.Listen.Ready, &d.ready},
		{"mesh", d.s.Listen.Mesh, &d.meshing}, {"metrics", d.s.Listen.Metrics, &d.metrics},
	} {
		if l.addr == "" {
			continue
		}
		if *l.to, err = net.Listen("tcp", l.addr); err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listener %s", l.name)
		}
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callers, d.ready, d.meshing, d.metrics} {
		if l != nil {
			l.Close()
		}
	}
}

func (d *Daemon) assemble() {
	d.scope, d.closeScope, d.metricsHTTP = metrics.NewScope(d.s.Instance.Name, d.s.Instance.FailureDomain)
	d.store = d.o.Store(d.scope)
	d.pools = newPools(d.s.Instance.FailureDomain, d.log)
	d.crashes = newCrashes(d.log)
	d.mesh = mesh.New(mesh.Options{
		ID: d.id, Addr: d.meshing.Addr().String(), Domain: d.s.Instance.FailureDomain, State: meshState{d}, Log: d.log,
	})
	d.bank = bank.New(bank.Options{Holder: d.id, Store: d.store, Peers: d.mesh, Log: d.log, Scope: d.scope})
	d.grace.Store(int64(d.s.Bounds.Grace.Duration))
	d.retries = newRetries(retryOptions(d.s.Bounds), d.s.Instance.FirstStart, d.mesh.Count, d.log)
	d.config = &configuration{wire: d.o.Wire, log: d.log, installed: d.install}
	d.endpoints = newEndpoints(d.o.Wire.DecodeEndpoint, d.pools, d.log)
	d.configFeed = newFeed(d.o.Wire.ConfigPrefix, d.store, d.config, d.mesh, d.bank.StoreHeard, d.log)
	d.endpointFeed = newFeed(d.o.Wire.EndpointPrefix, d.store, d.endpoints, d.mesh, d.bank.StoreHeard, d.log)
	d.entry = relay.New(relay.Options{
		Codec: d.o.Wire.Codec, Bank: d.bank, Pools: d.pools, Retries: d.retries, Crashes: d.crashes,
		Table: d.config.table, Log: d.log, Scope: d.scope,
	})
}

// install puts a new configuration to use.
func (d *Daemon) install(t *routing.Table) {
	d.bank.Configure(t.Accounts)
	d.pools.configure(t.Services)
}

func (d *Daemon) start() {
	for _, seed := range d.s.Listen.Seeds {
		d.mesh.Add(seed)
	}
	d.mesh.Serve(d.meshing)
	d.wg.Go(func() { d.configFeed.run(d.ctx) })
	d.wg.Go(func() { d.endpointFeed.run(d.ctx) })
	d.wg.Go(d.housekeeping)
	d.wg.Go(d.register)
	d.callersHTTP = &http.Server{Handler: d.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes, ConnState: d.arrivals.note}
	d.serveHTTP("callers", d.callersHTTP, d.callers)
	d.readyHTTP = &http.Server{Handler: d.readyHandler(), ReadHeaderTimeout: headerTimeout}
	d.serveHTTP("ready", d.readyHTTP, d.ready)
	if d.metrics != nil {
		d.metricsServer = &http.Server{Handler: d.metricsHandler(), ReadHeaderTimeout: headerTimeout}
		d.serveHTTP("metrics", d.metricsServer, d.metrics)
	}
}

func (d *Daemon) serveHTTP(name string, s *http.Server, l net.Listener) {
	d.wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Str("listener", name).Msg("listener failed")
		}
	})
}

func (d *Daemon) readyHandler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(d.o.Wire.ReadyPath, func(c echo.Context) error {
		if !d.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

func (d *Daemon) metricsHandler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", echo.WrapHandler(d.metricsHTTP))
	return e
}

// Ready tells whether the daemon should get new callers: it has a configuration
// and knows endpoints, and is not stopping.
func (d *Daemon) Ready() bool {
	t, _ := d.config.table()
	return t != nil && d.pools.known() && !d.stopping.Load()
}

// CallersAddr returns the address of the callers' listener.
func (d *Daemon) CallersAddr() string { return d.callers.Addr().String() }

// ReadyAddr returns the address of the readiness probe.
func (d *Daemon) ReadyAddr() string { return d.ready.Addr().String() }

func (d *Daemon) housekeeping() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wasReady := false
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.endpoints.tick(now)
			d.crashes.tick(now)
			d.bank.Tick(now)
			d.pools.setDaemons(d.mesh.Count())
			if ready := d.Ready(); ready != wasReady {
				wasReady = ready
				d.log.Info().Bool("ready", ready).Msg("readiness changed")
			}
		}
	}
}

// Reload takes over the settings that may change while the daemon runs: the
// bounds and the seeds. Addresses change at the next start only.
func (d *Daemon) Reload(s settings.Front) {
	for _, seed := range s.Listen.Seeds {
		d.mesh.Add(seed)
	}
	d.retries.setOptions(retryOptions(s.Bounds))
	d.grace.Store(int64(s.Bounds.Grace.Duration))
	d.log.Info().Float64("retry_ratio", s.Bounds.RetryRatio).Float64("retry_slack", s.Bounds.RetrySlack).
		Dur("grace_ms", s.Bounds.Grace.Duration).Msg("settings reloaded")
}

func retryOptions(b settings.Bounds) retry.WindowOptions {
	return retry.WindowOptions{Ratio: b.RetryRatio, Slack: b.RetrySlack, Span: b.RetryWindow.Duration, UsableShare: retryMargin}
}

// Stop ends the daemon gracefully: it stops being ready, answers what comes
// until the balancer has noticed, and waits for the open requests.
func (d *Daemon) Stop(ctx context.Context) error {
	begun := time.Now()
	d.stopping.Store(true)
	d.entry.Close()
	d.log.Info().Int64("open", d.entry.Open()).Msg("daemon stopping")
	deadline := begun.Add(time.Duration(d.grace.Load()) - exitMargin)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	pause.Sleep(ctx, announceFor)
	d.entry.Refuse()
	err := d.awaitOpen(ctx)
	d.callersHTTP.Close()
	returning, cancelReturn := context.WithTimeout(context.Background(), returnTimeout)
	defer cancelReturn()
	d.bank.Close(returning)
	d.close()
	d.log.Info().Dur("took_ms", time.Since(begun)).Msg("daemon stopped")
	return errors.Wrap(err, "graceful stop")
}

// awaitOpen waits until no request is in progress or arriving. The listener stays
// open meanwhile: a refused request is answered, a refused connection is not.
func (d *Daemon) awaitOpen(ctx context.Context) error {
	for d.entry.Open() > 0 || d.arrivals.recent(time.Now()) > 0 {
		if pause.Sleep(ctx, stopPoll) {
			continue
		}
		if open := d.entry.Open(); open > 0 {
			d.log.Warn().Int64("open", open).Msg("requests still open at the end of the grace time")
			return ctx.Err()
		}
		return nil
	}
	return nil
}

// Close ends the daemon at once.
func (d *Daemon) Close() {
	d.stopping.Store(true)
	d.callersHTTP.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.bank.Close(ctx)
	d.close()
}

func (d *Daemon) close() {
	d.cancel()
	d.readyHTTP.Close()
	if d.metricsServer != nil {
		d.metricsServer.Close()
	}
	d.mesh.Close()
	d.entry.Shutdown()
	d.wg.Wait()
	d.closeScope()
}

// registryPrefix is the prefix of the daemons' own entries.
const registryPrefix = "azurehatch/daemons/"

// registerPause is the pause after a failed registration.
const registerPause = time.Second

// register writes the daemon's mesh address to the store and reads those of
// the others. Each daemon writes before it reads, so of two that start at once
// at least one finds the other.
func (d *Daemon) register() {
	for d.ctx.Err() == nil {
		err := d.registerOnce()
		if err == nil {
			return
		}
		d.log.Warn().Err(err).Msg("daemon not registered yet")
		pause.Sleep(d.ctx, registerPause)
	}
}

func (d *Daemon) registerOnce() error {
	key := registryPrefix + d.s.Instance.Name
	write := platform.Write{Key: key, Value: []byte(d.meshing.Addr().String())}
	_, err := d.store.CompareAndSwap(d.ctx, write)
	if conflict, ok := platform.AsConflict(err); ok && string(conflict.Actual.Value) != string(write.Value) {
		write.Expected = conflict.Actual.Revision
		_, err = d.store.CompareAndSwap(d.ctx, write)
	} else if ok {
		err = nil
	}
	if err != nil {
		return errors.Wrap(err, "write own entry")
	}
	items, _, err := d.store.Range(d.ctx, registryPrefix)
	if err != nil {
		return errors.Wrap(err, "read daemons")
	}
	for _, i := range items {
		d.mesh.Add(string(i.Value))
	}
	d.log.Info().Int("daemons", len(items)).Msg("daemon registered")
	return nil
}
