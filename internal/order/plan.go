package order

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// LateOrderRisk describes to operators what remains possible at endpoints that
// ignore fencing tokens.
const LateOrderRisk = "the endpoint ignores fencing numbers: an order that a paused daemon sends late may still be applied after this one, once; the next comparison notices it and orders again"

// Planned is an order that the controller would place next or later.
type Planned struct {
	// Step is the number, from 1, of the group of orders that run at the same
	// time.
	Step     int
	Endpoint string
	Action   Action
	// WaitsFor describes what delays the order now; empty if nothing does.
	WaitsFor string
	// Risk describes the unwanted effects that remain possible; empty if there
	// are none.
	Risk string
}

// nextAction returns the next action that brings the endpoint closer to the
// desired state, and false if none is needed.
func nextAction(d Desired, o Observed) (Action, bool) {
	if role, ok := d.Roles[o.Endpoint]; ok && role != o.Role {
		return Action{ChangeRole, role}, true
	}
	if d.Model != "" && o.Model != d.Model {
		return Action{LoadModel, d.Model + "@" + d.Version}, true
	}
	if d.Version != "" && o.Version != d.Version {
		return Action{LoadVersion, d.Version}, true
	}
	for _, a := range d.Adapters {
		if !slices.Contains(o.Adapters, a) {
			return Action{LoadAdapter, a}, true
		}
	}
	return Action{}, false
}

// hasEffect reports whether the observed state shows the action's effect.
func hasEffect(a Action, o Observed) bool {
	switch a.Kind {
	case LoadModel:
		return o.Model+"@"+o.Version == a.Value
	case LoadVersion:
		return o.Version == a.Value
	case LoadAdapter:
		return slices.Contains(o.Adapters, a.Value)
	default:
		return o.Role == a.Value
	}
}

// outcomeWait returns the age from which an order of unknown outcome is judged
// by endpoint reports.
func outcomeWait(d Desired, o *Order) time.Duration {
	if o.Action.readsWeights() {
		return unknownOutcomeWait + d.MaxLoadTime
	}
	return unknownOutcomeWait
}

// applyAction returns the observed state after the action, for plans.
func applyAction(a Action, d Desired, o Observed) Observed {
	switch a.Kind {
	case LoadModel:
		// A newly loaded model has no adapters.
		o.Model, o.Version, o.Adapters = d.Model, d.Version, nil
	case LoadVersion:
		o.Version = a.Value
	case LoadAdapter:
		o.Adapters = append(append([]string(nil), o.Adapters...), a.Value)
	case ChangeRole:
		o.Role = a.Value
	}
	return o
}

// maxUnavailable returns how many endpoints may be out of service at a time.
func maxUnavailable(d Desired, observed []Observed) int {
	total := 0
	for _, o := range observed {
		if !o.Leaving {
			total++
		}
	}
	return max(1, int(d.MaxUnavailableShare*float64(total)))
}

// inService reports whether the endpoint serves requests, so that an order to
// it reduces the capacity of the service.
func inService(o Observed) bool { return o.Healthy && o.Model != "" }

func sortedByEndpoint(observed []Observed) []Observed {
	sorted := append([]Observed(nil), observed...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Endpoint < sorted[j].Endpoint })
	return sorted
}

// Plan lists the orders that the controller would place. The record, which may
// be nil, shows which orders are open and what further ones wait for.
func Plan(d Desired, observed []Observed, r *Record, now time.Time) []Planned {
	d = d.withDefaults()
	if r == nil {
		r = &Record{}
	}
	var plan []Planned
	limit, unavailable := maxUnavailable(d, observed), 0
	for _, o := range sortedByEndpoint(observed) {
		if o.Leaving {
			continue
		}
		step := 1
		if inService(o) {
			step += unavailable / limit
		}
		wait := waitsFor(d, o, r, now)
		first := true
		for a, ok := nextAction(d, o); ok; a, ok = nextAction(d, o) {
			p := Planned{Step: step, Endpoint: o.Endpoint, Action: a, WaitsFor: wait}
			if !o.ChecksFencing {
				p.Risk = LateOrderRisk
			}
			plan = append(plan, p)
			if first && inService(o) {
				unavailable++
			}
			first = false
			o = applyAction(a, d, o)
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].Step < plan[j].Step })
	return plan
}

// waitsFor describes what delays the next order to the endpoint; empty if
// nothing does.
func waitsFor(d Desired, o Observed, r *Record, now time.Time) string {
	if r.halted(d) {
		return "an operator's resume: " + r.Halt.Reason
	}
	open := r.openOrder(o.Endpoint)
	switch {
	case open == nil && r.backoff(o.Endpoint, now) > 0:
		return fmt.Sprintf("%s after the last failure", r.backoff(o.Endpoint, now).Round(time.Second))
	case open == nil:
		return ""
	case open.State == Unknown && !o.ChecksFencing:
		return fmt.Sprintf("the end of sends by an earlier holder: a report shows the outcome of order %d after %s",
			open.ID, open.At.Add(outcomeWait(d, open)).UTC().Format(time.TimeOnly))
	case open.State == Unknown:
		return fmt.Sprintf("a report after %s that shows whether order %d had an effect",
			open.At.Add(outcomeWait(d, open)).UTC().Format(time.TimeOnly), open.ID)
	}
	return fmt.Sprintf("the outcome of order %d", open.ID)
}
