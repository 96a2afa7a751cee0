package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// allocator returns the allocator of a shard, creating it if this daemon owns the
// shard now. The caller holds l.mu.
func (l *Ledger) allocator(shard int) (*shardState, error) {
	if shard < 0 || shard >= budget.Shards {
		return nil, errors.Errorf("shard %d does not exist", shard)
	}
	if f, ok := l.shards[shard]; ok && !f.retired {
		return f, nil
	}
	if m, ok := l.owner(shard); !ok || m.ID != l.o.ID || !l.idRecorded() {
		return nil, ErrNotOwner
	}
	now := time.Now()
	f := &shardState{shard: shard, next: now, allocator: budget.NewAllocator(now, budget.Options{
		Domain: l.o.Domain, Shard: shard, Owner: l.o.ID, Interval: l.interval(), ExtensionTokens: l.o.Step,
	})}
	f.allocator.SetMembers(now, l.liveIDs())
	l.shards[shard] = f
	l.pump(f)
	return f, nil
}

// interval returns the time between flushes that keeps the fleet within its
// write allowance. The shards in use elsewhere are estimated from those that
// this daemon owns. The caller holds l.mu.
func (l *Ledger) interval() time.Duration {
	if l.o.WriteAllowance <= 0 {
		return l.o.Interval
	}
	shards := min((len(l.shards)+1)*len(l.o.Members.LiveIn(l.o.Domain)), budget.Shards)
	pairs := shards * max(1, len(l.o.Members.Domains()))
	return max(l.o.Interval, budget.FlushInterval(pairs, l.o.WriteAllowance))
}

func (l *Ledger) liveIDs() []string {
	live := l.o.Members.LiveIn(l.o.Domain)
	ids := make([]string, len(live))
	for i, m := range live {
		ids[i] = m.ID
	}
	return ids
}

// MembersChanged passes a change of the failure domain's live members on.
func (l *Ledger) MembersChanged() {
	l.wakeAdopt()
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := l.liveIDs()
	now := time.Now()
	for shard, f := range l.shards {
		f.allocator.SetMembers(now, ids)
		f.allocator.SetInterval(l.interval())
		if m, ok := l.owner(shard); ok && m.ID != l.o.ID && !f.retired {
			f.retired = true
			f.allocator.Retire(now)
		}
		l.pump(f)
	}
}

// MemberGone tells the allocators that a daemon is dead or has left.
func (l *Ledger) MemberGone(m membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.shards {
		f.allocator.HolderGone(time.Now(), m.ID)
		l.pump(f)
	}
}

func (l *Ledger) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for shard, f := range l.shards {
		if f.allocator.Deposed() {
			l.o.Log.Info().Int("shard", shard).Uint64("epoch", f.epoch).Msg("another daemon is the allocator now")
			delete(l.shards, shard)
			continue
		}
		if !now.Before(f.next) {
			f.allocator.Tick(now)
			l.pump(f)
		}
		l.announce(f, now)
	}
}

// announce tells the failure domain's daemons of a new epoch, so that they
// register and the rest of the old grant can be returned.
func (l *Ledger) announce(f *shardState, now time.Time) {
	epoch := f.allocator.Epoch()
	if epoch == 0 {
		return
	}
	if epoch != f.epoch {
		f.epoch, f.since, f.announced = epoch, now, time.Time{}
		l.o.Log.Info().Int("shard", f.shard).Uint64("epoch", epoch).Msg("this daemon is the allocator")
	}
	if now.Sub(f.since) > announceFor || now.Sub(f.announced) < announceInterval {
		return
	}
	f.announced = now
	l.observe(f.shard, epoch)
	for _, m := range l.o.Members.LiveIn(l.o.Domain) {
		if m.ID == l.o.ID {
			continue
		}
		addr, shard := m.Addr, f.shard
		l.send(func(ctx context.Context) {
			if err := l.o.Peers.AnnounceEpoch(ctx, addr, shard, epoch); err != nil {
				l.o.Log.Debug().Err(err).Msg("epoch notice not delivered")
			}
		})
	}
}

// send runs a call to a peer or the store outside the lock.
func (l *Ledger) send(f func(ctx context.Context)) {
	l.spawn(func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		f(ctx)
	})
}

// pump does what the allocator wants done. The caller holds l.mu.
func (l *Ledger) pump(f *shardState) {
	out := f.allocator.TakeOutput()
	f.next = out.Next
	for _, r := range out.Replies {
		l.deliver(r)
	}
	for _, m := range out.Mirrors {
		l.sendMirror(f, m)
	}
	for _, r := range out.Reclaims {
		l.sendReclaim(r)
	}
	if out.Read {
		l.send(func(ctx context.Context) { l.read(ctx, f) })
	}
	if out.Write != nil {
		w := *out.Write
		l.send(func(ctx context.Context) { l.write(ctx, f, w) })
	}
}

func (l *Ledger) sendMirror(f *shardState, m budget.MirrorRequest) {
	addr, ok := l.o.Members.Addr(m.Member)
	if !ok {
		return
	}
	l.send(func(ctx context.Context) {
		answer, err := l.o.Peers.Mirror(ctx, addr, m)
		if err != nil {
			l.o.Log.Debug().Err(err).Int("shard", f.shard).Msg("mirror request not answered")
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		f.allocator.MirrorAnswered(time.Now(), answer)
		l.pump(f)
	})
}

func (l *Ledger) sendReclaim(r budget.ReclaimRequest) {
	m, ok := l.o.Members.Owner(r.To, Key(r.Shard))
	if !ok {
		return
	}
	l.send(func(ctx context.Context) {
		if err := l.o.Peers.Reclaim(ctx, m.Addr, r); err != nil {
			l.o.Log.Debug().Err(err).Msg("request for idle tokens not delivered")
		}
	})
}

func (l *Ledger) read(ctx context.Context, f *shardState) {
	item, err := l.o.Store.Get(ctx, Key(f.shard))
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		l.o.Log.Warn().Err(err).Int("shard", f.shard).Msg("budget record can't be read")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f.allocator.Loaded(time.Now(), item.Value, int64(item.Revision), err == nil || missing)
	l.dropGone(f)
	l.pump(f)
}

// dropGone tells the allocator which of the holders that it knows are gone. A
// new allocator has missed the events that told so, and their reservations
// would stay open. The caller holds l.mu.
func (l *Ledger) dropGone(f *shardState) {
	now := time.Now()
	for _, id := range f.allocator.Holders() {
		if id != l.o.ID && l.o.Members.Gone(id) {
			f.allocator.HolderGone(now, id)
		}
	}
}

func (l *Ledger) write(ctx context.Context, f *shardState, w budget.StoreWrite) {
	item, err := l.o.Store.CompareAndSwap(ctx, platform.Write{
		Key: Key(f.shard), Value: w.Value, Expected: platform.Revision(w.Expected), OpID: w.OpID,
	})
	result := storeResult(item, err)
	if result.Outcome != budget.Applied && result.Outcome != budget.Conflict {
		l.o.Log.Warn().Err(err).Int("shard", f.shard).Msg("budget record can't be written")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f.allocator.Stored(time.Now(), result)
	l.dropGone(f)
	l.pump(f)
}

func storeResult(item platform.Item, err error) budget.StoreResult {
	if err == nil {
		return budget.StoreResult{Outcome: budget.Applied, Revision: int64(item.Revision)}
	}
	if c, ok := platform.AsConflict(err); ok {
		return budget.StoreResult{Outcome: budget.Conflict, Value: c.Actual.Value, Revision: int64(c.Actual.Revision)}
	}
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrLimited) || errors.Is(err, platform.ErrTooLarge) {
		return budget.StoreResult{Outcome: budget.Unavailable}
	}
	return budget.StoreResult{Outcome: budget.OutcomeUnknown}
}
