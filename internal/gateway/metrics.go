package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// requestBuckets range from lookups of milliseconds to answers of minutes.
var requestBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// firstTokenBuckets are the buckets of the time to the first token, whose target is
// 1.3 s.
var firstTokenBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1300 * time.Millisecond,
	2500 * time.Millisecond, 5 * time.Second,
}
