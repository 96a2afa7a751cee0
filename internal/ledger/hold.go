package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/gateway"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Gateway returns the ledger as the gateway uses it.
func (l *Ledger) Gateway() gateway.Ledger { return client{l} }

// client reserves tokens for the requests of this daemon.
type client struct{ l *Ledger }

// hold is a reservation of one request.
type hold struct {
	l     *Ledger
	shard int
	// budget is the id of the budget that is drawn on.
	budget string
	key    budget.Key
}

// Reserve implements gateway.Ledger.
func (c client) Reserve(ctx context.Context, charge gateway.Charge) (gateway.Hold, error) {
	id, ok := c.l.o.BudgetFor(charge.Account, charge.Service)
	if !ok {
		return nil, problem.New(problem.BudgetExhausted, "account %q has no budget that covers service %q", charge.Account, charge.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, c.l.o.Timeout)
	defer cancel()
	h := &hold{l: c.l, shard: budget.ShardOf(charge.Account), budget: id}
	for try := 0; ; try++ {
		err := h.reserve(ctx, charge, id)
		if errors.Is(err, errUnknownBudget) && try < unknownTries {
			err = errAgain
		}
		if !errors.Is(err, errAgain) {
			if err != nil {
				return nil, err
			}
			return h, nil
		}
		if !pause.Sleep(ctx, retryInterval) {
			return nil, unavailable(ctx.Err())
		}
	}
}

// unknownTries is how often an unknown budget is asked for: the allocator reads
// its record again at the first try, since a top-up may just have made it.
const unknownTries = 6

// errUnknownBudget means that the allocator's record lacks the budget.
var errUnknownBudget = errors.New("the record has no such budget")

// errAgain means that the reservation has to be asked for once more.
var errAgain = errors.New("register and reserve again")

func unavailable(cause error) *problem.Error {
	return problem.New(problem.BudgetUnavailable, "the budget can't be drawn on now").WithRetryAfter(time.Second).WithCause(cause)
}

func (h *hold) reserve(ctx context.Context, charge gateway.Charge, id string) error {
	l := h.l
	if err := l.register(ctx, h.shard); err != nil {
		return unavailable(err)
	}
	l.mu.Lock()
	r, err := l.holder.Reserve(h.shard, charge.ID, id, charge.Tokens, charge.Keyed)
	l.mu.Unlock()
	if err != nil {
		return errAgain
	}
	h.key = r.Reservation.Key
	reply, err := l.sendReserve(ctx, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The allocator may have made the reservation; a settlement with 0
		// tokens frees it.
		_ = l.holder.Settle(h.shard, h.key, 0)
		if ctx.Err() == nil {
			return errAgain
		}
		return unavailable(err)
	}
	switch l.holder.ReserveAnswered(reply) {
	case budget.Granted:
		return nil
	case budget.Refused:
		return refusal(reply.Status, id)
	}
	_ = l.holder.Settle(h.shard, h.key, 0)
	return errAgain
}

// refusal turns a refused request into an answer to the caller. An allocator
// that can't draw now, or hands its shard over, is asked again until the
// ledger's timeout: a refusal while tokens are left would be false.

func refusal(s budget.Status, id string) error {
	switch s {
	case budget.StatusExhausted:
		return problem.New(problem.BudgetExhausted, "budget %q does not cover the request", id)
	case budget.StatusUnknown:
		return problem.New(problem.BudgetExhausted, "budget %q has never been topped up", id).WithCause(errUnknownBudget)
	case budget.StatusDuplicate:
		// The other request may have run, so that "not run" could be false.
		return problem.New(problem.Duplicate, "a request with this id is in progress").
			WithRan(upstream.RanUnknown).WithRetryAfter(time.Second)
	case budget.StatusBilled:
		return problem.New(problem.AlreadyRan, "a request with this id is billed").WithRan(upstream.RanYes)
	}
	return errAgain
}

// Extend implements gateway.Hold.
func (h *hold) Extend(ctx context.Context, total int64) error {
	ctx, cancel := context.WithTimeout(ctx, h.l.o.Timeout)
	defer cancel()
	for {
		err := h.extend(ctx, total)
		if !errors.Is(err, errAgain) {
			return err
		}
		if !pause.Sleep(ctx, retryInterval) {
			return unavailable(ctx.Err())
		}
	}
}

func (h *hold) extend(ctx context.Context, total int64) error {
	l := h.l
	if err := l.register(ctx, h.shard); err != nil {
		return unavailable(err)
	}
	l.mu.Lock()
	r, err := l.holder.Extend(h.shard, h.key, total)
	l.mu.Unlock()
	if errors.Is(err, budget.ErrNoReservation) {
		return problem.New(problem.BudgetUnavailable, "the reservation was charged while this daemon was silent").WithCause(err)
	}
	if err != nil {
		return errAgain
	}
	reply, err := l.sendExtend(ctx, r)
	if err != nil {
		return errAgain
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.holder.ExtendAnswered(reply) {
	case budget.Granted:
		return nil
	case budget.Refused:
		return refusal(reply.Status, h.budget)
	}
	return errAgain
}

// Settle implements gateway.Hold.
func (h *hold) Settle(tokens int64) { h.end(tokens) }

// Release implements gateway.Hold.
func (h *hold) Release() { h.end(0) }

func (h *hold) end(tokens int64) {
	l := h.l
	l.mu.Lock()
	defer l.mu.Unlock()
	reserved := l.holder.Reserved(h.shard, h.key)
	if tokens > reserved {
		l.o.Log.Error().Int64("used", tokens).Int64("reserved", reserved).Msg("use above the reservation is not billed")
		tokens = reserved
	}
	if err := l.holder.Settle(h.shard, h.key, tokens); err != nil {
		l.o.Log.Error().Err(err).Int64("tokens", tokens).Msg("settlement refused")
	}
}
