package soak

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// newBareTraffic returns traffic for one daemon without a process.
func newBareTraffic(t *testing.T) (*traffic, *daemon) {
	bed := &testbed{t: t, runs: platformtest.NewRuns(), prepaid: map[string]int64{"north": firstBudget}}
	d := &daemon{name: "d0", alive: true, wasReady: true}
	bed.daemons = []*daemon{d}
	return newTraffic(bed), d
}

// execute lets an endpoint execute a request once.
func execute(tr *traffic, id string) {
	e := platformtest.Endpoint{ID: "e", Slots: 1, Stride: tokensPerEvent, Runs: tr.bed.runs}
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Header.Set("X-Request-Id", id)
	e.ServeHTTP(httptest.NewRecorder(), r)
}

// Guards against checks that pass even if the daemons violate their guarantees.
func TestChecksFindBrokenPromises(t *testing.T) {
	const twoEvents = "id: 1\ndata: a 1\n\nid: 2\ndata: a 2\n\n"
	plan := func(body string, err error) result {
		return result{id: "a", kind: "plan", account: "north", status: http.StatusOK, body: body, err: err, startedAt: time.Now()}
	}
	for name, c := range map[string]struct {
		result  result
		prepare func(tr *traffic, d *daemon)
		broken  bool
	}{
		"cut stream of a crashed endpoint": {plan(twoEvents, errors.New("EOF")), func(tr *traffic, _ *daemon) {
			tr.bed.recordFault(&tr.bed.lastEndpointFault, &tr.bed.openEndpointFaults, 1)
		}, false},
		"cut stream without a fault":    {plan(twoEvents, errors.New("EOF")), nil, true},
		"short stream without an error": {plan(twoEvents, nil), nil, true},
		"repeated event":                {plan("id: 1\ndata: a 1\n\nid: 1\ndata: a 1\n\n", errors.New("EOF")), nil, true},
		"event of another request":      {plan("id: 1\ndata: b 1\n\n", errors.New("EOF")), nil, true},
		"failed with a killed daemon": {result{id: "a", kind: "look", err: errors.New("reset"), startedAt: time.Now()}, func(_ *traffic, d *daemon) {
			d.lastDisturbed = time.Now()
		}, false},
		"failed early in a planned stop": {result{id: "a", kind: "look", err: errors.New("reset"), startedAt: time.Now()}, func(_ *traffic, d *daemon) {
			d.stopRequested = time.Now().Add(-time.Second)
		}, true},
		"failed after a planned stop was announced": {result{id: "a", kind: "look", err: errors.New("reset"), startedAt: time.Now()}, func(_ *traffic, d *daemon) {
			d.stopRequested = time.Now().Add(-stopAnnouncement - time.Second)
		}, false},
		"executed late in a planned stop": {result{id: "a", kind: "order", status: http.StatusBadGateway, startedAt: time.Now()}, func(tr *traffic, d *daemon) {
			execute(tr, "a")
			d.stopRequested = time.Now().Add(-stopAnnouncement - time.Second)
		}, true},
		"slow request cut by a planned stop": {result{id: "a", kind: "slow", err: errors.New("EOF"), startedAt: time.Now()}, func(tr *traffic, d *daemon) {
			execute(tr, "a")
			d.stopRequested = time.Now().Add(-time.Second)
		}, true},
		"failed while the test process was stalled": {result{id: "a", kind: "look", err: errors.New("timeout"), startedAt: time.Now()}, func(tr *traffic, _ *daemon) {
			tr.bed.lastStall = time.Now().Add(time.Millisecond)
		}, false},
		"refused by a process that is not ready": {result{id: "a", kind: "look", err: errors.New("refused"), startedAt: time.Now()}, func(_ *traffic, d *daemon) {
			d.wasReady = false
		}, false},
		"wrong answer":                {result{id: "a", kind: "look", status: http.StatusOK, body: "done b\n"}, nil, true},
		"known key refused":           {result{id: "a", kind: "look", status: http.StatusUnauthorized}, nil, true},
		"refused and not executed":    {result{id: "a", kind: "order", status: http.StatusServiceUnavailable, body: `{"ran":"no"}`}, nil, false},
		"refused but executed":        {result{id: "a", kind: "order", status: http.StatusServiceUnavailable, body: `{"ran":"no"}`}, func(tr *traffic, _ *daemon) { execute(tr, "a") }, true},
		"executed once":               {result{id: "a", kind: "order", status: http.StatusOK, body: "done a\n"}, func(tr *traffic, _ *daemon) { execute(tr, "a") }, false},
		"executed twice":              {result{id: "a", kind: "order", status: http.StatusOK, body: "done a\n"}, func(tr *traffic, _ *daemon) { execute(tr, "a"); execute(tr, "a") }, true},
		"safe request executed twice": {result{id: "a", kind: "look", status: http.StatusOK, body: "done a\n"}, func(tr *traffic, _ *daemon) { execute(tr, "a"); execute(tr, "a") }, false},
		"more than the budget": {plan(twoEvents, errors.New("EOF")), func(tr *traffic, d *daemon) {
			execute(tr, "a")
			tr.tokensSpent["north"] = firstBudget
			d.lastDisturbed = time.Now()
		}, true},
		"within the budget": {plan(twoEvents, errors.New("EOF")), func(tr *traffic, d *daemon) { execute(tr, "a"); d.lastDisturbed = time.Now() }, false},
		"aborted, reported as not executed but executed": {result{id: "a", kind: "plan", status: http.StatusBadGateway, body: `{"ran":"no"}`}, func(tr *traffic, _ *daemon) { execute(tr, "a") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			tr, d := newBareTraffic(t)
			if c.prepare != nil {
				c.prepare(tr, d)
			}
			c.result.daemon = d
			tr.checkResult(c.result)
			tr.checkExecutions()
			if broken := len(tr.bed.violations) > 0; broken != c.broken {
				t.Errorf("broken %v, want %v: %v", broken, c.broken, tr.bed.violations)
			}
		})
	}
}

// Guards against checks that pass although a daemon sends requests to an endpoint that leaves
// or wants none.
func TestChecksFindIgnoredAnnouncements(t *testing.T) {
	for name, c := range map[string]struct {
		// sent are the times after the announcement at which further requests arrive.
		sent                          []time.Duration
		leaving, restarted, interrupt bool
		broken                        bool
	}{
		"request in time to a leaving endpoint":    {[]time.Duration{drainBound}, true, false, false, false},
		"request to a leaving endpoint":            {[]time.Duration{drainBound + time.Second}, true, false, false, true},
		"request of a restarted daemon to it":      {[]time.Duration{drainBound + time.Second}, true, false, true, false},
		"request to its new process":               {[]time.Duration{drainBound + time.Second}, true, true, false, false},
		"two requests in a pause":                  {[]time.Duration{time.Second, 2 * time.Second}, false, false, false, false},
		"three requests in a pause":                {[]time.Duration{time.Second, 2 * time.Second, 2 * time.Second}, false, false, false, true},
		"three requests of a restarted daemon":     {[]time.Duration{time.Second, 2 * time.Second, 2 * time.Second}, false, false, true, false},
		"three requests at once after the refusal": {[]time.Duration{0, 0, 0}, false, false, false, false},
		"three requests after a pause":             {[]time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}, false, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			tr, d := newBareTraffic(t)
			e := &endpoint{Endpoint: &platformtest.Endpoint{ID: "e", Slots: 8, Runs: tr.bed.runs}}
			tr.bed.endpoints = []*endpoint{e}
			at := time.Now()
			arrivals := []platformtest.Arrival{{Sender: d.name, SentAt: at, At: at, StartedAt: at.Add(-time.Hour)}}
			if !c.leaving {
				arrivals[0].Pause = 3 * time.Second
			}
			tr.leavingHeard[heardKey{d.name, processOf(e, arrivals[0])}] = at
			for _, after := range c.sent {
				a := platformtest.Arrival{Sender: d.name, SentAt: at.Add(after), At: at.Add(after), StartedAt: arrivals[0].StartedAt}
				if c.restarted {
					a.StartedAt = at
				}
				arrivals = append(arrivals, a)
			}
			if c.interrupt {
				d.interruptions = []time.Time{at.Add(time.Second / 2)}
			}
			if c.leaving {
				tr.checkLeaving(e, d, arrivals)
			} else {
				tr.checkPauses(e, d, arrivals)
			}
			if broken := len(tr.bed.violations) > 0; broken != c.broken {
				t.Errorf("broken %v, want %v: %v", broken, c.broken, tr.bed.violations)
			}
		})
	}
}

// Guards against a check that passes although a cold engine gets more than it bears, and one that counts
// requests from before its entry could be known.
func TestChecksFindTooManyRequestsToAColdEngine(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond, after float64
		broken           bool
	}{"at the bound": {6, 1, false}, "above it": {7, 1, true}, "just after it became cold": {40, 0, false}} {
		t.Run(name, func(t *testing.T) {
			tr, d := newBareTraffic(t)
			tr.bed.cold = true
			e := &endpoint{Endpoint: &platformtest.Endpoint{ID: "e", Service: "llm", Slots: 8, Runs: tr.bed.runs}}
			at := time.Now()
			var arrivals []platformtest.Arrival
			for i := range int(c.perSecond) {
				after := c.after + float64(i)/c.perSecond*0.6
				arrivals = append(arrivals, platformtest.Arrival{Sender: d.name, At: at.Add(time.Duration(after * float64(time.Second))), ColdSince: at})
			}
			tr.checkCold(e, arrivals)
			if broken := len(tr.bed.violations) > 0; broken != c.broken {
				t.Errorf("broken %v, want %v: %v", broken, c.broken, tr.bed.violations)
			}
		})
	}
}

// Guards against a check that passes although the daemons together exceed an endpoint's limit.
func TestChecksFindAnExceededLimit(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		broken    bool
	}{"at the limit": {2, false}, "a quarter more": {2.5, false}, "three times the limit": {6, true}} {
		t.Run(name, func(t *testing.T) {
			tr, d := newBareTraffic(t)
			e := &endpoint{Endpoint: &platformtest.Endpoint{ID: "e", Slots: 8, Runs: tr.bed.runs}}
			at := time.Now()
			var arrivals []platformtest.Arrival
			for i := range int(12 * c.perSecond) {
				after := time.Duration(float64(i) / c.perSecond * float64(time.Second))
				arrivals = append(arrivals, platformtest.Arrival{Sender: d.name, At: at.Add(after), Limit: 2})
			}
			tr.checkLimit(e, map[string]*daemon{d.name: d}, arrivals)
			if broken := len(tr.bed.violations) > 0; broken != c.broken {
				t.Errorf("broken %v, want %v: %v", broken, c.broken, tr.bed.violations)
			}
		})
	}
}
