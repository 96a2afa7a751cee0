// Package mesh carries messages between entry daemons over gRPC and keeps the
// list of the other daemons: who they are, when they were last heard, and what
// they told of themselves.
package mesh

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Times of the mesh.
const (
	// exchangeInterval is the time between two exchanges with a peer.
	exchangeInterval = 250 * time.Millisecond
	// exchangeTimeout bounds one exchange; a peer answers in a few ms.
	exchangeTimeout = 600 * time.Millisecond
	// liveFor is the silence after which a peer is not counted as live.
	liveFor = 2500 * time.Millisecond
	// forgetAfter is the silence after which a peer is not called any more.
	forgetAfter = 2 * time.Minute
	// itemsTimeout bounds the copy of items, up to some hundred KB.
	itemsTimeout = time.Second
	connectDelay = 100 * time.Millisecond
	maxDelay     = time.Second
	pingTime     = 10 * time.Second
	pingTimeout  = 2 * time.Second
	// maxMessageBytes bounds a message: the configuration is below a megabyte.
	maxMessageBytes = 4 << 20
)

// fanout is the number of peers that a daemon calls in one interval; in a
// larger fleet it calls them in turn, so that its work does not grow with it.
const fanout = 8

// State is what the daemon tells and learns.
type State interface {
	// Digest returns what to tell; the mesh fills in the identity.
	Digest() *meshpb.Digest
	// Learn takes what a peer told.
	Learn(d *meshpb.Digest)
	// Give takes tokens out for a peer.
	Give(ctx context.Context, account string, tokens int64) int64
	// Items returns the daemon's copy of items with a prefix.
	Items(prefix string) ([]platform.Item, platform.Revision)
}

// Options configure a Mesh.
type Options struct {
	// ID names this start of the daemon, Addr its listener.
	ID, Addr, Domain string
	State            State
	Log              zerolog.Logger
}

// peer is another daemon.
type peer struct {
	addr string
	conn *grpc.ClientConn
	// id and balances are from its last digest.
	id       string
	balances map[string]int64
	stopping bool
	heard    time.Time
	// called is when an exchange was last started; known when it was added.
	called, known time.Time
	busy          bool
	lost          bool
}

// Mesh is this daemon's end.
type Mesh struct {
	meshpb.UnimplementedMeshServer
	Options
	server *grpc.Server
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
	// taken remembers the asks answered lately, for repeats.
	taken map[string]*answered
	order []string
}

// New returns a mesh that is not connected yet.
func New(o Options) *Mesh {
	m := &Mesh{Options: o, peers: make(map[string]*peer), taken: make(map[string]*answered)}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingTime / 2, PermitWithoutStream: true}),
	)
	meshpb.RegisterMeshServer(m.server, m)
	return m
}

// Serve answers peers on l until Close and starts the exchanges.
func (m *Mesh) Serve(l net.Listener) {
	m.wg.Go(func() {
		if err := m.server.Serve(l); err != nil && m.ctx.Err() == nil {
			m.Log.Error().Err(err).Msg("mesh listener failed")
		}
	})
	m.wg.Go(m.loop)
}

// Close ends all exchanges.
func (m *Mesh) Close() {
	m.cancel()
	m.server.Stop()
	m.wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.conn.Close()
	}
}

// Add makes a daemon known by its address.
func (m *Mesh) Add(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(addr)
}

func (m *Mesh) add(addr string) {
	if addr == "" || addr == m.Addr || m.peers[addr] != nil {
		return
	}
	conn, err := dial(addr)
	if err != nil {
		m.Log.Error().Err(err).Str("peer", addr).Msg("peer address refused")
		return
	}
	m.peers[addr] = &peer{addr: addr, conn: conn, known: time.Now()}
	m.Log.Info().Str("peer", addr).Msg("peer known")
}

func dial(addr string) (*grpc.ClientConn, error) {
	bo := backoff.DefaultConfig
	bo.BaseDelay, bo.MaxDelay = connectDelay, maxDelay
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bo, MinConnectTimeout: exchangeTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingTime, Timeout: pingTimeout}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	return conn, errors.Wrap(err, "connect to peer")
}

func (m *Mesh) loop() {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			m.round(now)
		}
	}
}

// round starts the exchanges that are due.
func (m *Mesh) round(now time.Time) {
	m.mu.Lock()
	due := make([]*peer, 0, len(m.peers))
	for addr, p := range m.peers {
		m.noteLoss(now, p)
		if now.Sub(p.heard) > forgetAfter && now.Sub(p.known) > forgetAfter {
			p.conn.Close()
			delete(m.peers, addr)
			continue
		}
		if !p.busy {
			due = append(due, p)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].called.Before(due[j].called) })
	due = due[:min(len(due), fanout)]
	for _, p := range due {
		p.busy, p.called = true, now
	}
	m.mu.Unlock()
	if len(due) == 0 {
		return
	}
	digest := m.digest()
	for _, p := range due {
		m.wg.Go(func() { m.exchange(p, digest) })
	}
}

// noteLoss logs a peer that fell silent.
func (m *Mesh) noteLoss(now time.Time, p *peer) {
	if !p.lost && !p.heard.IsZero() && now.Sub(p.heard) > liveFor {
		p.lost = true
		m.Log.Warn().Str("peer", p.addr).Dur("silent_ms", now.Sub(p.heard)).Msg("peer lost")
	}
}

func (m *Mesh) digest() *meshpb.Digest {
	d := m.State.Digest()
	d.Id, d.Address, d.Domain = m.ID, m.Addr, m.Domain
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, p := range m.peers {
		if !p.lost && !p.heard.IsZero() {
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
	p.busy = false
	m.mu.Unlock()
	if err != nil {
		m.Log.Debug().Err(failure.At(err, "mesh.exchange", p.addr)).Msg("exchange failed")
		return
	}
	m.learn(reply)
}

// learn records a digest and passes it on.
func (m *Mesh) learn(d *meshpb.Digest) {
	m.mu.Lock()
	m.add(d.Address)
	for _, addr := range d.Peers {
		m.add(addr)
	}
	if p := m.peers[d.Address]; p != nil {
		if p.lost || p.id != d.Id {
			m.Log.Info().Str("peer", p.addr).Str("peer_id", d.Id).Msg("peer heard")
		}
		p.id, p.balances, p.stopping, p.heard, p.lost = d.Id, d.Balances, d.Stopping, time.Now(), false
	}
	m.mu.Unlock()
	m.State.Learn(d)
}

// Exchange implements meshpb.MeshServer.
func (m *Mesh) Exchange(_ context.Context, d *meshpb.Digest) (*meshpb.Digest, error) {
	m.learn(d)
	return m.digest(), nil
}

// maxTaken bounds the answered asks that are remembered.
const maxTaken = 1024

// answered is an ask with its answer, which is complete once done is closed.
type answered struct {
	done   chan struct{}
	tokens int64
}

// TakeTokens implements meshpb.MeshServer.
func (m *Mesh) TakeTokens(ctx context.Context, r *meshpb.TakeRequest) (*meshpb.TakeReply, error) {
	a, first := m.ask(r.Id)
	if first {
		a.tokens = m.State.Give(ctx, r.Account, r.Tokens)
		close(a.done)
	}
	select {
	case <-a.done:
		return &meshpb.TakeReply{Tokens: a.tokens}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// ask returns the ask with an id; first is true for its first arrival.
func (m *Mesh) ask(id string) (a *answered, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a, ok := m.taken[id]; ok {
		return a, false
	}
	a = &answered{done: make(chan struct{})}
	m.taken[id] = a
	m.order = append(m.order, id)
	if len(m.order) > maxTaken {
		delete(m.taken, m.order[0])
		m.order = m.order[1:]
	}
	return a, true
}

// Items implements meshpb.MeshServer.
func (m *Mesh) Items(_ context.Context, r *meshpb.ItemsRequest) (*meshpb.ItemsReply, error) {
	items, revision := m.State.Items(r.Prefix)
	reply := &meshpb.ItemsReply{Revision: int64(revision)}
	for _, i := range items {
		reply.Items = append(reply.Items, &meshpb.Item{Key: i.Key, Value: i.Value, Revision: int64(i.Revision)})
	}
	return reply, nil
}

// FetchItems returns a peer's copy of items.
func (m *Mesh) FetchItems(addr, prefix string) ([]platform.Item, platform.Revision, error) {
	conn := m.connOf(addr)
	if conn == nil {
		return nil, 0, failure.At(errors.New("unknown peer"), "mesh.items", addr)
	}
	ctx, cancel := context.WithTimeout(m.ctx, itemsTimeout)
	defer cancel()
	reply, err := meshpb.NewMeshClient(conn).Items(ctx, &meshpb.ItemsRequest{Prefix: prefix})
	if err != nil {
		return nil, 0, failure.At(err, "mesh.items", addr)
	}
	items := make([]platform.Item, 0, len(reply.Items))
	for _, i := range reply.Items {
		items = append(items, platform.Item{Key: i.Key, Value: i.Value, Revision: platform.Revision(i.Revision)})
	}
	return items, platform.Revision(reply.Revision), nil
}

func (m *Mesh) connOf(addr string) *grpc.ClientConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[addr]; p != nil {
		return p.conn
	}
	return nil
}

// Ask asks a peer for tokens. An ask whose answer is lost is repeated once
// under the same id, so that the tokens are not lost with the answer.
func (m *Mesh) Ask(ctx context.Context, addr, account string, tokens int64) (int64, error) {
	conn := m.connOf(addr)
	if conn == nil {
		return 0, failure.At(errors.New("unknown peer"), "mesh.take-tokens", addr)
	}
	request := &meshpb.TakeRequest{Id: uuid.NewString(), Account: account, Tokens: tokens}
	client := meshpb.NewMeshClient(conn)
	reply, err := client.TakeTokens(ctx, request)
	if err != nil {
		again, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
		defer cancel()
		reply, err = client.TakeTokens(again, request)
	}
	if err != nil {
		return 0, failure.At(err, "mesh.take-tokens", addr)
	}
	return reply.Tokens, nil
}

// Richest returns the live peers, the one with the most tokens first. One that
// holds none may be able to draw some.
func (m *Mesh) Richest(account string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var live []*peer
	for _, p := range m.peers {
		if now.Sub(p.heard) < liveFor {
			live = append(live, p)
		}
	}
	sort.Slice(live, func(i, j int) bool {
		if live[i].balances[account] != live[j].balances[account] {
			return live[i].balances[account] > live[j].balances[account]
		}
		return live[i].addr < live[j].addr
	})
	addrs := make([]string, 0, len(live))
	for _, p := range live {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// Count returns the number of daemons that take work, this one included.
func (m *Mesh) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	n := 1
	for _, p := range m.peers {
		if !p.stopping && now.Sub(p.heard) < liveFor {
			n++
		}
	}
	return n
}
