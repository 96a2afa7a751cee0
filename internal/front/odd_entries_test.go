package front

import (
	"net/http"
	"strings"
	"testing"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// putRaw writes bytes to a key of the store.
func (f *fleet) putRaw(key, value string) {
	f.t.Helper()
	var at platform.Revision
	if item, err := f.store.Get(f.t.Context(), key); err == nil {
		at = item.Revision
	}
	if _, err := f.store.CompareAndSwap(f.t.Context(), platform.Write{Key: key, Value: []byte(value), Expected: at}); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against an odd entry among the endpoints, read from the store or from a peer's copy,
// that ends a daemon, hides the other entries or stops the following of later changes.
func TestOddEntriesDoNotStopTheFollowing(t *testing.T) {
	f := newFleet(t, 100*(promptTokens+outputTokens))
	f.stores[2].partitioned.Store(true) // the third daemon depends on its peers
	entry := func(address, slots string) string {
		return `{"service":"desk","address":` + address + `,"zone":"z0","slots":` + slots + `,"state":"ready"}`
	}
	for name, value := range map[string]string{
		"nested": strings.Repeat("[", 1<<18), "nested-address": entry(strings.Repeat("[", 9000)+strings.Repeat("]", 9000), "6"),
		"large-number": entry(`"127.0.0.1:9"`, "1e999"), "many-slots": entry(`"127.0.0.1:9"`, "9223372036854775807"),
		"port": entry(`"127.0.0.1:99999"`, "6"), "no-port": entry(`"127.0.0.1:0"`, "6"), "bytes": "\xff\x00", "null": "null",
	} {
		f.putRaw("servers/"+name, value)
	}
	f.putRaw("op/config", strings.Repeat("[", 1<<18)) // the last configuration stays
	added := map[string]any{"service": "desk", "address": f.endpoint(), "zone": "z0", "slots": 6, "state": "ready"}
	f.put("servers/i-3", added)
	f.eventually("all daemons know the entry that follows, and no odd one", func() bool {
		for _, d := range f.daemons {
			if d.pools.available("desk") != 2 {
				return false
			}
		}
		return true
	})
	added["state"] = "draining"
	f.put("servers/i-3", added)
	f.configure(2, 100*(promptTokens+outputTokens), "/plan/")
	f.eventually("all daemons follow a leaving endpoint and a new configuration", func() bool {
		for _, d := range f.daemons {
			if table, _ := d.config.table(); d.pools.available("desk") != 1 || table.Version != 2 {
				return false
			}
		}
		return true
	})
	for i := range f.daemons {
		if status := f.send(i, "/order/x", false); status != http.StatusOK {
			t.Errorf("daemon %d: status %d", i, status)
		}
	}
}
