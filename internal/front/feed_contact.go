package front

import "time"

// recordContact records that the store responded. It is called before what was read is
// applied and passed on, since removals after an outage are judged by the time of the
// store's return.
func (f *feed) recordContact(now time.Time) {
	f.mu.Lock()
	if lostAt := f.lostAt; !lostAt.IsZero() {
		readByPeers := f.readByPeers(now)
		f.lostAt = time.Time{}
		if now.Sub(lostAt) > storeUnreachableAfter && !readByPeers {
			f.regainedAt = now
		}
		f.log.Info().Str("prefix", f.prefix).Dur("after_ms", now.Sub(lostAt)).Bool("read_by_peers", readByPeers).Msg("store regained")
	}
	f.contactedAt = now
	f.consumer.storeReachable(now)
	f.mu.Unlock()
	if f.failing.Swap(false) {
		f.onRegained()
	}
	f.onStoreContact()
}

// recordFailure records that a call of the store failed.
func (f *feed) recordFailure(now time.Time, err error) {
	f.failing.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAt.IsZero() {
		f.lostAt = now
		f.log.Warn().Err(err).Str("prefix", f.prefix).Stringer("revision", f.revision).Msg("store lost")
	} else if now.Sub(f.lostAt) > storeUnreachableAfter && !f.readByPeers(now) {
		f.consumer.storeUnreachable()
	}
}

// recordPeerContact records when the store answered a peer that follows it.
func (f *feed) recordPeerContact(now, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.peerContactAt) {
		f.peerContactAt = at
	}
	if f.readByPeers(now) {
		f.consumer.storeReadByPeer()
	}
}

// readByPeers reports whether a follower of the store reads it while this daemon can't: the
// store turns this daemon away, and is not away. The caller holds f.mu.
func (f *feed) readByPeers(now time.Time) bool {
	return !f.lostAt.IsZero() && f.peerContactAt.Sub(f.lostAt) > storeUnreachableAfter &&
		now.Sub(f.peerContactAt) < peerContactPeriod
}

// regainedAge returns the time since the store last became reachable again in
// milliseconds, -1 if it never did.
func (f *feed) regainedAge(now time.Time) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.regainedAt.IsZero() {
		return -1
	}
	return now.Sub(f.regainedAt).Milliseconds()
}

// contactAge returns the time since the store's last response in milliseconds, -1
// before the first and while the store does not respond: another daemon follows the
// store in the place of one that can't.
func (f *feed) contactAge(now time.Time) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contactedAt.IsZero() || f.failing.Load() {
		return -1
	}
	return now.Sub(f.contactedAt).Milliseconds()
}

// mergeRegained adopts from a peer the time at which the store became reachable
// again: the grace period of entries that expired during the outage starts then.
func (f *feed) mergeRegained(now time.Time, ageMs int64) {
	if ageMs < 0 {
		return
	}
	at := now.Add(-time.Duration(ageMs) * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.regainedAt.Add(regainedAtTolerance)) {
		f.regainedAt = at
		f.consumer.storeRegained(at)
	}
}
