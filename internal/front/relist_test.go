package front

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
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
	values := recorder{value: make(chan string, 16)}
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
	if other.replace(fromPeerCopy, nil, 12); other.lastChangeRevision() != 12 {
		t.Errorf("digests tell of changes up to %d after a list without an item, want 12", other.lastChangeRevision())
	}
	revisions := make(map[string]platform.Revision)
	for _, i := range items {
		revisions[i.Key] = i.Revision
	}
	if diff := cmp.Diff(map[string]platform.Revision{"p/a": 5, "p/c": 11}, revisions); diff != "" || at != 9 {
		t.Errorf("items after the push at revision %d, want 9, so that what changed between the pages is read again (-want +got):\n%s", at, diff)
	}
}

// Guards against an endpoint that stays in use after its entry is gone: a follower that never
// knew the entry found only later changes in a list and passed these on, so that the other
// daemon never asked for the removal.
func TestListRemovesItemsThatTheFollowerNeverKnew(t *testing.T) {
	pushed := make(chan *meshpb.Changes, 1)
	values := recorder{value: make(chan string, 16)}
	follower := newFeed("p/", nil, values, fixedFleet{follows: true, broadcast: pushed}, func() {}, zerolog.Nop())
	other := newFeed("p/", nil, values, fixedFleet{}, func() {}, zerolog.Nop())
	kept := platform.Item{Key: "p/a", Value: []byte("1"), Revision: 1}
	follower.replace(fromList, []platform.Item{kept}, 1)
	other.replace(fromList, []platform.Item{kept, {Key: "p/gone", Value: []byte("1"), Revision: 2}}, 2)
	// p/gone is removed at revision 3, and the history is dropped.
	list := []platform.Item{{Key: "p/a", Value: []byte("2"), Revision: 4}}
	follower.broadcast(follower.changesTo(list, 4), 4)
	other.receive(time.Now(), <-pushed)
	if items, at := other.snapshot(); len(items) != 1 || items[0].Key != "p/a" || at != 4 {
		t.Errorf("items %v at revision %d after the push, want p/a only, at 4", items, at)
	}
}
