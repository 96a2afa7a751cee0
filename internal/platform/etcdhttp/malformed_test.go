package etcdhttp_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// newFixedResponseStore returns a client of a server that sends the same response
// to each call.
func newFixedResponseStore(t testing.TB, body string) platform.Store {
	return newStore(t, startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	})))
}

// Guards against a malformed response that is accepted as an empty one or as the
// response to another call. "YXp1cmVoYXRjaC9r" is the key "azurehatch/k", "eA==" is
// "x".
func TestMalformedResponses(t *testing.T) {
	get := func(ctx context.Context, s platform.Store) error { _, err := s.Get(ctx, "k"); return err }
	list := func(ctx context.Context, s platform.Store) error { _, err := s.List(ctx, ""); return err }
	instances := func(ctx context.Context, s platform.Store) error { _, err := s.Instances(ctx); return err }
	swap := func(ctx context.Context, s platform.Store) error {
		_, err := s.CompareAndSwap(ctx, platform.Write{Key: "k", Expected: 5, OpID: "1"})
		return err
	}
	remove := func(ctx context.Context, s platform.Store) error { return s.Delete(ctx, "k", 5) }
	grant := func(ctx context.Context, s platform.Store) error { _, err := s.GrantLease(ctx, 1); return err }
	keep := func(ctx context.Context, s platform.Store) error { return s.KeepAlive(ctx, 7) }
	watch := func(ctx context.Context, s platform.Store) error {
		events, err := s.Watch(ctx, "", 0)
		if err == nil {
			err = (<-events).Err
		}
		return err
	}
	const created = `{"result":{"created":true}}`
	for _, tc := range []struct {
		name string
		call func(context.Context, platform.Store) error
		body string
		want error
	}{
		{"not JSON", get, `<html>`, platform.ErrUnavailable},
		{"truncated", get, `{"kvs":[{"key":"YXp1`, platform.ErrUnavailable},
		{"not base64", get, `{"kvs":[{"key":"%%","mod_revision":"1"}]}`, platform.ErrUnavailable},
		{"not a number", get, `{"kvs":[{"key":"YXp1cmVoYXRjaC9r","mod_revision":"x"}]}`, platform.ErrUnavailable},
		{"another key", get, `{"kvs":[{"key":"eA==","mod_revision":"1"}]}`, platform.ErrUnavailable},
		{"no revision", get, `{"kvs":[{"key":"YXp1cmVoYXRjaC9r"}]}`, platform.ErrUnavailable},
		{"two keys", get,
			`{"kvs":[{"key":"YXp1cmVoYXRjaC9r","mod_revision":"1"},{"key":"eA==","mod_revision":"1"}]}`, platform.ErrUnavailable},
		{"list with another prefix", list, `{"kvs":[{"key":"eA==","mod_revision":"1"}]}`, platform.ErrUnavailable},
		{"list without revision", list, `{"kvs":[{"key":"YXp1cmVoYXRjaC9r"}]}`, platform.ErrUnavailable},
		{"incomplete list", list, `{"more":true}`, platform.ErrUnavailable},
		{"instance that is not a JSON document", instances,
			`{"kvs":[{"key":"cGxhdGZvcm0vaW5zdGFuY2VzL2E=","value":"eA==","mod_revision":"1"}]}`, platform.ErrUnavailable},
		{"write without revision", swap, `{"succeeded":true}`, platform.ErrOutcomeUnknown},
		{"write below its expected revision", swap, `{"succeeded":true,"header":{"revision":"4"}}`, platform.ErrOutcomeUnknown},
		{"conflict without the item", swap, `{}`, platform.ErrOutcomeUnknown},
		{"conflict with another key", swap,
			`{"responses":[{"response_range":{"kvs":[{"key":"eA==","mod_revision":"9"}]}}]}`, platform.ErrOutcomeUnknown},
		{"delete that is not JSON", remove, `ok`, platform.ErrOutcomeUnknown},
		{"lease without ID", grant, `{}`, platform.ErrOutcomeUnknown},
		{"keep alive of another lease", keep, `{"result":{"ID":"8","TTL":"1"}}`, platform.ErrOutcomeUnknown},
		{"keep alive with an error", keep, `{"error":{"code":14,"message":"m"}}`, platform.ErrOutcomeUnknown},
		{"watch that is not JSON", watch, `<html>`, platform.ErrUnavailable},
		{"watch without confirmation", watch,
			`{"result":{}}{"result":{"events":[{"kv":{"key":"YXp1cmVoYXRjaC9r","mod_revision":"1"}}]}}`, platform.ErrUnavailable},
		{"watch with an error", watch, created + `{"error":{"code":14,"message":"m"}}`, platform.ErrUnavailable},
		{"watch with an empty message", watch, created + `{}`, platform.ErrUnavailable},
		{"watch cancelled", watch,
			created + `{"result":{"canceled":true,"events":[{"kv":{"key":"YXp1cmVoYXRjaC9r","mod_revision":"1"}}]}}`,
			platform.ErrUnavailable},
		{"watch that ends", watch, created, platform.ErrUnavailable},
		{"event of another prefix", watch,
			created + `{"result":{"events":[{"kv":{"key":"eA==","mod_revision":"1"}}]}}`, platform.ErrUnavailable},
		{"event without revision", watch,
			created + `{"result":{"events":[{"kv":{"key":"YXp1cmVoYXRjaC9r"}}]}}`, platform.ErrUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wantErr(t, "call", tc.call(t.Context(), newFixedResponseStore(t, tc.body)), tc.want)
		})
	}
}

// Guards against a value without a valid envelope, as other tools write it, that
// is refused or altered.
func TestValuesOfOtherTools(t *testing.T) {
	for stored, want := range map[string]platform.Item{
		"eA==":                         {Value: []byte("x")},                    // x
		"YXp1cmVoYXRjaC8x":             {Value: []byte("azurehatch/1")},         // prefix without the trailing space
		"YXp1cmVoYXRjaC8xIHgKeQ==":     {Value: []byte("azurehatch/1 x\ny")},    // operation ID is not quoted
		"YXp1cmVoYXRjaC8xICJvcCIKeQ==": {Value: []byte("y"), OpID: "op"},        // valid envelope
		"YXp1cmVoYXRjaC8xICJvcCJ5":     {Value: []byte("azurehatch/1 \"op\"y")}, // no line break after the operation ID
	} {
		want.Key, want.Revision = "k", 3
		s := newFixedResponseStore(t, `{"kvs":[{"key":"YXp1cmVoYXRjaC9r","value":"`+stored+`","mod_revision":"3"}]}`)
		got, err := s.Get(t.Context(), "k")
		wantErr(t, "get", err, nil)
		wantSame(t, stored, want, got)
	}
}
