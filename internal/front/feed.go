package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Times of a feed.
const (
	// A watch may hear nothing of changes until it is asked anew, so the wait of
	// one poll is short where few daemons poll: some daemon polls at least
	// each waitPerDaemon, and the others hear of a change from it.
	waitPerDaemon = 200 * time.Millisecond
	leastWait     = time.Second
	longestWait   = 12 * time.Second
	// firstPause doubles after each failure up to lastPause. While the store
	// fails, calls are bounded by probeTimeout, so that its return is noticed
	// within a second: entries that lapsed with it count from then.
	firstPause   = 100 * time.Millisecond
	lastPause    = 250 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// awayAfter is the time of failures after which the store counts as away.
	awayAfter = time.Second
	// gather is the pause after changes, so that those that follow closely come
	// in one call.
	gather = 150 * time.Millisecond
	// fetchPause is the time for which a peer must be ahead before its copy is
	// read, and the least time between two copies.
	fetchPause = 300 * time.Millisecond
)

// reader takes what a feed reads. Its methods are called one at a time.
type reader interface {
	// replace takes a whole list as of a revision.
	replace(now time.Time, items []platform.Item, at platform.Revision)
	// apply takes changes up to a revision.
	apply(now time.Time, events []platform.Event, at platform.Revision)
	// away and back tell whether the store can be read.
	away()
	back(now time.Time)
}

// feed follows the items with a prefix, from the store while it can be read
// and from other daemons' copies while it can't.
type feed struct {
	prefix string
	log    zerolog.Logger
	source platform.ChangeLog
	reader reader
	// heard is called after each answer of the store.
	heard func()
	// daemons returns the number of daemons that follow the store.
	daemons func() int

	mu    sync.Mutex
	items map[string]platform.Item
	// at is the store revision up to which items is complete, changed that of
	// the last change.
	at, changed platform.Revision
	// behindSince is when a peer was first seen with newer changes.
	behindSince time.Time
	fetching    bool
	fetched     time.Time
}

func newFeed(prefix string, source platform.ChangeLog, r reader, daemons func() int, heard func(), log zerolog.Logger) *feed {
	return &feed{prefix: prefix, source: source, reader: r, daemons: daemons, heard: heard, log: log, items: make(map[string]platform.Item)}
}

// run follows the store until ctx ends.
func (f *feed) run(ctx context.Context) {
	listed := false
	pause := firstPause
	var failing time.Time
	for ctx.Err() == nil {
		err := f.step(ctx, &listed, !failing.IsZero())
		now := time.Now()
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			listed = listed && err == nil
			if !failing.IsZero() {
				f.log.Info().Str("prefix", f.prefix).Dur("after_ms", now.Sub(failing)).Msg("store regained")
			}
			failing, pause = time.Time{}, firstPause
			f.heard()
			f.mu.Lock()
			f.reader.back(now)
			f.mu.Unlock()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if failing.IsZero() {
			failing = now
			f.log.Warn().Err(err).Str("prefix", f.prefix).Int64("revision", int64(f.revision())).Msg("store lost")
		} else if now.Sub(failing) > awayAfter {
			f.mu.Lock()
			f.reader.away()
			f.mu.Unlock()
		}
		sleep(ctx, pause)
		pause = min(2*pause, lastPause)
	}
}

// step reads the list once, then waits for changes; a probe does not wait.
func (f *feed) step(ctx context.Context, listed *bool, probe bool) error {
	wait := f.wait()
	if probe {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		wait = time.Millisecond
	}
	if !*listed {
		items, at, err := f.source.Range(ctx, f.prefix)
		if err != nil {
			return err
		}
		*listed = true
		f.log.Info().Str("prefix", f.prefix).Int("items", len(items)).Int64("revision", int64(at)).Msg("list read")
		f.replace(items, at)
		return nil
	}
	c, err := f.source.Poll(ctx, f.prefix, f.revision(), wait)
	if err != nil {
		return err
	}
	f.log.Debug().Str("prefix", f.prefix).Int("events", len(c.Events)).Int64("revision", int64(c.At)).Msg("changes read")
	f.apply(c)
	if len(c.Events) > 0 {
		sleep(ctx, gather)
	}
	return nil
}

// wait is the wait of one poll. It is spread widely, since a change lets all
// daemons poll anew at the same moment.
func (f *feed) wait() time.Duration {
	wait := min(max(time.Duration(f.daemons())*waitPerDaemon, leastWait), longestWait)
	return time.Duration((0.5 + rand.Float64()) * float64(wait)).Round(time.Millisecond)
}

func (f *feed) revision() platform.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

// newest returns the revision of the last change.
func (f *feed) newest() platform.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *feed) replace(items []platform.Item, at platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at < f.at {
		return
	}
	f.items = make(map[string]platform.Item, len(items))
	for _, i := range items {
		f.items[i.Key] = i
		f.changed = max(f.changed, i.Revision)
	}
	f.at = at
	f.reader.replace(time.Now(), items, at)
}

// apply takes changes over. The revision follows the changes seen, not the one
// that the store names: a watch that hears nothing must not skip what it missed.
func (f *feed) apply(c platform.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.at
	for _, ev := range c.Events {
		if ev.Item.Revision <= f.at {
			continue
		}
		if ev.Deleted {
			delete(f.items, ev.Item.Key)
		} else {
			f.items[ev.Item.Key] = ev.Item
		}
		f.changed = max(f.changed, ev.Item.Revision)
		at = max(at, ev.Item.Revision)
	}
	f.reader.apply(time.Now(), c.Events, at)
	f.at = at
}

// copied returns the items for a peer.
func (f *feed) copied() ([]platform.Item, platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items := make([]platform.Item, 0, len(f.items))
	for _, i := range f.items {
		items = append(items, i)
	}
	return items, f.at
}

// behind notes that a peer knows changes up to a revision; it returns true if
// the peer's copy should be read now.
func (f *feed) behind(now time.Time, changed platform.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changed <= f.at {
		f.behindSince = time.Time{}
		return false
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if f.fetching || now.Sub(f.behindSince) < fetchPause && f.at > 0 || now.Sub(f.fetched) < fetchPause {
		return false
	}
	f.fetching, f.fetched = true, now
	return true
}

// fetch reads a peer's copy.
func (f *feed) fetch(peer string, get func(addr, prefix string) ([]platform.Item, platform.Revision, error)) {
	items, at, err := get(peer, f.prefix)
	f.mu.Lock()
	f.fetching = false
	f.mu.Unlock()
	if err != nil {
		f.log.Warn().Err(err).Str("prefix", f.prefix).Msg("copy of a peer not read")
		return
	}
	f.log.Info().Str("prefix", f.prefix).Str("peer", peer).Int64("revision", int64(at)).Int64("former", int64(f.revision())).
		Msg("copy of a peer read")
	f.replace(items, at)
}
