package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// requestBuckets cover lookups of milliseconds and answers of minutes.
var requestBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// tokenBuckets cover the time to the first token around its target of 1.3 s.
var tokenBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1300 * time.Millisecond,
	2500 * time.Millisecond, 5 * time.Second,
}
