// Package daemon assembles a daemon from its settings and runs its life cycle.
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

// flushAllowance is the part of the fleet's 150 writes a second that the
// periodic flushes of budgets may use; claims have 56.
const flushAllowance = 72

// idleTimeout closes a caller's connection that is not used.
const idleTimeout = 2 * time.Minute

// ordersDrainTimeout covers an order that is being sent (5 s) and the calls
// that give the duties back.
const ordersDrainTimeout = 10 * time.Second

// Options configure a Daemon besides its settings.
type Options struct {
	Settings settings.Settings
	Store    platform.Store
	Log      zerolog.Logger
}

// Daemon is one running daemon.
type Daemon struct {
	s     settings.Settings
	log   zerolog.Logger
	store platform.Store

	scope       tally.Scope
	closeScope  func()
	metricsHTTP http.Handler

	directory *directory.Directory
	fleet     *fleet.Fleet
	peers     *peer.Client
	ledger    *ledger.Ledger
	claimed   *claims.Claims
	follower  *follower.Follower
	orders    *orders.Manager
	pools     *pool.Set
	gateway   *gateway.Gateway
	upstream  *upstream.Client
	control   *control

	callers net.Listener
	admin   net.Listener
	peering net.Listener

	callersHTTP *http.Server
	adminHTTP   *http.Server
	peerGRPC    *grpc.Server
	servers     sync.WaitGroup

	ready atomic.Bool
	// configured is true once a configuration is in force.
	configured atomic.Bool
}

// New opens the listeners and starts the daemon.
func New(o Options) (*Daemon, error) {
	d := &Daemon{s: o.Settings, store: o.Store}
	d.log = o.Log.With().Str("instance", d.s.Instance.ID).Str("domain", d.s.Instance.FailureDomain).Logger()
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.assemble(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.serve(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.ready.Store(true)
	d.log.Info().Str("callers", d.CallersAddr()).Str("peers", d.PeersAddr()).Str("admin", d.AdminAddr()).Msg("daemon started")
	return d, nil
}

func (d *Daemon) listen() (err error) {
	for _, l := range []struct {
		name string
		addr string
		to   *net.Listener
	}{{"callers", d.s.Callers.Listen, &d.callers}, {"peers", d.s.Peers.Listen, &d.peering}, {"admin", d.s.Admin.Listen, &d.admin}} {
		if *l.to, err = net.Listen("tcp", l.addr); err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listener %s", l.name)
		}
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callers, d.peering, d.admin} {
		if l != nil {
			l.Close()
		}
	}
}

// CallersAddr returns the address of the callers' listener.
func (d *Daemon) CallersAddr() string { return d.callers.Addr().String() }

// PeersAddr returns the address of the peers' listener.
func (d *Daemon) PeersAddr() string { return d.peering.Addr().String() }

// AdminAddr returns the address of the administration listener.
func (d *Daemon) AdminAddr() string { return d.admin.Addr().String() }

func (d *Daemon) assemble() error {
	d.scope, d.closeScope, d.metricsHTTP = metrics.NewScope(d.s.Instance.ID, d.s.Instance.FailureDomain)
	d.store = newCountedStore(d.store, d.scope)
	creds, err := peerCredentials(d.s.Peers)
	if err != nil {
		return err
	}
	d.peers = peer.NewClient(creds.client)
	d.pools = pool.New(pool.Options{
		Domain: d.s.Instance.FailureDomain, MaxWait: d.s.Limits.QueueWait.Duration, Seed: uint64(time.Now().UnixNano()), Log: d.log, Scope: d.scope})
	d.directory = &directory.Directory{ServiceAvailable: d.pools.Up}
	self := membership.Identity{
		ID: d.s.Instance.ID, Addr: d.PeersAddr(), Domain: d.s.Instance.FailureDomain, Region: d.s.Instance.Region,
	}
	d.fleet = fleet.New(fleet.Options{Self: self, Sender: d.peers, Lister: d.store, OnEvents: d.onEvents, Log: d.log})
	d.ledger = ledger.New(ledger.Options{
		ID: self.ID, Domain: self.Domain, Store: d.store, Members: d.fleet, Peers: d.peers, BudgetFor: d.directory.BudgetFor,
		Interval: d.s.Budget.FlushMin.Duration, WriteAllowance: flushAllowance, Step: d.s.Budget.Step, Timeout: d.s.Budget.Timeout.Duration, Log: d.log, Scope: d.scope,
	})
	d.claimed = claims.New(claims.Options{Daemon: self.ID, Store: d.store, Log: d.log})
	d.orders = orders.New(orders.Options{Self: self.ID, Store: d.store, Ranked: d.fleet.Ranked, Leaving: d.fleet.LeavingEndpoints, Log: d.log})
	d.follower = follower.New(follower.Options{
		Self: self.ID, Domain: self.Domain, Store: d.store, Sender: d.peers, Addr: d.fleet.Addr, Install: d.install, Log: d.log,
	})
	d.upstream = upstream.New(upstream.Options{})
	d.gateway = gateway.New(gateway.Options{
		Directory: d.directory, Ledger: d.ledger.Gateway(), Claims: d.claimed, Pools: d.pools, Upstream: d.upstream,
		Log: d.log, Scope: d.scope, MaxBody: d.s.Limits.Body.Bytes, Timeout: d.s.Limits.Request.Duration, Step: d.s.Budget.Step,
	})
	d.peerGRPC = peer.NewServer(d.ledger, d, creds.server, d.log)
	d.control = newControl(d)
	// The fleet's events need the parts above.
	d.fleet.Start()
	return nil
}

func (d *Daemon) serve() error {
	d.callersHTTP = &http.Server{
		Handler: d.gateway.Handler(), ReadHeaderTimeout: d.s.Limits.HeaderTimeout.Duration,
		ReadTimeout: d.s.Limits.BodyTimeout.Duration, IdleTimeout: idleTimeout,
	}
	d.adminHTTP = &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: d.s.Limits.HeaderTimeout.Duration, IdleTimeout: idleTimeout}
	callers, err := secure(d.callers, d.s.Callers)
	if err != nil {
		return err
	}
	admin, err := secure(d.admin, d.s.Admin)
	if err != nil {
		return err
	}
	d.run("callers", func() error { return d.callersHTTP.Serve(callers) })
	d.run("admin", func() error { return d.adminHTTP.Serve(admin) })
	d.run("peers", func() error { return d.peerGRPC.Serve(d.peering) })
	return nil
}

func (d *Daemon) run(name string, serve func() error) {
	d.servers.Add(1)
	go func() {
		defer d.servers.Done()
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Str("listener", name).Msg("listener ended")
		}
	}()
}

// install puts a configuration in force.
func (d *Daemon) install(revision uint64, c *config.Config) {
	d.directory.SetConfig(c)
	d.refreshPools()
	d.orders.SetConfig(c)
	d.configured.Store(true)
	d.log.Info().Uint64("revision", revision).Msg("configuration in force")
}

// Stop ends the daemon gracefully: it is taken out of service first, then
// requests in progress end, then bills become durable. It returns an error if
// ctx ends before that.
func (d *Daemon) Stop(ctx context.Context) error {
	d.ready.Store(false)
	d.fleet.Drain()
	d.log.Info().Int("active", d.gateway.Active()).Msg("daemon is leaving")
	d.drainOrders(ctx)
	wait(ctx, d.s.Shutdown.Announce.Duration)
	drain, cancel := context.WithTimeout(ctx, d.s.Shutdown.Drain.Duration)
	defer cancel()
	err := d.gateway.Drain(drain)
	if err != nil {
		err = errors.Wrap(err, "requests are still in progress")
	}
	for _, durable := range []func(context.Context) error{d.claimed.Drain, d.ledger.Drain} {
		if derr := durable(drain); err == nil {
			err = derr
		}
	}
	d.Close()
	return err
}

// drainOrders gives the duties back. Without it they are free when their leases
// expire, so that a failure does not fail the stop.
func (d *Daemon) drainOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ordersDrainTimeout)
	defer cancel()
	if err := d.orders.Drain(ctx); err != nil {
		d.log.Warn().Err(err).Msg("duties are not known to be given back")
	}
}

// Close ends the daemon at once, as a crash would.
func (d *Daemon) Close() {
	d.ready.Store(false)
	d.callersHTTP.Close()
	d.adminHTTP.Close()
	d.peerGRPC.Stop()
	d.servers.Wait()
	d.control.close()
	d.fleet.Close()
	d.follower.Close()
	d.orders.Close()
	d.ledger.Close()
	d.claimed.Close()
	d.pools.Close()
	d.peers.Close()
	d.upstream.Close()
	d.closeScope()
	d.log.Info().Msg("daemon stopped")
}

func wait(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Failed returns a channel that is closed if the daemon can't serve because
// its instance id was used before.
func (d *Daemon) Failed() <-chan struct{} { return d.ledger.Reused() }

// Ready reports whether the daemon takes requests: it is not stopping, has a
// configuration and knows the other daemons.
func (d *Daemon) Ready() bool { return d.ready.Load() && d.configured.Load() && d.fleet.ListRead() }

// ID returns the instance's id.
func (d *Daemon) ID() string { return d.s.Instance.ID }

// Active returns the number of callers' requests in progress.
func (d *Daemon) Active() int { return d.gateway.Active() }

// Peers returns the number of other live daemons that this one knows.
func (d *Daemon) Peers() int {
	n := 0
	for _, m := range d.fleet.Members() {
		if m.State == membership.Live && m.ID != d.s.Instance.ID {
			n++
		}
	}
	return n
}

// burstSeconds is how much of its rate a daemon may use at once. A cold start
// takes over ten shards against three other failure domains in about 60
// writes; with one second's worth, requests ran into the ledger's timeout.
const burstSeconds = 4

// Limit bounds a daemon's calls to the store as its settings say. Reads get
// half of the calls; a call waits for its turn until its deadline.
func Limit(store platform.Store, p settings.Platform) *platform.Limited {
	half := p.CallsPerSecond / 2
	return platform.NewLimited(store, platform.LimitOptions{
		ReadsPerSecond: half, WritesPerSecond: half, Burst: int(half * burstSeconds), Wait: true,
	})
}
