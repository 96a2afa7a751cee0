package front

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// compactedLog is a store that drops its history while one key changes, one is removed
// and one is added.
type compactedLog struct{ lists int }

var itemsBeforeCompaction = []platform.Item{
	{Key: "p/a", Value: []byte("1"), Revision: 1}, {Key: "p/b", Value: []byte("1"), Revision: 2},
}

func (l *compactedLog) Range(context.Context, string) ([]platform.Item, platform.Revision, error) {
	l.lists++
	if l.lists == 1 {
		return itemsBeforeCompaction, 2, nil
	}
	return []platform.Item{
		{Key: "p/a", Value: []byte("2"), Revision: 5},
		// Written between two pages of the list; the next poll returns it again.
		{Key: "p/c", Value: []byte("1"), Revision: 11},
	}, 9, nil
}

func (*compactedLog) Probe(context.Context) error { return nil }

func (l *compactedLog) Poll(
	ctx context.Context, _ string, after platform.Revision, _ time.Duration,
) (platform.Changes, error) {
	if after < 9 {
		return platform.Changes{}, platform.ErrCompacted
	}
	<-ctx.Done()
	return platform.Changes{}, platform.ErrUnavailable
}

// Guards against changes that a follower finds in a list, after the store dropped its
// history, and does not pass on: the fleet had a configuration 1 s late, and an endpoint
// whose entry was removed stayed in use.
func TestChangesFoundInAListArePassedOn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	pushed := make(chan *meshpb.Changes, 8)
	values := recorder{value: make(chan string, 8)}
	follower := newFeed("p/", &compactedLog{}, values, fixedFleet{follows: true, broadcast: pushed}, func() {}, zerolog.Nop())
	go follower.run(ctx)
	var changes *meshpb.Changes
	select {
	case changes = <-pushed:
	case <-time.After(2 * time.Second):
		t.Fatal("the changes in the second list were not passed on")
	}
	other := newFeed("p/", &compactedLog{}, values, fixedFleet{}, func() {}, zerolog.Nop())
	other.replace(fromList, itemsBeforeCompaction, 2)
	other.receive(time.Now(), changes)
	items, at := other.snapshot()
	if other.replace(fromPeerCopy, nil, 10); other.lastChangeRevision() != 10 {
		t.Errorf("digests tell of changes up to %d after a list without an item, want 10", other.lastChangeRevision())
	}
	if len(items) != 1 || string(items[0].Value) != "2" || at != 9 {
		t.Errorf("items %v at revision %d after the push, want p/a at its second value only, at revision 9", items, at)
	}
}
