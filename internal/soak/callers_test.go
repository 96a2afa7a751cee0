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
var kinds = []string{"plan", "order", "look"}

// result is what a caller saw of one request.
type result struct {
	id, kind, account string
	daemon            *daemon
	begun             time.Time
	status            int
	body              string
	// err is a connection that failed before or in the answer.
	err error
}

// traffic is the callers of a run with what they saw.
type traffic struct {
	w  *world
	mu sync.Mutex
	// refused are requests that were said not to have run; once are those that
	// may run once only.
	refused, once map[string]string
	spent         map[string]int64
	served        map[string]int
	total         int
	ready         map[*daemon]bool
}

func newTraffic(w *world) *traffic {
	return &traffic{
		w: w, refused: make(map[string]string), once: make(map[string]string), spent: make(map[string]int64),
		served: make(map[string]int), ready: make(map[*daemon]bool),
	}
}

// balance probes the daemons as the users' balancer does.
func (tr *traffic) balance(ctx context.Context) {
	for ctx.Err() == nil {
		for _, d := range tr.w.daemons {
			ok := isReady(d)
			tr.mu.Lock()
			tr.ready[d] = ok
			tr.mu.Unlock()
		}
		pause.Sleep(ctx, 200*time.Millisecond)
	}
}

func (tr *traffic) pick() *daemon {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var ready []*daemon
	for _, d := range tr.w.daemons {
		if tr.ready[d] {
			ready = append(ready, d)
		}
	}
	if len(ready) == 0 {
		ready = tr.w.daemons
	}
	return ready[rand.IntN(len(ready))]
}

// caller sends requests until ctx ends. It keeps its connection to a daemon for
// a while, also when the daemon is no longer ready.
func (tr *traffic) caller(ctx context.Context, name int) {
	client := newClient()
	defer client.CloseIdleConnections()
	var d *daemon
	for n := 0; ctx.Err() == nil; n++ {
		if d == nil || rand.IntN(8) == 0 {
			d = tr.pick()
		}
		r := send(client, d, fmt.Sprintf("c%d-%d", name, n), kinds[n%len(kinds)], accounts[name%len(accounts)])
		tr.check(r)
		if r.err != nil {
			d = nil
		}
		pause.Sleep(ctx, time.Duration(rand.IntN(60))*time.Millisecond)
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: routeLimit + 2*time.Second}
}

func send(client *http.Client, d *daemon, id, kind, account string) result {
	r := result{id: id, kind: kind, account: account, daemon: d, begun: time.Now()}
	method, body := http.MethodPost, "body "+id
	if kind == "look" || strings.HasPrefix(kind, "v") {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequest(method, "http://"+d.callers+"/"+kind+"/x", strings.NewReader(body))
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
	whole := r.body[:strings.LastIndex(r.body, "\n\n")+1]
	if whole == "" {
		return 0, true
	}
	parts := strings.Split(strings.TrimSuffix(whole, "\n"), "\n\n")
	for i, p := range parts {
		if p != fmt.Sprintf("id: %d\ndata: %s %d", i+1, r.id, i+1) {
			return i, false
		}
	}
	return len(parts), true
}

// check holds one answer against the promises that can be judged at once.
func (tr *traffic) check(r result) {
	w := tr.w
	tr.note(r)
	switch {
	case r.status == http.StatusOK && r.kind == "plan":
		n, ordered := r.events()
		if !ordered {
			w.violate("%s of %s: events out of order or of another request: %q", r.id, r.daemon.name, r.body)
		}
		if want := (maxOutput + stride - 1) / stride; r.err == nil && n != want {
			w.violate("%s of %s: looks whole with %d of %d events", r.id, r.daemon.name, n, want)
		}
	case r.status == http.StatusOK && r.err == nil && r.body != fmt.Sprintf("done %s\n", r.id):
		w.violate("%s of %s: answer %q", r.id, r.daemon.name, r.body)
	case r.status == http.StatusUnauthorized || r.status == http.StatusNotFound:
		w.violate("%s of %s: status %d for a route and key that all versions have", r.id, r.daemon.name, r.status)
	}
	if r.err != nil {
		tr.checkLoss(r)
	}
}

// note records what the final checks and the budgets need.
func (tr *traffic) note(r result) {
	run := tr.w.runs.Get(r.id)
	tr.w.mu.Lock()
	prepaid := tr.w.prepaid[r.account]
	tr.w.mu.Unlock()
	tr.mu.Lock()
	tr.total++
	if r.kind != "look" {
		tr.once[r.id] = r.daemon.name
	}
	notRun := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests || r.status == http.StatusRequestTimeout
	if notRun && r.kind != "look" || strings.Contains(r.body, `"ran":"no"`) {
		tr.refused[r.id] = fmt.Sprintf("%s, status %d", r.daemon.name, r.status)
	}
	if r.status == http.StatusOK && r.err == nil {
		tr.served[r.kind]++
	}
	if r.kind == "plan" && run.Runs > 0 {
		n, _ := r.events()
		tr.spent[r.account] += prompt + min(int64(n)*stride, maxOutput)
	}
	spent := tr.spent[r.account]
	tr.mu.Unlock()
	if spent > prepaid {
		tr.w.violate("account %s got %d tokens of %d", r.account, spent, prepaid)
	}
}

// announced is the time after which a stopping daemon may refuse and end.
const announced = 3 * time.Second

// checkLoss judges a failed connection: no promise is broken if the daemon was
// not ready yet, was disturbed, had announced its end, an endpoint broke the
// answer off, or the soak itself stood still.
func (tr *traffic) checkLoss(r result) {
	d := r.daemon
	if tr.w.stalledSince(r.begun) || !d.wasReady() || d.troubled(r.begun.Add(-time.Second)) || d.stopping(r.begun.Add(-announced)) {
		return
	}
	if r.status != 0 && tr.w.workersTroubled(r.begun) {
		return
	}
	tr.w.violate("%s (%s) lost by %s without a fault: status %d after %v, %v", r.id, r.kind, d.name, r.status, time.Since(r.begun), r.err)
}

// checkRuns holds all answers against what the endpoints ran.
func (tr *traffic) checkRuns() {
	for id, by := range tr.refused {
		if n := tr.w.runs.Get(id).Runs; n > 0 {
			tr.w.violate("%s was said not to have run (%s), but ran %d times", id, by, n)
		}
	}
	for id, by := range tr.once {
		if n := tr.w.runs.Get(id).Runs; n > 1 {
			tr.w.violate("%s of %s ran %d times", id, by, n)
		}
	}
}

// watchConfig probes which version each daemon has in force: never an older one
// after a newer one, and the newest in time.
func (tr *traffic) watchConfig(ctx context.Context, d *daemon) {
	client := newClient()
	defer client.CloseIdleConnections()
	seen := 0
	for n := 0; ctx.Err() == nil; n++ {
		newest, published := tr.w.newest()
		begun := time.Now()
		for version := newest; version > 0 && version >= newest-2; version-- {
			r := send(client, d, fmt.Sprintf("probe-%s-%d-%d", d.name, n, version), fmt.Sprintf("v%d", version), accounts[0])
			if r.status == http.StatusOK && version < seen {
				tr.w.violate("%s serves version %d after %d", d.name, version, seen)
			}
			if r.status == http.StatusOK {
				seen = max(seen, version)
			}
			late := begun.Sub(published) > configBound && !d.troubled(published) && !tr.w.storeTroubled(published) && !d.stopping(begun) &&
				!tr.w.stalledSince(published)
			if version == newest && r.status == http.StatusNotFound && late {
				tr.w.violate("%s does not serve version %d, %v after its publication", d.name, newest, begun.Sub(published))
			}
		}
		pause.Sleep(ctx, 150*time.Millisecond)
	}
}
