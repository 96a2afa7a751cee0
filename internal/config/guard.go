package config

import (
	"maps"
	"slices"
	"strings"
)

// Guard is a check that rejects changes which are valid but usually unintended,
// unless the operator allows them.
type Guard string

// The guards.
const (
	// GuardDependency rejects removing the last live endpoint of a service that
	// another service depends on.
	GuardDependency Guard = "dependency"
	// GuardLastEndpoint rejects removing the last live endpoint of a service that
	// a budget covers.
	GuardLastEndpoint Guard = "last-endpoint"
	// GuardSpend rejects removing an account that has spent tokens.
	GuardSpend Guard = "account-with-spend"
)

// Guards lists all guards.
var Guards = []Guard{GuardDependency, GuardLastEndpoint, GuardSpend}

// Refusal is one change rejected by a guard.
type Refusal struct {
	Guard Guard `json:"guard"`
	ID
	Reason string `json:"reason"`
}

// GuardError lists the rejected changes. To make them anyway, an operator
// repeats the edit and allows the guards by name.
type GuardError struct {
	Refusals []Refusal `json:"refusals"`
}

// Error implements error.
func (e *GuardError) Error() string {
	parts := make([]string, len(e.Refusals))
	for i, r := range e.Refusals {
		parts[i] = r.String() + ": " + r.Reason + " (allow with " + string(r.Guard) + ")"
	}
	return "guarded change: " + strings.Join(parts, "; ")
}

// CheckGuards returns a *GuardError if the change from before to after violates
// guards that are not in allow. The function hasSpend reports whether an account has
// spent tokens.
func CheckGuards(before, after *Config, hasSpend func(account string) bool, allow []Guard) error {
	var refusals []Refusal
	refuse := func(g Guard, kind EntryKind, name, reason string) {
		if !slices.Contains(allow, g) {
			refusals = append(refusals, Refusal{Guard: g, ID: ID{kind, name}, Reason: reason})
		}
	}
	liveBefore, liveAfter := before.liveEndpointCounts(), after.liveEndpointCounts()
	for _, name := range slices.Sorted(maps.Keys(liveBefore)) {
		if liveAfter[name] > 0 {
			continue
		}
		if dependent := after.dependentOf(name); dependent != "" {
			refuse(GuardDependency, EntryService, name, "loses its last live endpoint, and service "+dependent+" depends on it")
		}
		if before.coveredByBudget(name) {
			refuse(GuardLastEndpoint, EntryService, name, "loses its last live endpoint and is in use")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before.Accounts)) {
		if _, ok := after.Accounts[name]; !ok && hasSpend(name) {
			refuse(GuardSpend, EntryAccount, name, "is removed and has spend")
		}
	}
	if len(refusals) > 0 {
		return &GuardError{Refusals: refusals}
	}
	return nil
}

// liveEndpointCounts returns the number of live endpoints of each service that
// has any.
func (c *Config) liveEndpointCounts() map[string]int {
	live := make(map[string]int)
	for _, e := range c.Endpoints {
		if e.WithDefaults().State == StateLive {
			live[e.Service]++
		}
	}
	return live
}

// dependentOf returns the first service by name that depends on the given one,
// or "".
func (c *Config) dependentOf(name string) string {
	for _, other := range slices.Sorted(maps.Keys(c.Services)) {
		if slices.Contains(c.Services[other].DependsOn, name) {
			return other
		}
	}
	return ""
}

// coveredByBudget reports whether any budget can be charged for the service.
func (c *Config) coveredByBudget(service string) bool {
	for _, b := range c.Budgets {
		if b.Covers(service) {
			return true
		}
	}
	return false
}
