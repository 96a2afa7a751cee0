//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// ledger counts what an account consumed as its clients and workers see it.
type ledger struct {
	w           *world
	mu          sync.Mutex
	prompt, out int64
	statuses    map[int]int
}

// ask sends a request for tokens and counts what it consumed: its prompt if a worker ran it, and the
// tokens of the events that reached the client.
func (l *ledger) ask(d *daemon, prompt, output int, limit time.Duration) answer {
	a := l.w.send(d, "POST", "/ask/2f", key, fmt.Sprintf("%d,%d", prompt, output), limit, "prompt")
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.w.ranAt(a.id)) > 0 {
		l.prompt += int64(prompt)
	}
	if a.status == http.StatusOK {
		l.out += int64(strings.Count(a.body, "tok "))
	}
	l.statuses[a.status]++
	return a
}

func (l *ledger) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prompt + l.out
}

// drill lets the store be away for a moment and come back from a copy. The operator and the workers
// write again what they had written.
func (w *world) drill(c memstore.Copy, away time.Duration, operator func() error) error {
	w.note("the store is away")
	w.store.Status.Store(http.StatusServiceUnavailable)
	time.Sleep(away)
	if err := w.store.Restore(c); err != nil {
		return err
	}
	w.store.Status.Store(0)
	w.note("the store is back from the copy, era %d", w.store.Era())
	if err := operator(); err != nil {
		return err
	}
	for _, k := range w.workers {
		if err := k.beat(); err != nil {
			return err
		}
	}
	return nil
}

// budgetDrill: a tenant uses one machine, which then ends (how: SIGTERM or SIGKILL), and the store comes
// back from a copy of a few seconds before.
func budgetDrill(how string) func(w *world) (string, error) {
	return func(w *world) (string, error) {
		const prepaid = 200_000
		operator := func() error { return w.put("op/config", config(7, prepaid)) }
		if err := operator(); err != nil {
			return "", err
		}
		for i := range 3 {
			if _, err := w.addWorker(fmt.Sprintf("i-%d", i), "llm", []string{"pos-a", "cgs-b"}[i%2], 64, 30*time.Millisecond, 3*time.Millisecond); err != nil {
				return "", err
			}
		}
		if err := w.addDaemons(3); err != nil {
			return "", err
		}
		time.Sleep(4 * time.Second)
		l := &ledger{w: w, statuses: make(map[int]int)}
		first := w.daemons[0]
		copied := w.store.Copy()
		w.note("the copy is made")
		// The tenant's client is served by one machine for a while.
		var wg sync.WaitGroup
		var over atomic.Bool
		for range 4 {
			wg.Go(func() {
				for !over.Load() && l.total() < prepaid/2 {
					l.ask(first, 2000, 120, 3*time.Second)
				}
			})
		}
		time.Sleep(1500 * time.Millisecond)
		switch how {
		case "term":
			done := make(chan struct{})
			go func() { first.stop(); close(done) }()
			time.Sleep(2 * time.Second)
			over.Store(true)
			wg.Wait()
			<-done
		case "kill":
			over.Store(true)
			wg.Wait()
			w.note("%s is killed", first.name)
			first.kill()
		case "freeze":
			over.Store(true)
			wg.Wait()
			w.note("%s freezes", first.name)
			first.signal(syscall.SIGSTOP)
			defer first.signal(syscall.SIGCONT)
		}
		w.note("consumed until now: %d of %d", l.total(), int64(prepaid))
		if w.trouble {
			if err := w.drill(copied, time.Second, operator); err != nil {
				return "", err
			}
		}
		if how == "freeze" {
			time.Sleep(2800 * time.Millisecond)
			w.note("%s wakes", first.name)
			first.signal(syscall.SIGCONT)
		} else if err := first.start(); err != nil {
			return "", err
		}
		time.Sleep(8 * time.Second)
		for range 6 {
			wg.Go(func() {
				for end, n := time.Now().Add(25*time.Second), 0; time.Now().Before(end) && l.total() < 2*prepaid; n++ {
					if a := l.ask(w.daemons[n%3], 2000, 120, 3*time.Second); a.status != http.StatusOK {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
		wg.Wait()
		w.note("consumed in all: %d of %d; statuses %v", l.total(), int64(prepaid), l.statuses)
		if total := l.total(); total > prepaid {
			return fmt.Sprintf("BUDGET: the tenant got %d tokens of %d prepaid", total, int64(prepaid)), nil
		}
		return "", nil
	}
}
