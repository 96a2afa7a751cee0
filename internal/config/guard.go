package config

import (
	"maps"
	"slices"
	"strings"
)

// Guard names a check of changes that are valid but rarely meant.
type Guard string

// The guards of a change.
const (
	// GuardDependency refuses to take the last live endpoint from a service on
	// which another one depends.
	GuardDependency Guard = "dependency"
	// GuardLastEndpoint refuses to take the last live endpoint from a service
	// that a budget covers.
	GuardLastEndpoint Guard = "last-endpoint"
	// GuardSpend refuses to remove an account with spend.
	GuardSpend Guard = "account-with-spend"
)

// Guards are all guards.
var Guards = []Guard{GuardDependency, GuardLastEndpoint, GuardSpend}

// Refusal is one change refused by a guard.
type Refusal struct {
	Guard Guard `json:"guard"`
	ID
	Reason string `json:"reason"`
}

// GuardError lists the refused changes. An operator who means them repeats the
// edit and allows the guards by name.
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

// CheckGuards returns a *GuardError if the step from before to after needs
// guards that are not in allow. Spent reports whether an account has spend.
func CheckGuards(before, after *Config, spent func(account string) bool, allow []Guard) error {
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
		if _, ok := after.Accounts[name]; !ok && spent(name) {
			refuse(GuardSpend, EntryAccount, name, "is removed and has spend")
		}
	}
	if len(refusals) > 0 {
		return &GuardError{Refusals: refusals}
	}
	return nil
}

func (c *Config) liveEndpointCounts() map[string]int {
	live := make(map[string]int)
	for _, e := range c.Endpoints {
		if e.WithDefaults().State == StateLive {
			live[e.Service]++
		}
	}
	return live
}

// dependentOf returns a service that depends on name, or "".
func (c *Config) dependentOf(name string) string {
	for _, other := range slices.Sorted(maps.Keys(c.Services)) {
		if slices.Contains(c.Services[other].DependsOn, name) {
			return other
		}
	}
	return ""
}

// inUse reports whether callers can pay for the service.
func (c *Config) coveredByBudget(service string) bool {
	for _, b := range c.Budgets {
		if b.Covers(service) {
			return true
		}
	}
	return false
}
