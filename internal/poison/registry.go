package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// defaultCrashesToIsolate is the default of Options.CrashesToIsolate.
	defaultCrashesToIsolate = 2
	// maxCrashes is the number of crashes that isolate a digest even if others
	// were running at the same crashes: a poison request may crash at most three
	// endpoints of a failure domain.
	maxCrashes = 3
	// sameCrashInterval is the interval within which reports about one endpoint
	// count as the same crash.
	sameCrashInterval = 3 * time.Second
	// trialRetryAfter is the RetryAfter of a request that is refused because
	// another request with its digest is being tried.
	trialRetryAfter = time.Second
	// completionSlots is the size of the table of recently completed digests.
	completionSlots = 4096
	// maxCompletionAge is the time after a completion for which crashes are not
	// attributed to a digest: the content of a request that completed minutes
	// ago does not crash endpoints.
	maxCompletionAge = 10 * time.Minute
)

// crash is one crash of an endpoint. The crashes of a record are of different
// endpoints or at least sameCrashInterval apart.
type crash struct {
	endpoint string
	at       time.Time
	// learnedAt is when this daemon learned of the crash.
	learnedAt time.Time
	// own is true if this daemon observed the crash itself.
	own bool
}

// record holds the crashes of one digest.
type record struct {
	crashes []crash
	// isolatedUntil is the end of the current isolation; zero if there is none.
	isolatedUntil time.Time
	// inProgress is the number of requests with the digest in progress on this
	// daemon.
	inProgress int
}

// completion is the time at which a request with the digest last completed.
type completion struct {
	digest Digest
	at     time.Time
}

// Registry holds the crashes and completions that one daemon knows of.
type Registry struct {
	opts    Options
	records map[Digest]*record
	// digestsByEndpoint lists, by endpoint, the digests that were running at its
	// crashes.
	digestsByEndpoint map[string][]Digest
	completions       [completionSlots]completion // at digest modulo completionSlots
	// clearings are completions of digests of which other daemons may know crashes.
	clearings map[Digest]clearing
	pending   []Entry // not yet sent to the other daemons
	// broken selects a deliberately broken variant in tests.
	broken string
}

// New returns an empty Registry.
func New(opts Options) *Registry {
	opts.IsolationTime = cmp.Or(opts.IsolationTime, time.Minute)
	opts.LongIsolationTime = cmp.Or(opts.LongIsolationTime, time.Hour)
	opts.CrashWindow = cmp.Or(opts.CrashWindow, time.Hour)
	opts.MaxDigests = cmp.Or(opts.MaxDigests, 4096)
	opts.CrashesToIsolate = cmp.Or(opts.CrashesToIsolate, defaultCrashesToIsolate)
	return &Registry{opts: opts, records: make(map[Digest]*record), digestsByEndpoint: make(map[string][]Digest), clearings: make(map[Digest]clearing)}
}

// Begin decides whether a request may run. Unless the verdict is Isolated, the
// caller must call End when the request or its last attempt has ended.
func (r *Registry) Begin(now time.Time, d Digest) Decision {
	rec := r.records[d]
	if rec == nil {
		return Decision{Verdict: Allowed}
	}
	if now.Before(rec.isolatedUntil) && r.broken != "isolation" {
		return Decision{Verdict: Isolated, RetryAfter: rec.isolatedUntil.Sub(now)}
	}
	n := len(rec.crashes)
	if n >= r.opts.CrashesToIsolate && rec.inProgress > 0 {
		return Decision{Verdict: Isolated, RetryAfter: trialRetryAfter}
	}
	rec.inProgress++
	if n < r.opts.CrashesToIsolate {
		return Decision{Verdict: Watched}
	}
	return Decision{Verdict: Suspect}
}

// Verdict returns the current verdict on a request for which Begin was called, for
// the decision whether to retry or hedge it.
func (r *Registry) Verdict(now time.Time, d Digest) Verdict {
	rec := r.records[d]
	switch {
	case rec == nil:
		return Allowed
	case now.Before(rec.isolatedUntil):
		return Isolated
	case len(rec.crashes) < r.opts.CrashesToIsolate:
		return Watched
	}
	return Suspect
}

// End records the end of a request that Begin allowed. completed is true if the
// answer arrived completely, which clears the crashes of the digest.
func (r *Registry) End(now time.Time, d Digest, completed bool) {
	if rec := r.records[d]; rec != nil {
		rec.inProgress = max(0, rec.inProgress-1)
	}
	if !completed {
		return
	}
	r.recordCompletion(now, d)
	if r.records[d] != nil {
		r.clearCrashes(d, now)
		r.pending = append(r.pending, Entry{Digest: d, Completed: true, At: now})
		r.announceCompletion(now, d, now)
	}
}

// RecordCrash records that endpoint crashed while it ran requests with the given
// digests, which must be those of all this daemon's requests on the endpoint.
func (r *Registry) RecordCrash(now time.Time, endpoint string, digests []Digest) {
	for _, d := range digests {
		if r.completedRecently(now, d) {
			continue
		}
		if r.addCrash(d, crash{endpoint: endpoint, at: now, learnedAt: now, own: true}) {
			r.pending = append(r.pending, Entry{Digest: d, Endpoint: endpoint, At: now})
		}
	}
	r.updateIsolations(endpoint)
}

// TakePending returns the entries to send to the other daemons, and removes them
// from the pending ones.
func (r *Registry) TakePending() []Entry {
	out := r.pending
	r.pending = nil
	return out
}

// Entries returns all crashes, for a daemon that joins, in a deterministic order.
func (r *Registry) Entries() []Entry {
	var out []Entry
	for d, rec := range r.records {
		for _, c := range rec.crashes {
			out = append(out, Entry{Digest: d, Endpoint: c.endpoint, At: c.at})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// Merge records the entries of another daemon and returns the digests that they isolate.
func (r *Registry) Merge(now time.Time, entries []Entry) []Digest {
	changed, wasIsolated := make(map[string]bool), make(map[Digest]bool)
	for _, e := range entries {
		if _, seen := wasIsolated[e.Digest]; !seen {
			wasIsolated[e.Digest] = r.isolated(now, e.Digest)
		}
		switch {
		case e.Completed:
			r.mergeCompletion(now, e)
		case r.completedAfter(e.At, e.Digest):
			r.announceCompletion(now, e.Digest, r.completedAt(e.Digest))
		case now.Sub(e.At) < r.opts.CrashWindow && !r.completedRecently(e.At, e.Digest):
			if r.addCrash(e.Digest, crash{endpoint: e.Endpoint, at: e.At, learnedAt: now}) {
				changed[e.Endpoint] = true
			}
		}
	}
	for endpoint := range changed {
		r.updateIsolations(endpoint)
	}
	var isolated []Digest
	for d, was := range wasIsolated {
		if !was && r.isolated(now, d) {
			isolated = append(isolated, d)
		}
	}
	slices.Sort(isolated)
	return isolated
}

func (r *Registry) isolated(now time.Time, d Digest) bool {
	rec := r.records[d]
	return rec != nil && now.Before(rec.isolatedUntil)
}

// ObservedCrash reports whether this daemon observed a crash of a digest itself.
func (r *Registry) ObservedCrash(d Digest) bool {
	rec := r.records[d]
	return rec != nil && slices.ContainsFunc(rec.crashes, func(c crash) bool { return c.own })
}

// addCrash records a crash of d and returns false if it was already recorded. The
// caller must call updateIsolations after all digests of the crash are recorded.
func (r *Registry) addCrash(d Digest, c crash) bool {
	rec := r.records[d]
	if rec == nil {
		if len(r.records) >= r.opts.MaxDigests {
			r.evict()
		}
		rec = &record{}
		r.records[d] = rec
	}
	for _, k := range rec.crashes {
		if k.sameAs(c) {
			return false
		}
	}
	rec.crashes = append(rec.crashes, c)
	if !slices.Contains(r.digestsByEndpoint[c.endpoint], d) {
		r.digestsByEndpoint[c.endpoint] = append(r.digestsByEndpoint[c.endpoint], d)
	}
	return true
}

// updateIsolations updates the isolation of the digests that were running at
// crashes of the endpoint. A digest that was the only suspect may become one of
// two when the entries of another daemon arrive.
func (r *Registry) updateIsolations(endpoint string) {
	for _, d := range r.digestsByEndpoint[endpoint] {
		r.updateIsolation(d, r.records[d])
	}
}

// sameAs reports whether c and other are reports of the same crash.
func (c crash) sameAs(other crash) bool {
	return c.endpoint == other.endpoint && c.at.Sub(other.at).Abs() < sameCrashInterval
}

// updateIsolation sets the end of the isolation of d. It depends on the time of
// the last crash instead of the current time, so that all daemons with the same
// entries agree.
func (r *Registry) updateIsolation(d Digest, rec *record) {
	n := len(rec.crashes)
	rec.isolatedUntil = time.Time{}
	switch {
	case n >= maxCrashes:
		rec.isolatedUntil = rec.lastCrash().Add(r.opts.LongIsolationTime)
	case n >= r.opts.CrashesToIsolate && !r.ambiguous(d, rec):
		rec.isolatedUntil = rec.lastCrash().Add(r.opts.IsolationTime)
	}
}

// lastCrash returns the time of the last crash. The crashes are not sorted, as
// entries arrive in any order.
func (rec *record) lastCrash() time.Time {
	var t time.Time
	for _, c := range rec.crashes {
		if c.at.After(t) {
			t = c.at
		}
	}
	return t
}

// ambiguous reports whether another digest was running at CrashesToIsolate or more
// of the crashes of d, so that either may be the cause.
func (r *Registry) ambiguous(d Digest, rec *record) bool {
	shared := make(map[Digest]int)
	for _, c := range rec.crashes {
		for _, other := range r.digestsByEndpoint[c.endpoint] {
			if o := r.records[other]; other != d && o != nil && o.hasCrash(c) {
				shared[other]++
			}
		}
	}
	for _, n := range shared {
		if n >= r.opts.CrashesToIsolate {
			return true
		}
	}
	return false
}

// hasCrash reports whether c is among the crashes of rec.
func (rec *record) hasCrash(c crash) bool {
	return slices.ContainsFunc(rec.crashes, c.sameAs)
}

// clearCrashes removes the crashes of d up to the time of its completion.
func (r *Registry) clearCrashes(d Digest, at time.Time) {
	rec := r.records[d]
	if rec == nil {
		return
	}
	r.removeCrashes(d, rec, func(c crash) bool { return !c.at.After(at) })
}

// removeCrashes removes the crashes of d that match, and the record of d if none
// remains.
func (r *Registry) removeCrashes(d Digest, rec *record, match func(crash) bool) {
	old := slices.Clone(rec.crashes)
	rec.crashes = slices.DeleteFunc(rec.crashes, match)
	for _, c := range old {
		if !slices.ContainsFunc(rec.crashes, func(k crash) bool { return k.endpoint == c.endpoint }) {
			r.removeFromEndpoint(c.endpoint, d)
		}
	}
	if len(rec.crashes) == 0 {
		delete(r.records, d)
		return
	}
	if len(rec.crashes) < len(old) {
		r.updateIsolation(d, rec)
	}
}

func (r *Registry) removeDigest(d Digest) {
	for _, c := range r.records[d].crashes {
		r.removeFromEndpoint(c.endpoint, d)
	}
	delete(r.records, d)
}

func (r *Registry) removeFromEndpoint(endpoint string, d Digest) {
	rest := slices.DeleteFunc(r.digestsByEndpoint[endpoint], func(x Digest) bool { return x == d })
	if len(rest) == 0 {
		delete(r.digestsByEndpoint, endpoint)
		return
	}
	r.digestsByEndpoint[endpoint] = rest
}

// evict removes the digest with the fewest crashes; among equals, the one whose
// last crash is the oldest.
func (r *Registry) evict() {
	var victim Digest
	var worst *record
	for d, rec := range r.records {
		if worst == nil || rec.evictedBefore(worst) || (!worst.evictedBefore(rec) && d < victim) {
			victim, worst = d, rec
		}
	}
	r.removeDigest(victim)
}

// evictedBefore reports whether rec is evicted before other.
func (rec *record) evictedBefore(other *record) bool {
	if len(rec.crashes) != len(other.crashes) {
		return len(rec.crashes) < len(other.crashes)
	}
	return rec.lastCrash().Before(other.lastCrash())
}

// Tick removes crashes older than CrashWindow. It must be called every few
// seconds.
func (r *Registry) Tick(now time.Time) {
	for d, rec := range r.records {
		r.removeCrashes(d, rec, func(c crash) bool { return now.Sub(c.at) >= r.opts.CrashWindow })
	}
	maps.DeleteFunc(r.clearings, func(_ Digest, c clearing) bool { return now.Sub(c.learnedAt) >= r.opts.CrashWindow })
}

// IsolatedDigests returns the digests that are currently isolated, sorted, for
// display.
func (r *Registry) IsolatedDigests(now time.Time) []Digest {
	var out []Digest
	for d, rec := range r.records {
		if now.Before(rec.isolatedUntil) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}
