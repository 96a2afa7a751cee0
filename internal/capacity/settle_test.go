package capacity

import (
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/ledger"
	"github.com/azurehatch/azurehatch/internal/peer"
)

// settleTick is the interval of the ledger's settlement messages. A bill is sent
// once, and the last one is repeated each second until it is durable.
const settleTick = 100 * time.Millisecond

// settlementTraffic is the settlement traffic that a holder sends, per second.
type settlementTraffic struct{ bytes, calls float64 }

// simulateSettlements runs a holder at a daemon's share of the peak load for three
// flush intervals and measures the last one. The allocators respond at once, and their
// flushes are spread over the interval.
func simulateSettlements(t testing.TB, interval time.Duration) settlementTraffic {
	h := budget.NewHolder(holderName(0, 7))
	var settled, durable [budget.Shards]uint64
	for shard := range budget.Shards {
		h.ObserveEpoch(shard, 1)
		r, _ := h.Register(shard)
		h.RegisterAnswered(budget.Reply{Kind: budget.KindRegister, Shard: shard, Holder: h.ID(),
			Incarnation: r.Incarnation, Epoch: 1, Status: budget.StatusOK})
	}
	var sum settlementTraffic
	accepted, now := make(ledger.Accepted), time.Unix(0, 0)
	requests := 0
	ticks := int(interval / settleTick)
	for k := range 3 * ticks {
		now = now.Add(settleTick)
		for ; float64(requests) < float64(k+1)*settleTick.Seconds()*RequestsPerDaemon; requests++ {
			shard := requests * 37 % budget.Shards
			settled[shard]++
			reserveAndSettle(t, h, shard, requests)
		}
		for shard := range budget.Shards {
			if k%ticks == shard*ticks/budget.Shards {
				durable[shard] = settled[shard]
			}
			r, ok := h.Unsettled(shard)
			if !ok || !accepted.Trim(&r, now) {
				continue
			}
			accepted.Record(r, now)
			if k >= 2*ticks {
				sum.bytes += float64(peer.SettleBytes(r))
				sum.calls++
			}
			h.SettleAnswered(budget.Reply{Kind: budget.KindSettle, Shard: shard, Holder: h.ID(), Incarnation: r.Incarnation, Epoch: 1,
				Status: budget.StatusOK, Durable: durable[shard]})
		}
	}
	return settlementTraffic{sum.bytes / interval.Seconds(), sum.calls / interval.Seconds()}
}

// reserveAndSettle reserves tokens for one request and settles its bill.
func reserveAndSettle(t testing.TB, h *budget.Holder, shard, n int) {
	r, err := h.Reserve(shard, requestID(n), accountName(n%Accounts)+"/b0", 512, false)
	if err != nil {
		t.Fatal(err)
	}
	v := h.ReserveAnswered(budget.Reply{Kind: budget.KindReserve, Shard: shard, Holder: h.ID(),
		Incarnation: r.Reservation.Key.Incarnation, Key: r.Reservation.Key,
		Epoch: 1, Status: budget.StatusOK, Tokens: 512})
	if v != budget.Granted {
		t.Fatalf("reservation %d: verdict %d", n, v)
	}
	if err := h.Settle(shard, r.Reservation.Key, 267); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkCapacitySettle measures the settlement traffic at three flush intervals.
func BenchmarkCapacitySettle(b *testing.B) {
	for b.Loop() {
		var bytes, calls []Point
		for _, seconds := range []float64{1, 5, 25} {
			sum := simulateSettlements(b, time.Duration(seconds*float64(time.Second)))
			bytes, calls = append(bytes, Point{seconds, sum.bytes}), append(calls, Point{seconds, sum.calls})
		}
		addSeries("settle.bytes", "bytes/s", "seconds between flushes", false, bytes)
		addSeries("settle.calls", "calls/s", "seconds between flushes", false, calls)
	}
}
