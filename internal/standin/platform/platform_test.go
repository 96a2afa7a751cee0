package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serveRequest(s *Server, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against an admin request that has no effect. Each step depends on those
// before it. The paths of etcd's API are covered by the contract tests of etcdhttp.
func TestAdmin(t *testing.T) {
	s := New(Options{})
	defer s.Close()
	const rangeOfList = `{"key":"cGxhdGZvcm0vaW5zdGFuY2VzLw==","range_end":"cGxhdGZvcm0vaW5zdGFuY2VzMA=="}`
	for _, step := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/admin/instances", `{"id":"d1","domain":"fd-1"}`, 200, `"state":"live"`},
		{"POST", "/admin/instances", `{"domain":"fd-1"}`, 400, `no id`},
		{"POST", "/v3/kv/range", rangeOfList, 200, `"key":"cGxhdGZvcm0vaW5zdGFuY2VzL2Qx"`},
		{"DELETE", "/admin/instances/d1", ``, 204, ``},
		{"POST", "/v3/kv/range", rangeOfList, 200, `{"header":{}}`},
		{"POST", "/v3/lease/grant", `{"TTL":"60"}`, 200, `{"ID":"1","TTL":"60"}`},
		{"POST", "/v3/lease/keepalive", `{"ID":"1"}`, 200, `"TTL":"1"`},
		{"POST", "/admin/leases/x/expire", ``, 400, `not a number`},
		{"POST", "/admin/leases/1/expire", ``, 204, ``},
		{"POST", "/v3/lease/keepalive", `{"ID":"1"}`, 200, `{"result":{"ID":"1"}}`},
		{"GET", "/admin/calls", ``, 200, `{"conflicts":0,"reads":2,"watches":0,"writes":3}`},
		{"PUT", "/admin/faults", `{"outage":true}`, 200, `"outage":true`},
		{"GET", "/admin/faults", ``, 200, `"outage":true`},
		{"GET", "/health", ``, 503, `false`},
		{"POST", "/v3/kv/range", rangeOfList, 503, `"code":14`},
		{"PUT", "/admin/faults", `{}`, 200, `"outage":false`},
		{"GET", "/health", ``, 200, `true`},
		{"POST", "/v3/kv/range", `{`, 400, `"code":3`},
	} {
		got := serveRequest(s, step.method, step.path, step.body)
		if got.Code != step.status || !strings.Contains(got.Body.String(), step.want) {
			t.Errorf("%s %s %s: status %d, %s, want %d, %s",
				step.method, step.path, step.body, got.Code, got.Body, step.status, step.want)
		}
	}
}

// Guards against a request that the stand-in does not implement but accepts.
// "YQ==" and "Yg==" are the keys a and b.
func TestUnsupportedRequests(t *testing.T) {
	s := New(Options{})
	defer s.Close()
	const (
		cond    = `{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"}`
		success = `"success":[{"request_put":{"key":"YQ==","value":"YQ=="}}]`
	)
	for _, body := range []string{
		`{"compare":[],` + success + `}`,
		`{"compare":[` + cond + `,` + cond + `],` + success + `}`,
		`{"compare":[` + cond + `]}`,
		`{"compare":[` + cond + `],"success":[{}]}`,
		`{"compare":[` + strings.Replace(cond, "YQ==", "Yg==", 1) + `],` + success + `}`,
		`{"compare":[` + strings.Replace(cond, "MOD", "VERSION", 1) + `],` + success + `}`,
		`{"compare":[` + strings.Replace(cond, "EQUAL", "LESS", 1) + `],` + success + `}`,
		`{"compare":[` + cond + `],` + success + `,"failure":[{"request_range":{"key":"Yg=="}}]}`,
	} {
		if got := serveRequest(s, http.MethodPost, "/v3/kv/txn", body); got.Code != http.StatusNotImplemented {
			t.Errorf("transaction %s: status %d", body, got.Code)
		}
	}
	if got := serveRequest(s, http.MethodPost, "/v3/kv/range",
		`{"key":"YQ==","range_end":"eg=="}`); got.Code != http.StatusNotImplemented {
		t.Errorf("range that does not select a prefix: status %d", got.Code)
	}
	if got := serveRequest(s, http.MethodPost, "/v3/kv/txn",
		`{"compare":[`+cond+`],`+success+`}`); got.Code != http.StatusOK {
		t.Errorf("supported transaction: status %d: %s", got.Code, got.Body)
	}
}

// Guards against an expired lease of which watchers are notified only when another
// call arrives.
func TestLeaseExpiresWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		defer s.Close()
		id, err := s.Store.GrantLease(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		item, err := s.Store.CompareAndSwap(t.Context(), platform.Write{Key: "k", Lease: id})
		if err != nil {
			t.Fatal(err)
		}
		events, err := s.Store.Watch(t.Context(), "", item.Revision)
		if err != nil {
			t.Fatal(err)
		}
		if ev := <-events; !ev.Deleted || ev.Item.Key != "k" {
			t.Errorf("event %+v, want the deletion of k", ev)
		}
		s.Store.SetFaults(memstore.Faults{Outage: true})
		if ev := <-events; !errors.Is(ev.Err, platform.ErrUnavailable) {
			t.Errorf("event %+v, want the end of the watch", ev)
		}
	})
}
