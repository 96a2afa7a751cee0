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

const (
	// permitTimeout bounds a request for a permit; a peer answers in a few ms.
	permitTimeout = 200 * time.Millisecond
	// permitAnswerTime is the time after which a request for a permit that its caller ends tells that
	// the peer is slow.
	permitAnswerTime = 30 * time.Millisecond
	// permitSuspectTime is the time for which such a peer is not asked for the permits of its
	// failure domain. It ends with the next digest of the peer.
	permitSuspectTime = time.Second
)

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
	asked := time.Now()
	timed, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := meshpb.NewMeshClient(conn).Permit(timed, r)
	if err != nil {
		m.permitUnanswered(ctx, addr, asked, time.Now())
		return nil, failure.At(err, "mesh.permit", addr)
	}
	return reply, nil
}

// permitUnanswered records that a peer gave no answer to a request for a permit. A peer that did not
// answer until the caller's deadline is only passed over for permits for a short time: the deadline may
// be too short for a busy link.
func (m *Mesh) permitUnanswered(ctx context.Context, addr string, asked, now time.Time) {
	switch {
	case ctx.Err() == nil:
		m.suspect(addr, now)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && now.Sub(asked) >= permitAnswerTime:
		m.mu.Lock()
		defer m.mu.Unlock()
		if p := m.peers[addr]; p != nil {
			p.permitSuspectUntil = now.Add(permitSuspectTime)
		}
	}
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
// known there, without peers that did not answer such a request a short time ago. The address is empty
// for this daemon, which counts if self is true. It returns false if no daemon is in sight.
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
		asked := inElectorate(domain, p.domain) && !now.Before(p.permitSuspectUntil) && m.rankable(now, p)
		if score := ownerScore(hash, p.addrHash); asked && score >= highest {
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
