// Package follower keeps a daemon's configuration up to date: it runs the
// rollout.Follower state machine with the store and with messages between daemons.
package follower

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = 2 * time.Second // limit of one store call or message
)

// Sender sends a message to another daemon of the failure domain.
type Sender interface {
	ShareRevision(ctx context.Context, addr, from string, revision int64, body []byte) error
}

// Options configure a Follower.
type Options struct {
	// Self is the id of this daemon, Domain its failure domain.
	Self, Domain string
	Store        platform.Store
	Sender       Sender
	// Addr returns the address of a daemon.
	Addr func(id string) (string, bool)
	// Install puts a configuration into effect. It is called with the follower's lock
	// held, so it must not call the follower.
	Install func(revision uint64, c *config.Config)
	Log     zerolog.Logger
}

// Follower runs a rollout.Follower and executes its output.
type Follower struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu          sync.Mutex
	state       *rollout.Follower
	stopWatch   context.CancelFunc // nil while there is no watch
	storeFailed bool               // the last call to the store failed
}

// New starts a follower; Close stops it.
func New(o Options) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	f := &Follower{opts: o, ctx: ctx, stop: stop}
	f.mu.Lock()
	defer f.mu.Unlock()
	state, out := rollout.NewFollower(rollout.Options{Self: o.Self, Domain: o.Domain}, time.Now())
	f.state = state
	f.execute(out)
	f.spawn(f.loop)
	return f
}

// Close stops the follower and waits for its goroutines.
func (f *Follower) Close() {
	f.stop()
	f.wg.Wait()
}

func (f *Follower) spawn(run func()) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		run()
	}()
}

func (f *Follower) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.step(func(now time.Time) rollout.Output { return f.state.Tick(now) })
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Follower) step(input func(now time.Time) rollout.Output) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.execute(input(time.Now()))
}

// execute carries out the output of the state machine. The caller holds f.mu.
func (f *Follower) execute(out rollout.Output) {
	if out.Err != nil {
		f.opts.Log.Error().Err(out.Err).Msg("invalid configuration record or message")
	}
	if out.Install != nil {
		f.opts.Install(out.Install.Revision, out.Install.Config)
	}
	for _, e := range out.Send {
		f.send(e)
	}
	if out.ReadHead {
		f.spawn(f.readHead)
	}
	if out.StopWatch && f.stopWatch != nil {
		f.stopWatch()
	}
	if out.StartWatch {
		f.startWatch(out.WatchAfter)
	}
	if len(out.Fetch) > 0 {
		f.spawn(func() { f.fetchSections(out.Fetch) })
	}
}

func (f *Follower) send(e rollout.Envelope) {
	addr, ok := f.opts.Addr(e.To)
	if !ok {
		return
	}
	body, err := json.Marshal(e.Message)
	if err != nil {
		f.opts.Log.Error().Err(err).Msg("configuration message not encoded")
		return
	}
	f.spawn(func() {
		ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
		defer cancel()
		if err := f.opts.Sender.ShareRevision(ctx, addr, f.opts.Self, int64(e.Message.Revision), body); err != nil {
			f.opts.Log.Debug().Err(err).Msg("configuration message not delivered")
		}
	})
}

// Receive processes a message from another daemon.
func (f *Follower) Receive(from string, body []byte) error {
	var m rollout.Message
	if err := json.Unmarshal(body, &m); err != nil {
		return errors.Wrap(err, "decode configuration message")
	}
	f.step(func(now time.Time) rollout.Output { return f.state.Receive(now, from, m) })
	return nil
}

// SetMembers sets the live daemons of the failure domain.
func (f *Follower) SetMembers(ids []string) {
	f.step(func(now time.Time) rollout.Output { return f.state.SetMembers(now, ids) })
}

// Status returns the installed revision and its age.
func (f *Follower) Status() rollout.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Status(time.Now())
}

func (f *Follower) readHead() {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	item, err := f.opts.Store.Get(ctx, rollout.HeadKey)
	f.recordStoreResult(err)
	f.step(func(now time.Time) rollout.Output { return f.state.HandleHead(now, item, err) })
}

// recordStoreResult records whether a store call failed and notifies the state
// machine when the store is reachable again.
func (f *Follower) recordStoreResult(err error) {
	failed := err != nil && !errors.Is(err, platform.ErrNotFound)
	f.mu.Lock()
	defer f.mu.Unlock()
	recovered := f.storeFailed && !failed
	f.storeFailed = failed
	if recovered {
		f.execute(f.state.HandleReconnect(time.Now()))
	}
}

func (f *Follower) startWatch(after platform.Revision) {
	ctx, cancel := context.WithCancel(f.ctx)
	if f.stopWatch != nil {
		f.stopWatch()
	}
	f.stopWatch = cancel
	f.spawn(func() {
		defer cancel()
		if err := f.watch(ctx, after); err != nil {
			f.opts.Log.Debug().Err(err).Msg("watch of the configuration ended")
		}
		if ctx.Err() == nil {
			f.step(func(now time.Time) rollout.Output { return f.state.HandleWatchEnd(now) })
		}
	})
}

func (f *Follower) watch(ctx context.Context, after platform.Revision) error {
	events, err := f.opts.Store.Watch(ctx, rollout.HeadKey, after)
	f.recordStoreResult(err)
	if err != nil {
		return err
	}
	for ev := range events {
		if ev.Err != nil {
			return ev.Err
		}
		if !ev.Deleted {
			f.step(func(now time.Time) rollout.Output { return f.state.HandleHead(now, ev.Item, nil) })
		}
	}
	return nil
}

func (f *Follower) fetchSections(hashes []config.Hash) {
	contents := make(rollout.Sections)
	for _, h := range hashes {
		ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
		item, err := f.opts.Store.Get(ctx, rollout.SectionKey(h))
		cancel()
		f.recordStoreResult(err)
		if err == nil {
			contents[h] = item.Value
		}
	}
	f.step(func(now time.Time) rollout.Output { return f.state.HandleSections(now, contents) })
}
