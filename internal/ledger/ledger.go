// Package ledger runs the budget state machines of one daemon: its holder and
// the allocators of the shards that it owns. It sends their messages to other
// daemons and their writes to the platform's store.
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
	// settleInterval groups settlements on their way to an allocator.
	settleInterval = 100 * time.Millisecond
	// confirmInterval is the interval at which a daemon asks whether its
	// accepted settlements are durable.
	confirmInterval = time.Second
	// announceInterval and announceFor repeat the notice of a new epoch, so
	// that a daemon which missed it registers and the old grant is returned.
	announceInterval = time.Second
	announcePeriod   = 30 * time.Second
	// retryInterval spaces attempts to register or reserve.
	retryInterval = 50 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
)

// ErrNotOwner tells that this daemon is not the allocator of the shard.
var ErrNotOwner = errors.New("this daemon does not own the shard")

// Members is the membership as the ledger needs it.
type Members interface {
	// Owner returns the live member of a failure domain that owns the key.
	Owner(domain, key string) (membership.Member, bool)
	// LiveIn returns the live members of a failure domain.
	LiveIn(domain string) []membership.Member
	// Addr returns a member's address.
	Addr(id string) (string, bool)
	// Domains returns the known failure domains.
	Domains() []string
	// Gone reports whether a daemon is dead or unknown to the platform's list.
	Gone(id string) bool
}

// Peers calls the ledgers of other daemons by address.
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
	// Interval is the shortest time between periodic flushes of an allocator.
	FlushInterval time.Duration
	// WriteAllowance is the writes a second that the flushes of the whole fleet
	// may use; the interval grows with the fleet to keep it. 0 means no limit.
	WriteAllowance float64
	// Step is the number of tokens of one extension.
	ExtensionTokens int64
	// Timeout bounds the wait for a reservation.
	Timeout time.Duration
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Ledger is the budget side of a daemon.
type Ledger struct {
	o    Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu     sync.Mutex
	holder *budget.Holder
	// shards holds the allocators of the shards that this daemon owns.
	shards map[int]*shardState
	// waits holds the callers that wait for an allocator's reply.
	waiters map[replyKey][]chan budget.Reply
	// registering has a channel for each shard whose registration is in
	// progress; it is closed at the end.
	registrations map[int]chan struct{}
	// adopting has an element if the shards owned may have changed.
	takeoverSignal chan struct{}
	// unused is closed once the store shows that no other process used the
	// holder's id; reused is closed if one did.
	idClaimed, idReused chan struct{}
	// settling marks the shards with a settlement in progress.
	settlementInFlight map[int]bool
	accepted           Accepted // by the allocators, of this daemon's settlements
}

// shardState is an allocator with the state of its input and output.
type shardState struct {
	shard     int
	allocator *budget.Allocator
	nextTick  time.Time // of the allocator's Tick
	// epoch was first seen at since and last announced at announced.
	epoch                     uint64
	epochSince, lastAnnounced time.Time
	// retired is true once another daemon owns the shard.
	retired bool
}

// wait names the reply that a caller waits for.
type replyKey struct {
	kind   budget.Kind
	shard  int
	holder string
	key    budget.Key
}

// Key returns the store key of a shard's record.
func Key(shard int) string { return "budget/" + strconv.Itoa(shard) }

// New returns a running ledger; Close ends it.
func New(o Options) *Ledger {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Ledger{
		o: o, ctx: ctx, stop: stop, holder: budget.NewHolder(o.ID), shards: make(map[int]*shardState),
		waiters: make(map[replyKey][]chan budget.Reply), registrations: make(map[int]chan struct{}), settlementInFlight: make(map[int]bool), accepted: make(Accepted),
		takeoverSignal: make(chan struct{}, 1),
		idClaimed:      make(chan struct{}), idReused: make(chan struct{}),
	}
	l.spawn(func() { l.runEvery(tickInterval, l.tick) })
	l.spawn(l.claimID)
	l.spawn(l.takeOverShards)
	l.spawn(func() { l.runEvery(settleInterval, l.sendSettlements) })
	return l
}

// Close ends the ledger at once. See Drain for a planned stop.
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
	return l.o.Members.Owner(l.o.Domain, Key(shard))
}
