// Package openapicheck tests that the routes, requests and responses of the
// administration API match its OpenAPI description.
package openapicheck

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/legacy"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// fakeBackend implements admin.Accounts and admin.Fleet.
type fakeBackend struct{}

func (fakeBackend) Account(_ context.Context, name string) (admin.Account, error) {
	return admin.Account{Name: name, Budgets: []admin.Budget{{Name: "main"}}}, nil
}
func (fakeBackend) List(context.Context) ([]admin.Account, error) {
	return []admin.Account{{Name: "acme"}}, nil
}
func (fakeBackend) TopUp(_ context.Context, t admin.TopUp) (admin.Budget, error) {
	return admin.Budget{Name: t.Budget, Prepaid: t.Tokens}, nil
}
func (fakeBackend) HasSpend(string) bool { return false }
func (fakeBackend) Status(context.Context) (admin.FleetStatus, error) {
	return admin.FleetStatus{Daemons: []admin.Daemon{{ID: "d1"}}}, nil
}

func (fakeBackend) Resume(_ context.Context, service string) error {
	if service != "halted" {
		return admin.ErrNotHalted
	}
	return nil
}
func (fakeBackend) Preview(context.Context, *config.Config, []string) ([]admin.ServiceOrders, error) {
	return []admin.ServiceOrders{{
		Service: "m", Halt: &admin.Halt{Version: "v2"}, Unhealthy: []string{"e1"}, Unreachable: []string{"e2"},
		Orders: []admin.OpenOrder{{ID: 1, Endpoint: "e1"}}, Plan: []admin.PlannedOrder{{Step: 1, Endpoint: "e1", Risk: "late"}},
	}}, nil
}

// fakeOrders implements admin.Orders, whose Status method has a different signature
// than that of admin.Fleet.
type fakeOrders struct{ fakeBackend }

func (o fakeOrders) Status(ctx context.Context, _ string) ([]admin.ServiceOrders, error) {
	return o.Preview(ctx, nil, nil)
}

const configText = `
[service.s]
kind = "plain"
[endpoint.e1]
service = "s"
address = "127.0.0.1:9001"
domain = "a"
[account.acme]
`

func newAPI(current *config.Config) *admin.API {
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { now = now.Add(time.Second); return now }
	return admin.New(admin.Options{Store: memstore.New(clock), Accounts: fakeBackend{}, Fleet: fakeBackend{}, Orders: fakeOrders{},
		Config: func() *config.Config { return current }, Log: zerolog.Nop(), Now: clock,
		// SHA-256 of "token"
		BootstrapToken: "sha256:3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"})
}

func loadSpec(t *testing.T) *openapi3.T {
	t.Helper()
	doc, err := openapi3.NewLoader().LoadFromFile("../openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	return doc
}

// Guards against routes without a description and descriptions without a route.
func TestRoutesAreDescribed(t *testing.T) {
	var described []string
	parameter := regexp.MustCompile(`\{(\w+)\}`)
	for path, item := range loadSpec(t).Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+parameter.ReplaceAllString(path, ":$1"))
		}
	}
	routes := newAPI(nil).Routes()
	slices.Sort(described)
	slices.Sort(routes)
	if diff := cmp.Diff(routes, described); diff != "" {
		t.Errorf("openapi.yaml differs from the routes (-routes +file):\n%s", diff)
	}
}

// Guards against requests and responses that do not match their description.
func TestResponsesMatchDescription(t *testing.T) {
	router, err := legacy.NewRouter(loadSpec(t))
	if err != nil {
		t.Fatal(err)
	}
	api := newAPI(nil)
	for _, test := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/v1/configuration", `{"base":0,"reason":"setup","text":` + jsonQuote(configText) + `}`, 200},
		{"POST", "/v1/configuration", `{"base":0,"reason":"bad","text":"x = 1"}`, 422},
		{"GET", "/v1/configuration", "", 200},
		{"GET", "/v1/configuration?revision=7", "", 404},
		{"POST", "/v1/configuration/check", `{"text":""}`, 200},
		{"POST", "/v1/configuration/diff", `{"base":1,"text":""}`, 200},
		{"POST", "/v1/endpoints/e1/drain", `{"reason":"repair","allow":["last-endpoint"]}`, 200},
		{"POST", "/v1/configuration/rollback", `{"base":2,"to":1,"reason":"undo"}`, 200},
		{"POST", "/v1/configuration/rollback", `{"base":1,"to":1,"reason":"undo"}`, 409},
		{"GET", "/v1/configuration/history", "", 200},
		{"GET", "/v1/accounts", "", 200},
		{"GET", "/v1/accounts/acme", "", 200},
		{"POST", "/v1/accounts/acme/topup", `{"budget":"main","tokens":5,"reason":"invoice"}`, 403},
		{"GET", "/v1/fleet", "", 200},
		{"GET", "/v1/orders", "", 200},
		{"GET", "/v1/orders?service=m", "", 200},
		{"POST", "/v1/orders/halted/resume", `{"reason":"repaired"}`, 200},
		{"POST", "/v1/orders/m/resume", `{"reason":"repaired"}`, 409},
		{"POST", "/v1/orders/halted/resume", `{}`, 400},
		{"POST", "/v1/configuration/diff", `{"base":1,"text":"[service.m]\nkind = \"model\"\nmodels = [\"m\"]\nversion = \"v2\"\n"}`, 200},
		{"GET", "/v1/audit", "", 200},
		{"GET", "/v1/audit?from=x", "", 400},
	} {
		checkCall(t, router, api, test.method, test.path, test.body, test.status)
	}
}

func jsonQuote(s string) string {
	return `"` + string(bytes.ReplaceAll(bytes.ReplaceAll([]byte(s), []byte(`"`), []byte(`\"`)), []byte("\n"), []byte(`\n`))) + `"`
}

func checkCall(t *testing.T, router routers.Router, api *admin.API, method, path, body string, status int) {
	t.Helper()
	newRequest := func() *http.Request {
		r := httptest.NewRequest(method, path, bytes.NewReader([]byte(body)))
		r.Header.Set("Authorization", "Bearer token")
		if body != "" {
			r.Header.Set("Content-Type", "application/json")
		}
		return r
	}
	r := newRequest()
	route, params, err := router.FindRoute(r)
	if err != nil {
		t.Errorf("%s %s: %v", method, path, err)
		return
	}
	input := &openapi3filter.RequestValidationInput{Request: r, PathParams: params, Route: route,
		Options: &openapi3filter.Options{AuthenticationFunc: openapi3filter.NoopAuthenticationFunc}}
	// A request that the API rejects as malformed does not have to match.
	if err := openapi3filter.ValidateRequest(context.Background(), input); err != nil && status != 400 {
		t.Errorf("%s %s: request: %v", method, path, err)
	}
	w := httptest.NewRecorder()
	api.ServeHTTP(w, newRequest())
	if w.Code != status {
		t.Errorf("%s %s: status %d, want %d: %s", method, path, w.Code, status, w.Body)
	}
	output := &openapi3filter.ResponseValidationInput{RequestValidationInput: input, Status: w.Code, Header: w.Header(),
		Body: io.NopCloser(bytes.NewReader(w.Body.Bytes()))}
	if err := openapi3filter.ValidateResponse(context.Background(), output); err != nil {
		t.Errorf("%s %s: response: %v", method, path, err)
	}
}
