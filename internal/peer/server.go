// Package peer implements the gRPC client and server of the messages between
// daemons.
package peer

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/peer/peerpb"
)

// maxMessageBytes limits a message between daemons. A registration after a long
// outage of the store contains thousands of bills.
const maxMessageBytes = 16 << 20

// Budgets handles the messages on budgets.
type Budgets interface {
	Reserve(ctx context.Context, r budget.ReserveRequest) (budget.Reply, error)
	Extend(ctx context.Context, r budget.ExtendRequest) (budget.Reply, error)
	Settle(ctx context.Context, r budget.SettleRequest) (budget.Reply, error)
	Register(ctx context.Context, r budget.RegisterRequest) (budget.Reply, error)
	Mirror(m budget.MirrorRequest) budget.MirrorAnswer
	Reclaim(r budget.ReclaimRequest)
	ObserveEpoch(shard int, epoch uint64)
}

// Handler handles all other messages.
type Handler interface {
	Gossip(m membership.Message)
	Load(from, service string, body []byte)
	Poison(from string, body []byte)
	Revision(from string, revision int64, body []byte)
	// Status returns the current configuration revision and the time since the
	// store confirmed it.
	Status() (revision uint64, age time.Duration)
}

// Server serves the requests of other daemons.
type Server struct {
	peerpb.UnimplementedPeerServer
	budgets Budgets
	handler Handler
	log     zerolog.Logger
}

// NewServer returns a gRPC server. If creds is nil, connections are in plain text.
func NewServer(b Budgets, h Handler, creds credentials.TransportCredentials, log zerolog.Logger) *grpc.Server {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	s := grpc.NewServer(grpc.Creds(creds), grpc.MaxRecvMsgSize(maxMessageBytes))
	peerpb.RegisterPeerServer(s, &Server{budgets: b, handler: h, log: log})
	return s
}

func budgetReply(r budget.Reply, err error) (*peerpb.BudgetReply, error) {
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return replyToProto(r), nil
}

// Reserve implements peerpb.PeerServer.
func (s *Server) Reserve(ctx context.Context, r *peerpb.ReserveRequest) (*peerpb.BudgetReply, error) {
	return budgetReply(s.budgets.Reserve(ctx, reserveFromProto(r)))
}

// Extend implements peerpb.PeerServer.
func (s *Server) Extend(ctx context.Context, r *peerpb.ExtendRequest) (*peerpb.BudgetReply, error) {
	return budgetReply(s.budgets.Extend(ctx, extendFromProto(r)))
}

// Settle implements peerpb.PeerServer.
func (s *Server) Settle(ctx context.Context, r *peerpb.SettleRequest) (*peerpb.BudgetReply, error) {
	return budgetReply(s.budgets.Settle(ctx, settleFromProto(r)))
}

// Register implements peerpb.PeerServer.
func (s *Server) Register(ctx context.Context, r *peerpb.RegisterRequest) (*peerpb.BudgetReply, error) {
	return budgetReply(s.budgets.Register(ctx, registerFromProto(r)))
}

// Mirror implements peerpb.PeerServer.
func (s *Server) Mirror(_ context.Context, r *peerpb.MirrorRequest) (*peerpb.MirrorAnswer, error) {
	return mirrorAnswerToProto(s.budgets.Mirror(mirrorFromProto(r))), nil
}

// Reclaim implements peerpb.PeerServer.
func (s *Server) Reclaim(_ context.Context, r *peerpb.ReclaimRequest) (*peerpb.Empty, error) {
	s.budgets.Reclaim(reclaimFromProto(r))
	return &peerpb.Empty{}, nil
}

// AnnounceEpoch implements peerpb.PeerServer.
func (s *Server) AnnounceEpoch(_ context.Context, r *peerpb.EpochNotice) (*peerpb.Empty, error) {
	s.budgets.ObserveEpoch(int(r.GetShard()), r.GetEpoch())
	return &peerpb.Empty{}, nil
}

// Gossip implements peerpb.PeerServer.
func (s *Server) Gossip(_ context.Context, m *peerpb.GossipMessage) (*peerpb.Empty, error) {
	s.handler.Gossip(messageFromProto(m))
	return &peerpb.Empty{}, nil
}

// ShareLoad implements peerpb.PeerServer.
func (s *Server) ShareLoad(_ context.Context, m *peerpb.LoadDigests) (*peerpb.Empty, error) {
	for _, d := range m.GetDigests() {
		s.handler.Load(m.GetFrom(), d.GetService(), d.GetBody())
	}
	return &peerpb.Empty{}, nil
}

// SharePoison implements peerpb.PeerServer.
func (s *Server) SharePoison(_ context.Context, m *peerpb.PoisonEntries) (*peerpb.Empty, error) {
	s.handler.Poison(m.GetFrom(), m.GetBody())
	return &peerpb.Empty{}, nil
}

// ShareRevision implements peerpb.PeerServer.
func (s *Server) ShareRevision(_ context.Context, m *peerpb.RevisionNotice) (*peerpb.Empty, error) {
	s.handler.Revision(m.GetFrom(), m.GetRevision(), m.GetBody())
	return &peerpb.Empty{}, nil
}

// Status implements peerpb.PeerServer.
func (s *Server) Status(context.Context, *peerpb.Empty) (*peerpb.DaemonStatus, error) {
	revision, age := s.handler.Status()
	return &peerpb.DaemonStatus{Revision: revision, AgeMs: age.Milliseconds()}, nil
}
