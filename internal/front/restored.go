package front

import (
	"math/rand/v2"
	"time"
)

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(d)) }
