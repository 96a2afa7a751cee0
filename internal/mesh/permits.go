package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/permit"
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

// Grantor returns the daemon that grants the permits of an endpoint in a failure domain, by its
// key: the one with the highest score in that domain, or in the whole fleet if no daemon is
// known there. The address is empty for this daemon, which counts if self is true. It returns
// false if no daemon is in sight.
func (m *Mesh) Grantor(key, domain string, self bool) (addr string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, hash := time.Now(), xxhash.Sum64String(key)
	domain = m.electorate(domain)
	highest := uint64(0)
	if self && inElectorate(domain, m.Domain) {
		highest, ok = ownerScore(hash, m.addrHash), true
	}
	for _, p := range m.peers {
		if score := ownerScore(hash, p.addrHash); inElectorate(domain, p.domain) && score >= highest && m.rankable(now, p) {
			addr, highest, ok = p.addr, score, true
		}
	}
	return addr, ok
}

// GrantsAlone reports whether this daemon may grant the permits of an endpoint in a failure domain
// without asking another one of those that Grantor selects from. A peer that has not answered a request
// but is heard still ranks before it.
func (m *Mesh) GrantsAlone(key, domain string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, hash := time.Now(), xxhash.Sum64String(key)
	if domain = m.electorate(domain); !inElectorate(domain, m.Domain) {
		return false
	}
	var others []permit.Candidate
	for _, p := range m.peers {
		if inElectorate(domain, p.domain) {
			others = append(others, permit.Candidate{Rank: ownerScore(hash, p.addrHash), Heard: m.live(now, p), Stopping: p.stopping})
		}
	}
	return permit.GrantsAlone(ownerScore(hash, m.addrHash), others)
}

// electorate returns the failure domain whose daemons grant the permits of the endpoints in a
// failure domain, empty for all daemons. The caller holds m.mu.
func (m *Mesh) electorate(domain string) string {
	if domain == m.Domain {
		return domain
	}
	for _, p := range m.peers {
		if p.domain == domain {
			return domain
		}
	}
	return ""
}

func inElectorate(electorate, domain string) bool { return electorate == "" || electorate == domain }
