package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/relay"
)

// Guards against digests that grow with each connection that ever broke: after 240 of them
// the digests took a fifth of a link of 10 Mbit/s, and digests of 1,000 took all of it.
func TestExchangedCrashesAreBounded(t *testing.T) {
	c := newCrashIsolator(zerolog.Nop())
	const deadly = 1
	for i := range crashesToIsolate {
		c.Crashed(relay.Fingerprint{Content: deadly}, fmt.Sprint("p", i))
	}
	for i := range poison.Digest(3000) {
		c.Crashed(relay.Fingerprint{Content: 100 + i}, fmt.Sprint("e", i%4))
	}
	sent := func(after time.Duration) (total, isolated int) {
		entries := c.entries(time.Now().Add(after))
		for _, e := range entries {
			if e.Digest == deadly {
				isolated++
			}
		}
		return len(entries), isolated
	}
	if total, isolated := sent(0); total > maxCrashEntries+crashesToIsolate || isolated != crashesToIsolate {
		t.Errorf("%d entries after 3,003 crashes, %d of the isolated request; want at most %d and %d",
			total, isolated, maxCrashEntries+crashesToIsolate, crashesToIsolate)
	}
	if total, isolated := sent(crashEntryAge + time.Second); total != crashesToIsolate || isolated != crashesToIsolate {
		t.Errorf("%d entries once all peers know of them, %d of the isolated request; want %d of it only",
			total, isolated, crashesToIsolate)
	}
}
