package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/dialer"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/peer/peerpb"
)

// Connection parameters. A half-open connection is detected by a ping that is
// sent after pingInterval and not answered within pingTimeout. By default, gRPC
// servers refuse pings at intervals of less than ten seconds.
const (
	pingInterval   = 10 * time.Second
	pingTimeout    = 3 * time.Second
	connectBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Client calls other daemons by address. Connections are opened on first use and
// kept until Forget or Close.
type Client struct {
	creds credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client. If creds is nil, connections are in plain text.
func NewClient(creds credentials.TransportCredentials) *Client {
	return &Client{creds: creds, conns: make(map[string]*grpc.ClientConn)}
}

func (c *Client) stub(addr string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		return peerpb.NewPeerClient(conn), nil
	}
	conn, err := dialer.GRPCOptions{
		Creds: c.creds, FirstBackoff: connectBackoff, MaxBackoff: maxBackoff, ConnectTimeout: time.Second,
		PingInterval: pingInterval, PingTimeout: pingTimeout, MaxMessageBytes: maxMessageBytes,
	}.Dial(addr)
	if err != nil {
		return nil, failure.At(err, "peer.connect", addr)
	}
	c.conns[addr] = conn
	return peerpb.NewPeerClient(conn), nil
}

// Forget closes the connection to a daemon that has left the fleet or is dead.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		conn.Close()
		delete(c.conns, addr)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		conn.Close()
		delete(c.conns, addr)
	}
}

// call sends one request and converts its reply. Errors carry the step and addr.
func call[Q, A, R any](c *Client, ctx context.Context, addr, step string, request Q,
	send func(peerpb.PeerClient, context.Context, Q, ...grpc.CallOption) (A, error), convert func(A) R,
) (R, error) {
	var zero R
	stub, err := c.stub(addr)
	if err != nil {
		return zero, err
	}
	reply, err := send(stub, ctx, request)
	if err != nil {
		return zero, failure.At(err, step, addr)
	}
	return convert(reply), nil
}

func ignoreEmpty(*peerpb.Empty) struct{} { return struct{}{} }

// Reserve requests a reservation from the allocator at addr.
func (c *Client) Reserve(ctx context.Context, addr string, r budget.ReserveRequest) (budget.Reply, error) {
	return call(c, ctx, addr, "budget.reserve", reserveToProto(r), peerpb.PeerClient.Reserve, replyFromProto)
}

// Extend requests an extension of a reservation from the allocator at addr.
func (c *Client) Extend(ctx context.Context, addr string, r budget.ExtendRequest) (budget.Reply, error) {
	return call(c, ctx, addr, "budget.extend", extendToProto(r), peerpb.PeerClient.Extend, replyFromProto)
}

// Settle sends settlements to the allocator at addr.
func (c *Client) Settle(ctx context.Context, addr string, r budget.SettleRequest) (budget.Reply, error) {
	return call(c, ctx, addr, "budget.settle", settleToProto(r), peerpb.PeerClient.Settle, replyFromProto)
}

// Register registers this daemon's holder with the allocator at addr.
func (c *Client) Register(ctx context.Context, addr string, r budget.RegisterRequest) (budget.Reply, error) {
	return call(c, ctx, addr, "budget.register", registerToProto(r), peerpb.PeerClient.Register, replyFromProto)
}

// Mirror sends reservations to be mirrored at addr.
func (c *Client) Mirror(ctx context.Context, addr string, m budget.MirrorRequest) (budget.MirrorAnswer, error) {
	return call(c, ctx, addr, "budget.mirror", mirrorToProto(m), peerpb.PeerClient.Mirror, mirrorAnswerFromProto)
}

// Reclaim asks the allocator at addr to return idle tokens.
func (c *Client) Reclaim(ctx context.Context, addr string, r budget.ReclaimRequest) error {
	_, err := call(c, ctx, addr, "budget.reclaim", reclaimToProto(r), peerpb.PeerClient.Reclaim, ignoreEmpty)
	return err
}

// AnnounceEpoch announces the epoch of a new allocator to the daemon at addr.
func (c *Client) AnnounceEpoch(ctx context.Context, addr string, shard int, epoch uint64) error {
	n := &peerpb.EpochNotice{Shard: uint32(shard), Epoch: epoch}
	_, err := call(c, ctx, addr, "budget.announce", n, peerpb.PeerClient.AnnounceEpoch, ignoreEmpty)
	return err
}

// Gossip sends a membership message.
func (c *Client) Gossip(ctx context.Context, addr string, m membership.Message) error {
	_, err := call(c, ctx, addr, "membership.send", messageToProto(m), peerpb.PeerClient.Gossip, ignoreEmpty)
	return err
}

// LoadMessage holds the load digests of all services, ready to be sent.
type LoadMessage struct{ digests *peerpb.LoadDigests }

// NewLoadMessage returns the message of the daemon's load digests, which are
// given by service.
func NewLoadMessage(from string, digests map[string][]byte) LoadMessage {
	message := &peerpb.LoadDigests{From: from}
	for service, body := range digests {
		message.Digests = append(message.Digests, &peerpb.LoadDigest{Service: service, Body: body})
	}
	return LoadMessage{message}
}

// Size returns the encoded size of the message in bytes, without headers.
func (l LoadMessage) Size() int { return proto.Size(l.digests) }

// ShareLoad sends load digests.
func (c *Client) ShareLoad(ctx context.Context, addr string, l LoadMessage) error {
	_, err := call(c, ctx, addr, "load.share", l.digests, peerpb.PeerClient.ShareLoad, ignoreEmpty)
	return err
}

// SharePoison sends records of requests that crashed an endpoint.
func (c *Client) SharePoison(ctx context.Context, addr, from string, body []byte) error {
	m := &peerpb.PoisonEntries{From: from, Body: body}
	_, err := call(c, ctx, addr, "poison.share", m, peerpb.PeerClient.SharePoison, ignoreEmpty)
	return err
}

// ShareRevision sends a configuration revision.
func (c *Client) ShareRevision(ctx context.Context, addr, from string, revision int64, body []byte) error {
	m := &peerpb.RevisionNotice{From: from, Revision: revision, Body: body}
	_, err := call(c, ctx, addr, "config.share", m, peerpb.PeerClient.ShareRevision, ignoreEmpty)
	return err
}

// Status returns the current configuration revision at addr and the time since
// the store confirmed it.
func (c *Client) Status(ctx context.Context, addr string) (revision uint64, age time.Duration, err error) {
	st, err := call(c, ctx, addr, "fleet.status", &peerpb.Empty{}, peerpb.PeerClient.Status,
		func(s *peerpb.DaemonStatus) *peerpb.DaemonStatus { return s })
	return st.GetRevision(), time.Duration(st.GetAgeMs()) * time.Millisecond, err
}
