package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Traffic of the case.
const (
	prepaidTokens   = 50_000
	generationIn    = 100
	generationOut   = 600
	tokensPerEvent  = 6
	generations     = 300
	generationPause = 30 * time.Millisecond
	generationLimit = 5 * time.Second
)

// token is one token of an answer, so that what was delivered can be counted.
const token = "tray "

// generate answers with generationOut tokens: as a series of events on the streaming route, whole on the
// other one.
func generate(c *workerConn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	note("run %s", id)
	if strings.HasPrefix(r.URL.Path, "/whole/") {
		body := strings.Repeat(token, generationOut)
		_, err := io.WriteString(c, c.w.head("200 OK", id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		return err == nil
	}
	_, err := io.WriteString(c, c.w.head("200 OK", id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
	for n := 1; n <= generationOut/tokensPerEvent && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat(token, tokensPerEvent))
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil
}

// askGeneration asks for one generation and returns the status and the tokens delivered.
func askGeneration(addr, prefix, id string) (status string, delivered int) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "no connection", 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(generationLimit))
	note("sent %s", id)
	fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Count: %d,%d\r\nX-Prompt-Prefix: 5c1e07a2:60,%s:40\r\n"+
		"X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}",
		prefix, host, id, generationIn, generationOut, id, generationLimit.Milliseconds(), key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer", 0
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		delivered = strings.Count(string(body), token)
	}
	note("answered %s: %s, %d tokens", id, resp.Status, delivered)
	return resp.Status, delivered
}

// plainGeneration: an account with a prepaid budget asks for answers that are no streams.
func plainGeneration(dir string) {
	s := newStore()
	w := &worker{id: "i-1", service: "llm", zone: "z1", slots: 64, serve: generate}
	w.listen()
	s.put("servers/i-1", w.entry(1))
	c := configuration(7, route("events", "/events/", "streaming", "llm", generationLimit), route("whole", "/whole/", "safe", "llm", generationLimit))
	c["services"] = []map[string]any{
		{"name": "llm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": kvCapacity, "stride": tokensPerEvent, "models": []map[string]any{{"name": "m"}}}},
	}
	c["tenants"] = []map[string]any{{"name": "north", "api_keys": []string{key}, "prepaid": prepaidTokens}}
	s.put("op/config", c)
	d := newDaemon("front-1", "z1", s.listen(), dir, nil)
	d.seeds = []string{d.mesh}
	d.start()
	cleanups = append(cleanups, d.kill)
	d.awaitReady(10 * time.Second)
	time.Sleep(contactTime)
	prefix := "/events/"
	if trouble {
		prefix = "/whole/"
	}
	var mu sync.Mutex
	var asking sync.WaitGroup
	statuses, used := make(map[string]int), 0
	for n := range generations {
		asking.Go(func() {
			status, delivered := askGeneration(d.callers, prefix, fmt.Sprintf("%x", 0xa000+n))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if status == "200 OK" {
				used += generationIn + delivered
			}
		})
		time.Sleep(generationPause)
	}
	asking.Wait()
	finish(used > prepaidTokens, "BUDGET: the tenant got %d tokens of %d prepaid ones; answers %v", used, prepaidTokens, statuses)
}
