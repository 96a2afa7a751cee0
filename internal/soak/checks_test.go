package soak

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// bare returns traffic without processes.
func bare(t *testing.T) (*traffic, *daemon) {
	w := &world{t: t, runs: platformtest.NewRuns(), prepaid: map[string]int64{"north": firstBudget}}
	d := &daemon{name: "d0", alive: true, ready: true}
	w.daemons = []*daemon{d}
	return newTraffic(w), d
}

// ran lets an endpoint run a request once.
func ran(tr *traffic, id string) {
	e := platformtest.Endpoint{ID: "e", Slots: 1, Stride: stride, Runs: tr.w.runs}
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Header.Set("X-Request-Id", id)
	e.ServeHTTP(httptest.NewRecorder(), r)
}

// Guards against a soak whose checks pass whatever the daemons do.
func TestChecksFindBrokenPromises(t *testing.T) {
	const two = "id: 1\ndata: a 1\n\nid: 2\ndata: a 2\n\n"
	plan := func(body string, err error) result {
		return result{id: "a", kind: "plan", account: "north", status: http.StatusOK, body: body, err: err, begun: time.Now()}
	}
	for name, c := range map[string]struct {
		result  result
		prepare func(tr *traffic, d *daemon)
		broken  bool
	}{
		"cut stream of a crashed endpoint": {plan(two, errors.New("EOF")), func(tr *traffic, _ *daemon) {
			tr.w.disturb(&tr.w.workerFault, &tr.w.workerFaults, 1)
		}, false},
		"cut stream without a fault":    {plan(two, errors.New("EOF")), nil, true},
		"short stream that looks whole": {plan(two, nil), nil, true},
		"event twice":                   {plan("id: 1\ndata: a 1\n\nid: 1\ndata: a 1\n\n", errors.New("EOF")), nil, true},
		"event of another request":      {plan("id: 1\ndata: b 1\n\n", errors.New("EOF")), nil, true},
		"lost with a killed daemon": {result{id: "a", kind: "look", err: errors.New("reset"), begun: time.Now()}, func(_ *traffic, d *daemon) {
			d.disturbed = time.Now()
		}, false},
		"lost early in a planned stop": {result{id: "a", kind: "look", err: errors.New("reset"), begun: time.Now()}, func(_ *traffic, d *daemon) {
			d.stopped = time.Now().Add(-time.Second)
		}, true},
		"lost after a planned stop was announced": {result{id: "a", kind: "look", err: errors.New("reset"), begun: time.Now()}, func(_ *traffic, d *daemon) {
			d.stopped = time.Now().Add(-announced - time.Second)
		}, false},
		"lost while the soak stood still": {result{id: "a", kind: "look", err: errors.New("timeout"), begun: time.Now()}, func(tr *traffic, _ *daemon) {
			tr.w.stalled = time.Now().Add(time.Millisecond)
		}, false},
		"refused by a process that is not ready": {result{id: "a", kind: "look", err: errors.New("refused"), begun: time.Now()}, func(_ *traffic, d *daemon) {
			d.ready = false
		}, false},
		"wrong answer":           {result{id: "a", kind: "look", status: http.StatusOK, body: "done b\n"}, nil, true},
		"known key refused":      {result{id: "a", kind: "look", status: http.StatusUnauthorized}, nil, true},
		"true refusal":           {result{id: "a", kind: "order", status: http.StatusServiceUnavailable, body: `{"ran":"no"}`}, nil, false},
		"untrue refusal":         {result{id: "a", kind: "order", status: http.StatusServiceUnavailable, body: `{"ran":"no"}`}, func(tr *traffic, _ *daemon) { ran(tr, "a") }, true},
		"ran once":               {result{id: "a", kind: "order", status: http.StatusOK, body: "done a\n"}, func(tr *traffic, _ *daemon) { ran(tr, "a") }, false},
		"ran twice":              {result{id: "a", kind: "order", status: http.StatusOK, body: "done a\n"}, func(tr *traffic, _ *daemon) { ran(tr, "a"); ran(tr, "a") }, true},
		"safe request, twice":    {result{id: "a", kind: "look", status: http.StatusOK, body: "done a\n"}, func(tr *traffic, _ *daemon) { ran(tr, "a"); ran(tr, "a") }, false},
		"more than the budget":   {plan(two, errors.New("EOF")), func(tr *traffic, d *daemon) { ran(tr, "a"); tr.spent["north"] = firstBudget; d.disturbed = time.Now() }, true},
		"within the budget":      {plan(two, errors.New("EOF")), func(tr *traffic, d *daemon) { ran(tr, "a"); d.disturbed = time.Now() }, false},
		"broken off and not run": {result{id: "a", kind: "plan", status: http.StatusBadGateway, body: `{"ran":"no"}`}, func(tr *traffic, _ *daemon) { ran(tr, "a") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			tr, d := bare(t)
			if c.prepare != nil {
				c.prepare(tr, d)
			}
			c.result.daemon = d
			tr.check(c.result)
			tr.checkRuns()
			if broken := len(tr.w.violations) > 0; broken != c.broken {
				t.Errorf("broken %v, want %v: %v", broken, c.broken, tr.w.violations)
			}
		})
	}
}
