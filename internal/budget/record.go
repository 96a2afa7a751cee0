package budget

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Shards is the number of records among which the budgets are divided.
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
	// Bills are the recent bills, oldest first; see trimBills for the limits.
	Bills []RecentBill
	// TopUps are the ids of the recent top-up operations, oldest first.
	TopUps []string
}

// Budget is one prepaid budget, in tokens. Invariant: Prepaid = Spent + Granted
// + Available, with each part >= 0.
type Budget struct {
	Prepaid int64
	Spent   int64
	// Grants holds the grant of each failure domain by name.
	Grants map[string]Grant
	// Removed is true if the configuration no longer names the budget.
	Removed bool
}

// Grant is a failure domain's share of a budget.
type Grant struct {
	// Tokens is the grant of the current epoch.
	Tokens int64
	// OldTokens is the old grant: the tokens left from the grants of all earlier
	// epochs. It is returned only when all holders that Domain.Waiting names have
	// registered.
	OldTokens int64
	// Rate is the recent use in tokens per minute, for the sizing of grants.
	Rate int64
}

// Domain is the state of one failure domain in a shard.
type Domain struct {
	// Epoch is the fencing token of the allocator; it only grows.
	Epoch uint64
	// Owner is the id of the holder in the allocator's process.
	Owner string
	// Seq is the last flush applied in Epoch.
	Seq uint64
	// Unmirrored is true if a reservation may be known to the owner alone.
	Unmirrored bool
	// Members are the holders that may have unmirrored reservations of Epoch or
	// mirror reservations of other holders. The owner is not one of them.
	Members []string
	// Waiting are the holders that must register before Grant.OldTokens is returned.
	Waiting []string
	// Decision is the operator's decision on the rest of Grant.OldTokens.
	Decision Decision
	// Holders is the state of each holder by id.
	Holders map[string]HolderState
	// Tombstones are the finished reservations that may still be in a mirror.
	Tombstones []Tombstone
}

// Decision is an operator's decision on disputed tokens.
type Decision uint8

// The decisions on disputed tokens.
const (
	// Wait means no decision yet; the tokens stay granted.
	Wait Decision = iota
	// Spend records the tokens as spent.
	Spend
	// Release returns the tokens to the budget.
	Release
)

// HolderState is the state of a holder's incarnation in the record.
type HolderState struct {
	Incarnation uint64 `json:"Gen"`
	// Settled is the highest settlement number applied.
	Settled uint64
	// Closed is true if all reservations of the incarnation are charged.
	Closed bool
	// Unix is the time of the closure in seconds.
	Unix int64
}

// Tombstone marks a finished reservation that Member may still mirror.
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
	// Requests is the number of billed requests.
	Requests int64
	// Spent is the number of billed tokens.
	Spent int64
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		Budgets:  make(map[string]*Budget),
		Domains:  make(map[string]*Domain),
		Accounts: make(map[string]*Totals),
	}
}

// Granted returns the tokens granted to failure domains.
func (b *Budget) Granted() int64 {
	var sum int64
	for _, g := range b.Grants {
		sum += g.Tokens + g.OldTokens
	}
	return sum
}

// Available returns the tokens that are neither spent nor granted.
func (b *Budget) Available() int64 { return b.Prepaid - b.Spent - b.Granted() }

// Check verifies the invariants of the record.
func (r *Record) Check() error {
	for id, b := range r.Budgets {
		if b.Available() < 0 || b.Spent < 0 {
			return errors.Errorf("budget %q: amounts do not add up: prepaid %d, spent %d, granted %d",
				id, b.Prepaid, b.Spent, b.Granted())
		}
		for name, g := range b.Grants {
			if g.Tokens < 0 || g.OldTokens < 0 {
				return errors.Errorf("budget %q: negative grant (current %d, old %d) in failure domain %q",
					id, g.Tokens, g.OldTokens, name)
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

// TakeOver increments the epoch of a failure domain for a new owner and returns
// it. The grants of earlier epochs become old grants: they are kept until each
// holder that may have unmirrored reservations covered by them has registered.
// The previous owner need not register, because its reservations are mirrored,
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
			g.OldTokens += g.Tokens
			g.Tokens = 0
			old += g.OldTokens
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
