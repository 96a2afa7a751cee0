package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/peer"
	"github.com/azurehatch/azurehatch/internal/pool"
	"github.com/azurehatch/azurehatch/internal/route"
)

// Intervals of the traffic between daemons.
const (
	// loadTick is how often the interval of load digests is looked at; see
	// route.DigestInterval.
	loadTick = 100 * time.Millisecond
	// poisonInterval is how soon a crash reaches them.
	poisonInterval = 20 * time.Millisecond
	shareTimeout   = time.Second
)

// control sends this daemon's load and crashes to the others.
type control struct {
	d    *Daemon
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// nextReport is the position in the turn of readReports.
	nextReport int
	// sharedLoad and loadInterval are the time of the last load digests and
	// the wait for the next.
	sharedLoad   time.Time
	loadInterval time.Duration
}

func newControl(d *Daemon) *control {
	ctx, stop := context.WithCancel(context.Background())
	c := &control{d: d, ctx: ctx, stop: stop}
	c.every(loadTick, c.shareLoad)
	c.every(poisonInterval, c.sharePoison)
	c.every(reportInterval, c.readReports)
	c.every(gaugeInterval, c.updateGauges)
	return c
}

func (c *control) close() {
	c.stop()
	c.wg.Wait()
}

func (c *control) every(interval time.Duration, f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f()
			case <-c.ctx.Done():
				return
			}
		}
	}()
}

// toPeers calls f for each other live daemon of the failure domain.
func (c *control) toPeers(f func(ctx context.Context, addr string) error) {
	self := c.d.s.Instance
	for _, m := range c.d.fleet.LiveIn(self.FailureDomain) {
		if m.ID == self.ID {
			continue
		}
		addr := m.Addr
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			ctx, cancel := context.WithTimeout(c.ctx, shareTimeout)
			defer cancel()
			if err := f(ctx, addr); err != nil {
				c.d.log.Debug().Err(err).Msg("message to a peer not delivered")
			}
		}()
	}
}

// shareLoad sends load digests to the other daemons of the failure domain, as
// often as their size and number allow.
func (c *control) shareLoad() {
	self := c.d.s.Instance.ID
	if time.Since(c.sharedLoad) < c.loadInterval {
		return
	}
	load := peer.NewLoad(self, c.d.pools.Digests())
	peers := len(c.d.fleet.LiveIn(c.d.s.Instance.FailureDomain)) - 1
	c.sharedLoad, c.loadInterval = time.Now(), route.DigestInterval(peers, load.Size())
	c.toPeers(func(ctx context.Context, addr string) error { return c.d.peers.ShareLoad(ctx, addr, load) })
}

func (c *control) sharePoison() {
	body, err := c.d.pools.PoisonEntries()
	if err != nil {
		c.d.log.Error().Err(err).Msg("crashes can't be encoded")
	}
	if body == nil {
		return
	}
	c.toPeers(func(ctx context.Context, addr string) error {
		return c.d.peers.SharePoison(ctx, addr, c.d.s.Instance.ID, body)
	})
}

// Gossip implements peer.Handler.
func (d *Daemon) Gossip(m membership.Message) { d.fleet.Step(m) }

// Load implements peer.Handler.
func (d *Daemon) Load(from, service string, body []byte) {
	if err := d.pools.PeerLoad(from, service, body); err != nil {
		d.log.Debug().Err(err).Str("peer", from).Msg("load digest ignored")
	}
}

// Poison implements peer.Handler.
func (d *Daemon) Poison(from string, body []byte) {
	if err := d.pools.MergePoison(body); err != nil {
		d.log.Warn().Err(err).Str("peer", from).Msg("crashes ignored")
	}
}

// Revision implements peer.Handler.
func (d *Daemon) Revision(from string, _ int64, body []byte) {
	if err := d.follower.Receive(from, body); err != nil {
		d.log.Warn().Err(err).Str("peer", from).Msg("configuration message ignored")
	}
}

// Status implements peer.Handler.
func (d *Daemon) Status() (revision uint64, age time.Duration) {
	st := d.follower.Status()
	return st.Revision, st.Age
}

func (d *Daemon) onEvents(events []membership.Event) {
	own, endpoints := false, false
	for _, ev := range events {
		switch ev.Kind {
		case membership.EndpointChanged:
			endpoints = true
		case membership.MemberChanged:
			own = own || ev.Member.Domain == d.s.Instance.FailureDomain
			if ev.Member.State == membership.Dead {
				d.ledger.MemberGone(ev.Member)
				d.claimed.DaemonGone(ev.Member.ID)
				d.pools.Forget(ev.Member.ID)
				d.peers.Forget(ev.Member.Addr)
			}
		}
	}
	if own {
		d.ledger.MembersChanged()
		d.follower.SetMembers(d.domainIDs())
	}
	if endpoints {
		d.refreshPools()
	}
}

// domainIDs returns the live daemons of this failure domain.
func (d *Daemon) domainIDs() []string {
	live := d.fleet.LiveIn(d.s.Instance.FailureDomain)
	ids := make([]string, len(live))
	for i, m := range live {
		ids[i] = m.ID
	}
	return ids
}

// refreshPools sets the endpoints of each pool from the configuration and the
// platform's list. An endpoint leaves if either says so.
func (d *Daemon) refreshPools() {
	c := d.directory.Config()
	if c == nil {
		return
	}
	listed := make(map[string]membership.Endpoint)
	for _, e := range d.fleet.Endpoints() {
		listed[e.Addr] = e
	}
	sets := make(map[string][]pool.Member, len(c.Services))
	for id, e := range c.Endpoints {
		e = e.WithDefaults()
		state := route.Live
		in, ok := listed[e.Address]
		if e.State == config.StateLeaving || (ok && (in.Removed || in.State == "leaving")) {
			state = route.Leaving
		}
		sets[e.Service] = append(sets[e.Service], pool.Member{Addr: e.Address, Endpoint: route.Endpoint{
			ID: route.EndpointID(id), Domain: e.Domain, State: state, Slots: c.Services[e.Service].WithDefaults().SlotsPerEndpoint,
		}})
	}
	for name, s := range c.Services {
		d.pools.Update(name, s.Kind == config.KindModel, sets[name])
	}
}
