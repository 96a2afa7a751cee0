package mesh

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc/status"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
)

// maxTaken bounds the answered asks that are remembered.
const maxTaken = 1024

// answered is an ask with its answer, which is complete once done is closed.
type answered struct {
	done chan struct{}
	gift escrow.Transfer
}

// TakeTokens implements meshpb.MeshServer.
func (m *Mesh) TakeTokens(ctx context.Context, r *meshpb.TakeRequest) (*meshpb.TakeReply, error) {
	a, first := m.ask(r.Id)
	if first {
		a.gift = m.State.TransferTokens(ctx, r.Account, r.Tokens)
		close(a.done)
	}
	select {
	case <-a.done:
		return &meshpb.TakeReply{Tokens: a.gift.Tokens, Empty: a.gift.BudgetExhausted, Away: a.gift.StoreUnreachable}, nil
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

// Ask asks a peer for tokens. A repeat under the same id returns what the first
// ask took.
func (m *Mesh) RequestTokens(ctx context.Context, addr, id, account string, tokens int64) (escrow.Transfer, error) {
	conn := m.connOf(addr)
	if conn == nil {
		return escrow.Transfer{}, failure.At(errors.New("unknown peer"), "mesh.take-tokens", addr)
	}
	request := &meshpb.TakeRequest{Id: id, Account: account, Tokens: tokens}
	reply, err := meshpb.NewMeshClient(conn).TakeTokens(ctx, request)
	if err != nil {
		return escrow.Transfer{}, failure.At(err, "mesh.take-tokens", addr)
	}
	return escrow.Transfer{Tokens: reply.Tokens, BudgetExhausted: reply.Empty, StoreUnreachable: reply.Away}, nil
}
