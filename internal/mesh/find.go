package mesh

import (
	"context"
	"sync"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
)

// Find exchanges digests with the daemons at those addresses that are no peers, and adds the ones that
// answer. Addresses of daemons that have ended have no effect.
func (m *Mesh) Find(addrs []string) {
	m.mu.Lock()
	if m.ctx.Err() != nil {
		m.mu.Unlock()
		return
	}
	m.wg.Add(1) // Close waits: no peer may be added after it
	m.mu.Unlock()
	defer m.wg.Done()
	var wg sync.WaitGroup
	digest, limit := m.newDigest(false), make(chan struct{}, fanout)
	for _, addr := range addrs {
		if addr == "" || addr == m.Addr || m.connOf(addr) != nil {
			continue
		}
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			m.find(addr, digest)
		})
	}
	wg.Wait()
}

func (m *Mesh) find(addr string, digest *meshpb.Digest) {
	conn, ok := m.dial(addr)
	if !ok {
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(m.ctx, exchangeTimeout)
	defer cancel()
	reply, err := meshpb.NewMeshClient(conn).Exchange(ctx, digest)
	if err != nil {
		m.Log.Debug().Err(failure.At(err, "mesh.find", addr)).Msg("registered daemon does not answer")
		return
	}
	m.merge(reply)
}
