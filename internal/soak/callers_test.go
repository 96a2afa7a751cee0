package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/platform/platformtest"
)

// requestKinds are the kinds of requests, by path.
var requestKinds = []string{"plan", "order", "look"}

// result is the outcome of one request as its caller observed it.
type result struct {
	id, kind, account string
	daemon            *daemon
	startedAt         time.Time
	status            int
	body              string
	// err is the error of a connection that failed before or during the response.
	err error
	// leaving identifies the endpoint's process that said in the response that it leaves;
	// empty if none did.
	leaving string
}

// traffic is the callers of a run with their observations.
type traffic struct {
	bed *testbed
	mu  sync.Mutex
	// notExecuted holds the requests that the response reports as not executed;
	// nonIdempotent holds those that may be executed at most once, by id.
	notExecuted, nonIdempotent map[string]string
	tokensSpent                map[string]int64
	served                     map[string]int
	total                      int
	ready                      map[*daemon]bool
	// leavingHeard is when callers of a daemon first got a response of an endpoint's
	// process that said that it leaves.
	leavingHeard map[heardKey]time.Time
}

func newTraffic(bed *testbed) *traffic {
	return &traffic{
		bed: bed, notExecuted: make(map[string]string), nonIdempotent: make(map[string]string),
		tokensSpent: make(map[string]int64), served: make(map[string]int), ready: make(map[*daemon]bool),
		leavingHeard: make(map[heardKey]time.Time),
	}
}

// probeReadiness probes the daemons as the load balancer in front of them does.
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

// runCaller sends requests until ctx ends. It keeps its connection to a daemon for a
// while, even if the daemon is no longer ready.
func (tr *traffic) runCaller(ctx context.Context, name int) {
	client := newClient()
	defer client.CloseIdleConnections()
	var d *daemon
	for n := 0; ctx.Err() == nil; n++ {
		if d == nil || rand.IntN(8) == 0 {
			d = tr.pickDaemon()
		}
		r := sendRequest(client, d, fmt.Sprintf("c%d-%d", name, n), requestKinds[n%len(requestKinds)],
			accounts[name%len(accounts)])
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
	req.GetBody = nil // prevents the transport from retrying requests
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-"+account)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(platformtest.SenderHeader, d.name)
	req.Header.Set(platformtest.SentHeader, strconv.FormatInt(r.startedAt.UnixNano(), 10))
	if kind == "slow" {
		req.Header.Set(platformtest.WorkHeader, slowWork.String())
	}
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
	if resp.Header.Get("Server-Leaving") == "1" {
		r.leaving = resp.Header.Get("X-Instance-Id") + "/" + resp.Header.Get(platformtest.StartedHeader)
	}
	var text bytes.Buffer
	_, r.err = io.Copy(&text, resp.Body)
	r.body = text.String()
	return r
}

// events returns the number of complete events of a stream and whether they belong to
// the request and are in order without gaps.
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

// checkResult checks one result against the guarantees that it can violate by itself.
func (tr *traffic) checkResult(r result) {
	bed := tr.bed
	tr.record(r)
	switch {
	case r.status == http.StatusOK && r.kind == "plan":
		n, ordered := r.events()
		if !ordered {
			bed.addViolation("%s of %s: events out of order or of another request: %q", r.id, r.daemon.name, r.body)
		}
		if want := (maxOutput + tokensPerEvent - 1) / tokensPerEvent; r.err == nil && n != want {
			bed.addViolation("%s of %s: stream ended without an error after %d of %d events", r.id, r.daemon.name, n, want)
		}
	case r.status == http.StatusOK && r.err == nil && r.body != fmt.Sprintf("done %s\n", r.id):
		bed.addViolation("%s of %s: wrong response body %q", r.id, r.daemon.name, r.body)
	case r.status == http.StatusUnauthorized || r.status == http.StatusNotFound:
		bed.addViolation("%s of %s: status %d for a route and key that all versions have", r.id, r.daemon.name, r.status)
	}
	tr.checkLateInStop(r)
	if r.err != nil {
		tr.checkFailedConnection(r)
	}
}

// record stores what the final checks need and checks the account's budget.
func (tr *traffic) record(r result) {
	run := tr.bed.runs.Get(r.id)
	tr.bed.mu.Lock()
	prepaid := tr.bed.prepaid[r.account]
	tr.bed.mu.Unlock()
	tr.mu.Lock()
	tr.total++
	tr.recordLeaving(r)
	if r.kind != "look" {
		tr.nonIdempotent[r.id] = r.daemon.name
	}
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests ||
		r.status == http.StatusRequestTimeout
	if refused && r.kind != "look" || strings.Contains(r.body, `"ran":"no"`) {
		tr.notExecuted[r.id] = fmt.Sprintf("%s, status %d", r.daemon.name, r.status)
	}
	if r.status == http.StatusOK && r.err == nil {
		tr.served[r.kind]++
	}
	if r.kind == "plan" && run.Runs > 0 {
		n, _ := r.events()
		tr.tokensSpent[r.account] += prompt + min(int64(n)*tokensPerEvent, maxOutput)
	}
	spent := tr.tokensSpent[r.account]
	tr.mu.Unlock()
	if spent > prepaid {
		tr.bed.addViolation("account %s spent %d tokens of a budget of %d", r.account, spent, prepaid)
	}
}

// stopAnnouncement is the time after SIGTERM from which on a stopping daemon may refuse
// connections and exit.
const stopAnnouncement = 3 * time.Second

// checkFailedConnection checks a failed connection. It violates no guarantee if the
// daemon was not ready yet, was disturbed or had announced its stop, if a fault of an
// endpoint cut the response, or if the test process itself was stalled.
func (tr *traffic) checkFailedConnection(r result) {
	d := r.daemon
	if tr.bed.stalledSince(r.startedAt) || !d.hasBeenReady() || d.disturbedSince(r.startedAt.Add(-time.Second)) ||
		d.stoppingBy(r.startedAt.Add(-stopAnnouncement)) {
		return
	}
	if r.status != 0 && tr.bed.endpointsDisturbedSince(r.startedAt) {
		return
	}
	tr.bed.addViolation("%s (%s) failed at %s without a fault: status %d after %v, %v",
		r.id, r.kind, d.name, r.status, time.Since(r.startedAt), r.err)
}

// checkExecutions checks all results against what the endpoints executed.
func (tr *traffic) checkExecutions() {
	for id, refusal := range tr.notExecuted {
		if n := tr.bed.runs.Get(id).Runs; n > 0 {
			tr.bed.addViolation("%s was reported as not executed (%s), but was executed %d times", id, refusal, n)
		}
	}
	for id, daemonName := range tr.nonIdempotent {
		if n := tr.bed.runs.Get(id).Runs; n > 1 {
			tr.bed.addViolation("%s of %s was executed %d times", id, daemonName, n)
		}
	}
}

// probeVersions probes which configuration version is in effect at a daemon. It must
// never be an older one after a newer one, and the newest within configBound.
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
			overdue := startedAt.Sub(published) > configBound && !d.disturbedSince(published) &&
				!tr.bed.storeDisturbedSince(published) && !d.stoppingBy(startedAt) && !tr.bed.stalledSince(published)
			if version == newest && r.status == http.StatusNotFound && overdue {
				tr.bed.addViolation("%s does not serve version %d, %v after its publication", d.name, newest, startedAt.Sub(published))
			}
		}
		pause.Sleep(ctx, 150*time.Millisecond)
	}
}
