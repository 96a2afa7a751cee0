package e2e

import (
	"context"
	"fmt"
	"net/http"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/ledger"
)

// checkAccount compares an account's totals with its bills and its prepaid
// tokens, and returns the bills by request ID.
func (f *fleet) checkAccount(account int) (map[string]budget.RecentBill, error) {
	name := accountName(account)
	s, err := (ledger.Accounts{Store: f.store}).Statement(context.Background(), name)
	if err != nil {
		return nil, err
	}
	bills := make(map[string]budget.RecentBill)
	var billed int64
	for _, b := range s.Bills {
		if _, ok := bills[b.ID]; ok {
			return nil, fmt.Errorf("%s: request %s is billed twice", name, b.ID)
		}
		bills[b.ID] = b
		billed += b.Tokens
	}
	// The sums must match exactly: no test sends more requests than the number of
	// recent bills that a shard keeps.
	if s.Spent != billed || s.Requests != int64(len(bills)) {
		return nil, fmt.Errorf("%s: totals show %d tokens for %d requests, bills add up to %d tokens for %d requests",
			name, s.Spent, s.Requests, billed, len(bills))
	}
	for _, b := range s.Budgets {
		if b.Prepaid != prepaid || b.Spent+b.Granted+b.Available != prepaid ||
			b.Spent < 0 || b.Granted < 0 || b.Available < 0 || b.Spent != billed {
			return nil, fmt.Errorf("%s: budget %+v does not match %d billed tokens and %d prepaid tokens",
				name, b, billed, prepaid)
		}
	}
	return bills, nil
}

// checkBudgetRecords checks the invariants of the stored record of each account's
// budget shard.
func (f *fleet) checkBudgetRecords() error {
	for i := range accountCount {
		item, err := f.store.Get(context.Background(), ledger.Key(budget.ShardOf(accountName(i))))
		if err != nil {
			return err
		}
		r, err := budget.Unmarshal(item.Value)
		if err != nil {
			return err
		}
		if err := r.Check(); err != nil {
			return err
		}
	}
	return nil
}

// checkAccountList checks that the budgets which daemon d reports over its
// administration API add up to the prepaid tokens.
func (f *fleet) checkAccountList(d int) error {
	var list struct {
		Accounts []admin.Account `json:"accounts"`
	}
	status, err := f.adminCall(d, viewerToken, http.MethodGet, "/v1/accounts", nil, &list)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("accounts: status %d, %w", status, err)
	}
	if len(list.Accounts) != accountCount {
		return fmt.Errorf("administration API lists %d accounts, want %d", len(list.Accounts), accountCount)
	}
	for _, a := range list.Accounts {
		for _, b := range a.Budgets {
			if b.Prepaid != prepaid || b.Spent+b.Granted+b.Available != prepaid || b.Available < 0 || b.Granted < 0 {
				return fmt.Errorf("administration API shows a budget of %s as %+v", a.Name, b)
			}
		}
	}
	return nil
}
