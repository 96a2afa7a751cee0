// Package daemon constructs a daemon from its settings, and starts and stops it.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"github.com/azurehatch/azurehatch/internal/claims"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/directory"
	"github.com/azurehatch/azurehatch/internal/fleet"
	"github.com/azurehatch/azurehatch/internal/follower"
	"github.com/azurehatch/azurehatch/internal/gateway"
	"github.com/azurehatch/azurehatch/internal/ledger"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/metrics"
	"github.com/azurehatch/azurehatch/internal/orders"
	"github.com/azurehatch/azurehatch/internal/peer"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/pool"
	"github.com/azurehatch/azurehatch/internal/settings"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// flushWritesPerSecond is the part of the fleet's limit of 150 store writes per
// second that the periodic flushes of budgets may use; claims may use 56.
const flushWritesPerSecond = 72

// idleTimeout is the time after which an idle HTTP connection is closed.
const idleTimeout = 2 * time.Minute

// ordersDrainTimeout covers an order that is being sent (5 s) and the store calls
// that release the duties.
const ordersDrainTimeout = 10 * time.Second

// Options configure a Daemon besides its settings.
type Options struct {
	Settings settings.Settings
	Store    platform.Store
	Log      zerolog.Logger
}

// Daemon is a running daemon.
type Daemon struct {
	settings settings.Settings
	log      zerolog.Logger
	store    platform.Store

	scope       tally.Scope
	closeScope  func()
	metricsHTTP http.Handler

	directory  *directory.Directory
	fleet      *fleet.Fleet
	peers      *peer.Client
	ledger     *ledger.Ledger
	claims     *claims.Claims
	follower   *follower.Follower
	orders     *orders.Manager
	pools      *pool.Set
	gateway    *gateway.Gateway
	upstream   *upstream.Client
	background *backgroundTasks

	callersListener net.Listener
	adminListener   net.Listener
	peersListener   net.Listener

	callersHTTP *http.Server
	adminHTTP   *http.Server
	peerGRPC    *grpc.Server
	servers     sync.WaitGroup

	serving atomic.Bool
	// hasConfig is true once a configuration has been installed.
	hasConfig atomic.Bool
}

// New opens the listeners and starts the daemon.
func New(o Options) (*Daemon, error) {
	d := &Daemon{settings: o.Settings, store: o.Store}
	d.log = o.Log.With().Str("instance", d.settings.Instance.ID).Str("domain", d.settings.Instance.FailureDomain).Logger()
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.assemble(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.serve(); err != nil {
		d.Close()
		d.closeListeners()
		return nil, err
	}
	d.serving.Store(true)
	d.log.Info().Str("callers", d.CallersAddr()).Str("peers", d.PeersAddr()).Str("admin", d.AdminAddr()).
		Msg("daemon started")
	return d, nil
}

func (d *Daemon) listen() (err error) {
	for _, l := range []struct {
		name     string
		addr     string
		listener *net.Listener
	}{
		{"callers", d.settings.Callers.Listen, &d.callersListener},
		{"peers", d.settings.Peers.Listen, &d.peersListener},
		{"admin", d.settings.Admin.Listen, &d.adminListener},
	} {
		if *l.listener, err = net.Listen("tcp", l.addr); err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listener %s", l.name)
		}
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callersListener, d.peersListener, d.adminListener} {
		if l != nil {
			l.Close()
		}
	}
}

// CallersAddr returns the address of the callers' listener.
func (d *Daemon) CallersAddr() string { return d.callersListener.Addr().String() }

// PeersAddr returns the address of the peers' listener.
func (d *Daemon) PeersAddr() string { return d.peersListener.Addr().String() }

// AdminAddr returns the address of the administration listener.
func (d *Daemon) AdminAddr() string { return d.adminListener.Addr().String() }

func (d *Daemon) assemble() error {
	creds, err := peerCredentials(d.settings.Peers)
	if err != nil {
		return err
	}
	d.scope, d.closeScope, d.metricsHTTP = metrics.NewScope(d.settings.Instance.ID, d.settings.Instance.FailureDomain)
	d.store = newCountedStore(d.store, d.scope)
	d.peers = peer.NewClient(creds.client)
	d.pools = pool.New(pool.Options{
		Domain: d.settings.Instance.FailureDomain, MaxWait: d.settings.Limits.QueueWait.Duration,
		Seed: uint64(time.Now().UnixNano()), Log: d.log, Scope: d.scope,
	})
	d.directory = &directory.Directory{ServiceAvailable: d.pools.HasEndpoint}
	self := membership.Identity{
		ID: d.settings.Instance.ID, Addr: d.PeersAddr(), Domain: d.settings.Instance.FailureDomain,
		Region: d.settings.Instance.Region,
	}
	d.fleet = fleet.New(fleet.Options{
		Self: self, Sender: d.peers, Lister: d.store, OnEvents: d.handleMembershipEvents, Log: d.log,
	})
	d.ledger = ledger.New(ledger.Options{
		ID: self.ID, Domain: self.Domain, Store: d.store, Members: d.fleet, Peers: d.peers, BudgetFor: d.directory.BudgetFor,
		FlushInterval: d.settings.Budget.FlushMin.Duration, WriteAllowance: flushWritesPerSecond,
		ExtensionTokens: d.settings.Budget.Step, Timeout: d.settings.Budget.Timeout.Duration, Log: d.log, Scope: d.scope,
	})
	d.claims = claims.New(claims.Options{Daemon: self.ID, Store: d.store, Log: d.log})
	d.orders = orders.New(orders.Options{
		Self: self.ID, Store: d.store, Ranked: d.fleet.Ranked, Leaving: d.fleet.LeavingEndpoints, Log: d.log,
	})
	d.follower = follower.New(follower.Options{
		Self: self.ID, Domain: self.Domain, Store: d.store, Sender: d.peers, Addr: d.fleet.Addr, Install: d.install, Log: d.log,
	})
	d.upstream = upstream.New(upstream.Options{})
	d.gateway = gateway.New(gateway.Options{
		Directory: d.directory, Ledger: d.ledger.Gateway(), Claims: d.claims, Pools: d.pools, Upstream: d.upstream,
		Log: d.log, Scope: d.scope, MaxBody: d.settings.Limits.Body.Bytes, Timeout: d.settings.Limits.Request.Duration,
		ExtensionTokens: d.settings.Budget.Step, BufferBytes: d.settings.Limits.Buffers.Bytes,
	})
	d.peerGRPC = peer.NewServer(d.ledger, d, creds.server, d.log)
	d.background = startBackground(d)
	// The handler of membership events uses the fields set above.
	d.fleet.Start()
	return nil
}

func (d *Daemon) serve() error {
	d.callersHTTP = &http.Server{
		Handler: d.gateway.Handler(), ReadHeaderTimeout: d.settings.Limits.HeaderTimeout.Duration,
		ReadTimeout: d.settings.Limits.BodyTimeout.Duration, IdleTimeout: idleTimeout,
	}
	d.adminHTTP = &http.Server{
		Handler: d.adminHandler(), ReadHeaderTimeout: d.settings.Limits.HeaderTimeout.Duration, IdleTimeout: idleTimeout,
	}
	callers, err := withTLS(d.callersListener, d.settings.Callers)
	if err != nil {
		return err
	}
	admin, err := withTLS(d.adminListener, d.settings.Admin)
	if err != nil {
		return err
	}
	d.serveListener("callers", func() error { return d.callersHTTP.Serve(callers) })
	d.serveListener("admin", func() error { return d.adminHTTP.Serve(admin) })
	d.serveListener("peers", func() error { return d.peerGRPC.Serve(d.peersListener) })
	return nil
}

func (d *Daemon) serveListener(name string, serve func() error) {
	d.servers.Add(1)
	go func() {
		defer d.servers.Done()
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Str("listener", name).Msg("listener ended")
		}
	}()
}

// install makes a configuration the current one.
func (d *Daemon) install(revision uint64, c *config.Config) {
	d.directory.SetConfig(c)
	d.refreshPools()
	d.orders.SetConfig(c)
	d.hasConfig.Store(true)
	d.log.Info().Uint64("revision", revision).Msg("configuration in force")
}

// Stop stops the daemon gracefully. The daemon announces that it is leaving and
// reports not ready, waits for requests in progress, and then for claims and bills
// to become durable. It returns an error if ctx or the drain timeout ends first.
func (d *Daemon) Stop(ctx context.Context) error {
	d.serving.Store(false)
	d.fleet.Leave()
	d.log.Info().Int("active", d.gateway.Active()).Msg("daemon is leaving")
	d.drainOrders(ctx)
	sleep(ctx, d.settings.Shutdown.Announce.Duration)
	drainCtx, cancel := context.WithTimeout(ctx, d.settings.Shutdown.Drain.Duration)
	defer cancel()
	err := d.gateway.Drain(drainCtx)
	if err != nil {
		err = errors.Wrap(err, "requests are still in progress")
	}
	for _, drainDurable := range []func(context.Context) error{d.claims.Drain, d.ledger.Drain} {
		if drainErr := drainDurable(drainCtx); err == nil {
			err = drainErr
		}
	}
	d.Close()
	return err
}

// drainOrders releases the duties. If that fails, they become available when their
// leases expire, so a failure is only logged.
func (d *Daemon) drainOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ordersDrainTimeout)
	defer cancel()
	if err := d.orders.Drain(ctx); err != nil {
		d.log.Warn().Err(err).Msg("duties may not be released; they become available when their leases expire")
	}
}

// Close stops the daemon at once, without draining.
func (d *Daemon) Close() {
	d.serving.Store(false)
	d.callersHTTP.Close()
	d.adminHTTP.Close()
	d.peerGRPC.Stop()
	d.servers.Wait()
	d.background.close()
	d.fleet.Close()
	d.follower.Close()
	d.orders.Close()
	d.ledger.Close()
	d.claims.Close()
	d.pools.Close()
	d.peers.Close()
	d.upstream.Close()
	d.closeScope()
	d.log.Info().Msg("daemon stopped")
}

func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Failed returns a channel that is closed if the daemon can't serve because its
// instance id has been used by another process.
func (d *Daemon) Failed() <-chan struct{} { return d.ledger.IDReused() }

// Ready reports whether the daemon accepts requests: it is not stopping, has a
// configuration and has read the list of instances.
func (d *Daemon) Ready() bool { return d.serving.Load() && d.hasConfig.Load() && d.fleet.ListRead() }

// ID returns the instance's id.
func (d *Daemon) ID() string { return d.settings.Instance.ID }

// Active returns the number of callers' requests in progress.
func (d *Daemon) Active() int { return d.gateway.Active() }

// Peers returns the number of other daemons that this one knows to be live.
func (d *Daemon) Peers() int {
	n := 0
	for _, m := range d.fleet.Members() {
		if m.State == membership.Live && m.ID != d.settings.Instance.ID {
			n++
		}
	}
	return n
}

// storeBurstSeconds is the burst of store calls in seconds of the limited rate. A
// cold start takes about 60 writes to take over ten shards in competition with
// three other failure domains; with a burst of one second, requests exceed the
// ledger's timeout.
const storeBurstSeconds = 4

// LimitStoreCalls limits the rate of a daemon's calls to the store as its settings
// say. Reads and writes get half of the rate each; a call above the rate waits
// until its deadline.
func LimitStoreCalls(store platform.Store, p settings.Platform) *platform.LimitedStore {
	half := p.CallsPerSecond / 2
	return platform.NewLimitedStore(store, platform.LimitOptions{
		ReadsPerSecond: half, WritesPerSecond: half, Burst: int(half * storeBurstSeconds), Wait: true,
	})
}
