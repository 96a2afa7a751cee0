// Package mesh exchanges messages between entry daemons over gRPC. It maintains the
// list of peers with their last digests and the times at which these were received.
package mesh

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/overload"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Timeouts and intervals.
const (
	// exchangeInterval is the time between two rounds of exchanges.
	exchangeInterval = 250 * time.Millisecond
	// exchangeTimeout bounds one exchange; a peer answers in a few ms.
	exchangeTimeout = 600 * time.Millisecond
	// liveTimeout is the time without a digest after which a peer no longer counts
	// as live. In a wide fleet peers are called in turn, so it is at least liveRounds
	// times the mean time between two digests there, and at least
	// minRemoteLiveTimeout for peers in other failure domains.
	liveTimeout          = 2500 * time.Millisecond
	minRemoteLiveTimeout = 12 * time.Second
	liveRounds           = 3
	// A peer that did not answer a request for tokens or a permit is passed over for
	// suspectTime, which doubles with each failure up to maxSuspectTime and ends
	// with the next digest of the peer.
	suspectTime    = 2 * time.Second
	maxSuspectTime = 30 * time.Second
	// peerExpiry is the time without a digest after which a peer is removed.
	peerExpiry = 2 * time.Minute
	// itemsTimeout bounds the transfer of a copy of items. Some hundred KB are a tenth
	// of that compressed, and a slow link also carries requests and responses.
	itemsTimeout   = 3 * time.Second
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	pingInterval   = 10 * time.Second
	pingTimeout    = 2 * time.Second
	// idleTimeout closes connections to peers that are not called. Each daemon of a
	// large fleet calls most of the others only every 30 s, and the read buffers of 590
	// open connections have 19 MB at gRPC's default of 32 KiB.
	idleTimeout     = 10 * time.Second
	readBufferBytes = 4 << 10
	// maxMessageBytes bounds a message: the configuration is below a megabyte.
	maxMessageBytes = 4 << 20
)

// fanout is the number of peers that a daemon calls in one interval. In a larger
// fleet it calls them in turn, so that its load does not grow with the fleet. A fleet
// with more than wideFleetThreshold daemons is wide: there a daemon calls localFanout
// peers of its own failure domain and remoteFanout others, because 8 calls of peers
// in any domain took a third of a 10 Mbit/s link with 64 daemons.
const (
	fanout             = 8
	wideFleetThreshold = 16
	localFanout        = 3
	remoteFanout       = 2
	// maxDigestPeers bounds the peer addresses in a digest in a wide fleet.
	maxDigestPeers = 8
	// followersPerDomain is the number of daemons in each failure domain of a wide
	// fleet that follow the store and push its changes to the others. There
	// are two, since a watch of the store may hear nothing for a while.
	followersPerDomain = 2
	// maxTransferSources is the number of peers asked for tokens before the store.
	maxTransferSources = 2
	// storeContactTimeout is the age of a follower's last answer from the store
	// after which another daemon takes its place, where digests of local peers are as
	// frequent as liveTimeout allows. A poll of the store takes up to 3 s.
	storeContactTimeout = 5 * time.Second
)

// State is the daemon's state that the mesh shares with peers.
type State interface {
	// Digest returns the daemon's digest, with the loads of endpoints if loads is
	// true. The mesh fills in the identity and the known peers.
	Digest(loads bool) *meshpb.Digest
	// Merge merges a peer's digest into the daemon's state.
	Merge(d *meshpb.Digest)
	// TransferTokens removes tokens of an account for a peer.
	TransferTokens(ctx context.Context, account string, r escrow.TransferRequest) escrow.Transfer
	// Items returns the daemon's copy of the store's items with a prefix.
	Items(prefix string) ([]platform.Item, platform.Revision)
	// Pushed handles changes that a follower of the store pushed.
	Pushed(c *meshpb.Changes)
	// Permit answers a peer's request for a permit.
	Permit(ctx context.Context, r *meshpb.PermitRequest) (*meshpb.PermitReply, error)
}

// Options configure a Mesh.
type Options struct {
	// ID identifies this incarnation of the daemon, Addr is the address of its mesh
	// listener and Domain its failure domain.
	ID, Addr, Domain string
	State            State
	Log              zerolog.Logger
	// Wrap, if not nil, wraps the connections to peers.
	Wrap func(net.Conn) net.Conn
	// Scope counts the messages to peers; nil: none.
	Scope tally.Scope
}

// peer is another daemon.
type peer struct {
	addr string
	// addrHash is the hash of addr, for ownerScore.
	addrHash uint64
	conn     *grpc.ClientConn
	// id, domain, balances, stopping, link and followsStore are from its last digest.
	id, domain string
	balances   map[string]int64
	// drained holds the accounts of which the peer gave less than was asked for since that digest. It may keep
	// tokens for its own requests, so they still count in balances.
	drained      map[string]bool
	stopping     bool
	link         overload.Peer
	followsStore bool
	// lastStoreContact is when the store last answered the peer, zero if never.
	lastStoreContact time.Time
	// lastReceived is when the last digest was received from the peer.
	lastReceived time.Time
	// lastCalled is when an exchange was last started, addedAt when the peer was
	// added.
	lastCalled, addedAt time.Time
	exchanging          bool
	unreachable         bool
	// suspectUntil is the end of the time in which the peer is not asked for tokens and
	// permits after silentRequests requests for them without an answer.
	suspectUntil   time.Time
	silentRequests int
	// permitSuspectUntil is the end of the time in which the peer is not asked for the permits of its
	// failure domain alone.
	permitSuspectUntil time.Time
}

// Mesh connects this daemon with its peers.
type Mesh struct {
	meshpb.UnimplementedMeshServer
	Options
	// addrHash is the hash of Addr, for ownerScore.
	addrHash uint64
	server   *grpc.Server
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
	// localPeerCount is the number of peers in this daemon's failure domain at the last round
	// of exchanges.
	localPeerCount int
	// answered holds recently answered token requests by id, so that retries
	// return the same result; answeredOrder holds their ids, oldest first.
	answered      map[string]*answeredRequest
	answeredOrder []string
}

// New returns a Mesh that is not connected yet.
func New(o Options) *Mesh {
	m := &Mesh{Options: o, addrHash: xxhash.Sum64String(o.Addr), peers: make(map[string]*peer), answered: make(map[string]*answeredRequest)}
	m.counters = newCounters(o.Scope)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ReadBufferSize(readBufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
	)
	meshpb.RegisterMeshServer(m.server, m)
	return m
}

// Serve starts to serve peers on l and to exchange digests with them, until Close.
func (m *Mesh) Serve(l net.Listener) {
	m.wg.Go(func() {
		if err := m.server.Serve(l); err != nil && m.ctx.Err() == nil {
			m.Log.Error().Err(err).Msg("mesh listener failed")
		}
	})
	m.wg.Go(m.exchangeLoop)
}

// Close stops the server and all exchanges and closes the connections.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.server.Stop()
	m.wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.conn.Close()
	}
}

// Add adds a peer by the address of its mesh listener. domain is its failure domain,
// empty if unknown.
func (m *Mesh) Add(addr, domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(addr, domain)
}

func (m *Mesh) add(addr, domain string) {
	if p := m.peers[addr]; p != nil && p.domain == "" {
		p.domain = domain
	}
	if addr == "" || addr == m.Addr || m.peers[addr] != nil {
		return
	}
	conn, ok := m.dial(addr)
	if !ok {
		return
	}
	m.peers[addr] = &peer{addr: addr, addrHash: xxhash.Sum64String(addr), domain: domain, conn: conn, addedAt: time.Now()}
	m.Log.Info().Str("peer", addr).Msg("peer known")
}

// dial returns a connection to a daemon, which is established on first use.
func (m *Mesh) dial(addr string) (conn *grpc.ClientConn, ok bool) {
	d := daemonDialer
	d.Wrap = m.Wrap
	conn, err := d.Dial(addr)
	if err != nil {
		m.Log.Error().Err(errors.Wrap(err, "connect to peer")).Str("peer", addr).Msg("peer address refused")
	}
	return conn, err == nil
}

func (m *Mesh) exchangeLoop() {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			m.startExchanges(now)
		}
	}
}

// startExchanges starts the exchanges that are due.
func (m *Mesh) startExchanges(now time.Time) {
	local, remote := m.beginExchanges(now)
	if len(local) > 0 {
		m.exchangeAll(local, m.newDigest(true))
	}
	if len(remote) > 0 {
		m.exchangeAll(remote, m.newDigest(false))
	}
}

func (m *Mesh) exchangeAll(peers []*peer, digest *meshpb.Digest) {
	for _, p := range peers {
		m.wg.Go(func() { m.exchange(p, digest) })
	}
}

// beginExchanges removes expired peers and marks and returns those to call now.
func (m *Mesh) beginExchanges(now time.Time) (local, remote []*peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.localPeerCount = m.countLocalPeers()
	for addr, p := range m.peers {
		m.checkReachable(now, p)
		if now.Sub(p.lastReceived) > peerExpiry && now.Sub(p.addedAt) > peerExpiry {
			p.conn.Close()
			delete(m.peers, addr)
		}
	}
	for _, p := range m.duePeers() {
		p.exchanging, p.lastCalled = true, now
		if m.isLocal(p.domain) {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	return local, remote
}

// duePeers returns the peers to call in this interval, least recently called first. The
// caller holds m.mu.
func (m *Mesh) duePeers() []*peer {
	idle := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		if !p.exchanging {
			idle = append(idle, p)
		}
	}
	sort.Slice(idle, func(i, j int) bool { return idle[i].lastCalled.Before(idle[j].lastCalled) })
	if !m.wide() {
		return idle[:min(len(idle), fanout)]
	}
	var due []*peer
	remaining := map[bool]int{true: localFanout, false: remoteFanout}
	for _, p := range idle {
		if local := m.isLocal(p.domain); remaining[local] > 0 {
			remaining[local]--
			due = append(due, p)
		}
	}
	return due
}

// checkReachable marks and logs a peer that is no longer live. The caller holds m.mu.
func (m *Mesh) checkReachable(now time.Time, p *peer) {
	if !p.unreachable && !p.lastReceived.IsZero() && !m.live(now, p) {
		p.unreachable = true
		m.Log.Warn().Str("peer", p.addr).Dur("silent_ms", now.Sub(p.lastReceived)).Msg("peer lost")
	}
}

// newDigest returns the digest for local or remote peers.
func (m *Mesh) newDigest(local bool) *meshpb.Digest {
	d := m.State.Digest(local)
	d.Id, d.Address, d.Domain = m.ID, m.Addr, m.Domain
	m.mu.Lock()
	defer m.mu.Unlock()
	wide := m.wide()
	for addr, p := range m.peers {
		if wide && len(d.Peers) == maxDigestPeers {
			break
		}
		if !p.unreachable && !p.lastReceived.IsZero() {
			d.Peers = append(d.Peers, addr)
		}
	}
	return d
}

func (m *Mesh) exchange(p *peer, digest *meshpb.Digest) {
	ctx, cancel := context.WithTimeout(m.ctx, exchangeTimeout)
	defer cancel()
	reply, err := meshpb.NewMeshClient(p.conn).Exchange(ctx, digest)
	m.mu.Lock()
	p.exchanging = false
	m.mu.Unlock()
	m.counters.digestBytes.Inc(int64(proto.Size(digest)))
	if err != nil {
		m.counters.exchangesFailed.Inc(1)
		m.Log.Debug().Err(failure.At(err, "mesh.exchange", p.addr)).Msg("exchange failed")
		return
	}
	m.counters.exchanges.Inc(1)
	m.merge(reply)
}

// merge records a peer's digest and passes it to the State.
func (m *Mesh) merge(d *meshpb.Digest) {
	m.mu.Lock()
	m.add(d.Address, d.Domain)
	for _, addr := range d.Peers {
		m.add(addr, "")
	}
	if p := m.peers[d.Address]; p != nil {
		if p.unreachable || p.id != d.Id {
			m.Log.Info().Str("peer", p.addr).Str("peer_id", d.Id).Msg("peer heard")
		}
		p.id, p.domain, p.balances, p.stopping, p.unreachable = d.Id, d.Domain, d.Balances, d.Stopping, false
		p.drained = nil
		p.link = overload.Peer{Overloaded: d.Overloaded, Free: float64(d.LinkFree), Demand: float64(d.LinkDemand)}
		p.suspectUntil, p.silentRequests, p.permitSuspectUntil = time.Time{}, 0, time.Time{}
		p.lastReceived, p.followsStore, p.lastStoreContact = time.Now(), d.Follows, time.Time{}
		if d.StoreAgeMs >= 0 {
			p.lastStoreContact = p.lastReceived.Add(-time.Duration(d.StoreAgeMs) * time.Millisecond)
		}
	}
	m.mu.Unlock()
	m.State.Merge(d)
}

// Exchange implements meshpb.MeshServer.
func (m *Mesh) Exchange(_ context.Context, d *meshpb.Digest) (*meshpb.Digest, error) {
	m.merge(d)
	m.mu.Lock()
	local := m.isLocal(d.Domain)
	m.mu.Unlock()
	return m.newDigest(local), nil
}

// Push implements meshpb.MeshServer.
func (m *Mesh) Push(_ context.Context, c *meshpb.Changes) (*meshpb.PushReply, error) {
	m.State.Pushed(c)
	return &meshpb.PushReply{}, nil
}

func (m *Mesh) connOf(addr string) *grpc.ClientConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[addr]; p != nil {
		return p.conn
	}
	return nil
}
