package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// clearCrashes is the default number of crashes that isolate a digest if no
	// other digest was present at the same ones.
	defaultCrashesToIsolate = 2
	// maxCrashes is the number of crashes that isolate a digest in any case;
	// the bound for a failure domain is three endpoints.
	maxCrashes = 3
	// sameCrash is the time in which reports about one endpoint are one crash.
	sameCrashInterval = 3 * time.Second
	// busyRetry is the advice to a request that waits for the trial of its
	// digest.
	trialRetryAfter = time.Second
	// goodSlots is the size of the table of recently completed digests.
	completionSlots = 4096
	// goodAge is the time for which a completion excuses a digest: a request
	// that completed minutes ago does not crash endpoints by its content.
	maxCompletionAge = 10 * time.Minute
)

// crash is one crash of an endpoint. The crashes of a record are of different
// endpoints or at least sameCrash apart.
type crash struct {
	endpoint string
	at       time.Time
}

type record struct {
	crashes []crash
	// until is the end of the present isolation.
	isolatedUntil time.Time
	// trial is the number of copies in progress on this daemon.
	inProgress int
}

type completion struct {
	digest Digest
	at     time.Time
}

// Registry is the state of one daemon.
type Registry struct {
	opts    Options
	records map[Digest]*record
	// present lists the digests at the crashes of each endpoint.
	digestsByEndpoint map[string][]Digest
	completions       [completionSlots]completion
	pending           []Entry
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
	return &Registry{opts: opts, records: make(map[Digest]*record), digestsByEndpoint: make(map[string][]Digest)}
}

// Begin asks whether a request may run. Unless the answer is Isolated, the
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

// Verdict returns the verdict on a request that has begun, for the decision
// whether to retry it.
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

// End records the end of a request that Begin allowed. completed is true if
// the answer arrived whole; it clears the digest.
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
	}
}

func (r *Registry) recordCompletion(now time.Time, d Digest) {
	r.completions[uint64(d)%completionSlots] = completion{digest: d, at: now}
}

func (r *Registry) completedRecently(now time.Time, d Digest) bool {
	c := r.completions[uint64(d)%completionSlots]
	return c.digest == d && !c.at.IsZero() && now.Sub(c.at) < maxCompletionAge
}

// Crashed records that endpoint failed while it ran the requests with the
// given digests, all requests of this daemon that were on it.
func (r *Registry) RecordCrash(now time.Time, endpoint string, digests []Digest) {
	for _, d := range digests {
		if r.completedRecently(now, d) {
			continue
		}
		if r.addCrash(d, crash{endpoint: endpoint, at: now}) {
			r.pending = append(r.pending, Entry{Digest: d, Endpoint: endpoint, At: now})
		}
	}
	r.updateIsolations(endpoint)
}

// Pending returns the entries to send to the other daemons and forgets them.
func (r *Registry) TakePending() []Entry {
	out := r.pending
	r.pending = nil
	return out
}

// Entries returns all crashes, for a daemon that joins.
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

// Merge records the entries of another daemon.
func (r *Registry) Merge(now time.Time, entries []Entry) {
	for _, e := range entries {
		switch {
		case e.Completed:
			r.recordCompletion(e.At, e.Digest)
			r.clearCrashes(e.Digest, e.At)
		case now.Sub(e.At) < r.opts.CrashWindow && !r.completedRecently(e.At, e.Digest):
			r.addCrash(e.Digest, crash{endpoint: e.Endpoint, at: e.At})
		}
	}
	for _, e := range entries {
		r.updateIsolations(e.Endpoint)
	}
}

// add records a crash; false if it is already known. The caller calls judge
// when all digests of the crash are recorded.
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

// judge decides again on the digests that were present at crashes of the
// endpoint. A digest that looked like the only suspect may turn out to be one
// of two when the entries of another daemon arrive.
func (r *Registry) updateIsolations(endpoint string) {
	for _, d := range r.digestsByEndpoint[endpoint] {
		r.updateIsolation(d, r.records[d])
	}
}

func (c crash) sameAs(other crash) bool {
	return c.endpoint == other.endpoint && c.at.Sub(other.at).Abs() < sameCrashInterval
}

// isolate sets the end of the isolation of d from the time of its last crash,
// so that all daemons with the same entries agree.
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

// last returns the time of the last crash; the entries may have come in any
// order.
func (rec *record) lastCrash() time.Time {
	var t time.Time
	for _, c := range rec.crashes {
		if c.at.After(t) {
			t = c.at
		}
	}
	return t
}

// ambiguous reports whether another digest was present at as many crashes of
// the same endpoints as d, so that either may be the cause.
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

func (rec *record) hasCrash(c crash) bool {
	return slices.ContainsFunc(rec.crashes, c.sameAs)
}

// clear drops the crashes of d up to the time of its completion.
func (r *Registry) clearCrashes(d Digest, at time.Time) {
	rec := r.records[d]
	if rec == nil {
		return
	}
	r.removeCrashes(d, rec, func(c crash) bool { return !c.at.After(at) })
}

// forget drops the crashes of d that match.
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

// evict drops the digest with the fewest and oldest crashes.
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

func (rec *record) evictedBefore(other *record) bool {
	if len(rec.crashes) != len(other.crashes) {
		return len(rec.crashes) < len(other.crashes)
	}
	return rec.lastCrash().Before(other.lastCrash())
}

// Tick drops crashes that no longer count. The caller calls it every few
// seconds.
func (r *Registry) Tick(now time.Time) {
	for d, rec := range r.records {
		r.removeCrashes(d, rec, func(c crash) bool { return now.Sub(c.at) >= r.opts.CrashWindow })
	}
}

// Isolated returns the digests that are isolated now, sorted, for display.
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
