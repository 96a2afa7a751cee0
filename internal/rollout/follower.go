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
	// watchersPerDomain is the number of daemons of a failure domain that watch the
	// head. The second one covers the time until a failure of the first is detected.
	watchersPerDomain = 2
	// historyLength is the number of recent manifests kept, so that an update to a
	// daemon that is a few revisions behind contains only the changed sections.
	historyLength = 16
	// sectionsPerMessage bounds a message to 8 sections of at most 64 KB each.
	sectionsPerMessage = 8
	// sectionsPerFetch bounds the sections that a daemon reads from the store in one
	// fetch. With 8, a simultaneous start of all daemons at the target size caused
	// 1,568 reads in one second, above the limit of 1,000 in section 2.2 of the
	// design page.
	sectionsPerFetch = 4
	// A daemon that is not a watcher and lacks more than bulkThreshold sections waits
	// up to bulkWait for another daemon that has them. Otherwise a restart of the
	// whole fleet would read 265 sections for each of 420 daemons from the store.
	bulkThreshold = 16
	bulkWait      = 20 * time.Second
	// treeFanout is the number of daemons to which a daemon forwards a new revision.
	// Without the tree, two watchers that served 30 daemons each sent 58.8 KB/s at
	// the target size, above the limit of 21 KB/s in section 2.4 of the design page.
	treeFanout = 2
	// maxAnnouncements is how many times a watcher repeats an announcement to a
	// daemon that does not confirm it. After that, the periodic exchange of revisions
	// (Options.ExchangeInterval) brings the daemon up to date.
	maxAnnouncements = 10
)

// Options are the settings of a Follower. Zero durations select the defaults.
type Options struct {
	// Self is this daemon's id, Domain its failure domain.
	Self, Domain string
	// PollInterval is the interval at which a daemon reads the head even without a
	// sign of a change; 120 s by default. WatcherPollInterval is that of a watcher;
	// 30 s by default.
	PollInterval, WatcherPollInterval time.Duration
	// ExchangeInterval is the interval at which a daemon compares its revision with
	// a watcher's; 10 s by default.
	ExchangeInterval time.Duration
	// RetryInterval is the interval between repeated announcements, fetches and
	// attempts to watch; 500 ms by default.
	RetryInterval time.Duration
	// StartupWait is how long a starting daemon waits for the revisions of its
	// failure domain and of the store before it installs the highest one received;
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

// InstalledConfig is the configuration that this daemon uses from now on.
type InstalledConfig struct {
	Revision uint64
	Config   *config.Config
}

// Output lists the actions that the caller of a follower executes after a step.
type Output struct {
	Send []Envelope
	// ReadHead requests a read of HeadKey; the response goes to HandleHead.
	ReadHead bool
	// StartWatch requests a watch of HeadKey after WatchAfter. Its events go to
	// HandleHead, its end to HandleWatchEnd. StopWatch ends it.
	StartWatch, StopWatch bool
	WatchAfter            platform.Revision
	// Fetch requests sections from the store; the contents go to HandleSections.
	Fetch []config.Hash
	// Install, if not nil, is to be put into effect immediately.
	Install *InstalledConfig
	// Err reports an invalid record or message; the caller logs it.
	Err error
}

// Status is the state of a follower as shown to operators.
type Status struct {
	Revision uint64 `json:"revision"`
	// Age is the time since the store last confirmed that Revision is the newest, to
	// this daemon's knowledge; 0 if there is no revision.
	Age     time.Duration `json:"age"`
	Watcher bool          `json:"watcher"`
	// StoreBehind is set if the last read of the store returned a lower revision, for
	// example after the store was restored from a backup. The follower keeps its own.
	StoreBehind bool `json:"store_behind,omitempty"`
}

// followerFaults are deliberate defects that tests enable to verify that the
// invariant checks detect them.
type followerFaults struct {
	installLowerRevision, skipStartupWait, skipRepeatedAnnouncements bool
}

// target is a revision that is being fetched, or was installed.
type target struct {
	revision uint64
	manifest config.Manifest
	// source is the daemon to request sections from; "" means the store.
	source string
	// storeOnly is set while sections are read from the store because the source
	// did not respond.
	storeOnly bool
	// behindSince is the time at which the daemon learned of a newer revision.
	behindSince time.Time
	requestedAt time.Time
	confirmedAt time.Time
}

// Follower keeps the configuration of one daemon up to date.
type Follower struct {
	opts   Options
	faults followerFaults
	// join is config.Join; the fleet benchmarks replace it to share results between
	// followers.
	join func(*config.Config, config.Manifest, config.Manifest, func(config.Hash) ([]byte, bool)) (*config.Config, error)

	now         time.Time
	startedAt   time.Time
	startupDone bool
	headRead    bool
	// reported holds the daemons that have reported their revision since the start.
	reported map[string]bool
	// highestReported is the highest revision reported by another daemon.
	highestReported uint64
	members         []string

	// revision is the installed revision. A follower never lowers it.
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
	f := &Follower{opts: opts.withDefaults(), join: config.Join, now: now, startedAt: now, sections: make(Sections),
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

// jitter returns a duration between 75% and 125% of d that differs by daemon and
// by call, which spreads the fleet's calls over time.
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

// watchers returns the daemons of the failure domain that watch the head, chosen
// by rendezvous hashing over the live daemons.
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

// SetMembers sets the live daemons of the failure domain, including this one.
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

// HandleReconnect is called when the store is reachable again after a failure.
// The follower reads the head immediately, since a watch may have missed changes.
func (f *Follower) HandleReconnect(now time.Time) Output {
	f.now = now
	return Output{ReadHead: true}
}

// Tick advances the time; the caller calls it at least every 100 ms.
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

// HandleHead processes the response to a read of the head or an event of its watch.
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

// HandleWatchEnd is called when the watch has ended or could not be started.
func (f *Follower) HandleWatchEnd(now time.Time) Output {
	f.now = now
	f.watching = false
	f.nextWatchAt = now.Add(f.jitter(f.opts.RetryInterval))
	return Output{}
}

// HandleSections processes the sections fetched from the store; contents lacks
// those that could not be read.
func (f *Follower) HandleSections(now time.Time, contents Sections) Output {
	f.now = now
	var out Output
	f.addSections(&out, contents)
	return out
}
