package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev"`
	Lease     int64  `json:"lease"`
}

// event is a change of a key.
type event struct {
	item
	deleted bool
}

// store is a stand-in of the platform's key-value store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []event
	revision int64
	era      int64
	// oldest is the revision before the first one in history.
	oldest  int64
	changed chan struct{}
	// away makes every call fail with 503.
	away atomic.Bool
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 100, oldest: 100, era: 1, changed: make(chan struct{})}
}

// snapshot is a copy of the store.
type snapshot struct {
	items    map[string]item
	revision int64
}

func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := snapshot{items: make(map[string]item), revision: s.revision}
	for k, v := range s.items {
		c.items[k] = v
	}
	return c
}

// restore brings the store back from a copy: revisions go back and the era rises by one.
func (s *store) restore(c snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = make(map[string]item)
	for k, v := range c.items {
		s.items[k] = v
	}
	s.revision, s.oldest, s.history = c.revision, c.revision, nil
	s.era++
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the workers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(value), 0)
	s.wake()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.wake()
}

// write and drop change a key at the current revision. The caller holds s.mu.
func (s *store) write(key, value string, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.history = append(s.history, event{item: i})
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, deleted: true})
}

// get returns a key's value.
func (s *store) get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	text, _ := base64.StdEncoding.DecodeString(i.Value)
	return string(text), ok
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// listen serves the store on a loopback address until the program ends.
func (s *store) listen() string {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the pages' time for an answer
	if s.away.Load() {
		w.Header().Set("Store-Era", s.eraText())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after_revision"))
	case "/api/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after_revision"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "/api/kv-txn":
		s.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) eraText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatInt(s.era, 10)
}

// answer writes a response. The caller holds s.mu, so that era and content agree.
func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	text, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		s.answer(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "create_rev": i.CreateRev, "lease": i.Lease, "store_revision": s.revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, more := []item{}, false
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		if more = len(list) == 500; more {
			break
		}
		list = append(list, s.items[k])
	}
	s.answer(w, http.StatusOK, map[string]any{"items": list, "more_pages": more, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.oldest || after > s.revision {
			s.answer(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		events := []map[string]any{}
		for _, e := range s.history {
			if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
				continue
			}
			if e.deleted {
				events = append(events, map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
			} else {
				events = append(events, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "create_rev": e.CreateRev, "lease": e.Lease})
			}
		}
		changed := s.changed
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": s.revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-timer.C:
		}
		s.mu.Lock()
		s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": s.revision})
		s.mu.Unlock()
		return
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Delete []string `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Delete) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			s.conflict(w, len(t.Expected), func(i int) string { return t.Expected[i].Key })
			return
		}
	}
	for _, i := range t.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			s.answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.revision++
	for _, i := range t.Writes {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, k := range t.Delete {
		s.drop(k)
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// conflict answers with the current state of the expected keys. The caller holds s.mu.
func (s *store) conflict(w http.ResponseWriter, n int, key func(int) string) {
	list := []item{}
	for i := range n {
		now, ok := s.items[key(i)]
		if !ok {
			now = item{Key: key(i)}
		}
		list = append(list, now)
	}
	s.answer(w, http.StatusPreconditionFailed, map[string]any{"items": list})
}
