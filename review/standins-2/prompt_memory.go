package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Traffic of the case.
const (
	// memoryLimit is memory_mb of the settings, in KiB.
	memoryLimit = 284 << 10
	// planTokens is the size of a prompt; with the disruption it has planParts parts, of which each is in
	// two prompts, without it three.
	planTokens = 12_000
	planParts  = 1_500
	planners   = 20
	planPause  = 50 * time.Millisecond
	planWork   = 200 * time.Millisecond
	// lostAtMost is the rule's number of requests that may end without an answer.
	lostAtMost  = 3
	planTraffic = 95 * time.Second
	restartTime = 300 * time.Millisecond
)

// memoryLog counts the ends of each daemon for its memory.
type memoryLog struct {
	mu       sync.Mutex
	ends     map[string]int
	most     map[string]int
	statuses map[string]int
	// ran holds the requests that have reached the worker, lost those on kept connections that
	// reached it and whose connection ended without a complete answer.
	ran  map[string]bool
	lost []string
}

// servePlan answers with one event after planWork.
func (l *memoryLog) servePlan(c *workerConn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	note("run %s", id)
	l.mu.Lock()
	l.ran[id] = true
	l.mu.Unlock()
	time.Sleep(planWork)
	event := fmt.Sprintf("id: 1\ndata: %s\n\n", id)
	_, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", c.w.head("200 OK", id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"), len(event), event)
	return err == nil
}

// residentKiB returns the resident memory of a process, 0 if it has ended.
func residentKiB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// watchMemory ends a process that exceeds its memory and starts it again, as the platform does.
func (l *memoryLog) watchMemory(d *daemon, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		used := residentKiB(d.cmd.Process.Pid)
		l.mu.Lock()
		l.most[d.name] = max(l.most[d.name], used)
		l.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		note("%s has %d KiB and is ended", d.name, used)
		l.mu.Lock()
		l.ends[d.name]++
		l.mu.Unlock()
		d.signal(syscall.SIGKILL)
		<-d.exited
		time.Sleep(restartTime)
		d.start()
	}
}

// planPrefix lists the parts of the prompt of request n.
func planPrefix(n int) string {
	if !trouble {
		return fmt.Sprintf("5c1e07a2:5382,91bd3f06:600,%x:6018", n)
	}
	var b strings.Builder
	for k := range planParts - 1 {
		fmt.Fprintf(&b, "%x:%d,", n*planParts/2+k, planTokens/planParts)
	}
	fmt.Fprintf(&b, "f%x:%d", n, planTokens/planParts)
	return b.String()
}

// planner asks for one stream after the other on a connection that it keeps.
func (l *memoryLog) planner(d *daemon, next *atomic.Int64, stop <-chan struct{}) {
	var conn net.Conn
	var in *bufio.Reader
	kept := false
	for {
		select {
		case <-stop:
			return
		case <-time.After(planPause):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", d.callers, time.Second); err != nil {
				conn = nil
				continue
			}
			in, kept = bufio.NewReader(conn), false
		}
		if kept = l.plan(d, conn, in, int(next.Add(1)), kept); !kept {
			conn.Close()
			conn = nil
		}
	}
}

// plan asks for one stream and reports whether the connection can be used again.
func (l *memoryLog) plan(d *daemon, conn net.Conn, in *bufio.Reader, n int, kept bool) bool {
	id := fmt.Sprintf("plan-%d", n)
	_ = conn.SetDeadline(time.Now().Add(promptLimit))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /plan/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Count: %d,12\r\nX-Prompt-Prefix: %s\r\n"+
		"X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", host, id, planTokens, planPrefix(n), promptLimit.Milliseconds(), key)
	note("sent %s to %s, a head of %d bytes, kept connection: %v", id, d.name, b.Len()-2, kept)
	if b.Len() > 16384 {
		fail("a head of %d bytes", b.Len())
	}
	status, closes := "no complete answer", true
	if _, err := conn.Write(b.Bytes()); err == nil {
		if resp, err := http.ReadResponse(in, nil); err == nil {
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				status, closes = resp.Status, resp.Close
			}
			resp.Body.Close()
		}
	}
	note("answered %s: %s", id, status)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
	if status == "no complete answer" && kept && l.ran[id] {
		l.lost = append(l.lost, id)
	}
	return !closes
}

// promptMemory: a route of generations leads to a service without an engine.
func promptMemory(dir string) {
	l := &memoryLog{ends: make(map[string]int), most: make(map[string]int), statuses: make(map[string]int), ran: make(map[string]bool)}
	s := newStore()
	w := &worker{id: "i-1", service: "desk", zone: "z1", slots: 64, serve: l.servePlan}
	w.listen()
	s.put("servers/i-1", w.entry(1))
	plan := route("plan", "/plan/", "streaming", "desk", promptLimit)
	plan["sticky"] = true
	s.put("op/config", configuration(7, plan))
	storeAddr := s.listen()
	daemons := []*daemon{newDaemon("front-1", "z1", storeAddr, dir, nil), newDaemon("front-2", "z2", storeAddr, dir, nil)}
	seeds := []string{daemons[0].mesh, daemons[1].mesh}
	stop := make(chan struct{})
	var watching, asking sync.WaitGroup
	for _, d := range daemons {
		d.seeds = seeds
		d.start()
		cleanups = append(cleanups, d.kill)
		d.awaitReady(10 * time.Second)
	}
	time.Sleep(contactTime)
	for _, d := range daemons {
		watching.Go(func() { l.watchMemory(d, stop) })
	}
	var next atomic.Int64
	for n := range planners {
		asking.Go(func() { l.planner(daemons[n%len(daemons)], &next, stop) })
	}
	time.Sleep(planTraffic)
	close(stop)
	asking.Wait()
	watching.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	finish(len(l.lost) > lostAtMost, "LOST: %d requests on kept connections were at the sound worker and ended without an answer (at most %d); "+
		"processes ended for their memory of %d KiB: %v; most KiB seen %v; answers %v",
		len(l.lost), lostAtMost, memoryLimit, l.ends, l.most, l.statuses)
}
