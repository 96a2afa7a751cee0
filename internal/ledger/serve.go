package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
)

// submit passes a request to the allocator of a shard and waits for its reply.
func (l *Ledger) submit(
	ctx context.Context, shard int, key replyKey, request func(*budget.Allocator),
) (budget.Reply, error) {
	l.mu.Lock()
	s, err := l.allocator(shard)
	if err != nil {
		l.mu.Unlock()
		return budget.Reply{}, err
	}
	ch := make(chan budget.Reply, 1)
	l.waiters[key] = append(l.waiters[key], ch)
	request(s.allocator)
	l.applyOutput(s)
	l.mu.Unlock()
	select {
	case r := <-ch:
		return r, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-l.ctx.Done():
		err = l.ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeWaiter(key, ch)
	return budget.Reply{}, err
}

func (l *Ledger) removeWaiter(key replyKey, ch chan budget.Reply) {
	remaining := slices.DeleteFunc(l.waiters[key], func(c chan budget.Reply) bool { return c == ch })
	if len(remaining) == 0 {
		delete(l.waiters, key)
		return
	}
	l.waiters[key] = remaining
}

// deliver sends a reply to the caller that has waited longest for it. The caller
// of deliver holds l.mu.
func (l *Ledger) deliver(r budget.Reply) {
	key := replyKey{kind: r.Kind, shard: r.Shard}
	if r.Kind == budget.KindReserve || r.Kind == budget.KindExtend {
		key.reservation = r.Key
	} else {
		key.holder = r.Holder
	}
	if queue := l.waiters[key]; len(queue) > 0 {
		queue[0] <- r
		l.removeWaiter(key, queue[0])
	}
}

// Reserve handles a request for a reservation by a holder of this failure
// domain.
func (l *Ledger) Reserve(ctx context.Context, r budget.ReserveRequest) (budget.Reply, error) {
	key := replyKey{kind: budget.KindReserve, shard: r.Shard, reservation: r.Reservation.Key}
	return l.submit(ctx, r.Shard, key, func(a *budget.Allocator) { a.Reserve(time.Now(), r) })
}

// Extend handles an extension of a reservation by a holder of this failure
// domain.
func (l *Ledger) Extend(ctx context.Context, r budget.ExtendRequest) (budget.Reply, error) {
	key := replyKey{kind: budget.KindExtend, shard: r.Shard, reservation: r.Key}
	return l.submit(ctx, r.Shard, key, func(a *budget.Allocator) { a.Extend(time.Now(), r) })
}

// Settle handles the settlements of a holder of this failure domain.
func (l *Ledger) Settle(ctx context.Context, r budget.SettleRequest) (budget.Reply, error) {
	key := replyKey{kind: budget.KindSettle, shard: r.Shard, holder: r.Holder}
	return l.submit(ctx, r.Shard, key, func(a *budget.Allocator) { a.Settle(time.Now(), r) })
}

// Register handles the registration of a holder of this failure domain.
func (l *Ledger) Register(ctx context.Context, r budget.RegisterRequest) (budget.Reply, error) {
	key := replyKey{kind: budget.KindRegister, shard: r.Shard, holder: r.Holder}
	return l.submit(ctx, r.Shard, key, func(a *budget.Allocator) { a.Register(time.Now(), r) })
}

// Mirror stores copies of reservations for an allocator.
func (l *Ledger) Mirror(m budget.MirrorRequest) budget.MirrorAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Mirror(m)
}

// Reclaim handles the request of another failure domain for idle tokens. It
// is ignored if this daemon is not the shard's allocator.
func (l *Ledger) Reclaim(r budget.ReclaimRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.shards[r.Shard]; ok {
		s.allocator.Reclaim(time.Now(), r)
		l.applyOutput(s)
	}
}

// ObserveEpoch records the epoch of a new allocator and registers with it.
func (l *Ledger) ObserveEpoch(shard int, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeLocked(shard, epoch)
}

// observeLocked is ObserveEpoch for a caller that holds l.mu.
func (l *Ledger) observeLocked(shard int, epoch uint64) {
	if l.holder.ObserveEpoch(shard, epoch) && l.idRecorded() {
		l.startRegistration(shard)
	}
}
