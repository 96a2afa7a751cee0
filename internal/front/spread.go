package front

import (
	"time"

	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// spread passes changes that the store told on to the other daemons.
func (f *feed) spread(c platform.Changes) {
	if len(c.Events) == 0 || !f.fleet.Wide() || !f.fleet.FollowsStore() {
		return
	}
	out := &meshpb.Changes{Prefix: f.prefix, Since: int64(f.revision()), BackAgeMs: f.backAge(time.Now())}
	for _, ev := range c.Events {
		out.Revision = max(out.Revision, int64(ev.Item.Revision))
	}
	packed, err := mesh.Pack(c.Events)
	if err != nil {
		f.log.Error().Err(err).Str("prefix", f.prefix).Msg("changes not packed; the others read them from the store")
	}
	if len(packed) <= spreadLimit {
		out.Packed = packed
	}
	f.fleet.Broadcast(out)
}

// backAge is the time since the store was regained in ms, -1 if it never was.
func (f *feed) backAge(now time.Time) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.returned.IsZero() {
		return -1
	}
	return now.Sub(f.returned).Milliseconds()
}

// storeAge is the time since the store's last answer in ms, -1 before the first.
func (f *feed) storeAge(now time.Time) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answered.IsZero() {
		return -1
	}
	return now.Sub(f.answered).Milliseconds()
}

// pushed takes changes that a follower of the store passed on. If they don't
// follow on what is known here, the store is asked.
func (f *feed) pushed(now time.Time, c *meshpb.Changes) {
	f.learnReturn(now, c.BackAgeMs)
	at := int64(f.revision())
	if c.Revision <= at {
		return
	}
	if len(c.Packed) == 0 || c.Since > at {
		f.ask()
		return
	}
	events, err := mesh.Unpack(c.Packed)
	if err != nil {
		f.log.Error().Err(err).Str("prefix", f.prefix).Msg("changes of a peer not readable; reading the store")
		f.ask()
		return
	}
	f.log.Debug().Str("prefix", f.prefix).Int("events", len(events)).Int64("revision", c.Revision).Msg("changes passed on by a peer")
	f.apply(platform.Changes{Events: events})
}

// learnReturn takes over from a peer when the store came back: entries that
// lapsed meanwhile have until shortly after it to appear again.
func (f *feed) learnReturn(now time.Time, ageMs int64) {
	if ageMs < 0 {
		return
	}
	at := now.Add(-time.Duration(ageMs) * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.returned.Add(returnSlack)) {
		f.returned = at
		f.reader.returned(at)
	}
}

// ask lets a daemon that does not follow the store read its changes.
func (f *feed) ask() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// copied returns the items for a peer.
func (f *feed) copied() ([]platform.Item, platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items := make([]platform.Item, 0, len(f.items))
	for _, i := range f.items {
		items = append(items, i)
	}
	return items, f.at
}

// behind notes that a peer knows changes up to a revision. After askPause the
// store is asked by a daemon that does not follow it; behind returns true if the
// peer's copy should be read now.
func (f *feed) behind(now time.Time, changed platform.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changed <= f.at {
		return false
	}
	if f.behindSince.IsZero() || f.at >= f.behindAt {
		f.behindSince, f.behindAt = now, changed
	}
	late := now.Sub(f.behindSince)
	if late >= askPause {
		f.ask()
	}
	if f.fetching || late < fetchPause && f.at > 0 || now.Sub(f.fetched) < fetchPause {
		return false
	}
	f.fetching, f.fetched = true, now
	return true
}

// fetch reads a peer's copy.
func (f *feed) fetch(peer string, get func(addr, prefix string) ([]platform.Item, platform.Revision, error)) {
	items, at, err := get(peer, f.prefix)
	f.mu.Lock()
	f.fetching = false
	f.mu.Unlock()
	if err != nil {
		f.log.Warn().Err(err).Str("prefix", f.prefix).Msg("copy of a peer not read")
		return
	}
	f.log.Info().Str("prefix", f.prefix).Str("peer", peer).Int64("revision", int64(at)).Int64("former", int64(f.revision())).
		Msg("copy of a peer read")
	f.replace(items, at)
}
