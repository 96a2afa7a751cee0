package daemon

import (
	"context"
	"slices"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/ledger"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// maxConcurrentReads limits the records that List reads concurrently.
const maxConcurrentReads = 8

func (d *Daemon) newAdmin() *admin.API {
	accounts := &accounts{records: ledger.Accounts{Store: d.store}, config: d.directory.Config}
	return admin.New(admin.Options{
		Store: d.store, Accounts: accounts, Fleet: fleetView{d}, Orders: d.orders, Config: d.directory.Config,
		BootstrapToken: d.settings.Operators.BootstrapToken, Log: d.log,
	})
}

// accounts implements admin.Accounts over the budget records.
type accounts struct {
	records ledger.Accounts
	config  func() *config.Config
}

// Account implements admin.Accounts.
func (a *accounts) Account(ctx context.Context, name string) (admin.Account, error) {
	c := a.config()
	if c == nil {
		return admin.Account{}, platform.ErrNotFound
	}
	entry, ok := c.Accounts[name]
	if !ok {
		return admin.Account{}, platform.ErrNotFound
	}
	s, err := a.records.Statement(ctx, name)
	if err != nil {
		return admin.Account{}, err
	}
	balances := make(map[string]ledger.Balance)
	for _, b := range s.Budgets {
		balances[b.Budget] = b
	}
	account := admin.Account{Name: name, Weight: entry.WithDefaults().Weight, Budgets: []admin.Budget{}}
	for _, id := range c.AccountBudgets(name) {
		account.Budgets = append(account.Budgets, budgetView(c, id, balances[id]))
	}
	return account, nil
}

func budgetView(c *config.Config, id string, b ledger.Balance) admin.Budget {
	return admin.Budget{
		Name: id, Services: c.Budgets[id].Services, Prepaid: b.Prepaid, Spent: b.Spent, Granted: b.Granted,
		Available: b.Available, Disputed: b.Disputed,
	}
}

// List implements admin.Accounts.
func (a *accounts) List(ctx context.Context) ([]admin.Account, error) {
	c := a.config()
	if c == nil {
		return []admin.Account{}, nil
	}
	names := make([]string, 0, len(c.Accounts))
	for name := range c.Accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	list := make([]admin.Account, len(names))
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentReads)
	for i, name := range names {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			list[i], errs[i] = a.Account(ctx, name)
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return list, nil
}

// TopUp implements admin.Accounts.
func (a *accounts) TopUp(ctx context.Context, t admin.TopUp) (admin.Budget, error) {
	c := a.config()
	if c == nil {
		return admin.Budget{}, platform.ErrNotFound
	}
	id := t.Budget
	if _, ok := c.Budgets[id]; !ok {
		id = config.BudgetID(t.Account, t.Budget)
	}
	if _, ok := c.Budgets[id]; !ok || config.AccountOfBudget(id) != t.Account {
		return admin.Budget{}, platform.ErrNotFound
	}
	if err := a.records.TopUp(ctx, t.OpID, id, t.Tokens); err != nil {
		return admin.Budget{}, err
	}
	s, err := a.records.Statement(ctx, t.Account)
	if err != nil {
		return admin.Budget{}, err
	}
	i := slices.IndexFunc(s.Budgets, func(b ledger.Balance) bool { return b.Budget == id })
	if i < 0 {
		return admin.Budget{}, errors.Errorf("budget %q is missing after the top-up", id)
	}
	return budgetView(c, id, s.Budgets[i]), nil
}

// HasSpend implements admin.Accounts. It returns true for an account whose record
// can't be read.
func (a *accounts) HasSpend(account string) bool {
	s, err := a.records.Statement(context.Background(), account)
	return err != nil || s.Spent > 0
}

// fleetView implements admin.Fleet.
type fleetView struct{ d *Daemon }

// Status implements admin.Fleet. The revision of a daemon that does not answer is
// 0.
func (v fleetView) Status(ctx context.Context) (admin.FleetStatus, error) {
	d := v.d
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	members := d.fleet.Members()
	status := admin.FleetStatus{Daemons: make([]admin.Daemon, len(members)), Endpoints: map[string]int{}}
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status.Daemons[i] = v.daemon(ctx, m)
		}()
	}
	wg.Wait()
	for service, endpoints := range d.pools.Status() {
		status.Endpoints[service] = len(endpoints)
	}
	return status, nil
}

func (v fleetView) daemon(ctx context.Context, m membership.Member) admin.Daemon {
	out := admin.Daemon{ID: m.ID, Address: m.Addr, Domain: m.Domain, State: m.State.String()}
	revision, age := v.d.Status()
	if m.ID != v.d.ID() {
		var err error
		if revision, age, err = v.d.peers.Status(ctx, m.Addr); err != nil {
			v.d.log.Debug().Err(err).Msg("daemon status not read")
			return out
		}
	}
	out.Revision, out.AgeSeconds = revision, age.Seconds()
	return out
}
