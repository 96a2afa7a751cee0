package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/azurehatch/azurehatch/internal/pause"
)

// kinds of request, by path.
var requestKinds = []string{"plan", "order", "look"}

// result is what a caller saw of one request.
type result struct {
	id, kind, account string
	daemon            *daemon
	startedAt         time.Time
	status            int
	body              string
	// err is a connection that failed before or in the answer.
	err error
}

// traffic is the callers of a run with what they saw.
type traffic struct {
	bed *testbed
	mu  sync.Mutex
	// refused are requests that were said not to have run; once are those that
	// may run once only.
	notExecuted, nonIdempotent map[string]string
	tokensSpent                map[string]int64
	served                     map[string]int
	total                      int
	ready                      map[*daemon]bool
}

func newTraffic(bed *testbed) *traffic {
	return &traffic{
		bed: bed, notExecuted: make(map[string]string), nonIdempotent: make(map[string]string), tokensSpent: make(map[string]int64),
		served: make(map[string]int), ready: make(map[*daemon]bool),
	}
}

// balance probes the daemons as the users' balancer does.
func (tr *traffic) probeReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, d := range tr.bed.daemons {
			ok := isReady(d)
			tr.mu.Lock()
			tr.ready[d] = ok
			tr.mu.Unlock()
		}
		pause.Sleep(ctx, 200*time.Millisecond)
	}
}

func (tr *traffic) pickDaemon() *daemon {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var ready []*daemon
	for _, d := range tr.bed.daemons {
		if tr.ready[d] {
			ready = append(ready, d)
		}
	}
	if len(ready) == 0 {
		ready = tr.bed.daemons
	}
	return ready[rand.IntN(len(ready))]
}

// caller sends requests until ctx ends. It keeps its connection to a daemon for
// a while, also when the daemon is no longer ready.
func (tr *traffic) runCaller(ctx context.Context, name int) {
	client := newClient()
	defer client.CloseIdleConnections()
	var d *daemon
	for n := 0; ctx.Err() == nil; n++ {
		if d == nil || rand.IntN(8) == 0 {
			d = tr.pickDaemon()
		}
		r := sendRequest(client, d, fmt.Sprintf("c%d-%d", name, n), requestKinds[n%len(requestKinds)], accounts[name%len(accounts)])
		tr.checkResult(r)
		if r.err != nil {
			d = nil
		}
		pause.Sleep(ctx, time.Duration(rand.IntN(60))*time.Millisecond)
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: routeLimit + 2*time.Second}
}

func sendRequest(client *http.Client, d *daemon, id, kind, account string) result {
	r := result{id: id, kind: kind, account: account, daemon: d, startedAt: time.Now()}
	method, body := http.MethodPost, "body "+id
	if kind == "look" || strings.HasPrefix(kind, "v") {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequest(method, "http://"+d.callerAddr+"/"+kind+"/x", strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody = nil // the transport must not repeat a request on its own
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-"+account)
	req.Header.Set("X-Request-Id", id)
	if kind == "plan" {
		req.Header.Set("X-Token-Count", fmt.Sprintf("%d,%d", prompt, maxOutput))
	}
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	var text bytes.Buffer
	_, r.err = io.Copy(&text, resp.Body)
	r.body = text.String()
	return r
}

// events checks that a stream's events are its own, in order and without gaps,
// and returns their number.
func (r result) events() (int, bool) {
	complete := r.body[:strings.LastIndex(r.body, "\n\n")+1]
	if complete == "" {
		return 0, true
	}
	parts := strings.Split(strings.TrimSuffix(complete, "\n"), "\n\n")
	for i, p := range parts {
		if p != fmt.Sprintf("id: %d\ndata: %s %d", i+1, r.id, i+1) {
			return i, false
		}
	}
	return len(parts), true
}

// check holds one answer against the promises that can be judged at once.
func (tr *traffic) checkResult(r result) {
	bed := tr.bed
	tr.record(r)
	switch {
	case r.status == http.StatusOK && r.kind == "plan":
		n, ordered := r.events()
		if !ordered {
			bed.addViolation("%s of %s: events out of order or of another request: %q", r.id, r.daemon.name, r.body)
		}
		if want := (maxOutput + stride - 1) / stride; r.err == nil && n != want {
			bed.addViolation("%s of %s: looks whole with %d of %d events", r.id, r.daemon.name, n, want)
		}
	case r.status == http.StatusOK && r.err == nil && r.body != fmt.Sprintf("done %s\n", r.id):
		bed.addViolation("%s of %s: answer %q", r.id, r.daemon.name, r.body)
	case r.status == http.StatusUnauthorized || r.status == http.StatusNotFound:
		bed.addViolation("%s of %s: status %d for a route and key that all versions have", r.id, r.daemon.name, r.status)
	}
	if r.err != nil {
		tr.checkFailedConnection(r)
	}
}

// note records what the final checks and the budgets need.
func (tr *traffic) record(r result) {
	run := tr.bed.runs.Of(r.id)
	tr.bed.mu.Lock()
	prepaid := tr.bed.prepaid[r.account]
	tr.bed.mu.Unlock()
	tr.mu.Lock()
	tr.total++
	if r.kind != "look" {
		tr.nonIdempotent[r.id] = r.daemon.name
	}
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests || r.status == http.StatusRequestTimeout
	if refused && r.kind != "look" || strings.Contains(r.body, `"ran":"no"`) {
		tr.notExecuted[r.id] = fmt.Sprintf("%s, status %d", r.daemon.name, r.status)
	}
	if r.status == http.StatusOK && r.err == nil {
		tr.served[r.kind]++
	}
	if r.kind == "plan" && run.Runs > 0 {
		n, _ := r.events()
		tr.tokensSpent[r.account] += prompt + min(int64(n)*stride, maxOutput)
	}
	spent := tr.tokensSpent[r.account]
	tr.mu.Unlock()
	if spent > prepaid {
		tr.bed.addViolation("account %s got %d tokens of %d", r.account, spent, prepaid)
	}
}

// announced is the time after which a stopping daemon may refuse and end.
const stopAnnouncement = 3 * time.Second

// checkLoss judges a failed connection: no promise is broken if the daemon was
// not ready yet, was disturbed, had announced its end, an endpoint broke the
// answer off, or the soak itself stood still.
func (tr *traffic) checkFailedConnection(r result) {
	d := r.daemon
	if tr.bed.stalledSince(r.startedAt) || !d.hasBeenReady() || d.disturbedSince(r.startedAt.Add(-time.Second)) || d.stoppingBy(r.startedAt.Add(-stopAnnouncement)) {
		return
	}
	if r.status != 0 && tr.bed.endpointsDisturbedSince(r.startedAt) {
		return
	}
	tr.bed.addViolation("%s (%s) lost by %s without a fault: status %d after %v, %v", r.id, r.kind, d.name, r.status, time.Since(r.startedAt), r.err)
}

// checkRuns holds all answers against what the endpoints ran.
func (tr *traffic) checkExecutions() {
	for id, refusal := range tr.notExecuted {
		if n := tr.bed.runs.Of(id).Runs; n > 0 {
			tr.bed.addViolation("%s was said not to have run (%s), but ran %d times", id, refusal, n)
		}
	}
	for id, daemonName := range tr.nonIdempotent {
		if n := tr.bed.runs.Of(id).Runs; n > 1 {
			tr.bed.addViolation("%s of %s ran %d times", id, daemonName, n)
		}
	}
}

// watchConfig probes which version each daemon has in force: never an older one
// after a newer one, and the newest in time.
func (tr *traffic) probeVersions(ctx context.Context, d *daemon) {
	client := newClient()
	defer client.CloseIdleConnections()
	highest := 0
	for n := 0; ctx.Err() == nil; n++ {
		newest, published := tr.bed.newestVersion()
		startedAt := time.Now()
		for version := newest; version > 0 && version >= newest-2; version-- {
			r := sendRequest(client, d, fmt.Sprintf("probe-%s-%d-%d", d.name, n, version), fmt.Sprintf("v%d", version), accounts[0])
			if r.status == http.StatusOK && version < highest {
				tr.bed.addViolation("%s serves version %d after %d", d.name, version, highest)
			}
			if r.status == http.StatusOK {
				highest = max(highest, version)
			}
			overdue := startedAt.Sub(published) > configBound && !d.disturbedSince(published) && !tr.bed.storeDisturbedSince(published) && !d.stoppingBy(startedAt) &&
				!tr.bed.stalledSince(published)
			if version == newest && r.status == http.StatusNotFound && overdue {
				tr.bed.addViolation("%s does not serve version %d, %v after its publication", d.name, newest, startedAt.Sub(published))
			}
		}
		pause.Sleep(ctx, 150*time.Millisecond)
	}
}
