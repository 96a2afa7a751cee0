package etcdhttp_test

import (
	"context"
	"flag"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	standin "github.com/azurehatch/azurehatch/internal/standin/platform"
)

// TestMain sets a fixed seed for the random call sequences unless the command line
// sets one, so that runs are reproducible, and disables rapid's fail files, which
// would be written into the source tree.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		defaults["rapid.seed"] = "1"
	}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// clock is a manual clock.
type clock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

// backend is a store under test, with the memstore that holds its data and the
// clock of its leases and instance list.
type backend struct {
	platform.Store
	data  *memstore.Store
	clock *clock
}

func newMemoryBackend(testing.TB) backend {
	c := &clock{t: time.Unix(1000, 0)}
	s := memstore.New(c.now)
	return backend{Store: s, data: s, clock: c}
}

func newHTTPBackend(t testing.TB) backend {
	c := &clock{t: time.Unix(1000, 0)}
	server := standin.New(standin.Options{Now: c.now})
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	t.Cleanup(server.Close)
	return backend{Store: newStore(t, web.URL), data: server.Store, clock: c}
}

// newStore returns a store whose call timeout is long enough for a slow machine.
func newStore(t testing.TB, addrs ...string) *etcdhttp.Store {
	s, err := etcdhttp.New(etcdhttp.Options{Addrs: addrs, CallTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func put(t testing.TB, s platform.Store, w platform.Write) platform.Item {
	t.Helper()
	item, err := s.CompareAndSwap(context.Background(), w)
	if err != nil {
		t.Fatalf("write of %q: %v", w.Key, err)
	}
	return item
}

func wantErr(t testing.TB, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: error %v, want %v", what, err, want)
	}
}

// reporter is a testing.TB or a rapid.T.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
}

func wantSame(t reporter, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// contract lists the tests that every Store must pass. Each is named after the
// failure that it guards against.
var contract = []struct {
	name string
	run  func(t *testing.T, b backend)
}{
	{"a value or an operation ID is altered", testValues},
	{"an update is lost", testConflicts},
	{"a retried write takes effect twice", testRetriedWrites},
	{"a list has other keys or is not sorted", testList},
	{"a delete removes a newer value", testDelete},
	{"a value above the limit is stored", testTooLarge},
	{"a key outlives its lease, or a lease its TTL", testLeases},
	{"a watch misses changes or reports other keys", testWatch},
	{"a failed watch ends without an error", testBrokenWatch},
	{"a watch from a compacted revision omits changes without an error", testCompactedRevision},
	{"an outage is reported as a result", testOutage},
	{"the instance list is wrong", testInstances},
}

func TestContract(t *testing.T) {
	for _, b := range []struct {
		name string
		open func(testing.TB) backend
	}{{"memstore", newMemoryBackend}, {"etcdhttp", newHTTPBackend}} {
		for _, c := range contract {
			t.Run(b.name+"/"+c.name, func(t *testing.T) { c.run(t, b.open(t)) })
		}
	}
}

func testValues(t *testing.T, b backend) {
	_, err := b.Get(t.Context(), "missing")
	wantErr(t, "missing key", err, platform.ErrNotFound)
	for i, value := range []string{"text", "", "\x00\xff\n", "azurehatch/1 \"x\"\nvalue"} {
		w := platform.Write{
			Key: "dir/key \u00e9 \x01", Value: []byte(value), Expected: platform.Revision(i),
			OpID: "op\n\"" + string(rune('a'+i)),
		}
		want := platform.Item{Key: w.Key, Value: w.Value, Revision: platform.Revision(i + 1), OpID: w.OpID}
		wantSame(t, "item written", want, put(t, b, w))
		got, err := b.Get(t.Context(), w.Key)
		wantErr(t, "get", err, nil)
		wantSame(t, "item read", want, got)
	}
}

func testConflicts(t *testing.T, b backend) {
	first := put(t, b, platform.Write{Key: "k", Value: []byte("a"), OpID: "1"})
	unnamed := put(t, b, platform.Write{Key: "unnamed"})
	for _, tc := range []struct {
		w      platform.Write
		actual platform.Item
	}{
		{platform.Write{Key: "k", OpID: "2"}, first},
		{platform.Write{Key: "k", OpID: "2", Expected: 7}, first},
		{platform.Write{Key: "k"}, first},
		{platform.Write{Key: "unnamed"}, unnamed},
		{platform.Write{Key: "other", OpID: "2", Expected: 1}, platform.Item{}},
	} {
		_, err := b.CompareAndSwap(t.Context(), tc.w)
		c, ok := platform.AsConflict(err)
		if !ok {
			t.Fatalf("write %+v: error %v, want a conflict", tc.w, err)
		}
		wantSame(t, "conflict", &platform.ConflictError{Key: tc.w.Key, Expected: tc.w.Expected, Actual: tc.actual}, c)
	}
}

func testRetriedWrites(t *testing.T, b backend) {
	for i, lost := range []int{0, 1} {
		b.data.SetFaults(memstore.Faults{LoseAnswers: lost})
		w := platform.Write{
			Key: "k", Value: []byte("v"), Expected: platform.Revision(i), OpID: "op" + string(rune('0'+i)),
		}
		if _, err := b.CompareAndSwap(t.Context(), w); err != nil &&
			(lost == 0 || !errors.Is(err, platform.ErrOutcomeUnknown)) {
			t.Fatalf("%d responses lost: error %v", lost, err)
		}
		want := platform.Item{Key: "k", Value: w.Value, Revision: platform.Revision(i + 1), OpID: w.OpID}
		wantSame(t, "repeat", want, put(t, b, w))
	}
}

func testList(t *testing.T, b backend) {
	for _, key := range []string{"a/2", "b/1", "a/1", "a0", "a/\xff"} {
		put(t, b, platform.Write{Key: key, OpID: key})
	}
	for prefix, want := range map[string][]string{
		"a/": {"a/1", "a/2", "a/\xff"}, "": {"a/1", "a/2", "a/\xff", "a0", "b/1"}, "a/\xff": {"a/\xff"}, "c": nil,
	} {
		items, err := b.List(t.Context(), prefix)
		wantErr(t, "list", err, nil)
		var keys []string
		for _, it := range items {
			keys = append(keys, it.Key)
		}
		wantSame(t, "keys with prefix "+prefix, want, keys)
	}
}

func testDelete(t *testing.T, b backend) {
	first := put(t, b, platform.Write{Key: "k", OpID: "1"})
	second := put(t, b, platform.Write{Key: "k", OpID: "2", Expected: first.Revision})
	c, ok := platform.AsConflict(b.Delete(t.Context(), "k", first.Revision))
	if !ok || c.Actual.Revision != second.Revision {
		t.Fatalf("delete of an old revision: conflict %+v", c)
	}
	b.data.SetFaults(memstore.Faults{LoseAnswers: 1})
	wantErr(t, "delete without response", b.Delete(t.Context(), "k", second.Revision), platform.ErrOutcomeUnknown)
	_, err := b.Get(t.Context(), "k")
	wantErr(t, "get after delete", err, platform.ErrNotFound)
	if c, ok := platform.AsConflict(b.Delete(t.Context(), "k", second.Revision)); !ok || c.Actual.Revision != 0 {
		t.Errorf("repeated delete: conflict %+v, want revision 0", c)
	}
	wantErr(t, "delete of a missing key", b.Delete(t.Context(), "k", 0), nil)
}

func testTooLarge(t *testing.T, b backend) {
	_, err := b.CompareAndSwap(t.Context(), platform.Write{Key: "k", Value: make([]byte, platform.MaxValueBytes+1)})
	wantErr(t, "value above the limit", err, platform.ErrTooLarge)
	put(t, b, platform.Write{Key: "k", Value: make([]byte, platform.MaxValueBytes-256), OpID: "1"})
}
