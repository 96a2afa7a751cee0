// Package heaptest measures the memory that tests keep.
package heaptest

import (
	"runtime"
	"runtime/metrics"
)

// Live returns the bytes of the objects that a garbage collection, which it starts, has found
// in use. What is allocated since, by goroutines that run on, is not counted.
func Live() int64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
