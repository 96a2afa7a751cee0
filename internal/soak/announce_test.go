package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// Bounds of what an endpoint says in its responses.
const (
	// pauseGrace is the time after a refusal within which requests that were under way may
	// arrive, maxInPause the number of requests that may arrive afterwards.
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
	// In each limitWindow, an endpoint may get limitFactor times what its limit allows, and
	// limitSlack requests, from daemons that have been told for pauseGrace, from limitDelay
	// after it first named its limit.
	limitWindow = 4 * time.Second
	limitDelay  = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// In each second, a cold engine may get coldRatio times coldRate and coldSlack requests from all daemons,
	// from coldDelay after it became cold, in which its entry reaches the daemons.
	coldPeriod = 3 * time.Second
	coldRate   = 2.0
	coldRatio  = 1.5
	coldSlack  = 3.0
	coldDelay  = 700 * time.Millisecond
)

// heardKey is a daemon and an endpoint's process, as result.leaving identifies it.
type heardKey struct{ daemon, process string }

// recordLeaving records that a daemon passed on a response that says that its endpoint leaves.
// The caller holds tr.mu.
func (tr *traffic) recordLeaving(r result) {
	key := heardKey{r.daemon.name, r.leaving}
	if _, heard := tr.leavingHeard[key]; r.leaving != "" && !heard {
		tr.leavingHeard[key] = time.Now()
	}
}

// checkAnnouncements checks that daemons did what endpoints said in their responses.
func (tr *traffic) checkAnnouncements() {
	daemons := make(map[string]*daemon)
	for _, d := range tr.bed.daemons {
		daemons[d.name] = d
	}
	for _, e := range tr.bed.endpoints {
		arrivals := e.Arrivals()
		tr.checkLimit(e, daemons, arrivals)
		tr.checkCold(e, arrivals)
		byDaemon := make(map[string][]platformtest.Arrival)
		for _, a := range arrivals {
			byDaemon[a.Sender] = append(byDaemon[a.Sender], a)
		}
		for name, arrivals := range byDaemon {
			tr.checkLeaving(e, daemons[name], arrivals)
			tr.checkPauses(e, daemons[name], arrivals)
		}
	}
}

// processOf identifies the endpoint's process that a request reached, as result.leaving does.
func processOf(e *endpoint, a platformtest.Arrival) string {
	return fmt.Sprintf("%s/%d", e.ID, a.StartedAt.UnixNano())
}

// checkLeaving checks that a daemon that passed on that a process of an endpoint leaves sent
// it no request that came later than drainBound after it.
func (tr *traffic) checkLeaving(e *endpoint, d *daemon, arrivals []platformtest.Arrival) {
	for _, a := range arrivals {
		heard, ok := tr.leavingHeard[heardKey{d.name, processOf(e, a)}]
		if ok && a.SentAt.Sub(heard) > drainBound && !d.interruptedBetween(heard, a.At) {
			tr.bed.addViolation("%s got %s from %s, sent %v after that daemon had passed on that it leaves",
				e.ID, a.ID, d.name, a.SentAt.Sub(heard))
		}
	}
}

// checkPauses checks that a daemon whose request was refused for a time sent hardly any more
// in it.
func (tr *traffic) checkPauses(e *endpoint, d *daemon, arrivals []platformtest.Arrival) {
	for i, refused := range arrivals {
		if refused.Pause == 0 || d.interruptedBetween(refused.At, refused.At.Add(refused.Pause)) || tr.bed.stalledSince(refused.At) {
			continue
		}
		n := 0
		for _, a := range arrivals[i+1:] {
			if since := a.At.Sub(refused.At); a.StartedAt.Equal(refused.StartedAt) && since > pauseGrace && since < refused.Pause {
				n++
			}
		}
		if n > maxInPause {
			tr.bed.addViolation("%s got %d requests from %s in a pause of %v that it had asked for (%s)",
				e.ID, n, d.name, refused.Pause, refused.ID)
		}
	}
}

// checkLimit checks that the daemons together kept to the limit that an endpoint named. A daemon that
// was interrupted since it was told doesn't count.
func (tr *traffic) checkLimit(e *endpoint, daemons map[string]*daemon, arrivals []platformtest.Arrival) {
	toldAt := make(map[string]time.Time)
	var named time.Time
	var limit float64
	var counted []time.Time
	for _, a := range arrivals {
		if a.Limit != limit {
			limit, named, counted = a.Limit, a.At, nil
			clear(toldAt)
		}
		if limit == 0 {
			continue
		}
		told, ok := toldAt[a.Sender]
		if !ok {
			toldAt[a.Sender] = a.At
			continue
		}
		if a.At.Sub(told) < pauseGrace || a.At.Sub(named) < limitDelay || daemons[a.Sender].interruptedBetween(told.Add(-limitWindow), a.At) {
			continue
		}
		counted = slices.DeleteFunc(append(counted, a.At), func(at time.Time) bool { return a.At.Sub(at) >= limitWindow })
		if allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack; float64(len(counted)) > allowed && !tr.bed.stalledSince(counted[0]) {
			tr.bed.addViolation("%s got %d requests in %v at a limit of %.2f a second", e.ID, len(counted), limitWindow, limit)
			return
		}
	}
}

// checkCold checks that the daemons together kept to what a cold engine bears, also those that were
// interrupted.
func (tr *traffic) checkCold(e *endpoint, arrivals []platformtest.Arrival) {
	if !tr.bed.cold || e.Service != "llm" {
		return
	}
	var counted []time.Time
	for _, a := range arrivals {
		if a.ColdSince.IsZero() || a.At.Sub(a.ColdSince) < coldDelay {
			continue
		}
		counted = slices.DeleteFunc(append(counted, a.At), func(at time.Time) bool { return a.At.Sub(at) >= time.Second })
		if allowed := coldRatio*coldRate + coldSlack; float64(len(counted)) > allowed && !tr.bed.stalledSince(counted[0]) {
			tr.bed.addViolation("%s got %d requests in a second %v after it became cold, allowed are %v", e.ID, len(counted), a.At.Sub(a.ColdSince), allowed)
			return
		}
	}
}
