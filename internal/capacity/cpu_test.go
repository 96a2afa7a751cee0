package capacity

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/membership"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
	"github.com/azurehatch/azurehatch/internal/route"
)

// BenchmarkCapacityListCPU measures the time to decode one read of the instance list
// and to apply it to the membership table, which does not change.
func BenchmarkCapacityListCPU(b *testing.B) {
	for b.Loop() {
		var points []Point
		for _, divisor := range sizeDivisors {
			text := instanceList(b, Instances/divisor)
			table := membership.New(membership.Options{Self: membership.Identity{ID: "a", Domain: "domain-00"}}, startTime)
			now := startTime
			read := func() {
				now = now.Add(time.Second)
				var out etcdjson.RangeResponse
				must(b, 0, json.Unmarshal(text, &out))
				list := make([]platform.Instance, len(out.Kvs))
				for i, kv := range out.Kvs {
					must(b, 0, json.Unmarshal(kv.Value, &list[i]))
				}
				table.ApplyList(now, list)
			}
			read()
			points = append(points, Point{float64(Instances / divisor), fastestNanoseconds(read)})
		}
		addSeries("list.decode", "ns", "instances", true, points)
	}
}

// BenchmarkCapacityDigestCPU measures the time to encode a load digest and to apply
// one of a peer.
func BenchmarkCapacityDigestCPU(b *testing.B) {
	const rounds = 2000
	for b.Loop() {
		var encode, decode []Point
		for _, n := range []int{13, 187, 307} {
			p, rng := newPool(n), rand.New(rand.NewPCG(1, 2))
			startRequests(b, p, rng, make([]route.Attempt, max(1, n/10)))
			var buf []byte
			encode = append(encode, Point{float64(n), fastestNanoseconds(func() {
				for range rounds {
					buf = p.AppendDigest(buf[:0], 0)
				}
			}) / rounds})
			decode = append(decode, Point{float64(n), fastestNanoseconds(func() {
				for range rounds {
					must(b, 0, p.SetPeerDigest(startTime, "peer", buf))
				}
			}) / rounds})
		}
		addSeries("route.digest_encode", "ns", "endpoints of a pool, a tenth of them busy", true, encode)
		addSeries("route.digest_decode", "ns", "endpoints of a pool, a tenth of them busy", true, decode)
	}
}

// BenchmarkCapacityReserve measures the time that an allocator spends on a request (a
// reservation, an extension and a settlement of a remote holder) by the number of
// open reservations.
func BenchmarkCapacityReserve(b *testing.B) {
	const requests = 200
	for b.Loop() {
		var points []Point
		for _, open := range []int{100, 400, 1600} {
			best := 0.0
			for range wallClockRuns {
				ns := requestNanoseconds(b, open, requests) / requests
				if best == 0 || ns < best {
					best = ns
				}
			}
			points = append(points, Point{float64(open), best})
		}
		addSeries("budget.request", "ns", "open reservations of a shard", true, points)
	}
}

// requestNanoseconds returns the time in ns that an allocator with open other
// reservations spends on the given number of requests.
func requestNanoseconds(b testing.TB, open, requests int) float64 {
	r := budget.NewRecord()
	r.Budgets["account-00001/b0"] = &budget.Budget{Prepaid: 1e12}
	holder := holderName(0, 7)
	a := newAllocator(b, mustBytes(b)(r.Marshal()), []string{holder})
	a.Register(startTime, budget.RegisterRequest{Shard: 1, Epoch: a.Epoch(), Holder: holder, Incarnation: 1})
	rev := int64(100)
	serve := func() (granted int) {
		for {
			out := a.TakeOutput()
			for _, reply := range out.Replies {
				if reply.Kind == budget.KindReserve && reply.Status == budget.StatusOK {
					granted++
				}
			}
			if out.Write == nil {
				return granted
			}
			rev++
			a.Stored(startTime, budget.StoreResult{Outcome: budget.Applied, Revision: rev})
		}
	}
	serve()
	granted, now := 0, startTime
	reserve := func(n int) budget.Key {
		key := budget.Key{Holder: holder, Incarnation: 1, N: uint64(n + 1)}
		a.Reserve(now, budget.ReserveRequest{Shard: 1, Epoch: a.Epoch(), LowestPending: 1,
			Reservation: budget.Reservation{Key: key, ID: requestID(n), Budget: "account-00001/b0", Tokens: 256}})
		granted += serve()
		return key
	}
	// A reservation that waits for tokens from the store is granted in a later tick.
	for n := range open {
		reserve(n)
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			a.Tick(now)
			granted += serve()
		}
	}
	began := time.Now()
	for i := range requests {
		key := reserve(open + i)
		a.Extend(now, budget.ExtendRequest{Shard: 1, Epoch: a.Epoch(), Key: key, Tokens: 512})
		a.Settle(now, budget.SettleRequest{Shard: 1, Epoch: a.Epoch(), Holder: holder, Incarnation: 1, LowestPending: 1,
			Bills: []budget.Bill{
				{N: uint64(i + 1), Key: key, ID: requestID(open + i), Budget: "account-00001/b0", Tokens: 267}}})
		granted += serve()
	}
	elapsed := float64(time.Since(began).Nanoseconds())
	if granted < open+requests {
		b.Fatalf("%d of %d reservations granted with %d others open", granted, open+requests, open)
	}
	return elapsed
}
