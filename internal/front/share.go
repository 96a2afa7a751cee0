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

// retryMargin is the part of the fleet's bound on repeats that daemons use; the
// rest covers daemons that start again within a window.
const retryMargin = 0.75

// retries bounds the daemon's repeats by service.
type retries struct {
	opts    retry.WindowOptions
	fresh   bool
	daemons func() int
	log     zerolog.Logger

	mu       sync.Mutex
	start    time.Time
	services map[string]*retry.Window
}

var _ relay.Retries = (*retries)(nil)

func newRetries(o retry.WindowOptions, fresh bool, daemons func() int, log zerolog.Logger) *retries {
	return &retries{opts: o, fresh: fresh, daemons: daemons, log: log, start: time.Now(), services: make(map[string]*retry.Window)}
}

func (r *retries) window(service string) *retry.Window {
	w, ok := r.services[service]
	if !ok {
		w = retry.NewWindow(r.start, r.opts, r.fresh)
		r.services[service] = w
	}
	return w
}

// setOptions changes the bound. Windows of another span start anew.
func (r *retries) setOptions(o retry.WindowOptions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o != r.opts {
		r.opts, r.services = o, make(map[string]*retry.Window)
		r.fresh = false
	}
}

// Offered implements relay.Retries.
func (r *retries) Offered(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).RecordRequest(time.Now())
}

// Take implements relay.Retries.
func (r *retries) Take(service string) bool {
	daemons := r.daemons()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window(service).TryRetry(time.Now(), daemons)
}

// crashesToIsolate is the number of crashes that isolate a request. Two may be
// a coincidence: a healthy request and its repeat can both meet a crash.
const crashesToIsolate = 3

// crashes shares a poison registry between requests and peers.
type crashes struct {
	log zerolog.Logger

	mu       sync.Mutex
	registry *poison.Registry
}

var _ relay.Crashes = (*crashes)(nil)

func newCrashes(log zerolog.Logger) *crashes {
	return &crashes{log: log, registry: poison.New(poison.Options{CrashesToIsolate: crashesToIsolate})}
}

// Begin implements relay.Crashes.
func (c *crashes) Begin(digest uint64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.registry.Begin(time.Now(), poison.Digest(digest))
	return d.RetryAfter, d.Verdict != poison.Isolated
}

// Crashed implements relay.Crashes.
func (c *crashes) Crashed(digest uint64, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.RecordCrash(time.Now(), endpoint, []poison.Digest{poison.Digest(digest)})
	c.log.Info().Uint64("digest", digest).Str("endpoint", endpoint).Msg("request crashed an endpoint")
}

// End implements relay.Crashes.
func (c *crashes) End(digest uint64, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.End(time.Now(), poison.Digest(digest), completed)
}

func (c *crashes) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Tick(now)
}

// entries returns the facts for peers. Merging twice has no effect, so that all
// are sent each time.
func (c *crashes) entries(now time.Time) []*meshpb.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.TakePending()
	var out []*meshpb.Crash
	for _, e := range c.registry.Entries() {
		out = append(out, &meshpb.Crash{
			Digest: uint64(e.Digest), Endpoint: e.Endpoint, Completed: e.Completed, AgeMs: now.Sub(e.At).Milliseconds(),
		})
	}
	return out
}

func (c *crashes) merge(now time.Time, list []*meshpb.Crash) {
	entries := make([]poison.Entry, 0, len(list))
	for _, e := range list {
		entries = append(entries, poison.Entry{
			Digest: poison.Digest(e.Digest), Endpoint: e.Endpoint, Completed: e.Completed,
			At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond),
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Merge(now, entries)
}

// meshState is what the daemon tells its peers and learns from them.
type meshState struct{ d *Daemon }

// Digest implements mesh.State.
func (s meshState) Digest(loads bool) *meshpb.Digest {
	d, now := s.d, time.Now()
	digest := &meshpb.Digest{
		Revisions: map[string]int64{
			d.configFeed.prefix:   int64(d.configFeed.newest()),
			d.endpointFeed.prefix: int64(d.endpointFeed.newest()),
		},
		Balances: d.bank.Balances(), Crashes: d.crashes.entries(now), Stopping: d.stopping.Load(),
		Follows: d.mesh.Follows(), StoreAgeMs: d.endpointFeed.storeAge(now), BackAgeMs: d.endpointFeed.backAge(now),
	}
	if loads {
		digest.Loads = d.pools.loads(now)
	}
	return digest
}

// Learn implements mesh.State.
func (s meshState) Learn(m *meshpb.Digest) {
	d, now := s.d, time.Now()
	d.pools.merge(now, m.Address, m.Loads)
	d.crashes.merge(now, m.Crashes)
	d.endpointFeed.learnReturn(now, m.BackAgeMs)
	for _, f := range []*feed{d.configFeed, d.endpointFeed} {
		if f.behind(now, platform.Revision(m.Revisions[f.prefix])) {
			d.wg.Go(func() { f.fetch(m.Address, d.mesh.FetchItems) })
		}
	}
}

// Pushed implements mesh.State.
func (s meshState) Pushed(c *meshpb.Changes) {
	for _, f := range []*feed{s.d.configFeed, s.d.endpointFeed} {
		if f.prefix == c.Prefix {
			f.pushed(time.Now(), c)
		}
	}
}

// Give implements mesh.State.
func (s meshState) Give(ctx context.Context, account string, tokens int64) escrow.Gift {
	return s.d.bank.Give(ctx, account, tokens)
}

// Items implements mesh.State.
func (s meshState) Items(prefix string) ([]platform.Item, platform.Revision) {
	for _, f := range []*feed{s.d.configFeed, s.d.endpointFeed} {
		if f.prefix == prefix {
			return f.copied()
		}
	}
	return nil, 0
}
