package front

import (
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

// behindFor returns how long the feed has known of a change that it lacks, 0 if there is
// none. The caller holds f.mu.
func (f *feed) behindFor(now time.Time) time.Duration {
	if f.behindSince.IsZero() || f.revision >= f.behindRevision {
		return 0
	}
	return now.Sub(f.behindSince)
}

// markBehind records that another daemon has changes up to a revision. The caller holds
// f.mu.
func (f *feed) markBehind(now time.Time, changed platform.Revision) {
	if changed > f.revision && f.behindFor(now) == 0 {
		f.behindSince, f.behindRevision = now, changed
		f.outdatedSince.Store(&now)
	}
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
	f.revision = at
	if at >= f.behindRevision {
		f.outdatedSince.Store(nil)
	}
}

func (f *feed) reading(from origin) reading {
	now := time.Now()
	return reading{at: now, origin: from, behind: f.behindFor(now)}
}

func (f *feed) replace(from origin, items []platform.Item, at platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at < f.revision {
		return
	}
	r := f.reading(from)
	former := f.items
	f.items = make(map[string]platform.Item, len(items))
	for _, i := range items {
		f.items[i.Key] = i
		f.lastChange = max(f.lastChange, i.Revision)
	}
	for key := range former {
		if _, ok := f.items[key]; !ok {
			f.lastChange = max(f.lastChange, at) // the revision of the removal is not known
		}
	}
	f.consumer.replace(r, items, at)
	f.setRevision(at)
}

// apply applies changes. The revision advances to that of the last change
// received, not to the one that the store reports, so that changes which a watch
// missed are not skipped.
func (f *feed) apply(from origin, c platform.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reading(from)
	at := f.revision
	for _, ev := range c.Events {
		if ev.Item.Revision <= f.revision {
			continue
		}
		if ev.Deleted {
			delete(f.items, ev.Item.Key)
		} else {
			f.items[ev.Item.Key] = ev.Item
		}
		f.lastChange = max(f.lastChange, ev.Item.Revision)
		at = max(at, ev.Item.Revision)
	}
	f.consumer.apply(r, c.Events, at)
	f.setRevision(at)
}
