// Package fleet runs the membership state machine of a daemon. It drives its timers,
// sends its messages to other daemons and reads the platform's list of instances.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Limits of the input and output.
const (
	sendTimeout = time.Second
	listTimeout = 2 * time.Second
	// sendQueueSize limits the messages that wait for a slow member. Further
	// messages are dropped; the state machine retransmits what is still needed.
	sendQueueSize = 64
	// queueIdleTime is the time without messages after which the queue of a member and its
	// goroutine end. Members are sent messages every few seconds at least.
	queueIdleTime = time.Minute
)

// Sender sends membership messages.
type Sender interface {
	Gossip(ctx context.Context, addr string, m membership.Message) error
	Forget(addr string)
}

// Lister reads the platform's list.
type Lister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// Options are the settings of a Fleet.
type Options struct {
	Self   membership.Identity
	Sender Sender
	Lister Lister
	// OnEvents is called after state changes, without a lock held and from one
	// goroutine at a time.
	OnEvents func([]membership.Event)
	Log      zerolog.Logger
}

// Fleet is a daemon's view of the other daemons and of the endpoints. It is safe for
// concurrent use.
type Fleet struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu    sync.Mutex
	table *membership.Table
	// queues holds the messages to send, keyed by the receiver's address.
	queues map[string]chan membership.Message
	// idleTime is queueIdleTime; tests set a shorter one.
	idleTime time.Duration
	// listReadRunning is true while a read of the platform's list is in progress,
	// listWasRead once one has succeeded.
	listReadRunning bool
	listWasRead     bool
	// events holds the events to publish; eventsReady has an element if there are
	// any. events is not a channel, because OnEvents may call back into the fleet.
	events      []membership.Event
	eventsReady chan struct{}
}

// New returns a fleet that is idle until Start is called.
func New(o Options) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		options: o, ctx: ctx, cancel: cancel, table: membership.New(membership.Options{Self: o.Self}, time.Now()),
		queues: make(map[string]chan membership.Message), idleTime: queueIdleTime, eventsReady: make(chan struct{}, 1),
	}
	return f
}

// Start starts sending messages and publishing events, until Close is called.
func (f *Fleet) Start() {
	f.spawn(f.tickLoop)
	f.spawn(f.publishLoop)
}

// Close stops the fleet without announcing that this daemon leaves; see Leave.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
}

func (f *Fleet) spawn(run func()) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		run()
	}()
}

func (f *Fleet) tickLoop() {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		f.tick()
		select {
		case <-ticker.C:
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Fleet) tick() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.execute(f.table.Tick(now))
	if !f.listReadRunning && f.table.WantList(now) {
		f.listReadRunning = true
		f.spawn(f.readList)
	}
}

func (f *Fleet) readList() {
	ctx, cancel := context.WithTimeout(f.ctx, listTimeout)
	defer cancel()
	list, err := f.options.Lister.Instances(ctx)
	if err != nil {
		f.options.Log.Warn().Err(err).Msg("cannot read the platform's instance list")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listReadRunning = false
	if err == nil {
		f.listWasRead = true
		f.execute(f.table.ApplyList(time.Now(), list))
	}
}

// execute queues the messages and events of out. The caller holds f.mu.
func (f *Fleet) execute(out membership.Output) {
	for _, m := range out.Messages {
		f.enqueue(m)
	}
	if len(out.Events) == 0 {
		return
	}
	f.events = append(f.events, out.Events...)
	select {
	case f.eventsReady <- struct{}{}:
	default:
	}
}

// enqueue passes m to the goroutine that sends to its receiver, so that a slow
// receiver does not delay the others.
func (f *Fleet) enqueue(m membership.Message) {
	q, ok := f.queues[m.Addr]
	if !ok {
		q = make(chan membership.Message, sendQueueSize)
		f.queues[m.Addr] = q
		f.spawn(func() { f.sendLoop(m.Addr, q) })
	}
	select {
	case q <- m:
	default:
		f.options.Log.Debug().Str("peer", m.Addr).Msg("membership message dropped: send queue full")
	}
}

func (f *Fleet) sendLoop(addr string, q chan membership.Message) {
	idle := time.NewTimer(f.idleTime)
	defer idle.Stop()
	for {
		select {
		case m := <-q:
			f.send(addr, m)
			idle.Reset(f.idleTime)
		case <-idle.C:
			if f.dropQueue(addr, q) {
				return
			}
			idle.Reset(f.idleTime)
		case <-f.ctx.Done():
			return
		}
	}
}

// dropQueue removes a queue unless a message has come in meanwhile.
func (f *Fleet) dropQueue(addr string, q chan membership.Message) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(f.queues, addr)
	return true
}

func (f *Fleet) send(addr string, m membership.Message) {
	ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
	defer cancel()
	if err := f.options.Sender.Gossip(ctx, addr, m); err != nil && f.ctx.Err() == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.execute(f.table.SendFailed(time.Now(), m.To))
	}
}

func (f *Fleet) publishLoop() {
	for {
		select {
		case <-f.eventsReady:
		case <-f.ctx.Done():
			return
		}
		f.mu.Lock()
		events := f.events
		f.events = nil
		f.mu.Unlock()
		for _, ev := range events {
			f.logEvent(ev)
		}
		if f.options.OnEvents != nil {
			f.options.OnEvents(events)
		}
	}
}

func (f *Fleet) logEvent(ev membership.Event) {
	switch ev.Kind {
	case membership.MemberChanged:
		f.options.Log.Info().Str("member", ev.Member.ID).Str("from", ev.Previous.String()).Str("to", ev.Member.State.String()).
			Str("cause", ev.Cause).Msg("member changed")
	case membership.DomainUnreachable, membership.DomainReachable:
		f.options.Log.Warn().Str("domain", ev.Domain).Bool("heard", ev.Kind == membership.DomainReachable).Msg("failure domain changed")
	}
}

// Step processes a message from another daemon.
func (f *Fleet) Step(m membership.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.execute(f.table.Step(time.Now(), m))
}

// Leave announces that this daemon is leaving.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.execute(f.table.Leave(time.Now()))
}

// Owner returns the live member of a failure domain that owns the key.
func (f *Fleet) Owner(domain, key string) (membership.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Owner(domain, key)
}

// LiveIn returns the live members of a failure domain.
func (f *Fleet) LiveIn(domain string) []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.LiveIn(domain)
}

// Ranked returns the IDs of up to n live members that rank highest for the key in
// all failure domains. It returns nil until the platform's list has been read, so
// that a starting daemon does not consider itself the only candidate.
func (f *Fleet) Ranked(key string, n int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listWasRead {
		return nil
	}
	members := f.table.Ranked(key, n)
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	return ids
}

// LeavingEndpoints returns the addresses of the endpoints that the platform's list
// shows as leaving or no longer contains.
func (f *Fleet) LeavingEndpoints() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	leaving := make(map[string]bool)
	for _, e := range f.table.Endpoints() {
		if e.Removed || e.State == platform.InstanceLeaving {
			leaving[e.Addr] = true
		}
	}
	return leaving
}

// Addr returns a member's address.
func (f *Fleet) Addr(id string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.table.Member(id)
	return m.Addr, ok
}

// ListRead reports whether the platform's list has been read. Before that, this
// daemon knows no other one and would consider itself the owner of every shard.
func (f *Fleet) ListRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listWasRead
}

// Gone reports whether a daemon is dead or, once the platform's list has been read,
// unknown.
func (f *Fleet) Gone(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.table.Member(id)
	if !ok {
		return f.listWasRead
	}
	return m.State == membership.Dead
}

// Members returns all known members ordered by ID.
func (f *Fleet) Members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Members()
}

// Domains returns the names of the known failure domains in order.
func (f *Fleet) Domains() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Domains()
}

// Endpoints returns the endpoints that the platform's list shows, ordered by ID.
func (f *Fleet) Endpoints() []membership.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Endpoints()
}
