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

// Timing of the messages to other daemons.
const (
	// loadCheckInterval is how often the daemon checks whether load digests are
	// due; see route.DigestInterval.
	loadCheckInterval = 100 * time.Millisecond
	// poisonInterval is the interval at which new poison entries are sent.
	poisonInterval = 20 * time.Millisecond
	// shareTimeout limits one call to a peer.
	shareTimeout = time.Second
)

// backgroundTasks sends this daemon's load and poison entries to its peers, reads
// the load reports of endpoints and updates the gauges.
type backgroundTasks struct {
	d    *Daemon
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// nextReport is the index of the next endpoint for readReports.
	nextReport int
	// lastLoadShare is the time at which load digests were last sent and
	// loadInterval the wait until they are sent next.
	lastLoadShare time.Time
	loadInterval  time.Duration
}

func startBackground(d *Daemon) *backgroundTasks {
	ctx, stop := context.WithCancel(context.Background())
	b := &backgroundTasks{d: d, ctx: ctx, stop: stop}
	b.runEvery(loadCheckInterval, b.shareLoad)
	b.runEvery(poisonInterval, b.sharePoison)
	b.runEvery(reportInterval, b.readReports)
	b.runEvery(gaugeInterval, b.updateGauges)
	return b
}

func (b *backgroundTasks) close() {
	b.stop()
	b.wg.Wait()
}

func (b *backgroundTasks) runEvery(interval time.Duration, f func()) {
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f()
			case <-b.ctx.Done():
				return
			}
		}
	}()
}

// forEachPeer calls f concurrently for each other live daemon of the failure
// domain.
func (b *backgroundTasks) forEachPeer(f func(ctx context.Context, addr string) error) {
	self := b.d.settings.Instance
	for _, m := range b.d.fleet.LiveIn(self.FailureDomain) {
		if m.ID == self.ID {
			continue
		}
		addr := m.Addr
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			ctx, cancel := context.WithTimeout(b.ctx, shareTimeout)
			defer cancel()
			if err := f(ctx, addr); err != nil {
				b.d.log.Debug().Err(err).Msg("message to a peer not delivered")
			}
		}()
	}
}

// shareLoad sends load digests to the other daemons of the failure domain, at an
// interval that depends on the size of the digests and the number of peers.
func (b *backgroundTasks) shareLoad() {
	self := b.d.settings.Instance.ID
	if time.Since(b.lastLoadShare) < b.loadInterval {
		return
	}
	load := peer.NewLoadMessage(self, b.d.pools.LoadDigests())
	peers := len(b.d.fleet.LiveIn(b.d.settings.Instance.FailureDomain)) - 1
	b.lastLoadShare, b.loadInterval = time.Now(), route.DigestInterval(peers, load.Size())
	b.forEachPeer(func(ctx context.Context, addr string) error { return b.d.peers.ShareLoad(ctx, addr, load) })
}

func (b *backgroundTasks) sharePoison() {
	entries, err := b.d.pools.PoisonEntries()
	if err != nil {
		b.d.log.Error().Err(err).Msg("poison entries not encoded")
	}
	if entries == nil {
		return
	}
	b.forEachPeer(func(ctx context.Context, addr string) error {
		return b.d.peers.SharePoison(ctx, addr, b.d.settings.Instance.ID, entries)
	})
}

// Gossip implements peer.Handler.
func (d *Daemon) Gossip(m membership.Message) { d.fleet.Step(m) }

// Load implements peer.Handler.
func (d *Daemon) Load(from, service string, body []byte) {
	if err := d.pools.SetPeerLoad(from, service, body); err != nil {
		d.log.Debug().Err(err).Str("peer", from).Msg("load digest ignored")
	}
}

// Poison implements peer.Handler.
func (d *Daemon) Poison(from string, body []byte) {
	if err := d.pools.MergePoisonEntries(body); err != nil {
		d.log.Warn().Err(err).Str("peer", from).Msg("poison entries ignored")
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

func (d *Daemon) handleMembershipEvents(events []membership.Event) {
	domainChanged, endpointsChanged := false, false
	for _, ev := range events {
		switch ev.Kind {
		case membership.EndpointChanged:
			endpointsChanged = true
		case membership.MemberChanged:
			domainChanged = domainChanged || ev.Member.Domain == d.settings.Instance.FailureDomain
			if ev.Member.State == membership.Dead {
				d.ledger.MemberGone(ev.Member)
				d.claims.DaemonEnded(ev.Member.ID)
				d.pools.RemovePeer(ev.Member.ID)
				d.peers.Forget(ev.Member.Addr)
			}
		}
	}
	if domainChanged {
		d.ledger.MembersChanged()
		d.follower.SetMembers(d.liveDomainIDs())
	}
	if endpointsChanged {
		d.refreshPools()
	}
}

// liveDomainIDs returns the ids of the live daemons of this failure domain.
func (d *Daemon) liveDomainIDs() []string {
	live := d.fleet.LiveIn(d.settings.Instance.FailureDomain)
	ids := make([]string, len(live))
	for i, m := range live {
		ids[i] = m.ID
	}
	return ids
}

// refreshPools sets the endpoints of each pool from the configuration and the
// platform's list. An endpoint is leaving if either of them says so.
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
		listing, ok := listed[e.Address]
		if e.State == config.StateLeaving || (ok && (listing.Removed || listing.State == "leaving")) {
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
