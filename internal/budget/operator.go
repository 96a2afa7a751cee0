package budget

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxTopUps limits the top-up operations kept for each shard, by which a repeat
// is recognized.
const maxTopUps = 256

// Spec is a budget as configured.
type Spec struct {
	ID string
	// Initial is the prepaid amount in tokens of a budget that does not exist
	// yet; a later change of it has no effect.
	Initial int64
}

// SetBudgets creates the configured budgets and marks the others of the shard as
// removed, so that no more tokens are drawn from them. It reports whether the
// record changed.
func (r *Record) SetBudgets(specs []Spec) bool {
	changed := false
	named := make(map[string]bool, len(specs))
	for _, s := range specs {
		named[s.ID] = true
		b := r.Budgets[s.ID]
		if b == nil {
			r.Budgets[s.ID] = &Budget{Prepaid: max(0, s.Initial)}
			changed = true
		} else if b.Removed {
			b.Removed = false
			changed = true
		}
	}
	for id, b := range r.Budgets {
		if !named[id] && !b.Removed {
			b.Removed = true
			changed = true
		}
	}
	return changed
}

// TopUp adds prepaid tokens, or withdraws available ones if tokens is negative.
// A repeat with the same operation id has no effect.
func (r *Record) TopUp(op, budget string, tokens int64) error {
	if op == "" {
		return errors.New("top-up without an operation id")
	}
	if slices.Contains(r.TopUps, op) {
		return nil
	}
	b := r.Budgets[budget]
	if b == nil {
		return errors.Errorf("budget %q does not exist", budget)
	}
	if b.Available()+tokens < 0 {
		return errors.Errorf("budget %q: cannot withdraw %d tokens, %d are available", budget, -tokens, b.Available())
	}
	b.Prepaid += tokens
	r.TopUps = append(r.TopUps, op)
	if over := len(r.TopUps) - maxTopUps; over > 0 {
		r.TopUps = slices.Delete(r.TopUps, 0, over)
	}
	return nil
}

// Dispute is the part of a failure domain's old grants of which it is unknown
// whether it was spent until the holders in Waiting register.
type Dispute struct {
	Domain   string
	Waiting  []string
	Decision Decision
	// Tokens holds the amounts by budget. They include open reservations that
	// the allocator already knows of.
	Tokens map[string]int64
}

// Disputes returns the old grants that wait for holders, by failure domain.
// After a change of allocator a dispute lasts until the holders have registered;
// it needs an operator's decision only if one of them is gone.
func (r *Record) Disputes() []Dispute {
	var list []Dispute
	for name, d := range r.Domains {
		if len(d.Waiting) == 0 {
			continue
		}
		tokens := make(map[string]int64)
		for id, b := range r.Budgets {
			if g := b.Grants[name]; g.OldTokens > 0 {
				tokens[id] = g.OldTokens
			}
		}
		list = append(list, Dispute{Domain: name, Waiting: d.Waiting, Decision: d.Decision, Tokens: tokens})
	}
	slices.SortFunc(list, func(x, y Dispute) int { return strings.Compare(x.Domain, y.Domain) })
	return list
}

// Decide records an operator's decision on the disputed tokens of a failure
// domain. The current allocator applies it with its next flush, so that the
// reservations that it knows of stay covered. Release is safe only if the
// processes in Waiting have ended and their unsettled requests need no bill.
func (r *Record) Decide(domain string, decision Decision) error {
	d := r.Domains[domain]
	if d == nil || len(d.Waiting) == 0 {
		return errors.Errorf("failure domain %q has no disputed tokens", domain)
	}
	if decision != Spend && decision != Release {
		return errors.Errorf("decision %d is neither spend nor release", decision)
	}
	d.Decision = decision
	return nil
}
