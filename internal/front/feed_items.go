package front

import (
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

func (f *feed) currentRevision() platform.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// lastChangeRevision returns the revision of the last change.
func (f *feed) lastChangeRevision() platform.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastChange
}

// maxMissingChanges bounds the missing changes that a feed keeps. A change beyond is added
// when it is reported again, after others have arrived.
const maxMissingChanges = 64

// missingChange is a change that a feed lacks, and when a peer first reported it.
type missingChange struct {
	revision platform.Revision
	since    time.Time
}

// behindFor returns how long the feed has known of the first change that it lacks, 0 if
// there is none. The caller holds f.mu.
func (f *feed) behindFor(now time.Time) time.Duration {
	if len(f.missing) == 0 {
		return 0
	}
	return now.Sub(f.missing[0].since)
}

// markBehind records that another daemon has changes up to a revision. The caller holds
// f.mu.
func (f *feed) markBehind(now time.Time, changed platform.Revision) {
	n := len(f.missing)
	if changed <= f.revision || n == maxMissingChanges || n > 0 && changed <= f.missing[n-1].revision {
		return
	}
	f.missing = append(f.missing, missingChange{revision: changed, since: now})
	f.updateOutdatedSince()
}

// updateOutdatedSince adapts outdatedSince to missing. The caller holds f.mu.
func (f *feed) updateOutdatedSince() {
	if len(f.missing) == 0 {
		f.outdatedSince.Store(nil)
		return
	}
	since := f.missing[0].since
	f.outdatedSince.Store(&since)
}

// outdatedFor returns how long the feed has known of a change that it lacks, 0 if there is
// none.
func (f *feed) outdatedFor(now time.Time) time.Duration {
	since := f.outdatedSince.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// setRevision records that the items are complete up to a revision. The caller holds f.mu.
func (f *feed) setRevision(at platform.Revision) {
	if f.revision > 0 && at.Era() > f.revision.Era() {
		f.log.Warn().Str("prefix", f.prefix).Int64("former_era", f.revision.Era()).Int64("era", at.Era()).
			Stringer("former", f.revision).Stringer("revision", at).Int("older_items", len(f.held)).
			Msg("store restored from an older copy")
		f.onRestored()
	}
	f.revision = at
	f.missing = slices.DeleteFunc(f.missing, func(m missingChange) bool { return m.revision <= at })
	f.updateOutdatedSince()
}

func (f *feed) reading(from origin) reading {
	now := time.Now()
	return reading{at: now, origin: from, behind: f.behindFor(now)}
}

func (f *feed) replace(from origin, items []platform.Item, at platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at < f.revision {
		f.adoptNewer(from, items)
		return
	}
	r := f.reading(from)
	for _, i := range items {
		f.lastChange = max(f.lastChange, i.Revision)
	}
	items = f.reconcile(r.at, items)
	current := make(map[string]platform.Item, len(items))
	for _, i := range items {
		current[i.Key] = i
	}
	for key := range f.items {
		if _, ok := current[key]; ok {
			continue
		}
		f.recordRemoval(r.at, key, at)
		if at.Era() == f.revision.Era() {
			f.lastChange = max(f.lastChange, at) // the revision of the removal is not known
		}
	}
	f.lastChange = max(f.lastChange, eraStart(at))
	f.items = current
	f.consumer.replace(r, items, at)
	f.setRevision(at)
}

// apply applies polled changes. The revision advances to that of the last change
// received, not to the one that the store reports, so that changes which a watch
// missed are not skipped.
func (f *feed) apply(events []platform.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyEvents(fromPoll, events, lastRevision(events))
}

// lastRevision returns the highest revision of the events, 0 if there are none.
func lastRevision(events []platform.Event) platform.Revision {
	var at platform.Revision
	for _, ev := range events {
		at = max(at, ev.Item.Revision)
	}
	return at
}

// applyEvents applies the changes up to a revision. The caller holds f.mu.
func (f *feed) applyEvents(from origin, events []platform.Event, at platform.Revision) {
	r := f.reading(from)
	at = max(at, f.revision)
	accepted := make([]platform.Event, 0, len(events))
	for _, ev := range events {
		if ev.Item.Revision <= f.revision {
			continue
		}
		f.lastChange = max(f.lastChange, ev.Item.Revision)
		switch {
		case ev.Deleted:
			f.recordRemoval(r.at, ev.Item.Key, at)
			delete(f.items, ev.Item.Key)
		case f.isStale(ev.Item):
			f.hold(r.at, ev.Item)
			continue
		default:
			delete(f.held, ev.Item.Key)
			f.items[ev.Item.Key] = ev.Item
		}
		accepted = append(accepted, ev)
	}
	f.consumer.apply(r, accepted, at)
	f.setRevision(at)
}
