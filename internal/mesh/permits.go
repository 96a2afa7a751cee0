package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
)

// permitTimeout bounds a request for a permit; a peer answers in a few ms.
const permitTimeout = 200 * time.Millisecond

// Permit implements meshpb.MeshServer.
func (m *Mesh) Permit(ctx context.Context, r *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	return m.State.Permit(ctx, r)
}

// RequestPermit asks a peer for a permit.
func (m *Mesh) RequestPermit(ctx context.Context, addr string, r *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	conn := m.connOf(addr)
	if conn == nil {
		return nil, failure.At(errors.New("unknown peer"), "mesh.permit", addr)
	}
	timed, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := meshpb.NewMeshClient(conn).Permit(timed, r)
	if err != nil {
		if ctx.Err() == nil {
			m.suspect(addr, time.Now())
		}
		return nil, failure.At(err, "mesh.permit", addr)
	}
	return reply, nil
}

// HighestRanked returns the daemon of the whole fleet with the highest score for a key among the peers
// that are presumed live and, if self is true, this daemon. The address is empty for this daemon.
func (m *Mesh) HighestRanked(key string, self bool) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, hash := time.Now(), xxhash.Sum64String(key)
	best, highest := "", uint64(0)
	if self {
		highest = ownerScore(hash, m.addrHash)
	}
	for _, p := range m.peers {
		if score := ownerScore(hash, p.addrHash); score > highest && m.rankable(now, p) {
			best, highest = p.addr, score
		}
	}
	return best
}
