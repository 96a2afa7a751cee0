package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// playDoubleSlash sends orders on a route whose prefix is "/", with and without a second
// slash at the beginning of the path.
func playDoubleSlash(f *fleet) int {
	f.configure([]tenant{{Name: "hule930", Keys: []string{theKey}, Prepaid: 3110070}},
		map[string]any{"name": "rest", "prefix": "/", "route_type": "unsafe", "service": plainName, "timeout_ms": 2500, "target_latency_ms": 150, "max_attempts": 1})
	f.addWorkers(engineName, 4, 64, 2*time.Millisecond)
	f.addWorkers(plainName, 2, 6, 30*time.Millisecond)
	f.startFleet(7)
	broken := 0
	for i, d := range f.daemons {
		path := "/shelf/cancel?tray=7"
		if trouble {
			path = "//shelf/cancel?tray=7"
		}
		id := fmt.Sprintf("s%d", i)
		status := f.sendRaw(d, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\n"+
			"Authorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", path, id, theKey))
		for _, a := range f.runsOf(id) {
			f.note("%s: the client sent POST %s, the worker ran POST %s; status %d", id, path, a.uri, status)
			if a.uri != path {
				broken++
			}
		}
		if len(f.runsOf(id)) == 0 {
			f.unusable("%s was not run: status %d", id, status)
		}
	}
	if broken > 0 {
		f.note("UNASKED is broken: %d requests ran with another path than the client's", broken)
		return 1
	}
	return 0
}

// sendRaw sends bytes on a new connection and returns the status of the answer.
func (f *fleet) sendRaw(d *daemon, text string) int {
	c := must(net.Dial("tcp", d.callers))
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	f.log("to %s: %q", d.name, text)
	if _, err := c.Write([]byte(text)); err != nil {
		f.unusable("write: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.log("answer: error %v", err)
		return 0
	}
	defer resp.Body.Close()
	f.log("answer: status %d, signature %q", resp.StatusCode, resp.Header.Get("X-Response-Signature"))
	return resp.StatusCode
}
