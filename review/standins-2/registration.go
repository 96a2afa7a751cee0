package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic of the case.
const (
	// serverLimit is the number of requests a second that the worker takes from all machines.
	serverLimit = 20
	// limitWindow, limitFactor and limitSlack are the rule's.
	limitWindow           = 4 * time.Second
	limitFactor           = 1.5
	limitSlack            = 5
	contactTime           = 3 * time.Second
	askersPerDaemon       = 6
	askPause              = 100 * time.Millisecond
	limitTraffic          = 40 * time.Second
	registryKey           = "azurehatch/daemons/"
	passedOnBefore        = 500 * time.Millisecond
	lookTime              = 5 * time.Millisecond
	waitAfterStart        = contactTime + 2*time.Second
	secondDaemon          = "front-2"
	secondDaemonStartWait = 2 * time.Second
)

// limitLog holds the arrivals at the worker, by daemon.
type limitLog struct {
	mu sync.Mutex
	// arrivals holds the arrivals of the requests of each daemon, passedOn when each daemon first passed
	// on an answer with a limit.
	arrivals map[string][]time.Time
	passedOn map[string]time.Time
	statuses map[string]int
}

// serve answers a lookup with the worker's limit. The client tells in the path to which daemon it speaks.
func (l *limitLog) serve(c *workerConn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	daemon := strings.Split(r.URL.Path, "/")[2]
	note("run %s", id)
	l.mu.Lock()
	l.arrivals[daemon] = append(l.arrivals[daemon], time.Now())
	l.mu.Unlock()
	time.Sleep(lookTime)
	_, err := io.WriteString(c, c.w.head("200 OK", id, fmt.Sprintf("Server-Limit: %d\r\nContent-Length: 2\r\n", serverLimit))+"ok")
	return err == nil
}

// asker asks for one lookup after the other on a kept connection, each askPause.
func (l *limitLog) asker(d *daemon, n int, stop *atomic.Bool) {
	var conn net.Conn
	var in *bufio.Reader
	for i := 0; !stop.Load(); i++ {
		time.Sleep(askPause)
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", d.callers); err != nil {
				continue
			}
			in = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%s-%d-%d", d.name, n, i)
		note("sent %s", id)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(conn, "GET /look/%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", d.name, host, id, key)
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil {
			note("answered %s: %v", id, err)
			conn.Close()
			conn = nil
			continue
		}
		note("answered %s: %s", id, resp.Status)
		l.mu.Lock()
		l.statuses[d.name+" "+resp.Status]++
		if _, ok := l.passedOn[d.name]; !ok && resp.Header.Get("Server-Limit") != "" {
			l.passedOn[d.name] = time.Now()
		}
		l.mu.Unlock()
		if resp.Close {
			conn.Close()
			conn = nil
		}
	}
}

// most returns the largest number of arrivals in a window of limitWindow from a time on, of the
// daemons that had passed on an answer with a limit passedOnBefore earlier.
func (l *limitLog) most(from time.Time) (most int, at time.Time) {
	var all []time.Time
	for daemon, times := range l.arrivals {
		counted := l.passedOn[daemon].Add(passedOnBefore)
		for _, t := range times {
			if l.passedOn[daemon].IsZero() || t.Before(counted) || t.Before(from) {
				continue
			}
			all = append(all, t)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	for i := range all {
		n := 0
		for _, t := range all[i:] {
			if t.Sub(all[i]) < limitWindow {
				n++
			}
		}
		if n > most {
			most, at = n, all[i]
		}
	}
	return most, at
}

// registration: the store's answer to a daemon's registration is lost, and the seeds are down.
func registration(dir string) {
	l := &limitLog{arrivals: make(map[string][]time.Time), passedOn: make(map[string]time.Time), statuses: make(map[string]int)}
	s := newStore()
	var lost atomic.Bool
	s.dropAnswer = func(keys []string) bool {
		drop := trouble && slices.Contains(keys, registryKey+secondDaemon) && lost.CompareAndSwap(false, true)
		if drop {
			note("store: executed a write of %v, its answer is lost", keys)
		}
		return drop
	}
	w := &worker{id: "i-1", service: "desk", zone: "z1", slots: 16, serve: l.serve}
	w.listen()
	s.put("servers/i-1", w.entry(1))
	s.put("op/config", configuration(7, route("look", "/look/", "safe", "desk", 2500*time.Millisecond)))
	storeAddr := s.listen()
	seeds := []string{freeAddr(), freeAddr(), freeAddr()} // nothing listens there
	daemons := []*daemon{newDaemon("front-1", "z1", storeAddr, dir, seeds), newDaemon(secondDaemon, "z2", storeAddr, dir, seeds)}
	for _, d := range daemons {
		d.start()
		cleanups = append(cleanups, d.kill)
		d.awaitReady(15 * time.Second)
		note("daemon %s is ready", d.name)
		time.Sleep(secondDaemonStartWait)
	}
	time.Sleep(waitAfterStart - secondDaemonStartWait)
	if trouble && !lost.Load() {
		fail("no answer was lost")
	}
	begin := time.Now()
	var stop atomic.Bool
	var asking sync.WaitGroup
	for _, d := range daemons {
		for n := range askersPerDaemon {
			asking.Go(func() { l.asker(d, n, &stop) })
		}
	}
	time.Sleep(limitTraffic)
	stop.Store(true)
	asking.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := int(limitFactor*serverLimit*limitWindow.Seconds()) + limitSlack
	most, at := l.most(begin.Add(contactTime + time.Second))
	finish(most > allowed, "LIMIT: %d requests in %v, from %.1f s on, at a worker that names %d a second (at most %d); answers %v",
		most, limitWindow, at.Sub(record.begin).Seconds(), serverLimit, allowed, l.statuses)
}
