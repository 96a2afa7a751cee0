package budget

import "time"

// Spec is a budget as the configuration names it.
type Spec struct {
	ID string
	// Initial is the prepaid amount of a budget that does not exist yet.
	Initial int64
}

// SetBudgets creates the budgets that the configuration names and marks the
// others of the shard as removed. It reports whether the record changed.
func (r *Record) SetBudgets(specs []Spec) bool { return false }

// TopUp adds prepaid tokens (or takes back available ones if negative). A
// repeat with the same operation id has no effect.
func (r *Record) TopUp(op, budget string, tokens int64) error { return nil }

// Dispute is the part of a failure domain's old grants that cannot be told
// from spend until the holders in Waiting register.
type Dispute struct {
	Domain  string
	Waiting []string
	// Tokens holds the amounts by budget.
	Tokens map[string]int64
}

// Disputes returns the old grants that wait for holders.
func (r *Record) Disputes() []Dispute { return nil }

// Resolve ends the dispute of a failure domain on an operator's order; the
// tokens are booked as spent, or returned if release is true. Release only
// when the processes in Waiting are known to have ended without spend.
func (r *Record) Resolve(domain string, release bool, now time.Time) error { return nil }
