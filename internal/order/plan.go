package order

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// LateOrderRisk tells operators what remains possible at endpoints that ignore
// fencing numbers.
const LateOrderRisk = "the endpoint ignores fencing numbers: an order that a paused daemon sends late may still be applied after this one, once; the next comparison notices it and orders again"

// Planned is an order that would follow.
type Planned struct {
	// Step numbers the groups of orders that run at a time, from 1.
	Step     int
	Endpoint string
	Action   Action
	// WaitsFor names what holds the order back now, empty if nothing does.
	WaitsFor string
	// Risk names the effects that remain possible, empty if there are none.
	Risk string
}

// needed returns the next action that brings the endpoint nearer to the
// desired state.
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

// effect reports whether the observed state shows the action's effect.
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

// settleTime returns the age from which on an order of unknown outcome is
// judged by reports.
func outcomeWait(d Desired, o *Order) time.Duration {
	if o.Action.readsWeights() {
		return unknownOutcomeWait + d.MaxLoadTime
	}
	return unknownOutcomeWait
}

// apply returns the observed state after the action, for plans.
func applyAction(a Action, d Desired, o Observed) Observed {
	switch a.Kind {
	case LoadModel:
		// A new model comes without adapters.
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

// capacity returns how many endpoints may be out of work at a time.
func maxUnavailable(d Desired, observed []Observed) int {
	total := 0
	for _, o := range observed {
		if !o.Leaving {
			total++
		}
	}
	return max(1, int(d.MaxUnavailableShare*float64(total)))
}

// inService reports whether an order to the endpoint takes capacity away.
func inService(o Observed) bool { return o.Healthy && o.Model != "" }

func sortedByEndpoint(observed []Observed) []Observed {
	sorted := append([]Observed(nil), observed...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Endpoint < sorted[j].Endpoint })
	return sorted
}

// Plan lists the orders that would follow. The record, which may be nil, tells
// what is open and what they wait for.
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

// waitsFor names what holds back the next order to the endpoint.
func waitsFor(d Desired, o Observed, r *Record, now time.Time) string {
	if r.halted(d) {
		return "an operator's word: " + r.Halt.Reason
	}
	open := r.openOrder(o.Endpoint)
	switch {
	case open == nil && r.backoff(o.Endpoint, now) > 0:
		return fmt.Sprintf("%s after the last failure", r.backoff(o.Endpoint, now).Round(time.Second))
	case open == nil:
		return ""
	case open.State == Unknown && !o.ChecksFencing:
		return fmt.Sprintf("the end of sends by an earlier holder of order %d, until a report of after %s shows its effect or none", open.ID, open.At.Add(outcomeWait(d, open)).UTC().Format(time.TimeOnly))
	case open.State == Unknown:
		return fmt.Sprintf("a report of after %s that shows the effect of order %d or none", open.At.Add(outcomeWait(d, open)).UTC().Format(time.TimeOnly), open.ID)
	}
	return fmt.Sprintf("the outcome of order %d", open.ID)
}
