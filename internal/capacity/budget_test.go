package capacity

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/peer"
)

var startTime = time.Unix(1_800_000_000, 0)

// requestID returns an id with the length of a UUID, the usual request id.
func requestID(n int) string {
	return fmt.Sprintf("%08x-0000-4000-8000-%012x", n*2654435761&0xffffffff, n)
}

func holderName(domain, i int) string { return fmt.Sprintf("daemon-%02d-%02d", domain, i) }

// newRecord returns the record of a shard with the given numbers of budgets, each
// with a grant in each failure domain, and of recent bills.
func newRecord(budgets, bills int) *budget.Record {
	r := budget.NewRecord()
	for d := range Domains {
		domain := &budget.Domain{Epoch: uint64(100 + d), Owner: holderName(d, 0), Seq: 5000,
			Holders: make(map[string]budget.HolderState)}
		for i := range Daemons / Domains {
			domain.Members = append(domain.Members, holderName(d, i))
			domain.Holders[holderName(d, i)] = budget.HolderState{Incarnation: 1, Settled: uint64(10_000 + 37*i)}
		}
		r.Domains[fmt.Sprintf("domain-%02d", d)] = domain
	}
	for i := range budgets {
		account := accountName(i * Accounts / max(1, budgets) % Accounts)
		b := &budget.Budget{Prepaid: 1e9 + int64(i)*7919, Spent: int64(i) * 104729, Grants: make(map[string]budget.Grant)}
		for d := range Domains {
			b.Grants[fmt.Sprintf("domain-%02d", d)] = budget.Grant{Tokens: int64(2048 + (i*31+d*17)%4096),
				Rate: int64((i*13 + d) % 700)}
		}
		r.Budgets[account+"/"+fmt.Sprint("b", i)] = b
		r.Accounts[account] = &budget.Totals{Requests: int64(i * 91), Spent: int64(i) * 104729}
	}
	for i := range bills {
		r.Bills = append(r.Bills, budget.RecentBill{
			ID: requestID(i), Budget: accountName(i*17%Accounts) + "/b0", Tokens: int64(100 + i*7%900), Unix: startTime.Unix() + int64(i),
			Keyed: true,
		})
	}
	return r
}

const (
	shardBudgets = Budgets / budget.Shards
	maxBills     = 2000
)

// BenchmarkCapacityRecord measures the size, encoding, decoding and heap of the
// record of a shard.
func BenchmarkCapacityRecord(b *testing.B) {
	for b.Loop() {
		var bytes, full, flush, load, heap []Point
		for _, divisor := range sizeDivisors {
			n := shardBudgets / divisor
			size := float64(n)
			bare := newRecord(n, 0)
			bytes = append(bytes, Point{size, float64(len(mustBytes(b)(bare.Marshal())))})
			r := newRecord(n, maxBills)
			value := mustBytes(b)(r.Marshal())
			full = append(full, Point{size, float64(len(value))})
			flush = append(flush, Point{size, fastestNanoseconds(func() { mustBytes(b)(r.Marshal()) })})
			load = append(load, Point{size, fastestNanoseconds(func() {
				_, err := budget.Unmarshal(value)
				must(b, 0, err)
			})})
			heap = append(heap, Point{size, retainedHeap(func() any { return newAllocator(b, value, nil) })})
		}
		addSeries("budget.record", "bytes", "budgets in a shard", false, bytes)
		addSeries("budget.record_full", "bytes", "budgets in a shard, 2,000 bills", false, full)
		addSeries("budget.encode", "ns", "budgets in a shard, 2,000 bills", true, flush)
		addSeries("budget.decode", "ns", "budgets in a shard, 2,000 bills", true, load)
		addSeries("budget.heap", "bytes", "budgets in a shard, 2,000 bills", true, heap)
	}
}

func mustBytes(b testing.TB) func([]byte, error) []byte {
	return func(v []byte, err error) []byte { b.Helper(); return must(b, v, err) }
}

// newAllocator returns an allocator after the takeover of a shard with the record
// value; its store calls succeed at once.
func newAllocator(b testing.TB, value []byte, members []string) *budget.Allocator {
	return newAllocatorWithInterval(b, value, members, 25*time.Second)
}

func newAllocatorWithInterval(b testing.TB, value []byte, members []string, interval time.Duration) *budget.Allocator {
	a := budget.NewAllocator(startTime, budget.Options{Domain: "domain-00", Shard: 1, Owner: "daemon-new", Interval: interval})
	a.SetMembers(startTime, append(members, "daemon-new"))
	rev := int64(1)
	for range 100 {
		out := a.TakeOutput()
		switch {
		case out.Read:
			a.Loaded(startTime, value, rev, true)
		case out.Write != nil:
			rev++
			a.Stored(startTime, budget.StoreResult{Outcome: budget.Applied, Revision: rev})
		default:
			if a.Epoch() == 0 {
				b.Fatalf("the allocator did not take over: %v", a.Fault())
			}
			return a
		}
	}
	b.Fatal("the allocator still has store calls after 100 steps")
	return nil
}

func newBill(n int) budget.Bill {
	return budget.Bill{N: uint64(10_000 + n), Key: budget.Key{Holder: holderName(0, 7), Incarnation: 1, N: uint64(20_000 + n)},
		ID: requestID(n), Budget: accountName(n) + "/b0", Tokens: 267, Keyed: true}
}

func newReservation(id int) budget.Reservation {
	return budget.Reservation{Key: budget.Key{Holder: holderName(0, 7), Incarnation: 1, N: uint64(20_000 + id)},
		ID:     requestID(id),
		Budget: accountName(id) + "/b0", Tokens: 512, Keyed: true}
}

// BenchmarkCapacityWire measures the size of messages without gRPC framing.
func BenchmarkCapacityWire(b *testing.B) {
	for b.Loop() {
		var settle, mirror, reserve, extend, reply []Point
		for _, n := range []int{1, 8, 64} {
			s := budget.SettleRequest{Shard: 100, Epoch: 100, Holder: holderName(0, 7), Incarnation: 1, LowestPending: 20_000}
			m := budget.MirrorRequest{Shard: 100, Epoch: 100, Member: holderName(0, 7), Incarnation: 1, Seq: 10_000}
			for i := range n {
				s.Bills = append(s.Bills, newBill(i))
				m.Put = append(m.Put, newReservation(i))
			}
			settle = append(settle, Point{float64(n), float64(peer.SettleBytes(s))})
			mirror = append(mirror, Point{float64(n), float64(peer.MirrorBytes(m))})
		}
		for _, n := range []int{daemonIDBytes, 24, 36} {
			res := newReservation(1)
			res.Key.Holder = strings.Repeat("d", n)
			size := float64(n)
			reserve = append(reserve, Point{size, float64(peer.ReserveBytes(
				budget.ReserveRequest{Shard: 100, Epoch: 100, LowestPending: 20_000, Reservation: res}))})
			extend = append(extend, Point{size, float64(peer.ExtendBytes(
				budget.ExtendRequest{Shard: 100, Epoch: 100, Key: res.Key, Tokens: 768}))})
			reply = append(reply, Point{size, float64(peer.ReplyBytes(budget.Reply{Kind: budget.KindReserve, Shard: 100,
				Holder: res.Key.Holder, Incarnation: 1, Key: res.Key, Epoch: 100, Status: budget.StatusOK,
				Tokens: 512, Durable: 10_000}))})
		}
		addSeries("wire.settle", "bytes", "bills in one message", false, settle)
		addSeries("wire.mirror", "bytes", "reservations in one message", false, mirror)
		addSeries("wire.reserve", "bytes", "bytes of a daemon's id", false, reserve)
		addSeries("wire.extend", "bytes", "bytes of a daemon's id", false, extend)
		addSeries("wire.reply", "bytes", "bytes of a daemon's id", false, reply)
	}
}
