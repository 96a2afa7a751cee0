package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// awaitHolders waits until the store's record of a tenant lists so many machines: each takes
// a first share in the first seconds. A machine that is late would learn of the first one's
// draws by its own.
func (f *fleet) awaitHolders(name string, n int) {
	for range 240 {
		time.Sleep(50 * time.Millisecond)
		for _, key := range f.store.keys("azurehatch/budget") {
			text, _ := f.store.get(key)
			var record struct {
				Drawn map[string]int64 `json:"drawn"`
			}
			if strings.HasSuffix(key, "/"+name) && json.Unmarshal([]byte(text), &record) == nil && len(record.Drawn) == n {
				return
			}
		}
	}
	f.unusable("not all machines hold tokens")
}

// leave ends the machine's process: by a planned stop, or how "kill" or "restart" says.
func (d *daemon) leave(how string) {
	switch how {
	case "kill":
		d.kill()
		d.f.note("%s is killed", d.name)
	case "restart":
		d.kill()
		d.start()
		d.f.note("%s is killed and starts again at once", d.name)
	default:
		d.signal(syscall.SIGTERM)
		<-d.done
		d.f.note("%s has stopped as planned", d.name)
	}
}

// playDrill lets one machine serve a tenant for some seconds and stop as planned, before the
// store comes back from a copy that is some seconds old.
func playDrill(f *fleet) int {
	const prepaid = 300000
	f.configure([]tenant{{Name: "hule930", Keys: []string{theKey}, Prepaid: prepaid}})
	f.addWorkers(engineName, 12, 64, 2*time.Millisecond)
	f.addWorkers(plainName, 4, 6, 30*time.Millisecond)
	f.startFleet(7)
	f.awaitHolders("hule930", len(f.daemons))
	c := f.store.copy()
	copied := time.Now()
	f.note("the store is copied")
	var used int64
	use := func(d *daemon, id string) answer {
		q := generation(id, theKey, planPrompt, planOutput)
		a := f.send(d, q)
		if len(f.runsOf(q.id)) > 0 {
			used += planPrompt + a.tokens
		}
		return a
	}
	first, next := f.daemons[0], f.daemons[1]
	for n := range 12 {
		use(first, fmt.Sprintf("a%d", n))
		time.Sleep(100 * time.Millisecond)
	}
	f.note("the tenant has used %d of %d tokens, all at %s", used, prepaid, first.name)
	if trouble {
		first.leave(os.Getenv("HOW"))
		f.store.away.Store(true)
		time.Sleep(300 * time.Millisecond)
		f.store.restore(c)
		f.store.away.Store(false)
		f.note("the store is back from a copy that is %.1f s old", time.Since(copied).Seconds())
	}
	for n, refused := 0, 0; n < 60 && refused < 12 && used < 2*prepaid; n++ {
		a := use(next, fmt.Sprintf("b%d", n))
		switch a.status {
		case 402:
			refused += 4
		case 503:
			refused++
			time.Sleep(time.Second)
		}
	}
	f.note("the tenant's requests that ran have %d tokens, input and delivered output; its prepaid is %d", used, prepaid)
	if used > prepaid {
		f.note("BUDGET is broken: the tenant got %d tokens more than its prepaid", used-prepaid)
		return 1
	}
	return 0
}
