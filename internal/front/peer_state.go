package front

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/escrow"
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

// crashIsolator guards a poison registry shared by requests and peers.
type crashIsolator struct {
	log zerolog.Logger

	mu       sync.Mutex
	registry *poison.Registry
}

var _ relay.CrashIsolator = (*crashIsolator)(nil)

func newCrashIsolator(log zerolog.Logger) *crashIsolator {
	return &crashIsolator{log: log, registry: poison.New(poison.Options{CrashesToIsolate: crashesToIsolate})}
}

// Begin implements relay.CrashIsolator.
func (c *crashIsolator) Begin(digest uint64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.registry.Begin(time.Now(), poison.Digest(digest))
	return d.RetryAfter, d.Verdict != poison.Isolated
}

// Crashed implements relay.CrashIsolator.
func (c *crashIsolator) Crashed(digest uint64, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.RecordCrash(time.Now(), endpoint, []poison.Digest{poison.Digest(digest)})
	c.log.Info().Uint64("digest", digest).Str("endpoint", endpoint).Msg("request crashed an endpoint")
}

// End implements relay.CrashIsolator.
func (c *crashIsolator) End(digest uint64, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.End(time.Now(), poison.Digest(digest), completed)
}

func (c *crashIsolator) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Tick(now)
}

// entries returns the recent crashes, and those of isolated requests, for peers. Merging is
// idempotent, so that they are sent each time.
func (c *crashIsolator) entries(now time.Time) []*meshpb.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.TakePending()
	var out []*meshpb.Crash
	for _, e := range c.registry.RecentEntries(now, crashEntryAge, maxCrashEntries) {
		out = append(out, &meshpb.Crash{
			Digest: uint64(e.Digest), Endpoint: e.Endpoint, Completed: e.Completed, AgeMs: now.Sub(e.At).Milliseconds(),
		})
	}
	return out
}

func (c *crashIsolator) merge(now time.Time, reported []*meshpb.Crash) {
	entries := make([]poison.Entry, 0, len(reported))
	for _, e := range reported {
		entries = append(entries, poison.Entry{
			Digest: poison.Digest(e.Digest), Endpoint: e.Endpoint, Completed: e.Completed,
			At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond),
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Merge(now, entries)
}

// meshState implements mesh.State: the state sent to peers and received from them.
type meshState struct{ d *Daemon }

// Digest implements mesh.State.
func (s meshState) Digest(loads bool) *meshpb.Digest {
	d, now := s.d, time.Now()
	digest := &meshpb.Digest{
		Revisions: map[string]int64{
			d.configFeed.prefix:   int64(d.configFeed.lastChangeRevision()),
			d.endpointFeed.prefix: int64(d.endpointFeed.lastChangeRevision()),
		},
		Balances: d.budgets.Balances(), Crashes: d.crashIsolator.entries(now), Stopping: d.stopping.Load(),
		Follows: d.mesh.FollowsStore(), StoreAgeMs: d.endpointFeed.contactAge(now), BackAgeMs: d.endpointFeed.regainedAge(now),
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
	d.crashIsolator.merge(now, m.Crashes)
	d.endpointFeed.mergeRegained(now, m.BackAgeMs)
	for _, f := range []*feed{d.configFeed, d.endpointFeed} {
		if f.shouldFetch(now, platform.Revision(m.Revisions[f.prefix])) {
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

// TransferTokens implements mesh.State.
func (s meshState) TransferTokens(ctx context.Context, account string, tokens, ahead int64) escrow.Transfer {
	return s.d.budgets.Transfer(ctx, account, tokens, ahead)
}

// Items implements mesh.State.
func (s meshState) Items(prefix string) ([]platform.Item, platform.Revision) {
	for _, f := range []*feed{s.d.configFeed, s.d.endpointFeed} {
		if f.prefix == prefix {
			return f.snapshot()
		}
	}
	return nil, 0
}
