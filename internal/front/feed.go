package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Times of a feed.
const (
	// A watch may hear nothing of changes until it is asked anew, so the wait of
	// one poll is short where few daemons poll: some daemon polls at least
	// each waitPerDaemon, and the others hear of a change from it. It stays below
	// the age at which a wide fleet takes a follower for cut off.
	waitPerDaemon = 200 * time.Millisecond
	leastWait     = time.Second
	longestWait   = 12 * time.Second
	// firstPause doubles after each failure up to lastPause. While the store
	// fails, calls are bounded by probeTimeout, so that its return is noticed
	// within a second: entries that lapsed with it count from then.
	firstPause   = 100 * time.Millisecond
	lastPause    = 250 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// fewDaemons is the number of daemons up to which each probes a lost store
	// at these pauses. Among more, those that would not follow it, and all while
	// it answers a neighbour, probe as often together, or once a peer has newer
	// changes, after wokenPause.
	fewDaemons = 8
	wokenPause = 500 * time.Millisecond
	// awayAfter is the time of failures after which the store counts as away.
	awayAfter = time.Second
	// gather is the pause after changes, so that those that follow closely come
	// in one call; longGather is that of many daemons that all follow the store,
	// while they start.
	gather     = 150 * time.Millisecond
	longGather = 900 * time.Millisecond
	// askPause is the time for which a peer must be ahead before the store is
	// asked: a follower's message mostly comes sooner.
	askPause = 150 * time.Millisecond
	// fetchPause is the time for which a peer must be ahead before its copy is
	// read, and the least time between two copies.
	fetchPause = 300 * time.Millisecond
	// followCheck is the period in which a daemon that does not follow the store
	// looks whether it should.
	followCheck = 250 * time.Millisecond
	// returnSlack is the error of a time of return that a peer told.
	returnSlack = 500 * time.Millisecond
	// longestIdle is the time after which such a daemon asks the store anyway.
	longestIdle = 30 * time.Second
)

// spreadLimit bounds the packed changes of one message; larger ones are read
// from the store. A configuration of 26 KB packs to about 4 KB; 15 messages of
// this size take a link of 10 Mbit/s 0.4 s.
const spreadLimit = 32 << 10

// reader takes what a feed reads. Its methods are called one at a time.
type reader interface {
	// replace takes a whole list as of a revision.
	replace(now time.Time, items []platform.Item, at platform.Revision)
	// apply takes changes up to a revision.
	apply(now time.Time, events []platform.Event, at platform.Revision)
	// away and back tell whether the store can be read.
	away()
	back(now time.Time)
	// returned tells when another daemon regained the store.
	returned(at time.Time)
}

// fleetView is what a feed needs to know of the other daemons.
type fleetView interface {
	// Count is the number of daemons, this one included, Pollers that of those
	// that follow the store.
	Count() int
	Followers() int
	// Wide tells whether some daemons follow the store for others.
	Wide() bool
	// Follows tells whether this daemon follows the store itself, First whether
	// it would if the store answered all.
	FollowsStore() bool
	PreferredFollower() bool
	// StoreSeen tells whether the store lately answered a near peer.
	StoreReachable() bool
	// Spread passes changes on to daemons that don't.
	Broadcast(c *meshpb.Changes)
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
	fleet fleetView
	// wake tells that the store has newer changes.
	wake chan struct{}

	mu    sync.Mutex
	items map[string]platform.Item
	// at is the store revision up to which items is complete, changed that of
	// the last change.
	at, changed platform.Revision
	// behindSince is when a peer was first seen with the change at behindAt,
	// which is not known here.
	behindSince time.Time
	behindAt    platform.Revision
	fetching    bool
	fetched     time.Time
	// answered is when the store last answered, returned when it was regained.
	answered, returned time.Time
}

func newFeed(prefix string, source platform.ChangeLog, r reader, fleet fleetView, heard func(), log zerolog.Logger) *feed {
	return &feed{
		prefix: prefix, source: source, reader: r, fleet: fleet, heard: heard, log: log,
		wake: make(chan struct{}, 1), items: make(map[string]platform.Item),
	}
}

// run follows the store until ctx ends.
func (f *feed) run(ctx context.Context) {
	listed := false
	gap := firstPause
	var failing time.Time
	for ctx.Err() == nil {
		if listed && failing.IsZero() && !f.due(ctx) {
			continue
		}
		err := f.step(ctx, &listed, !failing.IsZero())
		now := time.Now()
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			listed = listed && err == nil
			if !failing.IsZero() {
				f.log.Info().Str("prefix", f.prefix).Dur("after_ms", now.Sub(failing)).Msg("store regained")
			}
			f.noteAnswer(now, !failing.IsZero() && now.Sub(failing) > awayAfter)
			failing, gap = time.Time{}, firstPause
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
		f.rest(ctx, gap)
		gap = min(2*gap, lastPause)
	}
}

// rest waits before the next probe of a lost store.
func (f *feed) rest(ctx context.Context, gap time.Duration) {
	if f.fleet.PreferredFollower() && !f.fleet.StoreReachable() {
		pause.Sleep(ctx, gap)
		return
	}
	pause.Sleep(ctx, max(gap, wokenPause))
	whole := gap * time.Duration(max(1, f.fleet.Count()/fewDaemons))
	timer := time.NewTimer(max(0, whole-wokenPause))
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noteAnswer records that the store answered, and whether it had been lost.
func (f *feed) noteAnswer(now time.Time, regained bool) {
	f.heard()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = now
	if regained {
		f.returned = now
	}
	f.reader.back(now)
}

// due waits until the store should be asked, at most for followCheck: at once
// if the daemon follows the store, else once there are changes.
func (f *feed) due(ctx context.Context) bool {
	if f.fleet.FollowsStore() {
		return true
	}
	timer := time.NewTimer(followCheck)
	defer timer.Stop()
	select {
	case <-f.wake:
		return true
	case <-timer.C:
		f.mu.Lock()
		defer f.mu.Unlock()
		return time.Since(f.answered) > longestIdle
	case <-ctx.Done():
		return false
	}
}

// step reads the list once, then waits for changes. A store that was lost is
// probed first, by a call with a small answer: a configuration of some hundred
// KB takes a weak link longer than a probe may last.
func (f *feed) step(ctx context.Context, listed *bool, lost bool) error {
	if lost {
		if err := f.probe(ctx); err != nil {
			return err
		}
	}
	wait := f.wait()
	if lost || !f.fleet.FollowsStore() {
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
	f.spread(c)
	f.log.Debug().Str("prefix", f.prefix).Int("events", len(c.Events)).Int64("revision", int64(c.At)).Msg("changes read")
	f.apply(c)
	if len(c.Events) > 0 && f.fleet.FollowsStore() {
		pause.Sleep(ctx, f.gatherFor())
	}
	return nil
}

func (f *feed) gatherFor() time.Duration {
	if f.fleet.PreferredFollower() {
		return gather
	}
	return longGather
}

// probePrefix is a prefix that no key has.
const probePrefix = "azurehatch/none/"

func (f *feed) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := f.source.Poll(ctx, probePrefix, max(f.revision(), 1), time.Millisecond)
	if errors.Is(err, platform.ErrCompacted) {
		return nil
	}
	return err
}

// wait is the wait of one poll. It is spread widely, since a change lets all
// daemons poll anew at the same moment.
func (f *feed) wait() time.Duration {
	wait := min(max(time.Duration(f.fleet.Followers())*waitPerDaemon, leastWait), longestWait)
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
