package admission

import (
	"container/heap"
	"time"
)

// entry is a request that is queued or running.
type entry struct {
	Request
	account  *account
	queuedAt time.Time
	// expiresAt is the time at which the request is refused if it is still
	// queued.
	expiresAt time.Time
	// orderKey orders the requests of an account by predicted work and arrival.
	// A request that arrived s seconds earlier goes first if its work is at
	// most s * AgingRate larger.
	orderKey float64
	// heapIndex is the position in the entryHeap.
	heapIndex int
}

func (e *entry) short() bool { return !e.Long }

func (e *entry) less(f *entry) bool {
	if e.orderKey != f.orderKey {
		return e.orderKey < f.orderKey
	}
	return e.ID < f.ID
}

// entryHeap is a heap of queued requests ordered by orderKey.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].less(h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

var _ heap.Interface = (*entryHeap)(nil)

// account is the scheduling state of one client account.
type account struct {
	name   string
	weight float64
	// virtualTime is the work granted to the account divided by its weight. It
	// is moved forward when the account has been idle, to at most
	// maxCreditTokens behind the virtual time of the queue.
	virtualTime  float64
	short, long  entryHeap
	queuedTokens int
	running      int
}

func (a *account) hasNoQueue() bool { return len(a.short)+len(a.long) == 0 }

func (a *account) classHeap(long bool) *entryHeap {
	if long {
		return &a.long
	}
	return &a.short
}

// first returns the first queued request among the classes that may start.
func (a *account) first(short, long bool) *entry {
	var e *entry
	if short && len(a.short) > 0 {
		e = a.short[0]
	}
	if long && len(a.long) > 0 && (e == nil || a.long[0].less(e)) {
		e = a.long[0]
	}
	return e
}

// lastQueued returns the queued request with the greatest orderKey.
func (a *account) lastQueued() *entry {
	var last *entry
	for _, h := range [2]entryHeap{a.short, a.long} {
		for _, e := range h {
			if last == nil || last.less(e) {
				last = e
			}
		}
	}
	return last
}

// workBefore returns the account's queued work in tokens that precedes a
// request with the given key.
func (a *account) workBefore(key float64) int {
	sum := 0
	for _, h := range [2]entryHeap{a.short, a.long} {
		for _, e := range h {
			if e.orderKey < key {
				sum += e.Tokens
			}
		}
	}
	return sum
}

// accountOf returns the account of a request and updates its weight.
func (q *Queue) accountOf(r Request) *account {
	a := q.accounts[r.Account]
	if a == nil {
		a = &account{name: r.Account, virtualTime: q.virtualTime - maxCreditTokens}
		q.accounts[r.Account] = a
	}
	a.weight = r.Weight
	if a.weight <= 0 {
		a.weight = 1
	}
	return a
}

// pruneIdleAccounts drops accounts without requests and without remaining debt;
// a new account would start at the same virtual time.
func (q *Queue) pruneIdleAccounts() {
	if len(q.accounts) < pruneThreshold {
		return
	}
	for name, a := range q.accounts {
		if a.hasNoQueue() && a.running == 0 && a.virtualTime <= q.virtualTime-maxCreditTokens {
			delete(q.accounts, name)
		}
	}
}

// displaceFor refuses queued requests until e fits into the limit on queued
// tokens. It takes them from the account with the most queued work relative to
// its weight; ok is false if that is the account of e.
func (q *Queue) displaceFor(e *entry) (displaced []Refusal, ok bool) {
	if e.Tokens > q.opts.MaxQueuedTokens {
		return nil, false
	}
	if q.broken == "bound" {
		return nil, true
	}
	need := q.queuedTokens + e.Tokens - q.opts.MaxQueuedTokens
	if need <= 0 {
		return nil, true
	}
	load := func(a *account) float64 {
		n := a.queuedTokens
		if a == e.account {
			n += e.Tokens
		}
		return float64(n) / a.weight
	}
	for q.queuedTokens+e.Tokens > q.opts.MaxQueuedTokens {
		heaviest := e.account
		for _, a := range q.backlogged {
			if load(a) > load(heaviest) {
				heaviest = a
			}
		}
		if heaviest == e.account {
			return displaced, false
		}
		victim := heaviest.lastQueued()
		q.dequeue(victim)
		displaced = append(displaced, Refusal{ID: victim.ID, Reason: Displaced, RetryAfter: q.retryAfter(victim.ID)})
	}
	return displaced, true
}
