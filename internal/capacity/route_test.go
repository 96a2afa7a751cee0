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

func pool(n int) *route.Pool {
	p := route.New(route.Options{})
	set := make([]route.Endpoint, n)
	for i := range set {
		set[i] = route.Endpoint{ID: route.EndpointID(fmt.Sprintf("worker-%05d", i)), Domain: fmt.Sprintf("domain-%02d", i%Domains), Slots: 16}
	}
	p.Update(start, set)
	return p
}

// load starts requests on the pool and returns how they are to be finished.
func load(b testing.TB, p *route.Pool, rng *rand.Rand, attempts []route.Attempt) {
	r := route.Request{PredictedTokens: 267, PromptTokens: 300, Domain: "domain-00"}
	for i := range attempts {
		c, err := p.Choose(start, &r, rng)
		p.Started(start, must(b, c, err), &r, &attempts[i])
	}
}

// BenchmarkCapacityChoice measures one choice with its bookkeeping, the tick
// and the heap of a pool.
func BenchmarkCapacityChoice(b *testing.B) {
	const choices = 20_000
	for b.Loop() {
		var choice, tick, heap []Point
		for _, n := range []int{20, 300, Endpoints} {
			heap = append(heap, Point{float64(n), heapOf(func() any { return pool(n) })})
			p, rng := pool(n), rand.New(rand.NewPCG(1, 2))
			attempts := make([]route.Attempt, n)
			load(b, p, rng, attempts)
			r := route.Request{PredictedTokens: 267, PromptTokens: 300, Domain: "domain-00"}
			ns := fastest(func() {
				for i := range choices {
					a := &attempts[i%n]
					p.Finished(start, a, route.Completed)
					c, err := p.Choose(start, &r, rng)
					if err != nil {
						b.Fatal(err)
					}
					p.Started(start, c, &r, a)
				}
			})
			choice = append(choice, Point{float64(n), ns / choices})
			tick = append(tick, Point{float64(n), fastest(func() { p.Tick(start.Add(100 * time.Millisecond)) })})
		}
		add("route.choice", "ns", "endpoints of a pool", true, choice)
		add("route.tick", "ns", "endpoints of a pool", true, tick)
		add("route.heap", "bytes", "endpoints of a pool", true, heap)
	}
}

// BenchmarkCapacityDigest measures the load digest with one request in progress
// on every tenth endpoint.
func BenchmarkCapacityDigest(b *testing.B) {
	for b.Loop() {
		var points []Point
		for _, n := range []int{13, 187, 307} {
			p, rng := pool(n), rand.New(rand.NewPCG(1, 2))
			load(b, p, rng, make([]route.Attempt, max(1, n/10)))
			points = append(points, Point{float64(n), float64(len(p.AppendDigest(nil, 0)))})
		}
		add("route.digest", "bytes", "endpoints of a pool, a tenth of them busy", false, points)
	}
}

// instanceList returns an answer of the platform's store as the adapter
// receives it.
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

// BenchmarkCapacityList measures one reading of the instance list.
func BenchmarkCapacityList(b *testing.B) {
	for b.Loop() {
		var points []Point
		for _, part := range fractions {
			points = append(points, Point{float64(Instances / part), float64(len(instanceList(b, Instances/part)))})
		}
		add("list.read", "bytes", "instances", false, points)
	}
}
