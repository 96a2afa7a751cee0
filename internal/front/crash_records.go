package front

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/poison"
)

// crashRecordKey is the key of the store with the crashes of isolated requests and blocked
// parts of prompts, which would be forgotten if all daemons ended at once.
const crashRecordKey = "azurehatch/crashes"

const (
	// maxRecordedCrashes bounds the record, to some 8 KB.
	maxRecordedCrashes = 120
	// crashRecordRetryDelay is the delay after a call to the store that failed.
	crashRecordRetryDelay = time.Second
	// A daemon that has heard of an isolation checks crashRecordCheckDelay later that the record has it, in
	// case those that observed the crashes have ended. On average crashRecordCheckers daemons of a fleet do.
	crashRecordCheckDelay = 3 * time.Second
	crashRecordCheckers   = 4
)

// crashRecord is the value of crashRecordKey.
type crashRecord struct {
	Requests []recordedCrash `json:"requests"`
	Parts    []recordedCrash `json:"parts"`
}

// recordedCrash is one crash of an endpoint.
type recordedCrash struct {
	Digest   uint64 `json:"digest"`
	Endpoint string `json:"endpoint"`
	// AtMs is the time of the crash in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
}

// recordCrashes returns the crashes among the entries, those of the digests that crashed last if there are
// more than maxRecordedCrashes. A digest is recorded with all its crashes or not at all.
func recordCrashes(entries []poison.Entry) []recordedCrash {
	byDigest := make(map[uint64][]recordedCrash)
	for _, e := range entries {
		if !e.Completed {
			c := recordedCrash{Digest: uint64(e.Digest), Endpoint: e.Endpoint, AtMs: e.At.UnixMilli()}
			byDigest[c.Digest] = append(byDigest[c.Digest], c)
		}
	}
	lastCrash := func(digest uint64) int64 {
		return slices.MaxFunc(byDigest[digest], func(a, b recordedCrash) int { return cmp.Compare(a.AtMs, b.AtMs) }).AtMs
	}
	digests := slices.SortedFunc(maps.Keys(byDigest), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(lastCrash(b), lastCrash(a)), cmp.Compare(a, b))
	})
	var out []recordedCrash
	for _, d := range digests {
		if len(out)+len(byDigest[d]) > maxRecordedCrashes {
			break
		}
		out = append(out, byDigest[d]...)
	}
	return out
}

// holdsAll reports whether recorded, which has been merged into what is known, has as many crashes of each
// digest as known.
func holdsAll(recorded, known []recordedCrash) bool {
	count := func(list []recordedCrash) map[uint64]int {
		n := make(map[uint64]int)
		for _, c := range list {
			n[c.Digest]++
		}
		return n
	}
	have := count(recorded)
	for d, n := range count(known) {
		if have[d] < n {
			return false
		}
	}
	return true
}

// crashEntries returns the entries of recorded crashes. A time in the future, as after a jump
// of the time of day, counts as now.
func crashEntries(now time.Time, recorded []recordedCrash) []poison.Entry {
	var out []poison.Entry
	for _, c := range recorded {
		age := max(0, now.Sub(time.UnixMilli(c.AtMs)))
		out = append(out, poison.Entry{Digest: poison.Digest(c.Digest), Endpoint: c.Endpoint, At: now.Add(-age)})
	}
	return out
}

// record returns the crashes of isolated requests and blocked parts.
func (c *crashIsolator) record(now time.Time) crashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return crashRecord{
		Requests: recordCrashes(c.registry.RecentEntries(now, crashEntryAge, 0)),
		Parts:    recordCrashes(c.parts.Entries(now, crashEntryAge, 0)),
	}
}

func (c *crashIsolator) mergeRecord(now time.Time, r crashRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Merge(now, crashEntries(now, r.Requests))
	c.logBlocked(c.parts.Merge(now, crashEntries(now, r.Parts)), "record of the store")
}

// signalIsolated makes keepCrashRecord write the record.
func (c *crashIsolator) signalIsolated() {
	select {
	case c.isolated <- struct{}{}:
	default:
	}
}

// recordIsolations makes the record hold what a peer's report has isolated. The daemons that observed one
// of the crashes write it: none of them knew all when it observed its own. Of the others in a fleet of a
// number of daemons, some check it later.
func (c *crashIsolator) recordIsolations(observed bool, daemons int) {
	switch {
	case observed:
		c.signalIsolated()
	case rand.Float64()*float64(daemons) < crashRecordCheckers:
		time.AfterFunc(jitter(crashRecordCheckDelay), c.signalIsolated)
	}
}

// checkRecord makes keepCrashRecord write the record if it lacks something that is isolated here, as after
// the store was restored from an older copy.
func (c *crashIsolator) checkRecord() {
	if r := c.record(time.Now()); len(r.Requests)+len(r.Parts) > 0 {
		c.signalIsolated()
	}
}

// keepCrashRecord reads the record of the store, and merges into it what this daemon isolates,
// until ctx ends.
func (c *crashIsolator) keepCrashRecord(ctx context.Context, store platform.Records) {
	for write := false; ctx.Err() == nil; {
		if err := c.syncCrashRecord(ctx, store, write); err != nil {
			c.log.Warn().Err(err).Bool("write", write).Msg("record of crashes not read or written")
			pause.Sleep(ctx, jitter(crashRecordRetryDelay))
			continue
		}
		c.recordRead.Store(true)
		select {
		case <-ctx.Done():
		case <-c.isolated:
			write = true
		}
	}
}

// syncCrashRecord merges the record of the store into what is known. If write is true, it writes all of
// that unless the record holds it.
func (c *crashIsolator) syncCrashRecord(ctx context.Context, store platform.Records, write bool) error {
	item, err := store.Get(ctx, crashRecordKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Wrap(err, "read record of crashes")
	}
	var stored crashRecord
	if err == nil {
		if err := json.Unmarshal(item.Value, &stored); err != nil {
			c.log.Error().Err(err).Stringer("revision", item.Revision).Msg("record of crashes not readable; it is replaced by the next one")
		}
		c.mergeRecord(time.Now(), stored)
	}
	if !write {
		return nil
	}
	r := c.record(time.Now())
	if holdsAll(stored.Requests, r.Requests) && holdsAll(stored.Parts, r.Parts) {
		return nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode record of crashes")
	}
	if _, err := store.CompareAndSwap(ctx, platform.Write{Key: crashRecordKey, Value: value, Expected: item.Revision}); err != nil {
		return errors.Wrap(err, "write record of crashes")
	}
	c.log.Info().Int("requests", len(r.Requests)).Int("parts", len(r.Parts)).Msg("record of crashes written")
	return nil
}
