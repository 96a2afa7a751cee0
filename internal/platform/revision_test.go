package platform_test

import (
	"testing"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// Guards against revisions of a restored store that compare as older than those before.
func TestRevisionOrder(t *testing.T) {
	var last platform.Revision
	for _, r := range [][2]int64{{0, 1}, {0, platform.MaxNumber}, {1, 0}, {1, 7}, {2, 3}, {1<<20 - 1, platform.MaxNumber}} {
		got, err := platform.NewRevision(r[0], r[1])
		if err != nil {
			t.Fatal(err)
		}
		if got <= last || got.Era() != r[0] || got.Number() != r[1] {
			t.Errorf("revision %s of era %d and number %d after %s", got, r[0], r[1], last)
		}
		last = got
	}
	for _, r := range [][2]int64{{-1, 0}, {1 << 20, 0}, {0, -1}, {0, platform.MaxNumber + 1}} {
		if got, err := platform.NewRevision(r[0], r[1]); err == nil {
			t.Errorf("era %d and number %d: %s, want an error", r[0], r[1], got)
		}
	}
}
