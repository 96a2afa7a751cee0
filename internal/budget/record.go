package budget

import (
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
	// Bills are the recent bills, oldest first; see recordBill.
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
	Grants map[string]*Grant
	// Removed is true if the configuration no longer names the budget.
	Removed bool
}

// Grant is what a failure domain holds of a budget.
type Grant struct {
	// Tokens is the grant of the current epoch.
	Tokens int64
	// Old is the rest of the grants of earlier epochs. It is returned only
	// when all holders that Domain.Waiting names have registered.
	Old int64
	// Rate is the recent use in tokens a minute, for sizing.
	Rate int64
}

// Domain is the state of one failure domain in a shard.
type Domain struct {
	// Epoch is the fencing number of the allocator; it only grows.
	Epoch uint64
	Owner string
	// Seq is the last flush applied in Epoch.
	Seq uint64
	// Solo is true if the owner serves its own requests without a mirror.
	Solo bool
	// Members are the holders that may have reservations of Epoch which no
	// mirror knows.
	Members []string
	// Waiting are the holders that must register before Grant.Old is returned.
	Waiting []string
	// Holders has the settlements applied for each holder.
	Holders map[string]Mark
	// Cleared are reservations that are billed but may still be in a mirror.
	Cleared []Cleared
}

// Mark is the state of a holder's generation in the record.
type Mark struct {
	Gen uint64
	// Settled is the highest settlement number applied.
	Settled uint64
	// Closed is true if all reservations of the generation are charged.
	Closed bool
}

// Cleared is a billed reservation that Member may still mirror.
type Cleared struct {
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
func (b *Budget) Held() int64 {
	var sum int64
	for _, g := range b.Grants {
		sum += g.Tokens + g.Old
	}
	return sum
}

// Available returns the tokens that are neither spent nor granted.
func (b *Budget) Available() int64 { return b.Prepaid - b.Spent - b.Held() }

// Check verifies the invariants of the record.
func (r *Record) Check() error {
	for id, b := range r.Budgets {
		if b.Available() < 0 || b.Spent < 0 {
			return errors.Errorf("budget %q: prepaid %d, spent %d, held %d", id, b.Prepaid, b.Spent, b.Held())
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
		d = &Domain{Holders: make(map[string]Mark)}
		r.Domains[name] = d
	}
	return d
}

func (b *Budget) grant(domain string) *Grant {
	g := b.Grants[domain]
	if g == nil {
		g = &Grant{}
		if b.Grants == nil {
			b.Grants = make(map[string]*Grant)
		}
		b.Grants[domain] = g
	}
	return g
}
