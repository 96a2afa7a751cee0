package front

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/routing"
)

// A store that was restored from an older copy has an older configuration until the operator
// writes again. A daemon that starts meanwhile hears its peers before it uses what it has read.
const (
	// confirmingPeers is the number of peers without a confirmed version that confirm one,
	// as after a loss of power of the whole fleet.
	confirmingPeers = 4
	// confirmTimeout is how long after it has read a configuration a daemon uses it although
	// too few peers were heard or the record of crashes was not read: it serves while the store is away.
	confirmTimeout = time.Second
)

// startVersion tells whether the first configuration that a daemon has read may be used: once
// its peers are heard, none of them has a newer version, and it is known which requests are isolated.
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
// daemons, -1 if it is not known yet. recordRead is true once the store's record of crashes is known; a
// peer with a confirmed version tells what is isolated, too.
func (s *startVersion) usable(now time.Time, own int64, others int, recordRead bool) bool {
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
	isolationKnown := recordRead || s.newest > 0
	ok := own >= s.newest && (heard && isolationKnown || now.Sub(s.readAt) > confirmTimeout)
	if ok {
		s.confirmed.Store(true)
		s.log.Info().Int64("version", own).Int64("newest_of_peers", s.newest).Int("heard", len(s.unconfirmed)).Int("others", others).
			Bool("crash_record_read", recordRead).Dur("waited_ms", now.Sub(s.readAt)).Msg("first configuration in use")
	}
	return ok
}

// table returns the configuration in use and its age; nil until the peers have confirmed the
// first one.
func (d *Daemon) table() (*routing.Table, time.Duration) {
	if !d.startVersion.confirmed.Load() && !d.startVersion.usable(time.Now(), d.config.version(), d.otherDaemons(), d.crashIsolator.recordRead.Load()) {
		return nil, 0
	}
	return d.config.table()
}

// otherDaemons returns the number of other daemons, -1 if it is not known yet.
func (d *Daemon) otherDaemons() int {
	select {
	case <-d.joined:
		return d.mesh.Count() - 1
	default:
		return -1
	}
}

// confirmedVersion returns the version of the configuration in use, 0 if there is none.
func (d *Daemon) confirmedVersion() int64 {
	if t, _ := d.table(); t == nil {
		return 0
	}
	return d.config.version()
}

// outdated reports whether the daemon has known for too long that it lacks a newer
// configuration: half of the time in which a change must be in force, since it may hear of a
// change late.
func (d *Daemon) outdated() bool {
	return d.configFeed.outdatedFor(time.Now()) > time.Duration(d.maxOutdated.Load())
}
