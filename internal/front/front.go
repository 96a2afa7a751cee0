// Package front assembles an entry daemon for the users' platform. It follows the
// configuration and the list of endpoints in the metadata store, shares them with
// the other daemons, and serves callers through package relay.
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

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/discovery"
	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/escrow/budgets"
	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/metrics"
	"github.com/azurehatch/azurehatch/internal/overload"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/relay"
	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/internal/settings"
)

// Intervals, timeouts and limits of a daemon.
const (
	// tickInterval is the interval of housekeeping.
	tickInterval = 200 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections. They are longer
	// than the limits in the configuration, which callers are expected to keep.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeadBytes  = 64 << 10

	// bufferMemoryDivisor is the part of the process's memory that the unfinished responses of
	// endpoints may occupy, and again the bodies of requests: an eighth each, since a daemon needs a
	// quarter or less for all else.
	bufferMemoryDivisor = 8
)

// Store is the part of the metadata store that the daemon uses.
type Store interface {
	platform.Records
	platform.ChangeLog
}

// Wire describes the platform's wire format.
type Wire struct {
	Codec          relay.Codec
	DecodeConfig   func(platform.Item) (routing.Config, error)
	DecodeEndpoint discovery.Decode
	// ConfigPrefix is a prefix of ConfigKey, the configuration's key.
	// EndpointPrefix is the prefix of the endpoints' keys.
	// EvacuationPrefix, which begins with ConfigPrefix, is that of the keys that name evacuated
	// failure domains.
	ConfigPrefix, ConfigKey, EndpointPrefix, EvacuationPrefix string
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
}

// Options configure a Daemon.
type Options struct {
	Settings settings.Front
	Wire     Wire
	// Store returns a client of the store that counts its calls in scope and wraps its connections.
	Store func(scope tally.Scope, wrap func(net.Conn) net.Conn) Store
	Log   zerolog.Logger
	// findInterval replaces the function of that name in tests.
	findInterval func(daemons int) time.Duration
}

// Daemon is a running entry daemon.
type Daemon struct {
	opts          Options
	frontSettings settings.Front
	id            string
	log           zerolog.Logger
	store         Store
	scope         tally.Scope

	closeScope      func()
	metricsExporter http.Handler

	configFeed, endpointFeed *feed
	// joined is closed once the daemon knows the registered peers.
	joined chan struct{}
	// storeContact is closed once the store has responded to a feed.
	storeContact     chan struct{}
	storeContactOnce sync.Once
	// restored signals that the store was restored from an older copy.
	restored      chan struct{}
	config        *configuration
	evacuations   *evacuations
	startVersion  startVersion
	endpoints     *endpoints
	pools         *pools
	permits       *permits
	retryBudget   *retryBudget
	crashIsolator *crashIsolator
	link          *link
	budgets       *budgets.Manager
	mesh          *mesh.Mesh
	handler       *relay.Handler

	pendingConns                                                  pendingConns
	callersListener, readyListener, meshListener, metricsListener net.Listener
	callersServer, readyServer                                    *http.Server
	metricsServer                                                 *http.Server

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	stopping atomic.Bool
	ticks    tickTimes
	// grace is the time from SIGTERM to SIGKILL in nanoseconds.
	grace atomic.Int64
	// maxOutdated is the time for which a configuration that is known to be out of date
	// is used, in nanoseconds.
	maxOutdated atomic.Int64
}

// New opens the listeners and starts the daemon.
func New(opts Options) (*Daemon, error) {
	if opts.findInterval == nil {
		opts.findInterval = findInterval
	}
	d := &Daemon{
		opts: opts, frontSettings: opts.Settings,
		id: escrow.HolderID(opts.Settings.Instance.Name, uuid.NewString()[:8]),
	}
	d.log = opts.Log.With().Str("instance", d.frontSettings.Instance.Name).
		Str("domain", d.frontSettings.Instance.FailureDomain).Logger()
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.assemble()
	d.start()
	d.log.Info().Str("id", d.id).Str("callers", d.callersListener.Addr().String()).
		Str("mesh", d.meshListener.Addr().String()).Str("store", d.frontSettings.Store.Address).
		Bool("first_start", d.frontSettings.Instance.FirstStart).Int("regions", len(d.frontSettings.Instance.Regions)).
		Float64("link_mbps", d.frontSettings.Machine.LinkMbps).Dur("evacuation_ms", d.frontSettings.Bounds.Evacuation.Duration).
		Float64("cold_ratio", d.frontSettings.Bounds.ColdRatio).Float64("cold_slack", d.frontSettings.Bounds.ColdSlack).
		Bool("pace", d.frontSettings.Pace.Enabled).Msg("daemon started")
	return d, nil
}

func (d *Daemon) listen() (err error) {
	for _, l := range []struct {
		name, addr string
		to         *net.Listener
	}{
		{"callers", d.frontSettings.Listen.Callers, &d.callersListener},
		{"ready", d.frontSettings.Listen.Ready, &d.readyListener},
		{"mesh", d.frontSettings.Listen.Mesh, &d.meshListener}, {"metrics", d.frontSettings.Listen.Metrics, &d.metricsListener},
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
	for _, l := range []net.Listener{d.callersListener, d.readyListener, d.meshListener, d.metricsListener} {
		if l != nil {
			l.Close()
		}
	}
}

func (d *Daemon) assemble() {
	d.scope, d.closeScope, d.metricsExporter = metrics.NewScope(
		d.frontSettings.Instance.Name, d.frontSettings.Instance.FailureDomain)
	d.link = newLink(d.frontSettings.Machine.LinkMbps, d.log, d.scope)
	d.store = d.opts.Store(d.scope, d.link.control.wrap)
	d.pools = newPools(d.frontSettings.Instance.FailureDomain, d.log, d.scope)
	d.crashIsolator = newCrashIsolator(d.log)
	d.mesh = mesh.New(mesh.Options{
		ID: d.id, Addr: d.meshListener.Addr().String(), Domain: d.frontSettings.Instance.FailureDomain,
		State: meshState{d}, Log: d.log, Scope: d.scope, Wrap: d.link.control.wrap,
	})
	d.permits = newPermits(d.mesh, d.stopping.Load, d.log)
	d.pools.permits = d.permits
	d.pools.paced, d.pools.background = d.frontSettings.Pace.Enabled, func(f func()) { d.wg.Go(f) }
	d.pools.report = func(e balance.Endpoint, l balance.RateLimit) {
		d.wg.Go(func() { d.permits.report(d.ctx, e, l) })
	}
	d.budgets = budgets.New(budgets.Options{Holder: d.id, Store: d.store, Peers: d.mesh, Log: d.log, Scope: d.scope})
	d.retryBudget = newRetryBudget(
		retryOptions(d.frontSettings.Bounds), d.frontSettings.Instance.FirstStart, d.mesh.Count, d.log)
	d.config = &configuration{wire: d.opts.Wire, log: d.log, regions: d.frontSettings.Instance.Regions, onInstall: d.applyConfiguration}
	d.startVersion.log = d.log
	d.endpoints = newEndpoints(d.opts.Wire.DecodeEndpoint, d.pools, d.log)
	d.evacuations = newEvacuations(d.opts.Wire.EvacuationPrefix, d.pools, d.log, d.scope)
	d.configFeed = newFeed(d.opts.Wire.ConfigPrefix, d.store, operatorItems{d.config, d.evacuations}, d.mesh, d.recordStoreContact, d.log)
	d.endpointFeed = newFeed(d.opts.Wire.EndpointPrefix, d.store, d.endpoints, d.mesh, d.recordStoreContact, d.log)
	d.endpointFeed.stalePeriod = staleEntryPeriod
	d.setBounds(d.frontSettings.Bounds)
	d.joined, d.storeContact, d.restored = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	d.permits.joined = d.joined
	d.endpointFeed.onRestored = d.signalRestored
	d.configFeed.joined, d.endpointFeed.joined = d.joined, d.joined
	d.configFeed.primary, d.endpointFeed.onRegained = d.endpointFeed, d.configFeed.requestRead
	d.handler = relay.New(relay.Options{
		Codec: d.opts.Wire.Codec, Budgets: d.budgets, Pools: d.pools,
		RetryBudget: d.retryBudget, CrashIsolator: d.crashIsolator, Link: d.link,
		Table: d.table, Outdated: d.outdated, Log: d.log, Scope: d.scope,
		BufferBytes: d.frontSettings.Machine.Memory.Bytes / bufferMemoryDivisor,
	})
}

// recordStoreContact records that the store responded to a feed.
func (d *Daemon) recordStoreContact() {
	d.storeContactOnce.Do(func() { close(d.storeContact) })
	d.budgets.StoreContacted()
}

// applyConfiguration applies a new configuration to the budgets and the pools.
func (d *Daemon) applyConfiguration(t *routing.Table) {
	d.budgets.Configure(t.Accounts)
	d.pools.configure(t.Services)
}

func (d *Daemon) start() {
	for _, seed := range d.frontSettings.Listen.Seeds {
		d.mesh.Add(seed, "")
	}
	d.mesh.Serve(d.link.control.wrapListener(d.meshListener))
	d.wg.Go(func() { d.configFeed.run(d.ctx) })
	d.wg.Go(func() { d.endpointFeed.run(d.ctx) })
	d.wg.Go(d.housekeeping)
	d.wg.Go(d.stayRegistered)
	d.wg.Go(func() {
		select {
		case <-d.storeContact:
			d.crashIsolator.keepCrashRecord(d.ctx, d.store)
		case <-d.ctx.Done():
		}
	})
	d.callersServer = &http.Server{
		Handler: d.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		ConnState: d.pendingConns.trackState,
	}
	d.serveHTTP("callers", d.callersServer, d.pendingConns.wrap(d.link.callers.wrapListener(d.callersListener)))
	d.readyServer = &http.Server{Handler: d.readyHandler(), ReadHeaderTimeout: headerTimeout}
	d.serveHTTP("ready", d.readyServer, d.readyListener)
	if d.metricsListener != nil {
		d.metricsServer = &http.Server{Handler: d.metricsHandler(), ReadHeaderTimeout: headerTimeout}
		d.serveHTTP("metrics", d.metricsServer, d.metricsListener)
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
	e.GET(d.opts.Wire.ReadyPath, func(c echo.Context) error {
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
	e.GET("/metrics", echo.WrapHandler(d.metricsExporter))
	return e
}

// Ready reports whether the daemon should receive new callers: it has endpoints and a
// configuration that is not known to be out of date, its link carries what callers ask, and it is
// not shutting down.
func (d *Daemon) Ready() bool {
	t, _ := d.table()
	return t != nil && !d.outdated() && d.pools.hasEndpoints() && !d.stopping.Load() && !d.link.overloaded()
}

// CallersAddr returns the address of the callers' listener.
func (d *Daemon) CallersAddr() string { return d.callersListener.Addr().String() }

// ReadyAddr returns the address of the readiness probe.
func (d *Daemon) ReadyAddr() string { return d.readyListener.Addr().String() }

// housekeeping runs the periodic tasks until the daemon ends.
func (d *Daemon) housekeeping() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wasReady, followed, wasOutdated := false, false, false
	for {
		select {
		case <-d.ctx.Done():
			return
		case now := <-ticker.C:
			d.ticks.record(time.Now())
			d.endpoints.tick(now)
			d.endpointFeed.admitHeld(now)
			d.evacuations.tick(now)
			d.crashIsolator.tick(now)
			d.observeEra(max(d.configFeed.currentRevision(), d.endpointFeed.currentRevision()))
			d.budgets.Tick(now)
			links := d.mesh.LocalLinks()
			d.pools.setDaemons(d.mesh.Count(), d.domainDaemons(links))
			d.pools.updateGauges(now)
			if follows := d.mesh.FollowsStore(); follows != followed {
				followed = follows
				d.log.Info().Bool("follows", follows).Bool("wide", d.mesh.Wide()).Int("daemons", d.mesh.Count()).
					Msg("following of the store changed")
			}
			if outdated := d.outdated(); outdated != wasOutdated {
				wasOutdated = outdated
				d.log.Warn().Bool("outdated", outdated).Dur("behind_ms", d.configFeed.outdatedFor(now)).
					Stringer("revision", d.configFeed.currentRevision()).
					Msg("use of the configuration changed: a peer has a newer one")
			}
			d.link.tick(now, links)
			if ready := d.Ready(); ready != wasReady {
				wasReady = ready
				d.log.Info().Bool("ready", ready).Msg("readiness changed")
			}
		}
	}
}

// domainDaemons returns the number of daemons of the failure domain whose loads are heard, 0 in a fleet
// that is not wide, where an even share of the connections to an endpoint is large.
func (d *Daemon) domainDaemons(peers overload.Peers) int {
	if !d.mesh.Wide() {
		return 0
	}
	return len(peers) + 1
}

// Close ends the daemon immediately, without returning tokens to the store.
func (d *Daemon) Close() {
	d.stopping.Store(true)
	d.callersServer.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.budgets.Close(ctx)
	d.close()
}

func (d *Daemon) close() {
	d.cancel()
	d.readyServer.Close()
	if d.metricsServer != nil {
		d.metricsServer.Close()
	}
	d.mesh.Close()
	d.handler.Close()
	d.wg.Wait()
	d.closeScope()
}
