package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/mesh"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Intervals, delays and timeouts of a feed.
const (
	// A watch may miss changes until the next poll, so the wait of a poll grows
	// with the number of followers: on average one daemon starts a poll every
	// pollWaitPerFollower and passes changes on to the others. The wait of a
	// wide fleet's followers must stay below the age of a store contact at which
	// the mesh replaces a follower.
	pollWaitPerFollower = 200 * time.Millisecond
	minPollWait         = time.Second
	// A watch may hear nothing until it is asked anew. So a poll ends before a change must
	// be known to all daemons: by pollReadTime for reading what it missed, in a wide fleet
	// also by passOnTime for passing it on, but not sooner than shortestPollWait.
	pollReadTime     = 500 * time.Millisecond
	passOnTime       = 400 * time.Millisecond
	shortestPollWait = 200 * time.Millisecond
	// defaultChangeBound is the time in which a change must be known if none is set.
	defaultChangeBound = 2 * time.Second
	// joinTimeout is how long a feed waits after its first list until the daemon
	// knows its peers, so that not all daemons that start together poll the store.
	joinTimeout = time.Second
	// The backoff doubles after each failure from minBackoff to maxBackoff.
	// probeTimeout bounds the probes of an unreachable store, so that its return
	// is noticed within a second: the grace period of entries that expired
	// during the outage starts then.
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 250 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// maxRefusedBackoff applies while the store answers probes and refuses other reads,
	// as it does above its limit of reads.
	maxRefusedBackoff = time.Second
	// While the history is gone again after each list, the wait before the next list
	// doubles from minRelistBackoff to maxRelistBackoff. It is randomized, since all
	// daemons notice at the same time.
	minRelistBackoff   = 200 * time.Millisecond
	maxRelistBackoff   = 2 * time.Second
	maxRelistDoublings = 4
	// In a wide fleet the preferred followers probe at intervals of up to
	// maxFollowerBackoff that grow with their number: each tells the others of the
	// store's return.
	maxFollowerBackoff = time.Second
	// Daemons that are not preferred followers probe an unreachable store less
	// often: on average one daemon of the fleet each sharedProbeInterval, but each
	// after at most maxSharedBackoff, since it may become a follower. A feed whose
	// primary probes waits as long. Each waits at least minSharedBackoff, and no
	// longer once a peer has newer changes.
	sharedProbeInterval = 500 * time.Millisecond
	minSharedBackoff    = 500 * time.Millisecond
	maxSharedBackoff    = 8 * time.Second
	// storeUnreachableAfter is the duration of failures after which the store
	// counts as unreachable.
	storeUnreachableAfter = time.Second
	// peerContactPeriod is how long after an answer to a peer the store counts as not away:
	// entries expire after three report intervals of about 1.2 s without it.
	peerContactPeriod = 3500 * time.Millisecond
	// batchDelay is the delay between a change and the next poll, so that one
	// poll returns all changes of a burst. longBatchDelay applies to the other
	// daemons of a wide fleet, all of which follow the store while they start.
	batchDelay     = 150 * time.Millisecond
	longBatchDelay = 900 * time.Millisecond
	// peerFetchDelay is how long a peer must be ahead before its copy is
	// fetched, and the minimum interval between two fetches. A follower's message
	// mostly arrives sooner.
	peerFetchDelay = 300 * time.Millisecond
	// maxNewestCopyWait is how long a copy is fetched only from the peer that
	// reported the newest change.
	maxNewestCopyWait = time.Second
	// storeReadDelay is how long a peer must be ahead before a daemon that does
	// not follow the store reads it: a copy of the peer, which is no call of the
	// store, mostly arrives sooner.
	storeReadDelay = 700 * time.Millisecond
	// followCheckInterval is the interval at which a daemon that does not follow
	// the store checks whether it should.
	followCheckInterval = 250 * time.Millisecond
	// regainedAtTolerance is the difference up to which two times reported for
	// the store's return are taken to mean the same return.
	regainedAtTolerance = 500 * time.Millisecond
	// maxStoreIdle is the time after which a daemon that does not follow the
	// store reads it anyway.
	maxStoreIdle = 30 * time.Second
)

// maxBroadcastBytes bounds the packed changes of one message; larger ones are
// read from the store. A configuration of 26 KB packs to about 4 KB; 15 messages
// of 32 KiB take 0.4 s on a link of 10 Mbit/s.
const maxBroadcastBytes = 32 << 10

// origin is the way in which a feed learned of items.
type origin string

const (
	fromList     origin = "list"
	fromPoll     origin = "poll"
	fromPush     origin = "push"
	fromPeerCopy origin = "peer copy"
	// fromGracePeriod is the end of the time for which a removal was deferred.
	fromGracePeriod origin = "grace period"
)

// reading is one reading of items: its time, its origin and how long the feed had known
// before that it lacked changes.
type reading struct {
	at     time.Time
	origin origin
	behind time.Duration
}

// consumer receives the items and changes that a feed reads. Its methods are not
// called concurrently.
type consumer interface {
	// replace replaces all items by those at a revision.
	replace(r reading, items []platform.Item, at platform.Revision)
	// apply applies the changes up to a revision.
	apply(r reading, events []platform.Event, at platform.Revision)
	// storeUnreachable and storeReachable report whether the store can be read.
	storeUnreachable()
	storeReachable(now time.Time)
	// storeRegained reports when another daemon could read the store again, and
	// storeReadByPeer that one reads it while this daemon can't.
	storeRegained(at time.Time)
	storeReadByPeer()
	// precedes reports whether an item has an older content than another one of the same
	// key: their revisions don't tell if they belong to different eras of the store.
	precedes(item, other platform.Item) bool
}

// fleetView is the part of the mesh that a feed uses.
type fleetView interface {
	// Count returns the number of daemons including this one, and Followers the
	// number of those that follow the store.
	Count() int
	Followers() int
	// Wide reports whether only some daemons follow the store and pass changes on
	// to the others.
	Wide() bool
	// FollowsStore reports whether this daemon follows the store, and
	// PreferredFollower whether it would if all daemons could reach the store.
	FollowsStore() bool
	PreferredFollower() bool
	// Broadcast sends changes to the daemons of the same failure domain.
	Broadcast(c *meshpb.Changes)
}

// feed keeps a copy of the items with a prefix. It reads them from the store while
// the store is reachable, and from other daemons' copies otherwise.
type feed struct {
	prefix   string
	log      zerolog.Logger
	source   platform.ChangeLog
	consumer consumer
	// onStoreContact is called after each response of the store, onRegained after
	// the first one after a loss.
	onStoreContact, onRegained func()
	fleet                      fleetView
	// joined is closed once the daemon knows its peers; nil if it need not wait.
	joined <-chan struct{}
	// primary is another feed of the daemon. While it probes a lost store too, this
	// one leaves the frequent probes to it and is woken at the store's return; nil
	// if there is none.
	primary *feed
	// failing is true from a failed call of the store to the next successful one.
	failing atomic.Bool
	// wake signals that the store has newer changes.
	wake chan struct{}

	mu    sync.Mutex
	items map[string]platform.Item
	// revision is the store revision up to which items is complete, lastChange
	// that of the last change.
	revision, lastChange platform.Revision
	// missing lists the changes that peers reported and that are missing here, in order.
	missing []missingChange
	// outdatedSince is the time of the first of missing, nil if there is none. It is read
	// with each request, also while f.mu is held to decode a configuration.
	outdatedSince atomic.Pointer[time.Time]
	// highestReported is the newest change that a peer reported.
	highestReported platform.Revision
	// fetching is true while a peer's copy is being fetched; fetchedAt is when
	// the last fetch started.
	fetching  bool
	fetchedAt time.Time
	// contactedAt is when the store last responded, lostAt the time of the first failed call
	// since, zero if there is none. regainedAt is when it last became reachable again.
	contactedAt, lostAt, regainedAt time.Time
	// peerContactAt is when the store last answered a peer that follows it, as far as known.
	peerContactAt time.Time
	// held are the items of a restored store that are older than what is known of their
	// keys; departed are the removed items, by key.
	held     map[string]heldItem
	departed map[string]departure
	// stalePeriod is how long held items are not used, 0 for ever.
	stalePeriod time.Duration
	// onRestored is called when the store's era has changed. It must not block.
	onRestored func()
	// changeBound is the time in which all daemons must know of a change, in nanoseconds.
	changeBound atomic.Int64
	// probeAnswered is true if the store answered the last probe.
	probeAnswered bool
}

func newFeed(
	prefix string, source platform.ChangeLog, c consumer, fleet fleetView, onStoreContact func(), log zerolog.Logger,
) *feed {
	f := &feed{
		prefix: prefix, source: source, consumer: c, fleet: fleet, onStoreContact: onStoreContact, onRegained: func() {}, log: log,
		wake: make(chan struct{}, 1), items: make(map[string]platform.Item),
		held: make(map[string]heldItem), departed: make(map[string]departure), onRestored: func() {},
	}
	f.setChangeBound(defaultChangeBound)
	return f
}

// setChangeBound sets the time in which all daemons must know of a change.
func (f *feed) setChangeBound(d time.Duration) { f.changeBound.Store(int64(d)) }

// run follows the store until ctx ends.
func (f *feed) run(ctx context.Context) {
	listed, relists := false, 0
	backoff := minBackoff
	for ctx.Err() == nil {
		if listed && !f.failing.Load() && !f.waitUntilDue(ctx) {
			continue
		}
		polled := listed
		err := f.readOnce(ctx, &listed)
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			listed = listed && err == nil
			backoff = minBackoff
			if err != nil {
				relists++
				f.waitToList(ctx, relists)
			} else if polled {
				relists = 0
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.recordFailure(time.Now(), err)
		wait, limit := backoff, maxBackoff
		if f.probeAnswered {
			// A store above its rate refuses the reads of all daemons at the same time.
			wait, limit = jitter(backoff), maxRefusedBackoff
		}
		f.waitToProbe(ctx, wait)
		backoff = min(2*backoff, limit)
	}
}

// readOnce reads the list if it has not been read, else polls for changes. A
// failing store is first probed by a call with a small response, since the
// transfer of a configuration of some hundred KB over a slow link takes longer
// than probeTimeout.
func (f *feed) readOnce(ctx context.Context, listed *bool) error {
	f.probeAnswered = false
	failing := f.failing.Load()
	if failing {
		if err := f.probe(ctx); err != nil {
			return err
		}
		f.probeAnswered = true
	}
	wait := f.pollWait()
	if failing || !f.fleet.FollowsStore() {
		wait = time.Millisecond
	}
	if !*listed {
		items, at, err := f.source.Range(ctx, f.prefix)
		if err != nil {
			return err
		}
		f.recordContact(time.Now())
		*listed = true
		f.log.Info().Str("prefix", f.prefix).Int("items", len(items)).Stringer("revision", at).
			Stringer("former", f.currentRevision()).Msg("list read")
		if f.currentRevision() > 0 && f.broadcasts() {
			f.broadcast(f.changesTo(items, at), at)
		}
		f.replace(fromList, items, at)
		f.awaitJoin(ctx)
		return nil
	}
	began := time.Now()
	c, err := f.source.Poll(ctx, f.prefix, f.currentRevision(), wait)
	f.logPoll(c, err, wait, time.Since(began))
	if err == nil || errors.Is(err, platform.ErrCompacted) {
		f.recordContact(time.Now())
	}
	if err != nil {
		return err
	}
	f.broadcast(mesh.ChangeList{Events: c.Events}, lastRevision(c.Events))
	f.apply(c.Events)
	if len(c.Events) > 0 && f.fleet.FollowsStore() {
		pause.Sleep(ctx, f.batchDelayFor())
	}
	return nil
}

func (f *feed) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Wrap(f.source.Probe(ctx), "probe")
}
