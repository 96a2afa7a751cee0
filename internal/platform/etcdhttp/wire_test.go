package etcdhttp_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// Guards against an adapter and a stand-in that agree on a protocol other than
// etcd's: requests must be the JSON of etcd's API reference.
func TestRequestsOnTheWire(t *testing.T) {
	var mu sync.Mutex
	var requests []string
	s := newStore(t, startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		requests = append(requests, r.Method+" "+r.URL.Path+" "+string(body))
		mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
	})))
	ctx := t.Context()
	_, _ = s.Get(ctx, "k")
	_, _ = s.List(ctx, "d/")
	_, _ = s.CompareAndSwap(ctx, platform.Write{Key: "k", Value: []byte("v"), Expected: 3, OpID: "o", Lease: 9})
	_ = s.Delete(ctx, "k", 3)
	_, _ = s.GrantLease(ctx, 1500*time.Millisecond)
	_ = s.KeepAlive(ctx, 9)
	_ = s.Revoke(ctx, 9)
	_, _ = s.Watch(ctx, "d/", 41)
	const cond = `{"compare":[{"key":"YXp1cmVoYXRjaC9r","target":"MOD","result":"EQUAL","mod_revision":"3"}],"success":`
	const read = `,"failure":[{"request_range":{"key":"YXp1cmVoYXRjaC9r"}}]}`
	wantSame(t, "requests", []string{
		`POST /v3/kv/range {"key":"YXp1cmVoYXRjaC9r"}`,
		`POST /v3/kv/range {"key":"YXp1cmVoYXRjaC9kLw==","range_end":"YXp1cmVoYXRjaC9kMA=="}`,
		`POST /v3/kv/txn ` + cond +
			`[{"request_put":{"key":"YXp1cmVoYXRjaC9r","value":"YXp1cmVoYXRjaC8xICJvIgp2","lease":"9"}}]` + read,
		`POST /v3/kv/txn ` + cond + `[{"request_delete_range":{"key":"YXp1cmVoYXRjaC9r"}}]` + read,
		`POST /v3/lease/grant {"TTL":"2"}`,
		`POST /v3/lease/keepalive {"ID":"9"}`,
		`POST /v3/lease/revoke {"ID":"9"}`,
		`POST /v3/watch {"create_request":{"key":"YXp1cmVoYXRjaC9kLw==","range_end":"YXp1cmVoYXRjaC9kMA==","start_revision":"42"}}`,
	}, requests)
}

// Guards against a range that selects keys without the prefix.
func TestPrefixRange(t *testing.T) {
	for prefix, want := range map[string][2]string{
		"a/": {"a/", "a0"}, "a\xff": {"a\xff", "b"}, "": {"\x00", "\x00"}, "\xff": {"\xff", "\x00"},
	} {
		key, end := etcdjson.PrefixRange(prefix)
		wantSame(t, "range of "+prefix, want, [2]string{string(key), string(end)})
	}
}

// Guards against call sequences after which the adapter and an in-memory store
// differ. Responses are lost at random; the adapter must then find out the outcome
// of a write by itself.
func TestMatchesMemstore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		oracle, b := newMemoryBackend(t), newHTTPBackend(t)
		key := rapid.SampledFrom([]string{"a", "a/1", "b"})
		revision := rapid.Int64Range(0, 12)
		op := rapid.IntRange(0, 8)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			b.data.SetFaults(memstore.Faults{LoseAnswers: rapid.IntRange(0, 1).Draw(rt, "lost")})
			k, rev := key.Draw(rt, "key"), platform.Revision(revision.Draw(rt, "revision"))
			if rapid.IntRange(0, 3).Draw(rt, "stale") > 0 { // most calls expect the key's current revision
				cur, _ := oracle.Get(t.Context(), k)
				rev = cur.Revision
			}
			switch rapid.IntRange(0, 4).Draw(rt, "call") {
			case 0:
				want, wantError := oracle.Get(t.Context(), k)
				got, err := b.Get(t.Context(), k)
				wantSame(rt, "get", callResult{want, typedError(wantError)}, callResult{got, typedError(err)})
			case 1:
				want, wantError := oracle.List(t.Context(), k)
				got, err := b.List(t.Context(), k)
				wantSame(rt, "list", callResult{want, typedError(wantError)}, callResult{got, typedError(err)})
			case 2:
				b.data.SetFaults(memstore.Faults{})
				want, err := typedError(oracle.Delete(t.Context(), k, rev)), typedError(b.Delete(t.Context(), k, rev))
				wantSame(rt, "delete", want, err)
			default:
				w := platform.Write{
					Key: k, Expected: rev, Value: []byte{byte(rev)}, OpID: string(rune('a' + op.Draw(rt, "op"))),
				}
				if cur, err := oracle.Get(t.Context(), k); err == nil && cur.Revision == rev && cur.OpID == w.OpID {
					w.OpID += "'" // a new write has a new operation ID
				}
				want, wantError := oracle.CompareAndSwap(t.Context(), w)
				got, err := b.CompareAndSwap(t.Context(), w)
				wantSame(rt, "write", callResult{want, typedError(wantError)}, callResult{got, typedError(err)})
			}
		}
	})
}

// callResult is the value and the error that a call returned.
type callResult struct {
	Value any
	Error any
}

// typedError returns the conflict in err's chain or the text of the platform's
// error in it, without the location of the failure.
func typedError(err error) any {
	if c, ok := platform.AsConflict(err); ok {
		return *c
	}
	for _, typed := range []error{platform.ErrNotFound, platform.ErrUnavailable, platform.ErrOutcomeUnknown} {
		if err != nil && errors.Is(err, typed) {
			return typed.Error()
		}
	}
	return err
}
