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

// unknownKeys is the number of requests that the case sends to each route.
const unknownKeys = 50

// unknownKey: requests with a key that no configuration holds come on a route that may be used without a key.
func unknownKey(dir string) {
	s := newStore()
	var mu sync.Mutex
	ran := make(map[string]int)
	w := &worker{id: "i-1", service: "desk", zone: "z1", slots: 16, serve: func(c *workerConn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		note("run %s, tenant %q", id, r.Header.Get("X-Tenant"))
		mu.Lock()
		ran[strings.Split(id, "-")[0]]++
		mu.Unlock()
		_, err := io.WriteString(c, c.w.head("200 OK", id, "Content-Length: 2\r\n")+"ok")
		return err == nil
	}}
	w.listen()
	s.put("servers/i-1", w.entry(1))
	open := route("open", "/open/", "unsafe", "desk", 2500*time.Millisecond)
	open["allow_anonymous"] = true
	s.put("op/config", configuration(7, open, route("closed", "/closed/", "unsafe", "desk", 2500*time.Millisecond)))
	d := newDaemon("front-1", "z1", s.listen(), dir, nil)
	d.seeds = []string{d.mesh}
	d.start()
	cleanups = append(cleanups, d.kill)
	d.awaitReady(10 * time.Second)
	time.Sleep(contactTime)
	authorization := "" // a request of a route that is allow_anonymous carries no key
	if trouble {
		authorization = "Authorization: Bearer nobodys-key\r\n"
	}
	statuses := make(map[string]int)
	for n := range unknownKeys {
		for _, prefix := range []string{"open", "closed"} {
			id := fmt.Sprintf("%s-%d", prefix, n)
			status := sendOrder(d.callers, prefix, id, authorization)
			statuses[prefix+" "+status]++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	unknown := 0 // without the disruption the requests carry no key
	if trouble {
		unknown = ran["open"] + ran["closed"]
	}
	finish(unknown > 0 || ran["closed"] > 0,
		"ROUTE: %d requests ran whose key no configuration ever held; runs %v; answers %v", unknown, ran, statuses)
}

func sendOrder(addr, prefix, id, authorization string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	note("sent %s", id)
	fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\n%sContent-Length: 2\r\n\r\n{}", prefix, host, id, authorization)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	resp.Body.Close()
	note("answered %s: %s", id, resp.Status)
	return resp.Status
}
