package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
	"github.com/azurehatch/azurehatch/internal/route"
)

// newPool returns a pool with n endpoints.
func newPool(n int) *route.Pool {
	p := route.New(route.Options{})
	set := make([]route.Endpoint, n)
	for i := range set {
		set[i] = route.Endpoint{ID: route.EndpointID(fmt.Sprintf("worker-%05d", i)), Domain: fmt.Sprintf("domain-%02d", i%Domains),
			Slots: 16}
	}
	p.Update(startTime, set)
	return p
}

// startRequests starts one request for each attempt, and fills in the attempt that is
// needed to finish it.
func startRequests(b testing.TB, p *route.Pool, rng *rand.Rand, attempts []route.Attempt) {
	r := route.Request{PredictedTokens: 267, PromptTokens: 300, Domain: "domain-00"}
	for i := range attempts {
		c, err := p.Choose(startTime, &r, rng)
		p.Started(startTime, must(b, c, err), &r, &attempts[i])
	}
}

// BenchmarkCapacityChoice measures the time of one endpoint selection with its
// bookkeeping, and the tick and the heap of a pool.
func BenchmarkCapacityChoice(b *testing.B) {
	const choices = 20_000
	for b.Loop() {
		var choice, tick, heap []Point
		for _, n := range []int{20, 300, Endpoints} {
			heap = append(heap, Point{float64(n), retainedHeap(func() any { return newPool(n) })})
			p, rng := newPool(n), rand.New(rand.NewPCG(1, 2))
			attempts := make([]route.Attempt, n)
			startRequests(b, p, rng, attempts)
			r := route.Request{PredictedTokens: 267, PromptTokens: 300, Domain: "domain-00"}
			ns := fastestNanoseconds(func() {
				for i := range choices {
					a := &attempts[i%n]
					p.Finished(startTime, a, route.Completed)
					c, err := p.Choose(startTime, &r, rng)
					if err != nil {
						b.Fatal(err)
					}
					p.Started(startTime, c, &r, a)
				}
			})
			choice = append(choice, Point{float64(n), ns / choices})
			tick = append(tick, Point{float64(n), fastestNanoseconds(func() { p.Tick(startTime.Add(100 * time.Millisecond)) })})
		}
		addSeries("route.choice", "ns", "endpoints of a pool", true, choice)
		addSeries("route.tick", "ns", "endpoints of a pool", true, tick)
		addSeries("route.heap", "bytes", "endpoints of a pool", true, heap)
	}
}

// BenchmarkCapacityDigest measures the size of the load digest when a tenth of the
// endpoints have a request in flight.
func BenchmarkCapacityDigest(b *testing.B) {
	for b.Loop() {
		var points []Point
		for _, n := range []int{13, 187, 307} {
			p, rng := newPool(n), rand.New(rand.NewPCG(1, 2))
			startRequests(b, p, rng, make([]route.Attempt, max(1, n/10)))
			points = append(points, Point{float64(n), float64(len(p.AppendDigest(nil, 0)))})
		}
		addSeries("route.digest", "bytes", "endpoints of a pool, a tenth of them busy", false, points)
	}
}

// instanceList returns the response of the platform's store to a read of an instance
// list with n entries.
func instanceList(b testing.TB, n int) []byte {
	var out etcdjson.RangeResponse
	for i := range n {
		in := platform.Instance{ID: fmt.Sprintf("worker-%05d", i), Addr: fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250),
			Domain: fmt.Sprintf("domain-%02d", i%Domains), Region: fmt.Sprintf("region-%d", i%Regions),
			Role: platform.RoleEngine, State: platform.InstanceLive}
		value, err := json.Marshal(in)
		out.Kvs = append(out.Kvs, etcdjson.KeyValue{Key: []byte("platform/instances/" + in.ID), Value: must(b, value, err),
			ModRevision: int64(1_000_000 + i)})
	}
	out.Count = int64(n)
	text, err := json.Marshal(out)
	return must(b, text, err)
}

// BenchmarkCapacityList measures the size of one read of the instance list.
func BenchmarkCapacityList(b *testing.B) {
	for b.Loop() {
		var points []Point
		for _, divisor := range sizeDivisors {
			points = append(points, Point{float64(Instances / divisor), float64(len(instanceList(b, Instances/divisor)))})
		}
		addSeries("list.read", "bytes", "instances", false, points)
	}
}
