// Package ledger runs the budget state machines of one daemon: its holder and
// the allocators of the shards that it owns. It exchanges their messages with
// other daemons and reads and writes budget records in the platform's store.
package ledger

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// Timing of a ledger.
const (
	// tickInterval is the resolution of the allocators' timers.
	tickInterval = 50 * time.Millisecond
	// settleInterval batches the settlements sent to an allocator.
	settleInterval = 100 * time.Millisecond
	// confirmInterval is the interval at which a daemon polls whether its
	// accepted settlements are durable.
	confirmInterval = time.Second
	// The notice of a new epoch is repeated every announceInterval for
	// announcePeriod, so that a daemon that missed it registers and the old
	// grant is returned.
	announceInterval = time.Second
	announcePeriod   = 30 * time.Second
	// retryInterval is the wait between attempts to register or reserve.
	retryInterval = 50 * time.Millisecond
	// callTimeout limits one call to a peer or to the store.
	callTimeout = 2 * time.Second
)

// ErrNotOwner means that this daemon is not the allocator of the shard.
var ErrNotOwner = errors.New("this daemon does not own the shard")

// Members is the part of the fleet's membership that the ledger uses.
type Members interface {
	// Owner returns the live member of a failure domain that owns the key.
	Owner(domain, key string) (membership.Member, bool)
	// LiveIn returns the live members of a failure domain.
	LiveIn(domain string) []membership.Member
	// Addr returns a member's address.
	Addr(id string) (string, bool)
	// Domains returns the known failure domains.
	Domains() []string
	// Gone reports whether a daemon is dead or missing from the platform's list.
	Gone(id string) bool
}

// Peers sends requests to the ledgers of other daemons by address.
type Peers interface {
	Reserve(ctx context.Context, addr string, r budget.ReserveRequest) (budget.Reply, error)
	Extend(ctx context.Context, addr string, r budget.ExtendRequest) (budget.Reply, error)
	Settle(ctx context.Context, addr string, r budget.SettleRequest) (budget.Reply, error)
	Register(ctx context.Context, addr string, r budget.RegisterRequest) (budget.Reply, error)
	Mirror(ctx context.Context, addr string, m budget.MirrorRequest) (budget.MirrorAnswer, error)
	Reclaim(ctx context.Context, addr string, r budget.ReclaimRequest) error
	AnnounceEpoch(ctx context.Context, addr string, shard int, epoch uint64) error
}

// Options configure a Ledger.
type Options struct {
	// ID is the instance's id and Domain its failure domain.
	ID, Domain string
	Store      platform.Store
	Members    Members
	Peers      Peers
	// BudgetFor returns the budget that pays for an account's use of a service.
	BudgetFor func(account, service string) (string, bool)
	// FlushInterval is the minimum time between periodic flushes of an allocator.
	FlushInterval time.Duration
	// WriteAllowance limits the store writes per second of all periodic flushes
	// of the fleet; the flush interval grows with the fleet to stay within it.
	// 0 means no limit.
	WriteAllowance float64
	// ExtensionTokens is the number of tokens that one extension adds.
	ExtensionTokens int64
	// Timeout limits the wait for a reservation or an extension.
	Timeout time.Duration
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Ledger runs a daemon's holder and allocators.
type Ledger struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu     sync.Mutex
	holder *budget.Holder
	// shards holds the allocators of the shards that this daemon owns.
	shards map[int]*shardState
	// waiters holds the channels of callers waiting for an allocator's reply,
	// oldest first.
	waiters map[replyKey][]chan budget.Reply
	// registrations has a channel for each shard whose registration is in
	// progress; the channel is closed when the registration ends.
	registrations map[int]chan struct{}
	// takeoverSignal has an element if the set of owned shards may have changed.
	takeoverSignal chan struct{}
	// idClaimed is closed once the store has recorded that this process uses
	// the holder's id; idReused is closed if another process recorded it first.
	idClaimed, idReused chan struct{}
	// settlementInFlight marks the shards with a settlement request in flight.
	settlementInFlight map[int]bool
	// accepted records which of this daemon's settlements the allocators accepted.
	accepted Accepted
}

// shardState is the allocator of a shard with its timers and announcements.
type shardState struct {
	shard     int
	allocator *budget.Allocator
	nextTick  time.Time // time of the allocator's next Tick
	// epoch is the allocator's last known epoch, first observed at epochSince
	// and last announced at lastAnnounced.
	epoch                     uint64
	epochSince, lastAnnounced time.Time
	// retired is true once another daemon owns the shard.
	retired bool
}

// replyKey identifies the reply that a caller waits for. Replies to Reserve and
// Extend are matched by reservation key, all others by holder.
type replyKey struct {
	kind        budget.Kind
	shard       int
	holder      string
	reservation budget.Key
}

// Key returns the store key of a shard's record.
func Key(shard int) string { return "budget/" + strconv.Itoa(shard) }

// New starts a ledger; Close stops it.
func New(o Options) *Ledger {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Ledger{
		opts: o, ctx: ctx, stop: stop, holder: budget.NewHolder(o.ID), shards: make(map[int]*shardState),
		waiters: make(map[replyKey][]chan budget.Reply), registrations: make(map[int]chan struct{}),
		settlementInFlight: make(map[int]bool), accepted: make(Accepted), takeoverSignal: make(chan struct{}, 1),
		idClaimed: make(chan struct{}), idReused: make(chan struct{}),
	}
	l.spawn(func() { l.runEvery(tickInterval, l.tick) })
	l.spawn(l.claimID)
	l.spawn(l.takeOverShards)
	l.spawn(func() { l.runEvery(settleInterval, l.sendSettlements) })
	return l
}

// Close stops the ledger without waiting for settlements to become durable; see
// Drain for a graceful stop.
func (l *Ledger) Close() {
	l.stop()
	l.wg.Wait()
}

func (l *Ledger) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

func (l *Ledger) runEvery(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Ledger) owner(shard int) (membership.Member, bool) {
	return l.opts.Members.Owner(l.opts.Domain, Key(shard))
}
