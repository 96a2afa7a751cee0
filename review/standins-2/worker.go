package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker. It serves one request at a time on a connection.
type worker struct {
	id, service, zone string
	slots             int
	addr              string
	born              int64
	// serve answers a request on its connection and reports whether the connection goes on.
	serve func(c *workerConn, r *http.Request) bool

	arrivals atomic.Int64
	conns    atomic.Int64
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	w      *worker
	number int64
	// before is the id of the request before on the connection.
	before string

	mu     sync.Mutex
	closed bool
}

// listen serves the worker on a loopback address.
func (w *worker) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("worker: %v", err)
	}
	w.addr, w.born = l.Addr().String(), time.Now().UnixMilli()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.handle(&workerConn{Conn: c, w: w, number: w.conns.Add(1)})
		}
	}()
}

// entry is the worker's entry in the store.
func (w *worker) entry(sequence int) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": w.born,
	}
}

func (w *worker) handle(c *workerConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.arrivals.Add(1)
		id := r.Header.Get("X-Request-Id")
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
			if err != nil {
				return
			}
			continue
		}
		if !w.serve(c, r) {
			return
		}
		c.before = id
	}
}

// head returns the head of a signed answer with further fields.
func (w *worker) head(status, id, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nX-Response-Signature: sig.%s\r\n%s\r\n", status, id, w.id, id, fields)
}
