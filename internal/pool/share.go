package pool

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/route"
)

// digestBytes bounds the load digest of one service.
const digestBytes = 300

// Digests returns this daemon's load digest of each service.
func (s *Set) Digests() map[string][]byte {
	digests := make(map[string][]byte)
	for _, p := range s.all() {
		p.mu.Lock()
		digests[p.service] = p.route.AppendDigest(nil, digestBytes)
		p.mu.Unlock()
	}
	return digests
}

// PeerLoad takes the load digest of another daemon.
func (s *Set) PeerLoad(from, service string, body []byte) error {
	p, ok := s.pool(service)
	if !ok {
		return errors.Errorf("load digest of unknown service %q", service)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.route.SetPeerDigest(s.o.Now(), from, body)
}

// Forget drops the load digests of a daemon that is gone.
func (s *Set) Forget(peer string) {
	for _, p := range s.all() {
		p.mu.Lock()
		p.route.RemovePeer(peer)
		p.mu.Unlock()
	}
}

// Report takes an endpoint's own load report.
func (s *Set) Report(service, endpoint string, r route.LoadReport) {
	p, ok := s.pool(service)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route.RecordReport(s.o.Now(), route.EndpointID(endpoint), r)
}

// Status returns the view of each endpoint by service.
func (s *Set) Status() map[string][]route.EndpointStatus {
	status := make(map[string][]route.EndpointStatus)
	for _, p := range s.all() {
		p.mu.Lock()
		status[p.service] = p.route.Status()
		p.mu.Unlock()
	}
	return status
}

// crashed records that an endpoint failed with the requests on it and reports
// whether the digest must not be retried.
func (s *Set) crashed(p *Pool, endpoint route.EndpointID, d poison.Digest) bool {
	p.mu.Lock()
	digests := make([]poison.Digest, 0, len(p.running[endpoint]))
	for _, other := range p.running[endpoint] {
		digests = append(digests, other)
	}
	p.mu.Unlock()
	p.crashes.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Now()
	s.poison.Crashed(now, string(endpoint), digests)
	return s.poison.Verdict(now, d) > poison.Watched
}

// suspect reports whether endpoints crashed with the digest, so that it must
// not be sent to a second one.
func (s *Set) suspect(d poison.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Verdict(s.o.Now(), d) != poison.Allow
}

// PoisonEntries returns the crashes to send to the other daemons, nil if there
// are none.
func (s *Set) PoisonEntries() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := s.poison.Pending()
	if len(entries) == 0 {
		return nil, nil
	}
	body, err := json.Marshal(entries)
	return body, errors.Wrap(err, "encode crashes")
}

// MergePoison takes the crashes that another daemon has seen.
func (s *Set) MergePoison(body []byte) error {
	var entries []poison.Entry
	if err := json.Unmarshal(body, &entries); err != nil {
		return errors.Wrap(err, "decode crashes")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.Merge(s.o.Now(), entries)
	return nil
}
