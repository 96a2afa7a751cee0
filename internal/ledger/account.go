package ledger

import (
	"context"
	"sort"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// maxEditAttempts limits the compare-and-swap loop of an operator's change. It
// may lose several races, since the allocators of all failure domains write the
// same record.
const maxEditAttempts = 20

// Accounts reads and changes the budget records on behalf of operators.
type Accounts struct{ Store platform.Store }

// Balance is the state of one budget.
type Balance struct {
	Budget    string `json:"budget"`
	Prepaid   int64  `json:"prepaid"`
	Spent     int64  `json:"spent"`
	Granted   int64  `json:"held"`
	Available int64  `json:"available"`
	// Disputed is the part of Granted that may need an operator's decision; see
	// budget.Record.Disputes.
	Disputed int64 `json:"disputed"`
}

// Statement is the state of an account.
type Statement struct {
	Account  string              `json:"account"`
	Requests int64               `json:"requests"`
	Spent    int64               `json:"spent"`
	Budgets  []Balance           `json:"budgets"`
	Bills    []budget.RecentBill `json:"bills"`
}

// TopUp adds prepaid tokens to a budget, creating it if needed. A repeat with
// the same operation id has no effect.
func (a Accounts) TopUp(ctx context.Context, op, id string, tokens int64) error {
	return a.edit(ctx, budget.ShardOf(budget.AccountOf(id)), func(r *budget.Record) error {
		if _, ok := r.Budgets[id]; !ok {
			r.Budgets[id] = &budget.Budget{}
		}
		return r.TopUp(op, id, tokens)
	})
}

// Decide records an operator's decision on the disputed tokens of a failure
// domain; see budget.Record.Decide.
func (a Accounts) Decide(ctx context.Context, account, domain string, decision budget.Decision) error {
	return a.edit(ctx, budget.ShardOf(account), func(r *budget.Record) error { return r.Decide(domain, decision) })
}

func (a Accounts) edit(ctx context.Context, shard int, change func(*budget.Record) error) error {
	for range maxEditAttempts {
		record, revision, err := a.load(ctx, shard)
		if err != nil {
			return err
		}
		if err := change(record); err != nil {
			return failure.At(err, "budget.edit", "")
		}
		value, err := record.Marshal()
		if err != nil {
			return failure.At(err, "budget.edit", "")
		}
		_, err = a.Store.CompareAndSwap(ctx, platform.Write{
			Key: Key(shard), Value: value, Expected: revision, OpID: uuid.NewString(),
		})
		if err == nil {
			return nil
		}
		if _, conflict := platform.AsConflict(err); !conflict && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return failure.At(err, "budget.edit", Key(shard))
		}
		if !pause.Sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
	return errors.Errorf("budget record %d: lost the write race in every attempt; try again", shard)
}

func (a Accounts) load(ctx context.Context, shard int) (*budget.Record, platform.Revision, error) {
	item, err := a.Store.Get(ctx, Key(shard))
	if errors.Is(err, platform.ErrNotFound) {
		return budget.NewRecord(), 0, nil
	}
	if err != nil {
		return nil, 0, failure.At(err, "budget.read", Key(shard))
	}
	record, err := budget.Unmarshal(item.Value)
	return record, item.Revision, failure.At(err, "budget.decode", Key(shard))
}

// Statement returns the state of an account.
func (a Accounts) Statement(ctx context.Context, account string) (Statement, error) {
	record, _, err := a.load(ctx, budget.ShardOf(account))
	if err != nil {
		return Statement{}, err
	}
	s := Statement{Account: account, Budgets: []Balance{}, Bills: []budget.RecentBill{}}
	if t, ok := record.Accounts[account]; ok {
		s.Requests, s.Spent = t.Requests, t.Spent
	}
	disputed := make(map[string]int64)
	for _, d := range record.Disputes() {
		for id, tokens := range d.Tokens {
			disputed[id] += tokens
		}
	}
	for id, v := range record.Budgets {
		if budget.AccountOf(id) == account {
			s.Budgets = append(s.Budgets, Balance{
				Budget: id, Prepaid: v.Prepaid, Spent: v.Spent, Granted: v.Granted(),
				Available: v.Available(), Disputed: disputed[id],
			})
		}
	}
	sort.Slice(s.Budgets, func(i, j int) bool { return s.Budgets[i].Budget < s.Budgets[j].Budget })
	for _, bill := range record.Bills {
		if strings.HasPrefix(bill.Budget, account+"/") {
			s.Bills = append(s.Bills, bill)
		}
	}
	return s, nil
}
