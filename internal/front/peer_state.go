package front

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/escrow"
	"github.com/azurehatch/azurehatch/internal/escrow/budgets"
	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/relay"
	"github.com/azurehatch/azurehatch/internal/retry"
)

// retryMargin is the fraction of the fleet's retry budget that daemons use; the
// rest covers daemons that restart within a window.
const retryMargin = 0.75

// retryBudget limits this daemon's retries for each service.
type retryBudget struct {
	opts       retry.WindowOptions
	firstStart bool
	daemons    func() int
	log        zerolog.Logger

	mu       sync.Mutex
	start    time.Time
	services map[string]*retry.Window
}

var _ relay.RetryBudget = (*retryBudget)(nil)

func newRetryBudget(opts retry.WindowOptions, firstStart bool, daemons func() int, log zerolog.Logger) *retryBudget {
	return &retryBudget{
		opts: opts, firstStart: firstStart, daemons: daemons, log: log, start: time.Now(),
		services: make(map[string]*retry.Window),
	}
}

func (r *retryBudget) window(service string) *retry.Window {
	w, ok := r.services[service]
	if !ok {
		w = retry.NewWindow(r.start, r.opts, r.firstStart)
		r.services[service] = w
	}
	return w
}

// setOptions changes the limits. All windows restart if the options differ.
func (r *retryBudget) setOptions(opts retry.WindowOptions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if opts != r.opts {
		r.opts, r.services = opts, make(map[string]*retry.Window)
		r.firstStart = false
	}
}

// Offered implements relay.RetryBudget.
func (r *retryBudget) Offered(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).RecordRequest(time.Now())
}

// Take implements relay.RetryBudget.
func (r *retryBudget) Take(service string) bool {
	daemons := r.daemons()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window(service).TryRetry(time.Now(), daemons)
}

// crashesToIsolate is the number of crashes after which a request is isolated. Two
// may be a coincidence: a harmless request and its retry can both be sent to
// endpoints that crash.
const crashesToIsolate = 3

// Crashes are sent to peers for crashEntryAge, in which all daemons of a wide fleet learn of
// them by exchanges, and at most maxCrashEntries of them in a digest (about 6 KB).
const (
	crashEntryAge   = 6 * time.Second
	maxCrashEntries = 200
)

// crashIsolator guards the crashes by request and by part of a prompt, which requests and
// peers share.
type crashIsolator struct {
	log zerolog.Logger
	// isolated receives a value when the store's record of crashes may lack a request or a part that is
	// isolated here.
	isolated chan struct{}
	// recordRead is true once the store's record of crashes is known.
	recordRead atomic.Bool

	mu       sync.Mutex
	registry *poison.Registry
	parts    *poison.Parts
}

var _ relay.CrashIsolator = (*crashIsolator)(nil)

func newCrashIsolator(log zerolog.Logger) *crashIsolator {
	return &crashIsolator{
		log: log, isolated: make(chan struct{}, 1), registry: poison.New(poison.Options{CrashesToIsolate: crashesToIsolate}), parts: poison.NewParts(),
	}
}

// Begin implements relay.CrashIsolator.
func (c *crashIsolator) Begin(f relay.Fingerprint) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if _, retryAfter, blocked := c.parts.Blocked(now, f.Parts); blocked {
		return retryAfter, false
	}
	d := c.registry.Begin(now, f.Content)
	return d.RetryAfter, d.Verdict != poison.Isolated
}

// MayRetry implements relay.CrashIsolator.
func (c *crashIsolator) MayRetry(f relay.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	_, _, blocked := c.parts.Blocked(now, f.Parts)
	return !blocked && c.registry.Verdict(now, f.Content) < poison.Suspect
}

// Crashed implements relay.CrashIsolator.
func (c *crashIsolator) Crashed(f relay.Fingerprint, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.registry.RecordCrash(now, endpoint, []poison.Digest{f.Content})
	if c.registry.Verdict(now, f.Content) == poison.Isolated {
		c.signalIsolated()
	}
	c.log.Info().Uint64("digest", uint64(f.Content)).Str("endpoint", endpoint).Msg("request crashed an endpoint")
}

// PartsCrashed implements relay.CrashIsolator.
func (c *crashIsolator) PartsCrashed(f relay.Fingerprint, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocked := c.parts.RecordCrash(time.Now(), endpoint, f.Parts)
	c.log.Info().Interface("parts", f.Parts).Str("endpoint", endpoint).
		Msg("endpoint went down before it answered a request with these prompt parts")
	c.logBlocked(blocked, "")
	if len(blocked) > 0 {
		c.signalIsolated()
	}
}

// PartsAnswered implements relay.CrashIsolator.
func (c *crashIsolator) PartsAnswered(f relay.Fingerprint) {
	if len(f.Parts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.RecordAnswer(time.Now(), f.Parts)
}

// logBlocked logs the parts that crashes recorded here, or reported by a peer, block.
func (c *crashIsolator) logBlocked(parts []poison.Digest, peer string) {
	for _, part := range parts {
		c.log.Warn().Uint64("part", uint64(part)).Str("peer", peer).
			Msg("prompt part blocked: endpoints crash before they answer requests with it")
	}
}

// End implements relay.CrashIsolator.
func (c *crashIsolator) End(f relay.Fingerprint, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.End(time.Now(), f.Content, completed)
}

func (c *crashIsolator) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Tick(now)
	c.parts.Tick(now)
}

// entries returns the recent crashes and completions, and the crashes of isolated requests,
// for peers. Merging is idempotent, so that they are sent each time.
func (c *crashIsolator) entries(now time.Time) []*meshpb.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.TakePending()
	return encodeCrashes(now, c.registry.RecentEntries(now, crashEntryAge, maxCrashEntries))
}

// partEntries returns the recent crashes and answers by part of a prompt for peers.
func (c *crashIsolator) partEntries(now time.Time) []*meshpb.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return encodeCrashes(now, c.parts.Entries(now, crashEntryAge, maxCrashEntries))
}

// merge records the crashes that a peer reports. It returns whether they isolate a request or a part, and
// whether this daemon observed one of the crashes of these itself.
func (c *crashIsolator) merge(now time.Time, peer string, crashes, parts []*meshpb.Crash) (isolates, observed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isolated, blocked := c.registry.Merge(now, decodeCrashes(now, crashes)), c.parts.Merge(now, decodeCrashes(now, parts))
	c.logBlocked(blocked, peer)
	return len(isolated)+len(blocked) > 0,
		slices.ContainsFunc(isolated, c.registry.ObservedCrash) || slices.ContainsFunc(blocked, c.parts.ObservedCrash)
}

func encodeCrashes(now time.Time, entries []poison.Entry) []*meshpb.Crash {
	crashes := make([]*meshpb.Crash, 0, len(entries))
	for _, e := range entries {
		crashes = append(crashes, &meshpb.Crash{
			Digest: uint64(e.Digest), Endpoint: e.Endpoint, Completed: e.Completed, AgeMs: now.Sub(e.At).Milliseconds(),
		})
	}
	return crashes
}

func decodeCrashes(now time.Time, crashes []*meshpb.Crash) []poison.Entry {
	entries := make([]poison.Entry, 0, len(crashes))
	for _, e := range crashes {
		entries = append(entries, poison.Entry{
			Digest: poison.Digest(e.Digest), Endpoint: e.Endpoint, Completed: e.Completed,
			At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond),
		})
	}
	return entries
}

// configVersionKey is the key of the configuration's version among the revisions of a digest.
const configVersionKey = "configuration version"

// meshState implements mesh.State: the state sent to peers and received from them.
type meshState struct{ d *Daemon }

// Digest implements mesh.State.
func (s meshState) Digest(loads bool) *meshpb.Digest {
	d, now := s.d, time.Now()
	overloaded, free, demand := d.link.forPeers()
	digest := &meshpb.Digest{
		Revisions: map[string]int64{
			d.configFeed.prefix:   int64(d.configFeed.lastChangeRevision()),
			d.endpointFeed.prefix: int64(d.endpointFeed.lastChangeRevision()),
			configVersionKey:      d.confirmedVersion(),
			budgets.KeyPrefix:     int64(d.budgets.At()),
		},
		Balances: d.budgets.Balances(), Crashes: d.crashIsolator.entries(now), PartCrashes: d.crashIsolator.partEntries(now), Stopping: d.stopping.Load(),
		Overloaded: overloaded, LinkFree: free, LinkDemand: demand, Follows: d.mesh.FollowsStore(), StoreAgeMs: d.endpointFeed.contactAge(now), BackAgeMs: d.endpointFeed.regainedAge(now),
	}
	if loads {
		digest.Loads = d.pools.loads(now)
	}
	return digest
}

// Merge implements mesh.State.
func (s meshState) Merge(m *meshpb.Digest) {
	d, now := s.d, time.Now()
	d.pools.merge(now, m.Address, m.Loads)
	if isolates, observed := d.crashIsolator.merge(now, m.Address, m.Crashes, m.PartCrashes); isolates {
		d.crashIsolator.recordIsolations(observed, d.mesh.Count())
	}
	d.endpointFeed.mergeRegained(now, m.BackAgeMs)
	if m.Follows && m.StoreAgeMs >= 0 {
		d.endpointFeed.recordPeerContact(now, now.Add(-time.Duration(m.StoreAgeMs)*time.Millisecond))
	}
	d.startVersion.hear(m.Address, m.Revisions[configVersionKey])
	d.observeEra(platform.Revision(m.Revisions[budgets.KeyPrefix]))
	for _, f := range []*feed{d.configFeed, d.endpointFeed} {
		changed := platform.Revision(m.Revisions[f.prefix])
		fetch := f.shouldFetch(now, changed)
		if f == d.configFeed && !fetch {
			fetch = f.shouldFetchVersion(now, changed, m.Revisions[configVersionKey], d.config.version())
		}
		if fetch {
			d.wg.Go(func() { f.fetch(m.Address, d.mesh.FetchItems) })
		}
	}
}

// Pushed implements mesh.State.
func (s meshState) Pushed(c *meshpb.Changes) {
	for _, f := range []*feed{s.d.configFeed, s.d.endpointFeed} {
		if f.prefix == c.Prefix {
			f.receive(time.Now(), c)
		}
	}
}

// Permit implements mesh.State.
func (s meshState) Permit(ctx context.Context, r *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	return s.d.permits.serve(ctx, r)
}

// TransferTokens implements mesh.State.
func (s meshState) TransferTokens(ctx context.Context, account string, r escrow.TransferRequest) escrow.Transfer {
	return s.d.budgets.Transfer(ctx, account, r)
}

// Items implements mesh.State.
func (s meshState) Items(prefix string) ([]platform.Item, platform.Revision) {
	if prefix == budgets.KeyPrefix {
		return s.d.budgets.Records()
	}
	for _, f := range []*feed{s.d.configFeed, s.d.endpointFeed} {
		if f.prefix == prefix {
			return f.snapshot()
		}
	}
	return nil, 0
}

// observeEra tells the budgets of the store's era. A revision of 0 means that no response of
// the store is known.
func (d *Daemon) observeEra(at platform.Revision) {
	if at > 0 {
		d.budgets.ObserveEra(at.Era())
	}
}
