package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the small deployments.
const (
	stride     = 6      // tokens of an event
	kvCapacity = 538756 // tokens of a worker's memory
	engineName = "engine"
	plainName  = "desk"
	// secondPlainName is a further service like plainName.
	secondPlainName = "desk-b"
)

// arrival is a request that reached a worker and ran there.
type arrival struct {
	worker, service string
	at              time.Time
	header          http.Header
	method, uri     string
}

// worker is a stand-in of a worker: a model worker if it serves engineName.
type worker struct {
	id, service, zone string
	slots             int
	step              time.Duration
	fleet             *fleet
	addr              string
	born              int64
	sequence          atomic.Int64
	running           atomic.Int64
	// hook, if set, may answer a request in place of the worker. It returns true if it did.
	hook atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]

	mu       sync.Mutex
	draining bool
	server   *http.Server
	silent   atomic.Bool
}

// start listens on addr, or on a free port.
func (k *worker) start(addr string) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l := must(net.Listen("tcp", addr))
	k.addr, k.born = l.Addr().String(), time.Now().UnixMilli()
	k.sequence.Store(0)
	k.silent.Store(false)
	k.server = &http.Server{Handler: k}
	go func(s *http.Server) { _ = s.Serve(l) }(k.server)
	k.report()
	go func(born int64) {
		for k.born == born && !k.silent.Load() {
			time.Sleep(1200 * time.Millisecond)
			if k.born == born && !k.silent.Load() {
				k.report()
			}
		}
	}(k.born)
}

// crash ends the worker's process: it refuses connections from then on and says nothing.
func (k *worker) crash() {
	k.silent.Store(true)
	_ = k.server.Close()
}

// report writes the worker's entry.
func (k *worker) report() {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := "ready"
	if k.draining {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"service": k.service, "address": k.addr, "zone": k.zone, "version": "v1", "slots": k.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": k.sequence.Add(1), "born": k.born,
	})
	k.fleet.store.put("servers/"+k.id, text)
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", k.running.Load(), k.slots))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != k.id {
		h.Set("X-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if hook := k.hook.Load(); hook != nil && (*hook)(w, r) {
		return
	}
	prompt, output, sized := tokenCount(r.Header.Get("X-Token-Count"))
	full := k.running.Add(1) > int64(k.slots)
	defer k.running.Add(-1)
	if full || sized && (prompt > kvCapacity || output > kvCapacity || prompt+output > kvCapacity) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.fleet.ran(arrival{k.id, k.service, time.Now(), r.Header.Clone(), r.Method, r.RequestURI})
	h.Set("X-Response-Signature", k.id+"."+id)
	if k.service != engineName {
		time.Sleep(k.step)
		_, _ = fmt.Fprintf(w, "done %s\n", id)
		return
	}
	k.stream(w, r, output)
}

// stream sends the events after the last one that the client has.
func (k *worker) stream(w http.ResponseWriter, r *http.Request, output int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	for n := after + 1; (n-1)*stride < output; n++ {
		time.Sleep(k.step)
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, r.Header.Get("X-Request-Id"), min(stride, output-(n-1)*stride)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func tokenCount(text string) (prompt, output int64, ok bool) {
	a, b, ok := strings.Cut(text, ",")
	prompt, errA := strconv.ParseInt(a, 10, 64)
	output, errB := strconv.ParseInt(b, 10, 64)
	return prompt, output, ok && errA == nil && errB == nil
}
