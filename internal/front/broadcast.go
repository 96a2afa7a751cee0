package front

import (
	"maps"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// broadcasts reports whether this daemon passes changes of the store on to others.
func (f *feed) broadcasts() bool { return f.fleet.Wide() && f.fleet.FollowsStore() }

// broadcast sends changes read from the store, up to a revision, to the other daemons.
func (f *feed) broadcast(c mesh.ChangeList, at platform.Revision) {
	if len(c.Events) == 0 && !c.Listed || !f.broadcasts() {
		return
	}
	out := &meshpb.Changes{
		Prefix: f.prefix, Since: int64(f.currentRevision()), Revision: int64(at), BackAgeMs: f.regainedAge(time.Now()),
	}
	packed, err := mesh.Pack(c)
	if err != nil {
		f.log.Error().Err(err).Str("prefix", f.prefix).Msg("changes not packed; peers read them from the store")
	}
	if len(packed) <= maxBroadcastBytes {
		out.Packed = packed
	}
	f.fleet.Broadcast(out)
}

// changesTo returns the changes from the feed's items to those of a list at a revision.
// Some may be newer than the revision, since the store reads a list in pages. The removals
// are for daemons of a former version, which don't derive them from the keys.
func (f *feed) changesTo(items []platform.Item, at platform.Revision) mesh.ChangeList {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := mesh.ChangeList{Listed: true}
	for _, i := range items {
		c.Keys = append(c.Keys, i.Key)
		if i.Revision > f.revision {
			c.Events = append(c.Events, platform.Event{Item: i})
		}
	}
	c.Events = append(c.Events, f.removals(c.Keys, at)...)
	return c
}

// removals returns the removals of the feed's items that are missing from a list with the
// given keys at a revision. The caller holds f.mu.
func (f *feed) removals(keys []string, at platform.Revision) []platform.Event {
	listed := make(map[string]bool, len(keys))
	for _, key := range keys {
		listed[key] = true
	}
	var events []platform.Event
	for key, i := range f.items {
		if !listed[key] && i.Revision <= at {
			events = append(events, platform.Event{Item: platform.Item{Key: key, Revision: at}, Deleted: true})
		}
	}
	return events
}

// receive applies changes that a follower of the store broadcast. If changes are
// missing between them and the feed's revision, the store is read instead.
func (f *feed) receive(now time.Time, c *meshpb.Changes) {
	f.mergeRegained(now, c.BackAgeMs)
	f.recordPeerContact(now, now)
	f.mu.Lock()
	f.markBehind(now, platform.Revision(c.Revision))
	at := int64(f.revision)
	f.mu.Unlock()
	if c.Revision <= at {
		return
	}
	if len(c.Packed) == 0 || c.Since > at {
		f.log.Info().Str("prefix", f.prefix).Bool("too_large", len(c.Packed) == 0).Stringer("since", platform.Revision(c.Since)).
			Stringer("revision", platform.Revision(c.Revision)).Stringer("own", platform.Revision(at)).
			Msg("changes passed on by a peer can't be applied; reading the store")
		f.requestRead()
		return
	}
	changes, err := mesh.Unpack(c.Packed)
	if err != nil {
		f.log.Error().Err(err).Str("prefix", f.prefix).Msg("changes of a peer not decoded; reading the store")
		f.requestRead()
		return
	}
	f.log.Info().Str("prefix", f.prefix).Int("events", len(changes.Events)).Bool("listed", changes.Listed).
		Stringer("revision", platform.Revision(c.Revision)).Stringer("own", platform.Revision(at)).
		Int64("store_regained_ms", c.BackAgeMs).Msg("changes passed on by a peer")
	f.applyPushed(changes, platform.Revision(c.Revision))
}

// applyPushed applies changes up to a revision that a follower of the store passed on. The
// keys of a list show which of this feed's items are gone, also those that the follower
// never knew.
func (f *feed) applyPushed(c mesh.ChangeList, at platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Listed {
		c.Events = slices.DeleteFunc(c.Events, func(ev platform.Event) bool { return ev.Deleted })
		c.Events = append(c.Events, f.removals(c.Keys, at)...)
		maps.DeleteFunc(f.held, func(key string, h heldItem) bool {
			return h.item.Revision <= at && !slices.Contains(c.Keys, key)
		})
	}
	f.applyEvents(fromPush, c.Events, at)
}

// requestRead makes a daemon that does not follow the store read its changes.
func (f *feed) requestRead() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// snapshot returns the items and their revision, to be sent to a peer.
func (f *feed) snapshot() ([]platform.Item, platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items := make([]platform.Item, 0, len(f.items))
	for _, i := range f.items {
		items = append(items, i)
	}
	return items, f.revision
}

// shouldFetch records that a peer has changes up to a revision, and reports whether
// the peer's copy should be fetched now. If the feed has been behind for
// storeReadDelay, it also requests a read of the store.
func (f *feed) shouldFetch(now time.Time, changed platform.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changed <= f.revision {
		return false
	}
	f.markBehind(now, changed)
	f.highestReported = max(f.highestReported, changed)
	behindFor := f.behindFor(now)
	if behindFor >= storeReadDelay {
		f.requestRead()
	}
	// A peer that lags behind others may still have an endpoint that has left, or a key
	// that has been withdrawn: a daemon that has just started must not begin with them.
	lags := changed < f.highestReported && behindFor < maxNewestCopyWait
	if f.fetching || behindFor < peerFetchDelay || lags || now.Sub(f.fetchedAt) < peerFetchDelay {
		return false
	}
	f.fetching, f.fetchedAt = true, now
	return true
}

// fetch replaces the items by a peer's copy.
func (f *feed) fetch(peer string, get func(addr, prefix string) ([]platform.Item, platform.Revision, error)) {
	items, at, err := get(peer, f.prefix)
	f.mu.Lock()
	f.fetching = false
	f.mu.Unlock()
	if err != nil {
		f.log.Warn().Err(err).Str("prefix", f.prefix).Msg("copy of a peer not read")
		return
	}
	f.log.Info().Str("prefix", f.prefix).Str("peer", peer).Stringer("revision", at).
		Stringer("former", f.currentRevision()).Msg("copy of a peer read")
	f.replace(fromPeerCopy, items, at)
}
