package retry

import (
	"math"
	"time"
)

const (
	// 112 buckets of ratio 1.15 from 1 ms reach 6,600 s.
	bucketCount      = 112
	bucketRatio      = 1.15
	firstBucketBound = float64(time.Millisecond) // upper bound in ns
	// decayThreshold is the number of samples at which all counts are halved, so
	// that the quantiles follow changes.
	decayThreshold = 2048
)

var logBucketRatio = math.Log(bucketRatio)

// histogram counts durations in logarithmic buckets. Old samples decay.
type histogram struct {
	counts [bucketCount]int32
	total  int32
}

func (h *histogram) add(d time.Duration) {
	k := 0
	if x := float64(d) / firstBucketBound; x > 1 {
		k = min(bucketCount-1, int(math.Ceil(math.Log(x)/logBucketRatio)))
	}
	h.counts[k]++
	h.total++
	if h.total < decayThreshold {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds quantile q, 0 without
// samples.
func (h *histogram) quantile(q float64) time.Duration {
	rank := int32(math.Ceil(q * float64(h.total)))
	sum := int32(0)
	for k, n := range h.counts {
		sum += n
		if sum >= rank && sum > 0 {
			return time.Duration(firstBucketBound * math.Pow(bucketRatio, float64(k)))
		}
	}
	return 0
}
