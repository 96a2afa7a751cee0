package main

import (
	"fmt"
	"math"
	"time"
)

const theKey = "n2ctnfzs989anu6wsjnb"

// playOversized sends one request without a limit of its output, which no worker runs, and
// then uses up the tenant's prepaid tokens.
func playOversized(f *fleet) int {
	const prepaid = 60000
	f.configure([]tenant{{Name: "hule930", Keys: []string{theKey}, Prepaid: prepaid}})
	f.addWorkers(engineName, 4, 64, 2*time.Millisecond)
	f.addWorkers(plainName, 2, 6, 30*time.Millisecond)
	f.startFleet(7)
	time.Sleep(2 * time.Second)
	d := f.daemons[0]
	if trouble {
		q := generation("oversized", theKey, planPrompt, planOutput)
		q.tokens = fmt.Sprintf("%d,%d", planPrompt, math.MaxInt64)
		a := f.send(d, q)
		f.note("a request with X-Token-Count %s: status %d, %d runs", q.tokens, a.status, len(f.runsOf(q.id)))
	}
	var used int64
	for n, refused := 0, 0; n < 400 && refused < 5 && used < 3*prepaid; n++ {
		q := generation(fmt.Sprintf("r%d", n), theKey, 1460, 80)
		a := f.send(d, q)
		if len(f.runsOf(q.id)) > 0 {
			used += 1460 + a.tokens
		}
		switch a.status {
		case 402:
			refused++
		case 503:
			time.Sleep(300 * time.Millisecond)
		}
	}
	f.note("the tenant's requests that ran have %d tokens, input and delivered output; its prepaid is %d", used, prepaid)
	if used > prepaid {
		f.note("BUDGET is broken: the tenant got %d tokens more than its prepaid", used-prepaid)
		return 1
	}
	return 0
}
