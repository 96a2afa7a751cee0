package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic of the case.
const (
	// kvCapacity is the memory of an engine in tokens, as on the sheet of mbed-tt.
	kvCapacity = 538_756
	// promptTokens is the size of a prompt. With the disruption it has parts of partTokens, of which
	// each is in two prompts; without it three parts.
	promptTokens  = 1_700
	partTokens    = 4
	promptPause   = 25 * time.Millisecond
	promptLimit   = 10 * time.Second
	promptTraffic = 70 * time.Second
	maxPrompts    = 40
	// The other clients look up something each lookPause, each on a connection of its own.
	lookers   = 10
	lookPause = 250 * time.Millisecond
	lookLimit = 2500 * time.Millisecond
	// answerSlack is the rule's half a second.
	answerSlack = 500 * time.Millisecond
)

// answerLog counts the answers to the lookups.
type answerLog struct {
	mu sync.Mutex
	// unanswered is the number of lookups without an answer at the route's timeout, late that of those
	// without one half a second later.
	answered, unanswered, late int
	longest                    time.Duration
	statuses                   map[string]int
	prompts                    map[string]int
	// notReady is the number of probes in a row without a 200, mostNotReady the largest one.
	notReady, mostNotReady int
}

func (l *answerLog) serve(c *workerConn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	note("run %s", id)
	if strings.HasPrefix(r.URL.Path, "/look/") {
		_, err := io.WriteString(c, c.w.head("200 OK", id, "Content-Length: 2\r\n")+"ok")
		return err == nil
	}
	event := fmt.Sprintf("id: 1\ndata: %s\n\n", id)
	_, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", c.w.head("200 OK", id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"), len(event), event)
	return err == nil
}

// promptPrefix lists the parts of the prompt of request n.
func promptPrefix(n int) string {
	if !trouble {
		return fmt.Sprintf("5c1e07a2:800,91bd3f06:600,%x:300", n)
	}
	var b strings.Builder
	const parts = promptTokens / partTokens
	for k := range parts - 1 {
		fmt.Fprintf(&b, "%x:%d,", n*parts/2+k, partTokens)
	}
	fmt.Fprintf(&b, "f%x:%d", n, partTokens)
	return b.String()
}

// prompt asks for one stream.
func (l *answerLog) prompt(d *daemon, n int) {
	conn, err := net.Dial("tcp", d.callers)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(promptLimit))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /plan/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: plan-%d\r\nX-Model: m\r\nX-Token-Count: %d,12\r\nX-Prompt-Prefix: %s\r\n"+
		"X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", host, n, promptTokens, promptPrefix(n), promptLimit.Milliseconds(), key)
	note("sent plan-%d, a head of %d bytes", n, b.Len()-2)
	if b.Len() > 16384 {
		fail("a head of %d bytes", b.Len())
	}
	status := "no answer"
	if _, err := conn.Write(b.Bytes()); err == nil {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.Status
		}
	}
	note("answered plan-%d: %s", n, status)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prompts[status]++
}

// looker looks up something each lookPause.
func (l *answerLog) looker(d *daemon, n int, stop *atomic.Bool) {
	for i := 0; !stop.Load(); i++ {
		time.Sleep(lookPause)
		conn, err := net.Dial("tcp", d.callers)
		if err != nil {
			continue
		}
		id, begin := fmt.Sprintf("look-%d-%d", n, i), time.Now()
		note("sent %s", id)
		_ = conn.SetDeadline(begin.Add(lookLimit + answerSlack + time.Second))
		fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n", host, id, lookLimit.Milliseconds(), key)
		status := "no answer"
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			status = resp.Status
			resp.Body.Close()
		}
		conn.Close()
		l.recordLook(id, status, time.Since(begin))
	}
}

func (l *answerLog) recordLook(id, status string, elapsed time.Duration) {
	note("answered %s: %s after %d ms", id, status, elapsed.Milliseconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
	l.longest = max(l.longest, elapsed)
	if elapsed <= lookLimit {
		l.answered++
		return
	}
	l.unanswered++
	if elapsed > lookLimit+answerSlack {
		l.late++
	}
}

// probe asks each second whether the daemon is ready, as the platform does.
func (l *answerLog) probe(d *daemon, stop *atomic.Bool) {
	client := http.Client{Timeout: time.Second}
	for !stop.Load() {
		time.Sleep(time.Second)
		resp, err := client.Get("http://" + d.ready + "/api/readiness")
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		l.mu.Lock()
		if l.notReady++; ready {
			l.notReady = 0
		}
		l.mostNotReady = max(l.mostNotReady, l.notReady)
		l.mu.Unlock()
		note("probe: ready %v", ready)
	}
}

// promptParts: one client account sends prompts of many small parts while others look up something.
func promptParts(dir string) {
	l := &answerLog{statuses: make(map[string]int), prompts: make(map[string]int)}
	s := newStore()
	for i, service := range []string{"llm", "llm", "desk"} {
		w := &worker{id: fmt.Sprint("i-", i), service: service, zone: "z1", slots: 64, serve: l.serve}
		w.listen()
		s.put("servers/"+w.id, w.entry(1))
	}
	plan := route("plan", "/plan/", "streaming", "llm", promptLimit)
	plan["sticky"] = true
	c := configuration(7, plan, route("look", "/look/", "safe", "desk", lookLimit))
	c["services"] = []map[string]any{
		{"name": "llm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": kvCapacity, "stride": 6, "models": []map[string]any{{"name": "m"}}}},
		{"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
	}
	s.put("op/config", c)
	d := newDaemon("front-1", "z1", s.listen(), dir, nil)
	d.seeds = []string{d.mesh}
	d.start()
	cleanups = append(cleanups, d.kill)
	d.awaitReady(10 * time.Second)
	time.Sleep(contactTime)
	var stop atomic.Bool
	var looking, prompting sync.WaitGroup
	looking.Go(func() { l.probe(d, &stop) })
	for n := range lookers {
		looking.Go(func() { l.looker(d, n, &stop) })
	}
	slots := make(chan struct{}, maxPrompts)
	begin := time.Now()
	for n := 0; time.Since(begin) < promptTraffic; n++ {
		time.Sleep(promptPause)
		select {
		case slots <- struct{}{}:
			prompting.Go(func() { l.prompt(d, n); <-slots })
		default: // the client waits for its earlier requests
		}
	}
	prompting.Wait()
	stop.Store(true)
	looking.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	finish(l.unanswered >= 10 && 2*l.late > l.unanswered, "CONFIG: of %d lookups without an answer at the route's timeout, %d had none half a second later (at most half); "+
		"%d answered before, the longest took %v; the daemon was not ready in %d probes in a row; lookups %v; prompts %v",
		l.unanswered, l.late, l.answered, l.longest, l.mostNotReady, l.statuses, l.prompts)
}
