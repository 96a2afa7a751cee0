package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// allocator returns the allocator of a shard, creating it if this daemon now owns
// the shard. The caller holds l.mu.
func (l *Ledger) allocator(shard int) (*shardState, error) {
	if shard < 0 || shard >= budget.Shards {
		return nil, errors.Errorf("shard %d does not exist", shard)
	}
	if s, ok := l.shards[shard]; ok && !s.retired {
		return s, nil
	}
	if m, ok := l.owner(shard); !ok || m.ID != l.opts.ID || !l.idRecorded() {
		return nil, ErrNotOwner
	}
	now := time.Now()
	s := &shardState{shard: shard, nextTick: now, allocator: budget.NewAllocator(now, budget.Options{
		Domain: l.opts.Domain, Shard: shard, Owner: l.opts.ID, Interval: l.flushInterval(), ExtensionTokens: l.opts.ExtensionTokens,
	})}
	s.allocator.SetMembers(now, l.liveIDs())
	l.shards[shard] = s
	l.applyOutput(s)
	return s, nil
}

// flushInterval returns the time between flushes that keeps the fleet within its
// write allowance. The number of shards in use by other daemons is estimated from
// those that this daemon owns. The caller holds l.mu.
func (l *Ledger) flushInterval() time.Duration {
	if l.opts.WriteAllowance <= 0 {
		return l.opts.FlushInterval
	}
	shards := min((len(l.shards)+1)*len(l.opts.Members.LiveIn(l.opts.Domain)), budget.Shards)
	pairs := shards * max(1, len(l.opts.Members.Domains()))
	return max(l.opts.FlushInterval, budget.FlushInterval(pairs, l.opts.WriteAllowance))
}

func (l *Ledger) liveIDs() []string {
	live := l.opts.Members.LiveIn(l.opts.Domain)
	ids := make([]string, len(live))
	for i, m := range live {
		ids[i] = m.ID
	}
	return ids
}

// MembersChanged updates the allocators after a change of the failure domain's
// live members, and retires those whose shard another daemon now owns.
func (l *Ledger) MembersChanged() {
	l.signalTakeover()
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := l.liveIDs()
	now := time.Now()
	for shard, s := range l.shards {
		s.allocator.SetMembers(now, ids)
		s.allocator.SetInterval(l.flushInterval())
		if m, ok := l.owner(shard); ok && m.ID != l.opts.ID && !s.retired {
			s.retired = true
			s.allocator.Retire(now)
		}
		l.applyOutput(s)
	}
}

// MemberGone notifies the allocators that a daemon is dead or has left.
func (l *Ledger) MemberGone(m membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.shards {
		s.allocator.HolderGone(time.Now(), m.ID)
		l.applyOutput(s)
	}
}

func (l *Ledger) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for shard, s := range l.shards {
		if s.allocator.Deposed() {
			l.opts.Log.Info().Int("shard", shard).Uint64("epoch", s.epoch).Msg("another daemon is the allocator now")
			delete(l.shards, shard)
			continue
		}
		if !now.Before(s.nextTick) {
			s.allocator.Tick(now)
			l.applyOutput(s)
		}
		l.announce(s, now)
	}
}

// announce notifies the failure domain's daemons of a new epoch, so that they
// register and the rest of the old grant can be returned. The caller holds l.mu.
func (l *Ledger) announce(s *shardState, now time.Time) {
	epoch := s.allocator.Epoch()
	if epoch == 0 {
		return
	}
	if epoch != s.epoch {
		s.epoch, s.epochSince, s.lastAnnounced = epoch, now, time.Time{}
		l.opts.Log.Info().Int("shard", s.shard).Uint64("epoch", epoch).Msg("this daemon is the allocator")
	}
	if now.Sub(s.epochSince) > announcePeriod || now.Sub(s.lastAnnounced) < announceInterval {
		return
	}
	s.lastAnnounced = now
	l.observeLocked(s.shard, epoch)
	for _, m := range l.opts.Members.LiveIn(l.opts.Domain) {
		if m.ID == l.opts.ID {
			continue
		}
		addr, shard := m.Addr, s.shard
		l.callAsync(func(ctx context.Context) {
			if err := l.opts.Peers.AnnounceEpoch(ctx, addr, shard, epoch); err != nil {
				l.opts.Log.Debug().Err(err).Msg("epoch notice not delivered")
			}
		})
	}
}

// callAsync runs a call to a peer or the store in a goroutine, without l.mu.
func (l *Ledger) callAsync(f func(ctx context.Context)) {
	l.spawn(func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		f(ctx)
	})
}

// applyOutput executes the allocator's pending output: replies, requests to
// peers, reads and writes. The caller holds l.mu.
func (l *Ledger) applyOutput(s *shardState) {
	out := s.allocator.TakeOutput()
	s.nextTick = out.Next
	for _, r := range out.Replies {
		l.deliver(r)
	}
	for _, m := range out.Mirrors {
		l.sendMirror(s, m)
	}
	for _, r := range out.Reclaims {
		l.sendReclaim(r)
	}
	if out.Read {
		l.callAsync(func(ctx context.Context) { l.read(ctx, s) })
	}
	if out.Write != nil {
		w := *out.Write
		l.callAsync(func(ctx context.Context) { l.write(ctx, s, w) })
	}
}

func (l *Ledger) sendMirror(s *shardState, m budget.MirrorRequest) {
	addr, ok := l.opts.Members.Addr(m.Member)
	if !ok {
		return
	}
	l.callAsync(func(ctx context.Context) {
		answer, err := l.opts.Peers.Mirror(ctx, addr, m)
		if err != nil {
			l.opts.Log.Debug().Err(err).Int("shard", s.shard).Msg("mirror request not answered")
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		s.allocator.MirrorAnswered(time.Now(), answer)
		l.applyOutput(s)
	})
}

func (l *Ledger) sendReclaim(r budget.ReclaimRequest) {
	m, ok := l.opts.Members.Owner(r.To, Key(r.Shard))
	if !ok {
		return
	}
	l.callAsync(func(ctx context.Context) {
		if err := l.opts.Peers.Reclaim(ctx, m.Addr, r); err != nil {
			l.opts.Log.Debug().Err(err).Msg("request for idle tokens not delivered")
		}
	})
}

func (l *Ledger) read(ctx context.Context, s *shardState) {
	item, err := l.opts.Store.Get(ctx, Key(s.shard))
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		l.opts.Log.Warn().Err(err).Int("shard", s.shard).Msg("budget record can't be read")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.allocator.Loaded(time.Now(), item.Value, int64(item.Revision), err == nil || missing)
	l.reportGoneHolders(s)
	l.applyOutput(s)
}

// reportGoneHolders notifies the allocator of its known holders that are gone. A
// new allocator has not received the events of their departure, and their
// reservations would stay open. The caller holds l.mu.
func (l *Ledger) reportGoneHolders(s *shardState) {
	now := time.Now()
	for _, id := range s.allocator.Holders() {
		if id != l.opts.ID && l.opts.Members.Gone(id) {
			s.allocator.HolderGone(now, id)
		}
	}
}

func (l *Ledger) write(ctx context.Context, s *shardState, w budget.StoreWrite) {
	item, err := l.opts.Store.CompareAndSwap(ctx, platform.Write{
		Key: Key(s.shard), Value: w.Value, Expected: platform.Revision(w.Expected), OpID: w.OpID,
	})
	result := storeResult(item, err)
	if result.Outcome != budget.Applied && result.Outcome != budget.Conflict {
		l.opts.Log.Warn().Err(err).Int("shard", s.shard).Msg("budget record can't be written")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.allocator.Stored(time.Now(), result)
	l.reportGoneHolders(s)
	l.applyOutput(s)
}

func storeResult(item platform.Item, err error) budget.StoreResult {
	if err == nil {
		return budget.StoreResult{Outcome: budget.Applied, Revision: int64(item.Revision)}
	}
	if c, ok := platform.AsConflict(err); ok {
		return budget.StoreResult{Outcome: budget.Conflict, Value: c.Actual.Value, Revision: int64(c.Actual.Revision)}
	}
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrLimited) ||
		errors.Is(err, platform.ErrTooLarge) {
		return budget.StoreResult{Outcome: budget.Unavailable}
	}
	return budget.StoreResult{Outcome: budget.OutcomeUnknown}
}
