package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/pause"
)

// errNoOwner means that the failure domain has no live member to serve the
// shard.
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
	if m.ID == l.o.ID {
		return local(ctx, r)
	}
	return remote(ctx, m.Addr, r)
}

func (l *Ledger) sendReserve(ctx context.Context, r budget.ReserveRequest) (budget.Reply, error) {
	return route(l, ctx, r.Shard, r, l.Reserve, l.o.Peers.Reserve)
}

func (l *Ledger) sendExtend(ctx context.Context, r budget.ExtendRequest) (budget.Reply, error) {
	return route(l, ctx, r.Shard, r, l.Extend, l.o.Peers.Extend)
}

// register makes sure that the holder is registered with the shard's newest
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
		done := l.startRegister(shard)
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

// startRegister begins a registration unless one is in progress. The caller
// holds l.mu.
func (l *Ledger) startRegister(shard int) chan struct{} {
	if done, ok := l.registering[shard]; ok {
		return done
	}
	done := make(chan struct{})
	l.registering[shard] = done
	r, _ := l.holder.Register(shard)
	l.send(func(ctx context.Context) {
		reply, err := route(l, ctx, shard, r, l.Register, l.o.Peers.Register)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.registering, shard)
		close(done)
		if err != nil {
			l.o.Log.Debug().Err(err).Int("shard", shard).Msg("registration failed")
			return
		}
		if l.holder.RegisterAnswered(reply) == budget.RegisterAndRetry {
			l.startRegister(shard)
		}
	})
	return done
}

// settleAll sends the settlements that are not durable.
func (l *Ledger) settleAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, shard := range l.holder.Shards() {
		if l.settling[shard] {
			continue
		}
		r, ok := l.holder.Unsettled(shard)
		if !ok || !l.accepted.Trim(&r, time.Now()) {
			continue
		}
		l.settling[shard] = true
		l.send(func(ctx context.Context) { l.settle(ctx, r) })
	}
}

func (l *Ledger) settle(ctx context.Context, r budget.SettleRequest) {
	reply, err := route(l, ctx, r.Shard, r, l.Settle, l.o.Peers.Settle)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settling[r.Shard] = false
	if err != nil {
		l.o.Log.Debug().Err(err).Int("shard", r.Shard).Msg("settlement not answered")
		return
	}
	switch l.holder.SettleAnswered(reply) {
	case budget.Granted:
		l.accepted.Note(r, time.Now())
	case budget.RegisterAndRetry:
		l.startRegister(r.Shard)
	}
}

// Drain returns idle tokens and waits until all settlements are durable or ctx
// is done.
func (l *Ledger) Drain(ctx context.Context) error {
	for {
		l.settleAll()
		if l.settled() {
			return nil
		}
		if !pause.Sleep(ctx, settleInterval) {
			return errors.Wrap(ctx.Err(), "settlements are not durable")
		}
	}
}

func (l *Ledger) settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, shard := range l.holder.Shards() {
		if _, open := l.holder.Unsettled(shard); open {
			return false
		}
	}
	return true
}
