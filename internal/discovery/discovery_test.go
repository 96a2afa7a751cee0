package discovery

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// decode parses items of the form "service addr [leaving|again]". Other items
// are not registrations; "again" stands for a restarted process.
func decode(i platform.Item) (Entry, bool) {
	f := strings.Fields(string(i.Value))
	if len(f) < 2 {
		return Entry{}, false
	}
	e := Entry{ID: i.Key, Service: f[0], Addr: f[1], Leaving: len(f) > 2 && f[2] == "leaving"}
	if len(f) > 2 && f[2] == "again" {
		e.Incarnation = 2
	}
	return e, true
}

func item(key, value string, rev platform.Revision) platform.Item {
	return platform.Item{Key: key, Value: []byte(value), Revision: rev}
}

func deletion(key string, rev platform.Revision) platform.Event {
	return platform.Event{Item: platform.Item{Key: key, Revision: rev}, Deleted: true}
}

// describe returns a short description of each change.
func describe(changes []Change) []string {
	var described []string
	for _, c := range changes {
		described = append(described, []string{"put", "restarted", "removed"}[c.Kind]+" "+c.Entry.ID)
	}
	return described
}

func checkChanges(t *testing.T, changes []Change, expected ...string) {
	t.Helper()
	if diff := cmp.Diff(expected, describe(changes)); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// Guards against a list that reverts to an older revision, misses a removal or
// accepts an invalid registration.
func TestTableFollowsTheStore(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(decode)
	checkChanges(t, table.Replace(now, []platform.Item{item("a", "s 1", 3), item("b", "s 2", 4), item("c", "garbage", 5)}, 5), "put a", "put b")
	checkChanges(t, table.Apply(now, []platform.Event{{Item: item("a", "s 1", 3)}}, 5))
	checkChanges(t, table.Apply(now, []platform.Event{{Item: item("a", "s 1 again", 6)}, deletion("b", 7)}, 7), "restarted a", "removed b")
	checkChanges(t, table.Replace(now, []platform.Item{item("b", "s 2", 4)}, 4))
	checkChanges(t, table.Apply(now, []platform.Event{{Item: item("a", "other 1", 8)}}, 8), "removed a", "put a")
	checkChanges(t, table.Apply(now, []platform.Event{{Item: item("a", "garbage", 9)}}, 9), "removed a")
	checkChanges(t, table.Replace(now, nil, 10))
	if table.Revision() != 10 {
		t.Errorf("revision %d, want 10", table.Revision())
	}
}

// Guards against dropping live endpoints whose entries expired during a store
// outage, and against keeping endpoints that did not register again.
func TestEntriesThatLapse(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(decode)
	table.Replace(now, []platform.Item{item("a", "s 1", 1), item("b", "s 2", 2), item("l", "s 3 leaving", 3)}, 3)
	table.StoreUnreachable()
	now = now.Add(5 * time.Second)
	table.StoreReachable(now)
	checkChanges(t, table.Apply(now, []platform.Event{deletion("a", 4), deletion("b", 5), deletion("l", 6)}, 6), "removed l")
	now = now.Add(time.Second)
	checkChanges(t, table.Tick(now))
	checkChanges(t, table.Apply(now, []platform.Event{{Item: item("a", "s 1", 7)}}, 7), "put a")
	now = now.Add(1200 * time.Millisecond)
	checkChanges(t, table.Tick(now), "removed b")
	checkChanges(t, table.Apply(now, []platform.Event{deletion("a", 8)}, 8), "removed a")
}

// Guards against dropping a live endpoint that registered after the copy from which the store
// was restored, also where no outage was seen, and against keeping one that does not register
// again.
func TestEntriesMissingInARestoredStore(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(decode)
	table.Replace(now, []platform.Item{item("a", "s 1", 1), item("b", "s 2", 7), item("c", "s 3", 8)}, 8)
	restored, err := platform.NewRevision(1, 5)
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(10 * time.Second)
	checkChanges(t, table.Replace(now, []platform.Item{item("a", "s 1", restored-4)}, restored), "put a")
	checkChanges(t, table.Tick(now.Add(2*time.Second)))
	checkChanges(t, table.Apply(now, []platform.Event{{Item: item("b", "s 2", restored+1)}}, restored+1), "put b")
	checkChanges(t, table.Tick(now.Add(reregisterGrace)), "removed c")
}
