package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/config"
)

// wallClockRuns is the number of runs of a wall-clock measurement; the fastest counts.
const wallClockRuns = 3

// benchCommand is the command that measures the series of this package.
const benchCommand = "go test -run xxx -bench Capacity -benchtime 1x ./internal/capacity -slopes=write"

// sizeDivisors are the divisors of the target size at which most quantities are
// measured.
var sizeDivisors = []int{16, 4, 1}

// measuredSeries collects the series of a run for -slopes=write.
var measuredSeries []Series

func addSeries(name, unit, sizeOf string, nondeterministic bool, points []Point) {
	measuredSeries = append(measuredSeries, Series{Name: name, Unit: unit, SizeOf: sizeOf,
		Nondeterministic: nondeterministic, Command: benchCommand, Points: points})
}

// fastestNanoseconds returns the shortest time of wallClockRuns runs of f in ns.
func fastestNanoseconds(f func()) float64 {
	best := time.Duration(1<<63 - 1)
	for range wallClockRuns {
		start := time.Now()
		f()
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds())
}

// retainedHeap returns the heap in bytes that the result of build retains.
func retainedHeap(build func() any) float64 {
	build() // fills the sync.Pools of the libraries
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return after - before
}

// liveHeap returns the heap in use after three garbage collections, because a
// sync.Pool keeps its content for two; with one collection, retainedHeap was -6 MB.
func liveHeap() float64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func must[T any](b testing.TB, v T, err error) T {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
	return v
}

func accountName(i int) string { return fmt.Sprintf("account-%05d", i) }

// targetConfig returns a configuration of the target size divided by divisor.
func targetConfig(divisor int) *config.Config {
	c := config.New()
	for i := range Models {
		name := fmt.Sprintf("model-%02d", i)
		c.Services[name] = config.Service{Kind: config.KindModel, Models: []string{"chat-" + name}}
	}
	for i := range Endpoints / divisor {
		c.Endpoints[fmt.Sprintf("worker-%05d", i)] = config.Endpoint{
			Service: fmt.Sprintf("model-%02d", i%Models), Domain: fmt.Sprintf("domain-%02d", i%Domains),
			Address: fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250),
		}
	}
	accounts := Accounts / divisor
	for i := range accounts {
		c.Accounts[accountName(i)] = config.Account{Weight: 1, Keys: []string{fmt.Sprintf("sha256:%064x", i+1)}}
	}
	for i := range Budgets / divisor {
		c.Budgets[config.BudgetID(accountName(i%accounts), fmt.Sprintf("b%d", i/accounts))] = config.Budget{Order: i / accounts}
	}
	return c
}
