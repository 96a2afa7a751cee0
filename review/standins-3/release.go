//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the release case.
const (
	// backAfter is how long a worker that crashed is down.
	backAfter = 2 * time.Second
	// linger is how long a worker that drains serves beyond drainBound.
	linger = 500 * time.Millisecond
)

// crash ends a worker as a process that dies, and starts it again under its id.
func (k *worker) crash() {
	k.w.note("%s crashes", k.id)
	k.silent.Store(true)
	_ = k.server.Close()
	go func() {
		time.Sleep(backAfter)
		if k.listen() == nil {
			k.silent.Store(false)
			k.w.note("%s is back", k.id)
			_ = k.beat()
		}
	}()
}

// replace lets a new worker take the place of one that drains and leaves.
func (k *worker) replace(id string, before func(k *worker, rw http.ResponseWriter, r *http.Request) bool) error {
	next, err := k.w.addWorker(id, k.service, k.zone, k.slots, k.work, k.step)
	if err != nil {
		return err
	}
	next.before = func(rw http.ResponseWriter, r *http.Request) bool { return before(next, rw, r) }
	k.state.Store("draining")
	if err := k.beat(); err != nil {
		return err
	}
	k.w.note("%s takes the place of %s, which drains", id, k.id)
	go func() {
		time.Sleep(drainBound + linger)
		k.silent.Store(true)
		_ = k.server.Close()
		if item, err := k.w.store.Get(ctx, "servers/"+k.id); err == nil {
			_ = k.w.store.Delete(ctx, "servers/"+k.id, item.Revision)
		}
		k.w.note("%s has left", k.id)
	}()
	return nil
}

// badRelease: a request has been answered for a while; then the workers are replaced one after the
// other, and it crashes each of the new ones that begins to run it.
func badRelease(w *world) (string, error) {
	const path = "/lookup/tray/7"
	if err := w.put("op/config", config(7, 3110070)); err != nil {
		return "", err
	}
	var old []*worker
	for i := range 4 {
		k, err := w.addWorker(fmt.Sprintf("i-%d", i), "desk", []string{"pos-a", "cgs-b", "arm-c", "sfd-d"}[i], 6, 60*time.Millisecond, 0)
		if err != nil {
			return "", err
		}
		old = append(old, k)
	}
	if _, err := w.addWorker("i-llm", "llm", "pos-a", 64, 0, 5*time.Millisecond); err != nil {
		return "", err
	}
	if err := w.addDaemons(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	deadly := func(k *worker, _ http.ResponseWriter, r *http.Request) bool {
		if !w.trouble || r.URL.Path != path {
			return false
		}
		mu.Lock()
		arrivals, crashes = append(arrivals, time.Now()), append(crashes, time.Now())
		n := len(crashes)
		mu.Unlock()
		w.note("%s begins to run %s, crash %d", k.id, r.Header.Get("X-Request-Id"), n)
		k.crash()
		return true
	}
	// Other callers of the service.
	var over atomic.Bool
	var wg sync.WaitGroup
	var lost atomic.Int64
	for n := range 6 {
		wg.Go(func() {
			for i := 0; !over.Load(); i++ {
				a := w.send(w.daemons[n%3], "POST", fmt.Sprintf("/reserve/%d", i), key, "", 2500*time.Millisecond, fmt.Sprint("order ", n, i))
				if a.status != http.StatusOK && len(w.ranAt(a.id)) > 0 {
					lost.Add(1)
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	ask := func(n int) answer { return w.send(w.daemons[n%3], "GET", path, key, "", 2500*time.Millisecond, "") }
	for n := range 9 {
		if a := ask(n); a.status != http.StatusOK {
			return "", fmt.Errorf("the request was not served before the release: %d", a.status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i, k := range old {
		if err := k.replace(fmt.Sprintf("i-%d-v2", i), deadly); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(drainBound + linger + time.Second)
	// The request comes again every 2 s; its client retries once, at another machine.
	for n, end := 0, time.Now().Add(40*time.Second); time.Now().Before(end); n += 2 {
		if a := ask(n); a.status != http.StatusOK {
			ask(n + 1)
		}
		time.Sleep(2 * time.Second)
	}
	over.Store(true)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	w.note("%d crashes; %d arrivals later than contact_ms after the third; %d orders of others that ran had no answer", len(crashes), late, lost.Load())
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d retries of the request reached workers later than contact_ms after its third crash (three may); %d crashes, %d orders of others cut off", late, len(crashes), lost.Load()), nil
	}
	return "", nil
}
