package front

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// A store that was restored from an older copy has an older configuration until the operator
// writes again. A daemon that starts meanwhile hears its peers before it uses what it has read.
const (
	// confirmingPeers is the number of peers without a confirmed version that confirm one,
	// as after a loss of power of the whole fleet.
	confirmingPeers = 4
	// confirmTimeout is how long after it has read a configuration a daemon uses it although
	// too few peers were heard.
	confirmTimeout = time.Second
)

// startVersion tells whether the first configuration that a daemon has read may be used: once
// its peers are heard and none of them has a newer version.
type startVersion struct {
	log       zerolog.Logger
	confirmed atomic.Bool
	mu        sync.Mutex
	// readAt is when the daemon first had a configuration.
	readAt time.Time
	// newest is the newest confirmed version of a peer, unconfirmed are the peers without one.
	newest      int64
	unconfirmed map[string]bool
}

// hear records the confirmed version of a peer, 0 if it has none.
func (s *startVersion) hear(peer string, version int64) {
	if s.confirmed.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = max(s.newest, version)
	if s.unconfirmed == nil {
		s.unconfirmed = make(map[string]bool)
	}
	s.unconfirmed[peer] = version == 0
}

// usable reports whether the daemon's own version may be used. others is the number of other
// daemons, -1 if it is not known yet.
func (s *startVersion) usable(now time.Time, own int64, others int) bool {
	if s.confirmed.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if own == 0 {
		return false
	}
	if s.readAt.IsZero() {
		s.readAt = now
	}
	heard := s.newest > 0 || others >= 0 && len(s.unconfirmed) >= min(others, confirmingPeers)
	ok := own >= s.newest && (heard || now.Sub(s.readAt) > confirmTimeout)
	if ok {
		s.confirmed.Store(true)
		s.log.Info().Int64("version", own).Int64("newest_of_peers", s.newest).Int("heard", len(s.unconfirmed)).Int("others", others).
			Dur("waited_ms", now.Sub(s.readAt)).Msg("first configuration in use")
	}
	return ok
}
