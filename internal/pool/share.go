package pool

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/route"
)

// maxDigestBytes bounds the size of the load digest of one service.
const maxDigestBytes = 300

// LoadDigests returns this daemon's load digest of each service.
func (s *Set) LoadDigests() map[string][]byte {
	digests := make(map[string][]byte)
	for _, p := range s.poolList() {
		p.mu.Lock()
		digests[p.service] = p.route.AppendDigest(nil, maxDigestBytes)
		p.mu.Unlock()
	}
	return digests
}

// SetPeerLoad stores the load digest that a peer sent for a service.
func (s *Set) SetPeerLoad(from, service string, body []byte) error {
	p, ok := s.pool(service)
	if !ok {
		return errors.Errorf("load digest of unknown service %q", service)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.route.SetPeerDigest(s.opts.Now(), from, body)
}

// RemovePeer removes the load digests of a peer that left the fleet.
func (s *Set) RemovePeer(peer string) {
	for _, p := range s.poolList() {
		p.mu.Lock()
		p.route.RemovePeer(peer)
		p.mu.Unlock()
	}
}

// RecordLoadReport records the load that an endpoint reported for itself.
func (s *Set) RecordLoadReport(service, endpoint string, r route.LoadReport) {
	p, ok := s.pool(service)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route.RecordReport(s.opts.Now(), route.EndpointID(endpoint), r)
}

// Status returns the status of each endpoint by service.
func (s *Set) Status() map[string][]route.EndpointStatus {
	status := make(map[string][]route.EndpointStatus)
	for _, p := range s.poolList() {
		p.mu.Lock()
		status[p.service] = p.route.Status()
		p.mu.Unlock()
	}
	return status
}

// recordCrash records that an endpoint crashed while it ran this daemon's
// requests, and reports whether the request with digest d must not be retried.
func (s *Set) recordCrash(p *Pool, endpoint route.EndpointID, d poison.Digest) bool {
	p.mu.Lock()
	digests := make([]poison.Digest, 0, len(p.runningDigests[endpoint]))
	for _, other := range p.runningDigests[endpoint] {
		digests = append(digests, other)
	}
	p.mu.Unlock()
	p.crashes.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	s.poison.RecordCrash(now, string(endpoint), digests)
	return s.poison.Verdict(now, d) > poison.Watched
}

// isSuspect reports whether an endpoint crashed while it ran a request with
// digest d, which must then not be sent to a second endpoint.
func (s *Set) isSuspect(d poison.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Verdict(s.opts.Now(), d) != poison.Allowed
}

// PoisonEntries returns the encoded poison entries that are to be sent to the
// peers, nil if there are none.
func (s *Set) PoisonEntries() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := s.poison.TakePending()
	if len(entries) == 0 {
		return nil, nil
	}
	body, err := json.Marshal(entries)
	return body, errors.Wrap(err, "encode poison entries")
}

// MergePoisonEntries merges the encoded poison entries of a peer.
func (s *Set) MergePoisonEntries(body []byte) error {
	var entries []poison.Entry
	if err := json.Unmarshal(body, &entries); err != nil {
		return errors.Wrap(err, "decode poison entries")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Merge(s.opts.Now(), entries)
	return nil
}
