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

// Gateway returns the gateway.Ledger that is backed by l.
func (l *Ledger) Gateway() gateway.Ledger { return gatewayLedger{l} }

// gatewayLedger reserves tokens for the requests of this daemon.
type gatewayLedger struct{ l *Ledger }

// reservation is the reservation of one request.
type reservation struct {
	l     *Ledger
	shard int
	// budget is the id of the budget that pays.
	budget string
	key    budget.Key
}

// Reserve implements gateway.Ledger.
func (g gatewayLedger) Reserve(ctx context.Context, request gateway.ReservationRequest) (gateway.Reservation, error) {
	id, ok := g.l.opts.BudgetFor(request.Account, request.Service)
	if !ok {
		return nil, problem.New(problem.BudgetExhausted, "account %q has no budget that covers service %q",
			request.Account, request.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, g.l.opts.Timeout)
	defer cancel()
	r := &reservation{l: g.l, shard: budget.ShardOf(request.Account), budget: id}
	for attempt := 0; ; attempt++ {
		err := r.reserve(ctx, request, id)
		if errors.Is(err, errUnknownBudget) && attempt < unknownBudgetAttempts {
			err = errRetry
		}
		if !errors.Is(err, errRetry) {
			if err != nil {
				return nil, err
			}
			return r, nil
		}
		if !pause.Sleep(ctx, retryInterval) {
			return nil, budgetUnavailable(ctx.Err())
		}
	}
}

// unknownBudgetAttempts limits the retries for an unknown budget. The first
// attempt makes the allocator read its record again, since a top-up may just
// have created the budget.
const unknownBudgetAttempts = 6

// errUnknownBudget means that the allocator's record does not contain the
// budget.
var errUnknownBudget = errors.New("the record has no such budget")

// errRetry means that the request to the allocator has to be repeated.
var errRetry = errors.New("request to the allocator must be repeated")

func budgetUnavailable(cause error) *problem.Error {
	return problem.New(problem.BudgetUnavailable, "no tokens can be reserved from the budget at present").
		WithRetryAfter(time.Second).WithCause(cause)
}

func (r *reservation) reserve(ctx context.Context, request gateway.ReservationRequest, id string) error {
	l := r.l
	if err := l.register(ctx, r.shard); err != nil {
		return budgetUnavailable(err)
	}
	l.mu.Lock()
	budgetRequest, err := l.holder.Reserve(r.shard, request.ID, id, request.Tokens, request.Keyed)
	l.mu.Unlock()
	if err != nil {
		return errRetry
	}
	r.key = budgetRequest.Reservation.Key
	reply, err := l.sendReserve(ctx, budgetRequest)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The allocator may have made the reservation; a settlement of 0
		// tokens releases it.
		_ = l.holder.Settle(r.shard, r.key, 0)
		if ctx.Err() == nil {
			return errRetry
		}
		return budgetUnavailable(err)
	}
	switch l.holder.ReserveAnswered(reply) {
	case budget.Granted:
		return nil
	case budget.Refused:
		return refusalFor(reply.Status, id)
	}
	_ = l.holder.Settle(r.shard, r.key, 0)
	return errRetry
}

// refusalFor returns the error of a refused request. For an allocator that can't
// draw tokens at present, or that is handing its shard over, it returns errRetry
// and the request is repeated until the ledger's timeout: refusing it while
// tokens are left would be wrong.
func refusalFor(s budget.Status, id string) error {
	switch s {
	case budget.StatusExhausted:
		return problem.New(problem.BudgetExhausted, "budget %q does not cover the request", id)
	case budget.StatusUnknown:
		return problem.New(problem.BudgetExhausted, "budget %q has never been topped up", id).WithCause(errUnknownBudget)
	case budget.StatusDuplicate:
		// The other request may have run, so this refusal must not say "not run".
		return problem.New(problem.Duplicate, "a request with this id is in progress").
			WithRan(upstream.RanUnknown).WithRetryAfter(time.Second)
	case budget.StatusBilled:
		return problem.New(problem.AlreadyRan, "a request with this id is billed").WithRan(upstream.RanYes)
	}
	return errRetry
}

// Extend implements gateway.Reservation.
func (r *reservation) Extend(ctx context.Context, total int64) error {
	ctx, cancel := context.WithTimeout(ctx, r.l.opts.Timeout)
	defer cancel()
	for {
		err := r.extend(ctx, total)
		if !errors.Is(err, errRetry) {
			return err
		}
		if !pause.Sleep(ctx, retryInterval) {
			return budgetUnavailable(ctx.Err())
		}
	}
}

func (r *reservation) extend(ctx context.Context, total int64) error {
	l := r.l
	if err := l.register(ctx, r.shard); err != nil {
		return budgetUnavailable(err)
	}
	l.mu.Lock()
	budgetRequest, err := l.holder.Extend(r.shard, r.key, total)
	l.mu.Unlock()
	if errors.Is(err, budget.ErrNoReservation) {
		return problem.New(problem.BudgetUnavailable, "the reservation was charged while this daemon was unreachable").
			WithCause(err)
	}
	if err != nil {
		return errRetry
	}
	reply, err := l.sendExtend(ctx, budgetRequest)
	if err != nil {
		return errRetry
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.holder.ExtendAnswered(reply) {
	case budget.Granted:
		return nil
	case budget.Refused:
		return refusalFor(reply.Status, r.budget)
	}
	return errRetry
}

// Settle implements gateway.Reservation.
func (r *reservation) Settle(tokens int64) { r.settle(tokens) }

// Release implements gateway.Reservation.
func (r *reservation) Release() { r.settle(0) }

func (r *reservation) settle(tokens int64) {
	l := r.l
	l.mu.Lock()
	defer l.mu.Unlock()
	reserved := l.holder.Reserved(r.shard, r.key)
	if tokens > reserved {
		l.opts.Log.Error().Int64("used", tokens).Int64("reserved", reserved).
			Msg("tokens used beyond the reservation are not billed")
		tokens = reserved
	}
	if err := l.holder.Settle(r.shard, r.key, tokens); err != nil {
		l.opts.Log.Error().Err(err).Int64("tokens", tokens).Msg("settlement refused")
	}
}
