package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
)

// flushResult holds the store writes/s of an allocator at its share of the peak load
// and the share of requests that it refused.
type flushResult struct{ writes, refused float64 }

// simulateFlushes runs one allocator in virtual time with requests spread evenly over
// the budgets of its shard. The store responds at once.
func simulateFlushes(b testing.TB, interval time.Duration) flushResult {
	const (
		tick        = 50 * time.Millisecond
		warmupTicks = 2400
		ticks       = 4000
		requests    = float64(RequestsPerSecond) / Domains / Shards
	)
	r := budget.NewRecord()
	for i := range shardBudgets {
		r.Budgets[fmt.Sprintf("account-%05d/b0", i)] = &budget.Budget{Prepaid: 1e9}
	}
	holder := holderName(0, 7)
	a := newAllocatorWithInterval(b, mustBytes(b)(r.Marshal()), []string{holder}, interval)
	a.Register(startTime, budget.RegisterRequest{Shard: 1, Epoch: a.Epoch(), Holder: holder, Incarnation: 1})
	var out flushResult
	rev, sent, settled, refused, now := int64(100), 0, 0, 0, startTime
	var bills []budget.Bill
	for k := range warmupTicks + ticks {
		now = now.Add(tick)
		for ; float64(sent) < float64(k+1)*tick.Seconds()*requests; sent++ {
			a.Reserve(now, budget.ReserveRequest{Shard: 1, Epoch: a.Epoch(), LowestPending: 1, Reservation: budget.Reservation{
				Key: budget.Key{Holder: holder, Incarnation: 1, N: uint64(sent + 1)}, ID: requestID(sent),
				Budget: fmt.Sprintf("account-%05d/b0", sent*37%shardBudgets), Tokens: 512}})
		}
		a.Tick(now)
		for _, bill := range bills {
			a.Settle(now, budget.SettleRequest{Shard: 1, Epoch: a.Epoch(), Holder: holder, Incarnation: 1, LowestPending: 1,
				Bills: []budget.Bill{bill}})
		}
		bills = bills[:0]
		for o := a.TakeOutput(); len(o.Replies) > 0 || o.Write != nil; o = a.TakeOutput() {
			for _, reply := range o.Replies {
				switch {
				case reply.Kind == budget.KindReserve && reply.Status == budget.StatusOK:
					settled++
					n := int(reply.Key.N) - 1
					bills = append(bills, budget.Bill{N: uint64(settled), Key: reply.Key, ID: requestID(n),
						Budget: fmt.Sprintf("account-%05d/b0", n*37%shardBudgets), Tokens: 267})
				case reply.Kind == budget.KindReserve:
					refused++
				}
			}
			if o.Write != nil {
				rev++
				if k >= warmupTicks {
					out.writes++
				}
				a.Stored(now, budget.StoreResult{Outcome: budget.Applied, Revision: rev})
			}
		}
	}
	if settled+refused < sent*9/10 {
		b.Fatalf("%d of %d requests were granted or refused", settled+refused, sent)
	}
	out.writes /= ticks * tick.Seconds()
	out.refused = float64(refused) / float64(sent)
	return out
}

// BenchmarkCapacityFlush measures the store writes of one allocator at three flush
// intervals, including early flushes for exhausted grants.
func BenchmarkCapacityFlush(b *testing.B) {
	for b.Loop() {
		var writes, refused []Point
		for _, seconds := range []float64{1, 5, 25} {
			run := simulateFlushes(b, time.Duration(seconds*float64(time.Second)))
			writes = append(writes, Point{1 / seconds, run.writes})
			refused = append(refused, Point{1 / seconds, run.refused})
		}
		addSeries("flush.writes", "writes/s", "periods of flushes a second", false, writes)
		addSeries("flush.refused", "share of requests", "periods of flushes a second", false, refused)
	}
}
