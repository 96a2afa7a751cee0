package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It keeps all history and counts no calls.
type store struct {
	// dropAnswer, if not nil, reports whether the answer to a transaction that has been executed
	// is lost. Nothing more is answered on the connection then.
	dropAnswer func(keys []string) bool

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	events   []event
}

// item is a key with its value.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev"`
	Lease     int64  `json:"lease"`
}

// event is a write or, if Deleted, a removal.
type event struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 100, items: make(map[string]item)}
}

// put writes a key unconditionally, as the operator and the workers do.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text)
	s.wake()
}

// write sets a key at the current revision. The caller holds s.mu.
func (s *store) write(key string, value []byte) {
	i := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision}
	if old, ok := s.items[key]; ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.events = append(s.events, event{item: i})
}

// wake wakes the watches. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store on a loopback address, which it returns.
func (s *store) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "0")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, r)
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	case "/api/kv-txn":
		s.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"store_revision": at})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{i, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	items, at := []item{}, s.revision
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "more_pages": false, "store_revision": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, at, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a call of kv-txn.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_revision"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"writes"`
	Delete []string `json:"delete"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := s.execute(t)
	var keys []string
	for _, e := range t.Expected {
		keys = append(keys, e.Key)
	}
	if s.dropAnswer != nil && s.dropAnswer(keys) {
		// The connection stays open, and nothing more is answered on it.
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			go func() {
				for buf := make([]byte, 4096); err == nil; {
					_, err = conn.Read(buf)
				}
				conn.Close()
			}()
		}
		return
	}
	answer(w, status, body)
}

// execute executes a transaction, all or nothing.
func (s *store) execute(t transaction) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actual, holds := []item{}, true
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if !ok {
			i = item{Key: e.Key}
		}
		actual = append(actual, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": actual}
	}
	s.revision++
	for _, write := range t.Writes {
		s.write(write.Key, write.Value)
	}
	for _, key := range t.Delete {
		delete(s.items, key)
		s.events = append(s.events, event{item: item{Key: key, Revision: s.revision}, Deleted: true})
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}
