package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashesToBlock is the number of crashes without an answer in between that
	// block a part. Two may be a coincidence: a request and its repeat can both be
	// sent to endpoints that crash for another reason.
	crashesToBlock = 3
	// crashesToBlockAnswered applies to a part with which a request was answered after
	// an earlier crash. A part that crashes endpoints is never answered, so this one
	// was most likely in requests that other parts crashed.
	crashesToBlockAnswered = 6
	// crashSpacing is the interval within which crashes of several endpoints count as
	// one: a partition or the loss of several machines breaks many connections at once.
	crashSpacing = 250 * time.Millisecond
	// partCrashWindow is the time for which crashes of a part are kept, and for which
	// it stays blocked after the last one.
	partCrashWindow = time.Hour
	// maxPartCrashes bounds the crashes kept of one part, maxParts the parts.
	maxPartCrashes = 16
	maxParts       = 1024
	// answerTolerance is the difference up to which reported times of an answer are
	// taken to be the same one. Each hop between daemons adds its delay.
	answerTolerance = 500 * time.Millisecond
)

// partRecord holds what is known of one part of prompts.
type partRecord struct {
	// crashes are in order of time.
	crashes []crash
	// answeredAt is the last time at which a request with the part was answered; zero
	// if none was since the first crash.
	answeredAt time.Time
	// changedAt is when the record last changed on this daemon.
	changedAt time.Time
}

// Parts holds the crashes and answers that one daemon knows of by part of a prompt. It
// finds parts that crash each endpoint that begins to answer a request with them,
// whatever else the request holds. It performs no I/O; the caller holds the lock and
// passes the time.
//
// The caller reports a crash only for requests of which no answer had begun, and only if
// the endpoint was found to be down: a lost answer is no crash. The last part of a
// prompt is the request's own and is left out.
type Parts struct {
	records map[Digest]*partRecord
}

// NewParts returns an empty Parts.
func NewParts() *Parts { return &Parts{records: make(map[Digest]*partRecord)} }

// PartDigest returns the digest of a part of a prompt.
func PartDigest(part string) Digest { return DigestOf("", []byte("part\x00"+part)) }

// Blocked reports whether a request with the given parts must be refused, because of
// which part and for how long.
func (p *Parts) Blocked(now time.Time, parts []Digest) (part Digest, retryAfter time.Duration, blocked bool) {
	for _, d := range parts {
		rec := p.records[d]
		if rec == nil || !rec.guilty() || !p.hasCompanions(d, rec, parts) {
			continue
		}
		if left := rec.lastCrash().Add(partCrashWindow).Sub(now); left > 0 {
			return d, left, true
		}
	}
	return 0, 0, false
}

// hasCompanions reports whether parts holds all other parts that may be the cause of the
// crashes of d as well: those that were in all of them and never in an answered request.
// Requests with only some of these parts run, which tells the parts apart.
func (p *Parts) hasCompanions(d Digest, rec *partRecord, parts []Digest) bool {
	for other, o := range p.records {
		if other != d && o.answeredAt.IsZero() && !slices.Contains(parts, other) && o.includes(rec) {
			return false
		}
	}
	return true
}

// RecordCrash records that endpoint crashed before it began to answer a request with the
// given parts. It returns the parts that are blocked by it.
func (p *Parts) RecordCrash(now time.Time, endpoint string, parts []Digest) []Digest {
	var blocked []Digest
	for _, d := range parts {
		before := p.records[d] != nil && p.records[d].guilty()
		if p.addCrash(now, d, crash{endpoint: endpoint, at: now, own: true}) && !before && p.records[d].guilty() {
			blocked = append(blocked, d)
		}
	}
	return blocked
}

// RecordAnswer records that a request with the given parts was answered.
func (p *Parts) RecordAnswer(now time.Time, parts []Digest) {
	for _, d := range parts {
		p.addAnswer(now, d, now)
	}
}

// Entries returns the entries to send to the other daemons: those of blocked parts, and of
// the parts that changed on this daemon within maxAge those that changed last, up to the
// first that exceeds most entries.
func (p *Parts) Entries(now time.Time, maxAge time.Duration, most int) []Entry {
	var out []Entry
	var recent []Digest
	for d, rec := range p.records {
		if rec.guilty() {
			out = append(out, rec.entries(d)...)
		} else if now.Sub(rec.changedAt) <= maxAge {
			recent = append(recent, d)
		}
	}
	slices.SortFunc(recent, func(a, b Digest) int {
		return cmp.Or(p.records[b].changedAt.Compare(p.records[a].changedAt), cmp.Compare(a, b))
	})
	for n := 0; len(recent) > 0 && n < most; recent = recent[1:] {
		entries := p.records[recent[0]].entries(recent[0])
		n, out = n+len(entries), append(out, entries...)
	}
	return out
}

// entries returns the entries of a record.
func (rec *partRecord) entries(d Digest) []Entry {
	var out []Entry
	for _, c := range rec.crashes {
		out = append(out, Entry{Digest: d, Endpoint: c.endpoint, At: c.at})
	}
	if !rec.answeredAt.IsZero() {
		out = append(out, Entry{Digest: d, Completed: true, At: rec.answeredAt})
	}
	return out
}

// Merge records the entries of another daemon and returns the parts that are blocked by
// them.
func (p *Parts) Merge(now time.Time, entries []Entry) []Digest {
	before := make(map[Digest]bool)
	for _, e := range entries {
		if _, seen := before[e.Digest]; !seen {
			before[e.Digest] = p.records[e.Digest] != nil && p.records[e.Digest].guilty()
		}
		if !e.Completed && now.Sub(e.At) < partCrashWindow {
			p.addCrash(now, e.Digest, crash{endpoint: e.Endpoint, at: e.At})
		}
	}
	for _, e := range entries {
		if e.Completed {
			p.addAnswer(now, e.Digest, e.At)
		}
	}
	var blocked []Digest
	for d, guilty := range before {
		if rec := p.records[d]; rec != nil && !guilty && rec.guilty() {
			blocked = append(blocked, d)
		}
	}
	slices.Sort(blocked)
	return blocked
}

// ObservedCrash reports whether this daemon observed a crash of a part itself.
func (p *Parts) ObservedCrash(d Digest) bool {
	rec := p.records[d]
	return rec != nil && slices.ContainsFunc(rec.crashes, func(c crash) bool { return c.own })
}

// Tick removes crashes older than partCrashWindow. It must be called every few seconds.
func (p *Parts) Tick(now time.Time) {
	for d, rec := range p.records {
		rec.crashes = slices.DeleteFunc(rec.crashes, func(c crash) bool { return now.Sub(c.at) >= partCrashWindow })
		if len(rec.crashes) == 0 {
			delete(p.records, d)
		}
	}
}

// addCrash records a crash and returns false if it was already recorded.
func (p *Parts) addCrash(now time.Time, d Digest, c crash) bool {
	rec := p.records[d]
	if rec == nil {
		if len(p.records) >= maxParts {
			p.evict()
		}
		rec = &partRecord{}
		p.records[d] = rec
	}
	if slices.ContainsFunc(rec.crashes, c.sameAs) {
		return false
	}
	at, _ := slices.BinarySearchFunc(rec.crashes, c, func(a, b crash) int { return a.at.Compare(b.at) })
	rec.crashes = slices.Insert(rec.crashes, at, c)
	if len(rec.crashes) > maxPartCrashes {
		// The first crash stays: an answer after it shows that the part is sound.
		rec.crashes = slices.Delete(rec.crashes, 1, 2)
	}
	rec.changedAt = now
	return true
}

// addAnswer records an answer to a request with a part of which crashes are known.
func (p *Parts) addAnswer(now time.Time, d Digest, at time.Time) {
	rec := p.records[d]
	if rec == nil || !at.After(rec.crashes[0].at) || !at.After(rec.answeredAt.Add(answerTolerance)) {
		return
	}
	// Later answers matter to other daemons only if there are crashes after the last one.
	if rec.answeredAt.IsZero() || rec.lastCrash().After(rec.answeredAt) {
		rec.changedAt = now
	}
	rec.answeredAt = at
}

// evict removes the part with the fewest crashes; among equals, the one whose last crash
// is the oldest.
func (p *Parts) evict() {
	var victim Digest
	var least *partRecord
	for d, rec := range p.records {
		if least == nil || cmp.Or(cmp.Compare(len(rec.crashes), len(least.crashes)), rec.lastCrash().Compare(least.lastCrash()), cmp.Compare(d, victim)) < 0 {
			victim, least = d, rec
		}
	}
	delete(p.records, victim)
}

// guilty reports whether there are enough crashes since the last answer.
func (rec *partRecord) guilty() bool {
	need := crashesToBlock
	if !rec.answeredAt.IsZero() {
		need = crashesToBlockAnswered
	}
	n, last := 0, time.Time{}
	for _, c := range rec.crashes {
		if !c.at.After(rec.answeredAt) || n > 0 && c.at.Sub(last) < crashSpacing {
			continue
		}
		n, last = n+1, c.at
	}
	return n >= need
}

// includes reports whether all crashes of other are also crashes of rec.
func (rec *partRecord) includes(other *partRecord) bool {
	for _, c := range other.crashes {
		if !slices.ContainsFunc(rec.crashes, c.sameAs) {
			return false
		}
	}
	return true
}

// lastCrash returns the time of the last crash.
func (rec *partRecord) lastCrash() time.Time { return rec.crashes[len(rec.crashes)-1].at }
