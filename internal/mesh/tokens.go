package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/status"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
)

// maxAnsweredRequests bounds the token requests whose results are kept for retries.
const maxAnsweredRequests = 1024

// maxSuspectDoublings is the number of doublings after which suspectTime exceeds
// maxSuspectTime.
const maxSuspectDoublings = 4

// answeredRequest is the result of a token request. transfer is valid once done is
// closed.
type answeredRequest struct {
	done     chan struct{}
	transfer escrow.Transfer
}

// TakeTokens implements meshpb.MeshServer.
func (m *Mesh) TakeTokens(ctx context.Context, r *meshpb.TakeRequest) (*meshpb.TakeReply, error) {
	a, first := m.requestByID(r.Id)
	if first {
		a.transfer = m.State.TransferTokens(ctx, r.Account, escrow.TransferRequest{Tokens: r.Tokens, Ahead: r.Ahead, HeldOnly: r.HeldOnly})
		close(a.done)
	}
	select {
	case <-a.done:
		return &meshpb.TakeReply{
			Tokens: a.transfer.Tokens, Empty: a.transfer.BudgetExhausted, Away: a.transfer.StoreUnreachable,
		}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// suspect records that a peer did not answer a request for tokens or a permit.
func (m *Mesh) suspect(addr string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[addr]; p != nil {
		p.suspectUntil = now.Add(min(suspectTime<<min(p.silentRequests, maxSuspectDoublings), maxSuspectTime))
		p.silentRequests++
	}
}

// requestByID returns the request with an id; first is true if it has not arrived
// before.
func (m *Mesh) requestByID(id string) (a *answeredRequest, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a, ok := m.answered[id]; ok {
		return a, false
	}
	a = &answeredRequest{done: make(chan struct{})}
	m.answered[id] = a
	m.answeredOrder = append(m.answeredOrder, id)
	if len(m.answeredOrder) > maxAnsweredRequests {
		delete(m.answered, m.answeredOrder[0])
		m.answeredOrder = m.answeredOrder[1:]
	}
	return a, true
}

// RequestTokens requests tokens from a peer. A retry with the same id returns the result
// of the first request.
func (m *Mesh) RequestTokens(
	ctx context.Context, addr, id, account string, r escrow.TransferRequest,
) (escrow.Transfer, error) {
	conn := m.connOf(addr)
	if conn == nil {
		return escrow.Transfer{}, failure.At(errors.New("unknown peer"), "mesh.take-tokens", addr)
	}
	request := &meshpb.TakeRequest{Id: id, Account: account, Tokens: r.Tokens, Ahead: r.Ahead, HeldOnly: r.HeldOnly}
	reply, err := meshpb.NewMeshClient(conn).TakeTokens(ctx, request)
	if err != nil {
		if r.HeldOnly {
			m.recordTransfer(addr, account, r.Tokens, 0) // it keeps its roles: any daemon is asked for these
		} else {
			m.suspect(addr, time.Now())
		}
		return escrow.Transfer{}, failure.At(err, "mesh.take-tokens", addr)
	}
	m.recordTransfer(addr, account, r.Tokens, reply.Tokens)
	return escrow.Transfer{Tokens: reply.Tokens, BudgetExhausted: reply.Empty, StoreUnreachable: reply.Away}, nil
}

// recordTransfer corrects what is known of a peer's tokens in a wide fleet by its reply, until its next
// digest: it is not asked to collect tokens again if it gave less than was requested.
func (m *Mesh) recordTransfer(addr, account string, requested, given int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[addr]
	if p == nil || p.balances[account] == 0 || !m.wide() {
		return
	}
	p.balances[account] = max(0, p.balances[account]-given)
	if given < requested {
		if p.drained == nil {
			p.drained = make(map[string]bool)
		}
		p.drained[account] = true
	}
}
