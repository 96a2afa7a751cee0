package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/pause"
)

// errNoOwner means that the failure domain has no live member to own the shard.
var errNoOwner = errors.New("the shard has no owner")

// route calls the shard's owner: local if it is this daemon, else remote with
// the owner's address.
func route[R any](l *Ledger, ctx context.Context, shard int, r R,
	local func(context.Context, R) (budget.Reply, error),
	remote func(context.Context, string, R) (budget.Reply, error),
) (budget.Reply, error) {
	m, ok := l.owner(shard)
	if !ok {
		return budget.Reply{}, errNoOwner
	}
	if m.ID == l.opts.ID {
		return local(ctx, r)
	}
	return remote(ctx, m.Addr, r)
}

func (l *Ledger) sendReserve(ctx context.Context, r budget.ReserveRequest) (budget.Reply, error) {
	return route(l, ctx, r.Shard, r, l.Reserve, l.opts.Peers.Reserve)
}

func (l *Ledger) sendExtend(ctx context.Context, r budget.ExtendRequest) (budget.Reply, error) {
	return route(l, ctx, r.Shard, r, l.Extend, l.opts.Peers.Extend)
}

// register waits until the holder is registered with the shard's current
// allocator.
func (l *Ledger) register(ctx context.Context, shard int) error {
	if err := l.awaitID(ctx); err != nil {
		return err
	}
	for {
		l.mu.Lock()
		if l.holder.Registered(shard) {
			l.mu.Unlock()
			return nil
		}
		done := l.startRegistration(shard)
		l.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if l.isRegistered(shard) {
			return nil
		}
		if !pause.Sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
}

func (l *Ledger) isRegistered(shard int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Registered(shard)
}

// startRegistration starts a registration unless one is in progress and returns
// the channel that is closed when it ends. The caller holds l.mu.
func (l *Ledger) startRegistration(shard int) chan struct{} {
	if done, ok := l.registrations[shard]; ok {
		return done
	}
	done := make(chan struct{})
	l.registrations[shard] = done
	r, _ := l.holder.Register(shard)
	l.callAsync(func(ctx context.Context) {
		reply, err := route(l, ctx, shard, r, l.Register, l.opts.Peers.Register)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.registrations, shard)
		close(done)
		if err != nil {
			l.opts.Log.Debug().Err(err).Int("shard", shard).Msg("registration failed")
			return
		}
		if l.holder.RegisterAnswered(reply) == budget.RegisterAndRetry {
			l.startRegistration(shard)
		}
	})
	return done
}

// sendSettlements sends the settlements that are not durable to the allocators
// of their shards. It registers with an allocator first if an earlier registration
// failed.
func (l *Ledger) sendSettlements() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, shard := range l.holder.Shards() {
		if l.settlementInFlight[shard] {
			continue
		}
		r, ok := l.holder.Unsettled(shard)
		if !ok && l.holder.UnsettledCount(shard) > 0 && l.idRecorded() {
			l.startRegistration(shard)
		}
		if !ok || !l.accepted.Trim(&r, time.Now()) {
			continue
		}
		l.settlementInFlight[shard] = true
		l.callAsync(func(ctx context.Context) { l.sendSettlement(ctx, r) })
	}
}

func (l *Ledger) sendSettlement(ctx context.Context, r budget.SettleRequest) {
	reply, err := route(l, ctx, r.Shard, r, l.Settle, l.opts.Peers.Settle)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settlementInFlight[r.Shard] = false
	if err != nil {
		l.opts.Log.Debug().Err(err).Int("shard", r.Shard).Msg("settlement not answered")
		return
	}
	switch l.holder.SettleAnswered(reply) {
	case budget.Granted:
		l.accepted.Record(r, time.Now())
	case budget.RegisterAndRetry:
		l.startRegistration(r.Shard)
	}
}

// Drain waits until all settlements are durable or ctx is done.
func (l *Ledger) Drain(ctx context.Context) error {
	for {
		l.sendSettlements()
		open := l.unsettledCount()
		if open == 0 {
			return nil
		}
		if !pause.Sleep(ctx, settleInterval) {
			return errors.Wrapf(ctx.Err(), "%d settlements are not durable; their reservations will be charged in full", open)
		}
	}
}

// unsettledCount returns the number of this daemon's settlements that are not durable.
func (l *Ledger) unsettledCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, shard := range l.holder.Shards() {
		n += l.holder.UnsettledCount(shard)
	}
	return n
}
