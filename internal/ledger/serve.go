package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
)

// ask passes a request to the allocator of a shard and waits for its reply.
func (l *Ledger) ask(ctx context.Context, shard int, w wait, request func(*budget.Allocator)) (budget.Reply, error) {
	l.mu.Lock()
	f, err := l.allocator(shard)
	if err != nil {
		l.mu.Unlock()
		return budget.Reply{}, err
	}
	ch := make(chan budget.Reply, 1)
	l.waits[w] = append(l.waits[w], ch)
	request(f.allocator)
	l.pump(f)
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
	l.dropWait(w, ch)
	return budget.Reply{}, err
}

func (l *Ledger) dropWait(w wait, ch chan budget.Reply) {
	rest := slices.DeleteFunc(l.waits[w], func(c chan budget.Reply) bool { return c == ch })
	if len(rest) == 0 {
		delete(l.waits, w)
		return
	}
	l.waits[w] = rest
}

// deliver gives a reply to the longest waiting caller. The caller holds l.mu.
func (l *Ledger) deliver(r budget.Reply) {
	w := wait{kind: r.Kind, shard: r.Shard}
	if r.Kind == budget.KindReserve || r.Kind == budget.KindExtend {
		w.key = r.Key
	} else {
		w.holder = r.Holder
	}
	if queue := l.waits[w]; len(queue) > 0 {
		queue[0] <- r
		l.dropWait(w, queue[0])
	}
}

// Reserve serves a holder of this failure domain.
func (l *Ledger) Reserve(ctx context.Context, r budget.ReserveRequest) (budget.Reply, error) {
	w := wait{kind: budget.KindReserve, shard: r.Shard, key: r.Reservation.Key}
	return l.ask(ctx, r.Shard, w, func(a *budget.Allocator) { a.Reserve(time.Now(), r) })
}

// Extend serves a holder of this failure domain.
func (l *Ledger) Extend(ctx context.Context, r budget.ExtendRequest) (budget.Reply, error) {
	w := wait{kind: budget.KindExtend, shard: r.Shard, key: r.Key}
	return l.ask(ctx, r.Shard, w, func(a *budget.Allocator) { a.Extend(time.Now(), r) })
}

// Settle serves a holder of this failure domain.
func (l *Ledger) Settle(ctx context.Context, r budget.SettleRequest) (budget.Reply, error) {
	w := wait{kind: budget.KindSettle, shard: r.Shard, holder: r.Holder}
	return l.ask(ctx, r.Shard, w, func(a *budget.Allocator) { a.Settle(time.Now(), r) })
}

// Register serves a holder of this failure domain.
func (l *Ledger) Register(ctx context.Context, r budget.RegisterRequest) (budget.Reply, error) {
	w := wait{kind: budget.KindRegister, shard: r.Shard, holder: r.Holder}
	return l.ask(ctx, r.Shard, w, func(a *budget.Allocator) { a.Register(time.Now(), r) })
}

// Mirror keeps reservations for an allocator.
func (l *Ledger) Mirror(m budget.MirrorRequest) budget.MirrorAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Mirror(m)
}

// Reclaim handles the request of another failure domain for idle tokens. It
// is ignored if this daemon holds no grant of the shard.
func (l *Ledger) Reclaim(r budget.ReclaimRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.shards[r.Shard]; ok {
		f.allocator.Reclaim(time.Now(), r)
		l.pump(f)
	}
}

// ObserveEpoch notes a new allocator and registers with it.
func (l *Ledger) ObserveEpoch(shard int, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(shard, epoch)
}

// observe is ObserveEpoch under l.mu.
func (l *Ledger) observe(shard int, epoch uint64) {
	if l.holder.ObserveEpoch(shard, epoch) && l.idRecorded() {
		l.startRegister(shard)
	}
}
