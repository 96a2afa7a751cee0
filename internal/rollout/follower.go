package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Limits of a follower.
const (
	// watchersPerDomain daemons of a failure domain watch the head; the second one
	// covers the time until the loss of the first is noticed.
	watchersPerDomain = 2
	// historyLength is the number of earlier manifests kept, so that an update to
	// a daemon that is a few revisions behind names only the changed sections.
	historyLength = 16
	// sectionsPerMessage bounds a message to 8 sections of 64 KB.
	sectionsPerMessage = 8
	// sectionsPerFetch bounds the store reads that a daemon runs at the same time.
	// With 8, a start of all daemons of the target size made 1,568 reads in one
	// second, above the 1,000 of section 2.2 of the design page.
	sectionsPerFetch = 4
	// A daemon that does not watch and misses more than bulkThreshold waits up to
	// bulkWait for another daemon that has them. Otherwise a restart of the whole
	// fleet would read 265 sections for each of 420 daemons from the store.
	bulkThreshold = 16
	bulkWait      = 20 * time.Second
	// treeFanout is the number of daemons to which one passes a new revision at
	// once. Two watchers that served 30 daemons each sent 58.8 KB/s at the target
	// size, above the 21 KB/s of section 2.4 of the design page.
	treeFanout = 2
	// maxAnnouncements is how often a watcher repeats an announcement to a daemon
	// that does not answer. The exchange of every ExchangeEvery covers the rest.
	maxAnnouncements = 10
)

// Options are the settings of a Follower. Zero durations stand for the defaults.
type Options struct {
	// Self is this daemon's id, Domain its failure domain.
	Self, Domain string
	// PollInterval is the interval at which a daemon reads the head although nothing
	// points to a change; 120 s by default, 30 s for a watcher.
	PollInterval, WatcherPollInterval time.Duration
	// ExchangeInterval is the interval at which a daemon compares its revision with
	// a watcher's; 10 s by default.
	ExchangeInterval time.Duration
	// RetryInterval is the interval of repeated announcements, fetches and attempts
	// to watch; 500 ms by default.
	RetryInterval time.Duration
	// StartupWait is how long a started daemon waits for the revisions of its
	// failure domain and of the store before it installs the highest it knows;
	// 1 s by default.
	StartupWait time.Duration
}

func (o Options) withDefaults() Options {
	o.PollInterval = cmp.Or(o.PollInterval, 120*time.Second)
	o.WatcherPollInterval = cmp.Or(o.WatcherPollInterval, 30*time.Second)
	o.ExchangeInterval = cmp.Or(o.ExchangeInterval, 10*time.Second)
	o.RetryInterval = cmp.Or(o.RetryInterval, 500*time.Millisecond)
	o.StartupWait = cmp.Or(o.StartupWait, time.Second)
	return o
}

// Envelope is a message to another daemon.
type Envelope struct {
	To      string
	Message Message
}

// InstalledConfig is a configuration that is now in force on this daemon.
type InstalledConfig struct {
	Revision uint64
	Config   *config.Config
}

// Output is what the caller of a follower does after a step.
type Output struct {
	Send []Envelope
	// ReadHead asks for a read of HeadKey; the answer goes to Head.
	ReadHead bool
	// StartWatch asks for a watch of HeadKey after WatchAfter, whose events go to
	// Head; its end goes to WatchEnded. StopWatch ends it.
	StartWatch, StopWatch bool
	WatchAfter            platform.Revision
	// Fetch asks for sections from the store; the responses go to Sections.
	Fetch []config.Hash
	// Install, if not nil, takes effect at once.
	Install *InstalledConfig
	// Err reports a record that cannot be used; it is logged.
	Err error
}

// Status describes a follower to operators.
type Status struct {
	Revision uint64 `json:"revision"`
	// Age is the time since the store confirmed that Revision is the newest, as far
	// as this daemon knows; 0 if there is no revision.
	Age     time.Duration `json:"age"`
	Watcher bool          `json:"watcher"`
	// StoreBehind is set if the store last showed a lower revision, for example
	// after it was restored from a copy. The follower keeps its own.
	StoreBehind bool `json:"store_behind,omitempty"`
}

// followerFaults are deliberate defects that tests switch on to show that the
// invariant tests see them.
type followerFaults struct {
	installLowerRevision, skipStartupWait, skipRepeatedAnnouncements bool
}

// target is a revision that is being fetched.
type target struct {
	revision uint64
	manifest config.Manifest
	// source is the daemon that has the sections; "" is the store.
	source string
	// storeOnly is set while the store is asked because a daemon did not answer.
	storeOnly bool
	// behindSince is the time at which the daemon fell behind.
	behindSince time.Time
	requestedAt time.Time
	confirmedAt time.Time
}

// Follower keeps the configuration of one daemon up to date.
type Follower struct {
	opts   Options
	faults followerFaults
	// join is config.Join; a benchmark of many followers shares its results.
	join func(*config.Config, config.Manifest, config.Manifest, func(config.Hash) ([]byte, bool)) (*config.Config, error)

	now         time.Time
	started     time.Time
	startupDone bool
	headRead    bool
	// reported are the daemons that told their revision since the start.
	reported map[string]bool
	// highestReported is the highest revision that another daemon told.
	highestReported uint64
	members         []string

	// revision is in force. It never goes down in the life of a follower.
	revision    uint64
	manifest    config.Manifest
	config      *config.Config
	sections    Sections
	history     []target
	target      *target
	confirmedAt time.Time

	watcher, watching bool
	storeBehind       bool
	ackedRevisions    map[string]uint64
	announcements     int
	nextAnnounceAt    time.Time
	nextWatchAt       time.Time
	nextPollAt        time.Time
	nextExchangeAt    time.Time
	jitterRounds      int
}

// NewFollower returns the follower of a daemon that starts at now. The caller
// executes the output.
func NewFollower(opts Options, now time.Time) (*Follower, Output) {
	f := &Follower{opts: opts.withDefaults(), join: config.Join, now: now, started: now, sections: make(Sections),
		reported: make(map[string]bool), ackedRevisions: make(map[string]uint64)}
	f.schedulePoll()
	f.nextExchangeAt = now.Add(f.jitter(f.opts.ExchangeInterval))
	return f, Output{ReadHead: true}
}

// Status returns the follower's state at now.
func (f *Follower) Status(now time.Time) Status {
	s := Status{Revision: f.revision, Watcher: f.watcher, StoreBehind: f.storeBehind}
	if f.revision > 0 {
		s.Age = now.Sub(f.confirmedAt)
	}
	return s
}

// jitter returns a time between 75% and 125% of d that differs by daemon and
// round, so that the fleet's calls are spread.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.jitterRounds++
	h := xxhash.Sum64String(f.opts.Self + "/" + strconv.Itoa(f.jitterRounds))
	return d*3/4 + time.Duration(h%1000)*d/2000
}

func (f *Follower) schedulePoll() {
	interval := f.opts.PollInterval
	if f.watcher {
		interval = f.opts.WatcherPollInterval
	}
	f.nextPollAt = f.now.Add(f.jitter(interval))
}

// watchers returns the daemons of the failure domain that watch the head, by
// rendezvous hashing over the live ones.
func watchers(domain string, members []string) []string {
	ranked := rankMembers(domain, members)
	return ranked[:min(watchersPerDomain, len(ranked))]
}

func rankMembers(domain string, members []string) []string {
	ranked := slices.Clone(members)
	score := func(m string) uint64 { return xxhash.Sum64String(domain + "/" + m) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return ranked
}

// SetMembers tells the live daemons of the failure domain, this one included.
func (f *Follower) SetMembers(now time.Time, live []string) Output {
	f.now = now
	var out Output
	for _, m := range live {
		if m != f.opts.Self && !slices.Contains(f.members, m) {
			f.send(&out, m, f.revisionMessage(MessageAnnounce))
		}
	}
	f.members = slices.Clone(live)
	for m := range f.ackedRevisions {
		if !slices.Contains(live, m) {
			delete(f.ackedRevisions, m)
		}
	}
	wasWatcher := f.watcher
	f.watcher = slices.Contains(watchers(f.opts.Domain, live), f.opts.Self)
	switch {
	case f.watcher && !wasWatcher:
		out.ReadHead = true
		f.announcements = 0
		f.schedulePoll()
	case !f.watcher && wasWatcher:
		out.StopWatch, f.watching = f.watching, false
	}
	f.finishStartup(&out)
	return out
}

// HandleReconnect tells that the platform responses again after it did not. The
// follower reads the head at once, because a watch may have missed changes.
func (f *Follower) HandleReconnect(now time.Time) Output {
	f.now = now
	return Output{ReadHead: true}
}

// Tick advances the time; the caller ticks at least every 100 ms.
func (f *Follower) Tick(now time.Time) Output {
	f.now = now
	var out Output
	f.finishStartup(&out)
	if !now.Before(f.nextPollAt) {
		out.ReadHead = true
		f.schedulePoll()
	}
	if f.watcher && !f.watching && !now.Before(f.nextWatchAt) {
		out.ReadHead = true
		f.nextWatchAt = now.Add(f.jitter(f.opts.RetryInterval))
	}
	f.retryFetch(&out)
	f.repeatAnnouncement(&out)
	if !now.Before(f.nextExchangeAt) {
		f.nextExchangeAt = now.Add(f.jitter(f.opts.ExchangeInterval))
		f.exchangeRevisions(&out)
	}
	return out
}

// HandleHead gives the answer of a read of the head or an event of its watch.
func (f *Follower) HandleHead(now time.Time, item platform.Item, err error) Output {
	f.now = now
	var out Output
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		f.nextWatchAt = now.Add(f.jitter(f.opts.RetryInterval))
		return out
	}
	var head Head
	if err == nil {
		if head, err = DecodeHead(item.Value); err != nil {
			out.Err = err
			return out
		}
	}
	f.headRead = true
	if f.watcher && !f.watching {
		f.watching = true
		out.StartWatch, out.WatchAfter = true, item.Revision
	}
	f.storeBehind = head.Revision < f.revision
	if head.Revision == f.revision {
		f.confirmedAt = now
	}
	f.updateTarget(&out, &target{revision: head.Revision, manifest: head.Manifest, confirmedAt: now})
	f.finishStartup(&out)
	return out
}

// HandleWatchEnd tells that the watch broke or could not be started.
func (f *Follower) HandleWatchEnd(now time.Time) Output {
	f.now = now
	f.watching = false
	f.nextWatchAt = now.Add(f.jitter(f.opts.RetryInterval))
	return Output{}
}

// HandleSections gives sections fetched from the store; missing ones are left out.
func (f *Follower) HandleSections(now time.Time, contents Sections) Output {
	f.now = now
	var out Output
	f.addSections(&out, contents)
	return out
}
