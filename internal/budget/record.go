package budget

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Shards is the number of records that the budgets are spread over.
const Shards = 128

// AccountOf returns the account of a budget id, <account>/<name>.
func AccountOf(budget string) string {
	account, _, _ := strings.Cut(budget, "/")
	return account
}

// ShardOf returns the shard of an account.
func ShardOf(account string) int {
	return int(xxhash.Sum64String(account) % Shards)
}

// Record is the value of budget/<shard>.
type Record struct {
	Budgets map[string]*Budget
	// Domains holds the state of each failure domain by name.
	Domains map[string]*Domain
	// Accounts holds the totals of each account.
	Accounts map[string]*Totals
	// Bills are the recent bills, oldest first; see trimBills for the bounds.
	Bills []RecentBill
	// TopUps are the ids of the recent top-up operations, oldest first.
	TopUps []string
}

// Budget is one prepaid budget. Invariant: Prepaid = Spent + tokens in Grants
// + Available, with each part >= 0.
type Budget struct {
	Prepaid int64
	Spent   int64
	// Grants holds the tokens moved to each failure domain.
	Grants map[string]Grant
	// Removed is true if the configuration no longer names the budget.
	Removed bool
}

// Grant is what a failure domain holds of a budget.
type Grant struct {
	// Tokens is the grant of the current epoch.
	Tokens int64
	// Old is the rest of the grants of all earlier epochs. It is returned only
	// when all holders that Domain.Waiting names have registered.
	Old int64
	// Rate is the recent use in tokens a minute, for sizing.
	Rate int64
}

// Domain is the state of one failure domain in a shard.
type Domain struct {
	// Epoch is the fencing number of the allocator; it only grows.
	Epoch uint64
	// Owner is the id of the holder in the allocator's process.
	Owner string
	// Seq is the last flush applied in Epoch.
	Seq uint64
	// Solo is true if the owner alone knows a reservation.
	Unmirrored bool
	// Members are the holders that may have reservations of Epoch which no
	// mirror knows, and the mirrors. The owner is not one of them.
	Members []string
	// Waiting are the holders that must register before Grant.Old is returned.
	Waiting []string
	// Decision is the operator's order on the rest of Grant.Old.
	Decision Decision
	// Holders has the settlements applied for each holder.
	Holders map[string]HolderState
	// Cleared are finished reservations that may still be in a mirror.
	Tombstones []Tombstone
}

// Decision is an operator's order on disputed tokens.
type Decision uint8

// The decisions on disputed tokens.
const (
	// Wait: no order; the tokens stay held.
	Wait Decision = iota
	// Spend: book the tokens as spent.
	Spend
	// Release: return the tokens to the budget.
	Release
)

// Mark is the state of a holder's generation in the record.
type HolderState struct {
	Incarnation uint64 `json:"Gen"`
	// Settled is the highest settlement number applied.
	Settled uint64
	// Closed is true if all reservations of the generation are charged.
	Closed bool
	// Unix is the time of the closure.
	Unix int64
}

// Cleared is a finished reservation that Member may still mirror.
type Tombstone struct {
	Member string
	Key    Key
}

// RecentBill is one entry of the list of recent bills.
type RecentBill struct {
	ID          string
	Budget      string
	Tokens      int64
	Unix        int64
	Provisional bool
	Keyed       bool
	// Key is the reservation charged, for a provisional bill.
	Key Key
}

// Totals are the sums of an account over all its budgets.
type Totals struct {
	Requests int64
	Spent    int64
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		Budgets:  make(map[string]*Budget),
		Domains:  make(map[string]*Domain),
		Accounts: make(map[string]*Totals),
	}
}

// Held returns the tokens granted to failure domains.
func (b *Budget) Granted() int64 {
	var sum int64
	for _, g := range b.Grants {
		sum += g.Tokens + g.Old
	}
	return sum
}

// Available returns the tokens that are neither spent nor granted.
func (b *Budget) Available() int64 { return b.Prepaid - b.Spent - b.Granted() }

// Check verifies the invariants of the record.
func (r *Record) Check() error {
	for id, b := range r.Budgets {
		if b.Available() < 0 || b.Spent < 0 {
			return errors.Errorf("budget %q: prepaid %d, spent %d, held %d", id, b.Prepaid, b.Spent, b.Granted())
		}
		for name, g := range b.Grants {
			if g.Tokens < 0 || g.Old < 0 {
				return errors.Errorf("budget %q: negative grant %d/%d in %q", id, g.Tokens, g.Old, name)
			}
		}
	}
	return nil
}

func (r *Record) domain(name string) *Domain {
	d := r.Domains[name]
	if d == nil {
		d = &Domain{Holders: make(map[string]HolderState)}
		r.Domains[name] = d
	}
	return d
}

func (r *Record) totals(budget string) *Totals {
	account := AccountOf(budget)
	t := r.Accounts[account]
	if t == nil {
		t = &Totals{}
		r.Accounts[account] = t
	}
	return t
}

func (b *Budget) setGrant(domain string, g Grant) {
	if b.Grants == nil {
		b.Grants = make(map[string]Grant)
	}
	if g == (Grant{}) {
		delete(b.Grants, domain)
		return
	}
	b.Grants[domain] = g
}

// TakeOver raises the epoch of a failure domain for a new owner and returns
// it. The grants of earlier epochs become old: they stay held until each
// holder that may have unmirrored reservations of them has registered. The
// previous owner need not register, because its reservations are mirrored,
// unless it served without a mirror.
func (r *Record) TakeOver(domain, owner string, members []string) uint64 {
	d := r.domain(domain)
	waiting := append(slices.Clone(d.Waiting), d.Members...)
	if d.Unmirrored {
		waiting = append(waiting, d.Owner)
	}
	d.Waiting = sortedSet(waiting)
	d.Members = sortedSet(slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == owner }))
	d.Epoch++
	d.Owner, d.Seq, d.Unmirrored = owner, 0, len(d.Members) == 0
	var old int64
	for _, b := range r.Budgets {
		if g, ok := b.Grants[domain]; ok {
			g.Old += g.Tokens
			g.Tokens = 0
			old += g.Old
			b.setGrant(domain, g)
		}
	}
	if old == 0 {
		d.Waiting = nil
	}
	return d.Epoch
}

func sortedSet(list []string) []string {
	slices.Sort(list)
	return slices.Compact(list)
}
