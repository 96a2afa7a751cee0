package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// clearCrashes is the default number of crashes that isolate a digest if no
	// other digest was present at the same ones.
	clearCrashes = 2
	// maxCrashes is the number of crashes that isolate a digest in any case;
	// the bound for a failure domain is three endpoints.
	maxCrashes = 3
	// sameCrash is the time in which reports about one endpoint are one crash.
	sameCrash = 3 * time.Second
	// busyRetry is the advice to a request that waits for the trial of its
	// digest.
	busyRetry = time.Second
	// goodSlots is the size of the table of recently completed digests.
	goodSlots = 4096
	// goodAge is the time for which a completion excuses a digest: a request
	// that completed minutes ago does not crash endpoints by its content.
	goodAge = 10 * time.Minute
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
	until time.Time
	// trial is the number of copies in progress on this daemon.
	trial int
}

type goodEntry struct {
	digest Digest
	at     time.Time
}

// Registry is the state of one daemon.
type Registry struct {
	opts    Options
	records map[Digest]*record
	// present lists the digests at the crashes of each endpoint.
	present map[string][]Digest
	good    [goodSlots]goodEntry
	pending []Entry
	// broken selects a deliberately broken variant in tests.
	broken string
}

// New returns an empty Registry.
func New(opts Options) *Registry {
	opts.IsolationTime = cmp.Or(opts.IsolationTime, time.Minute)
	opts.LongIsolationTime = cmp.Or(opts.LongIsolationTime, time.Hour)
	opts.CrashWindow = cmp.Or(opts.CrashWindow, time.Hour)
	opts.MaxDigests = cmp.Or(opts.MaxDigests, 4096)
	opts.CrashesToIsolate = cmp.Or(opts.CrashesToIsolate, clearCrashes)
	return &Registry{opts: opts, records: make(map[Digest]*record), present: make(map[string][]Digest)}
}

// Begin asks whether a request may run. Unless the answer is Isolated, the
// caller must call End when the request or its last attempt has ended.
func (r *Registry) Begin(now time.Time, d Digest) Decision {
	rec := r.records[d]
	if rec == nil {
		return Decision{Verdict: Allowed}
	}
	if now.Before(rec.until) && r.broken != "isolation" {
		return Decision{Verdict: Isolated, RetryAfter: rec.until.Sub(now)}
	}
	n := len(rec.crashes)
	if n >= r.opts.CrashesToIsolate && rec.trial > 0 {
		return Decision{Verdict: Isolated, RetryAfter: busyRetry}
	}
	rec.trial++
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
	case now.Before(rec.until):
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
		rec.trial = max(0, rec.trial-1)
	}
	if !completed {
		return
	}
	r.note(now, d)
	if r.records[d] != nil {
		r.clear(d, now)
		r.pending = append(r.pending, Entry{Digest: d, Completed: true, At: now})
	}
}

func (r *Registry) note(now time.Time, d Digest) {
	r.good[uint64(d)%goodSlots] = goodEntry{digest: d, at: now}
}

func (r *Registry) knownGood(now time.Time, d Digest) bool {
	g := r.good[uint64(d)%goodSlots]
	return g.digest == d && !g.at.IsZero() && now.Sub(g.at) < goodAge
}

// Crashed records that endpoint failed while it ran the requests with the
// given digests, all requests of this daemon that were on it.
func (r *Registry) RecordCrash(now time.Time, endpoint string, digests []Digest) {
	for _, d := range digests {
		if r.knownGood(now, d) {
			continue
		}
		if r.add(d, crash{endpoint: endpoint, at: now}) {
			r.pending = append(r.pending, Entry{Digest: d, Endpoint: endpoint, At: now})
		}
	}
	r.judge(endpoint)
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
			r.note(e.At, e.Digest)
			r.clear(e.Digest, e.At)
		case now.Sub(e.At) < r.opts.CrashWindow && !r.knownGood(e.At, e.Digest):
			r.add(e.Digest, crash{endpoint: e.Endpoint, at: e.At})
		}
	}
	for _, e := range entries {
		r.judge(e.Endpoint)
	}
}

// add records a crash; false if it is already known. The caller calls judge
// when all digests of the crash are recorded.
func (r *Registry) add(d Digest, c crash) bool {
	rec := r.records[d]
	if rec == nil {
		if len(r.records) >= r.opts.MaxDigests {
			r.evict()
		}
		rec = &record{}
		r.records[d] = rec
	}
	for _, k := range rec.crashes {
		if k.same(c) {
			return false
		}
	}
	rec.crashes = append(rec.crashes, c)
	if !slices.Contains(r.present[c.endpoint], d) {
		r.present[c.endpoint] = append(r.present[c.endpoint], d)
	}
	return true
}

// judge decides again on the digests that were present at crashes of the
// endpoint. A digest that looked like the only suspect may turn out to be one
// of two when the entries of another daemon arrive.
func (r *Registry) judge(endpoint string) {
	for _, d := range r.present[endpoint] {
		r.isolate(d, r.records[d])
	}
}

func (c crash) same(o crash) bool {
	return c.endpoint == o.endpoint && c.at.Sub(o.at).Abs() < sameCrash
}

// isolate sets the end of the isolation of d from the time of its last crash,
// so that all daemons with the same entries agree.
func (r *Registry) isolate(d Digest, rec *record) {
	n := len(rec.crashes)
	rec.until = time.Time{}
	switch {
	case n >= maxCrashes:
		rec.until = rec.last().Add(r.opts.LongIsolationTime)
	case n >= r.opts.CrashesToIsolate && !r.ambiguous(d, rec):
		rec.until = rec.last().Add(r.opts.IsolationTime)
	}
}

// last returns the time of the last crash; the entries may have come in any
// order.
func (rec *record) last() time.Time {
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
		for _, other := range r.present[c.endpoint] {
			if o := r.records[other]; other != d && o != nil && o.at(c) {
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

func (rec *record) at(c crash) bool {
	return slices.ContainsFunc(rec.crashes, c.same)
}

// clear drops the crashes of d up to the time of its completion.
func (r *Registry) clear(d Digest, at time.Time) {
	rec := r.records[d]
	if rec == nil {
		return
	}
	r.forget(d, rec, func(c crash) bool { return !c.at.After(at) })
}

// forget drops the crashes of d that match.
func (r *Registry) forget(d Digest, rec *record, match func(crash) bool) {
	old := slices.Clone(rec.crashes)
	rec.crashes = slices.DeleteFunc(rec.crashes, match)
	for _, c := range old {
		if !slices.ContainsFunc(rec.crashes, func(k crash) bool { return k.endpoint == c.endpoint }) {
			r.unlist(c.endpoint, d)
		}
	}
	if len(rec.crashes) == 0 {
		delete(r.records, d)
		return
	}
	if len(rec.crashes) < len(old) {
		r.isolate(d, rec)
	}
}

func (r *Registry) drop(d Digest) {
	for _, c := range r.records[d].crashes {
		r.unlist(c.endpoint, d)
	}
	delete(r.records, d)
}

func (r *Registry) unlist(endpoint string, d Digest) {
	rest := slices.DeleteFunc(r.present[endpoint], func(x Digest) bool { return x == d })
	if len(rest) == 0 {
		delete(r.present, endpoint)
		return
	}
	r.present[endpoint] = rest
}

// evict drops the digest with the fewest and oldest crashes.
func (r *Registry) evict() {
	var victim Digest
	var worst *record
	for d, rec := range r.records {
		if worst == nil || rec.less(worst) || (!worst.less(rec) && d < victim) {
			victim, worst = d, rec
		}
	}
	r.drop(victim)
}

func (rec *record) less(o *record) bool {
	if len(rec.crashes) != len(o.crashes) {
		return len(rec.crashes) < len(o.crashes)
	}
	return rec.last().Before(o.last())
}

// Tick drops crashes that no longer count. The caller calls it every few
// seconds.
func (r *Registry) Tick(now time.Time) {
	for d, rec := range r.records {
		r.forget(d, rec, func(c crash) bool { return now.Sub(c.at) >= r.opts.CrashWindow })
	}
}

// Isolated returns the digests that are isolated now, sorted, for display.
func (r *Registry) IsolatedDigests(now time.Time) []Digest {
	var out []Digest
	for d, rec := range r.records {
		if now.Before(rec.until) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}
