package front

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// A store that is restored from an older copy has revisions of a new era. Its items may be
// older than those that the feed knows, until their writers write them again.
const (
	// staleEntryPeriod is how long an endpoint's entry of a restored store is not used if
	// it is older than what is known of the endpoint: the entry of one that has ended is
	// removed after three report intervals of about 1.2 s.
	staleEntryPeriod = 6 * time.Second
	// departurePeriod is how long removed items are remembered. Copies are some seconds
	// old.
	departurePeriod = 10 * time.Minute
)

// heldItem is an item of a restored store that is not passed on, since it is older than what
// is known of its key.
type heldItem struct {
	item  platform.Item
	since time.Time
}

// departure is a removed item.
type departure struct {
	item platform.Item
	// removed is the revision of the removal.
	removed platform.Revision
	// lost is true if the restored store has lost the item, which may be written again.
	lost bool
	at   time.Time
}

// eraStart returns a revision that is not after any other one of an era.
func eraStart(r platform.Revision) platform.Revision { return r - platform.Revision(r.Number()) }

// isStale reports whether an item is older than what the feed knows of its key from an
// earlier era of the store. Within an era revisions tell. The caller holds f.mu.
func (f *feed) isStale(i platform.Item) bool {
	if known, ok := f.items[i.Key]; ok {
		return known.Revision.Era() < i.Revision.Era() && f.consumer.precedes(i, known)
	}
	gone, ok := f.departed[i.Key]
	if !ok || gone.removed.Era() >= i.Revision.Era() {
		return false
	}
	if gone.lost {
		return f.consumer.precedes(i, gone.item)
	}
	return !f.consumer.precedes(gone.item, i)
}

// hold records an item that is not passed on. The caller holds f.mu.
func (f *feed) hold(now time.Time, i platform.Item) {
	since := now
	if former, ok := f.held[i.Key]; ok && former.item.Revision.Era() == i.Revision.Era() {
		since = former.since
	}
	f.held[i.Key] = heldItem{item: i, since: since}
}

// reconcile returns the items of a list in which what the feed knows from an earlier era
// stands in place of older items. The caller holds f.mu.
func (f *feed) reconcile(now time.Time, items []platform.Item) []platform.Item {
	former := f.held
	f.held = make(map[string]heldItem)
	out := make([]platform.Item, 0, len(items))
	for _, i := range items {
		if !f.isStale(i) {
			out = append(out, i)
			continue
		}
		if h, ok := former[i.Key]; ok {
			f.held[i.Key] = h
		}
		f.hold(now, i)
		if known, ok := f.items[i.Key]; ok {
			out = append(out, known)
		}
	}
	return out
}

// recordRemoval records that an item is gone as of a revision. The caller holds f.mu.
func (f *feed) recordRemoval(now time.Time, key string, at platform.Revision) {
	delete(f.held, key)
	known, ok := f.items[key]
	if !ok {
		return
	}
	maps.DeleteFunc(f.departed, func(_ string, d departure) bool { return now.Sub(d.at) > departurePeriod })
	f.departed[key] = departure{item: known, removed: at, lost: at.Era() > f.revision.Era(), at: now}
}

// admitHeld passes on the items of removed keys that are still in the store after stalePeriod:
// their writers are alive, and had not left.
func (f *feed) admitHeld(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stalePeriod == 0 || f.failing.Load() {
		return
	}
	admitted := false
	for key, h := range f.held {
		if _, known := f.items[key]; known || now.Sub(h.since) < f.stalePeriod {
			continue
		}
		admitted = true
		f.items[key] = h.item
		delete(f.held, key)
		f.log.Info().Str("key", key).Stringer("revision", h.item.Revision).Msg("removed item of the restored store used: it was not removed again")
	}
	if admitted {
		f.consumer.replace(f.reading(fromList), slices.Collect(maps.Values(f.items)), f.revision)
	}
}

// adoptNewer takes from a peer's copy of an earlier era the items that are newer than those
// of the restored store. The caller holds f.mu.
func (f *feed) adoptNewer(from origin, items []platform.Item) {
	r := f.reading(from)
	adopted := false
	for _, i := range items {
		current, ok := f.items[i.Key]
		if !ok || i.Revision.Era() >= current.Revision.Era() || !f.consumer.precedes(current, i) {
			continue
		}
		adopted = true
		f.hold(r.at, current)
		f.items[i.Key] = i
	}
	if adopted {
		f.consumer.replace(r, slices.Collect(maps.Values(f.items)), f.revision)
	}
}

// shouldFetchVersion reports whether the copy of a peer whose changes are not newer by their
// revision should be fetched, because the peer has a newer version of the configuration: it
// knows that version from before the store was restored.
func (f *feed) shouldFetchVersion(now time.Time, changed platform.Revision, version, own int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= own || changed > f.revision || f.fetching || now.Sub(f.fetchedAt) < peerFetchDelay {
		return false
	}
	f.fetching, f.fetchedAt = true, now
	return true
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(d)) }
