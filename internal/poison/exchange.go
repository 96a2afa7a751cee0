package poison

import (
	"cmp"
	"slices"
	"time"
)

// clearing is a completion that clears crashes of a digest, and when this daemon learned that
// others need to know of it.
type clearing struct{ at, learnedAt time.Time }

func (r *Registry) recordCompletion(now time.Time, d Digest) {
	r.completions[uint64(d)%completionSlots] = completion{digest: d, at: now}
}

// completedAt returns the time of the last known completion of a digest, zero if none is
// known.
func (r *Registry) completedAt(d Digest) time.Time {
	c := r.completions[uint64(d)%completionSlots]
	if c.digest != d {
		return time.Time{}
	}
	return c.at
}

func (r *Registry) completedRecently(now time.Time, d Digest) bool {
	at := r.completedAt(d)
	return !at.IsZero() && now.Sub(at) < maxCompletionAge
}

// completedAfter reports whether a request with the digest is known to have completed after
// a crash, so that the daemon that reports the crash does not know of the completion.
func (r *Registry) completedAfter(crash time.Time, d Digest) bool {
	at := r.completedAt(d)
	return at.After(crash) && at.Sub(crash) < maxCompletionAge
}

// announceCompletion tells the other daemons, by RecentEntries, of a completion.
func (r *Registry) announceCompletion(now time.Time, d Digest, at time.Time) {
	if _, known := r.clearings[d]; known || len(r.clearings) < r.opts.MaxDigests {
		r.clearings[d] = clearing{at: at, learnedAt: now}
	}
}

// mergeCompletion records a completion that another daemon reports. It is passed on if it
// clears crashes here.
func (r *Registry) mergeCompletion(now time.Time, e Entry) {
	if !r.completedAfter(e.At, e.Digest) {
		r.recordCompletion(e.At, e.Digest)
	}
	before := r.records[e.Digest]
	if before == nil {
		return
	}
	crashes := len(before.crashes)
	r.clearCrashes(e.Digest, e.At)
	if len(before.crashes) < crashes {
		r.announceCompletion(now, e.Digest, e.At)
	}
}

// RecentEntries returns the crashes of isolated digests, and of the crashes and the
// completions that clear some the most entries that this daemon learned of last within
// maxAge. It serves daemons that exchange their state again and again, and whose messages
// must not grow with it.
func (r *Registry) RecentEntries(now time.Time, maxAge time.Duration, most int) []Entry {
	type recentEntry struct {
		Entry
		learnedAt time.Time
	}
	var isolated []Entry
	var recent []recentEntry
	for d, rec := range r.records {
		for _, c := range rec.crashes {
			e := Entry{Digest: d, Endpoint: c.endpoint, At: c.at}
			switch {
			case now.Before(rec.isolatedUntil):
				isolated = append(isolated, e)
			case now.Sub(c.learnedAt) <= maxAge:
				recent = append(recent, recentEntry{e, c.learnedAt})
			}
		}
	}
	for d, c := range r.clearings {
		if now.Sub(c.learnedAt) > maxAge {
			delete(r.clearings, d)
			continue
		}
		recent = append(recent, recentEntry{Entry{Digest: d, Completed: true, At: c.at}, c.learnedAt})
	}
	slices.SortFunc(recent, func(a, b recentEntry) int {
		return cmp.Or(b.learnedAt.Compare(a.learnedAt), cmp.Compare(a.Digest, b.Digest))
	})
	for _, e := range recent[:min(len(recent), most)] {
		isolated = append(isolated, e.Entry)
	}
	return isolated
}
