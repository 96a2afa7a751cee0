package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/rollout"
)

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// fakeAccounts implements Accounts.
type fakeAccounts struct{ topUps map[string]int64 }

func (l *fakeAccounts) Account(_ context.Context, name string) (Account, error) {
	if name != "acme" {
		return Account{}, platform.ErrNotFound
	}
	return Account{Name: name, Budgets: []Budget{{Name: "main", Prepaid: 5}}}, nil
}
func (l *fakeAccounts) List(ctx context.Context) ([]Account, error) {
	a, err := l.Account(ctx, "acme")
	return []Account{a}, err
}
func (l *fakeAccounts) TopUp(_ context.Context, t TopUp) (Budget, error) {
	l.topUps[t.OpID] = t.Tokens
	return Budget{Name: t.Budget, Prepaid: t.Tokens}, nil
}
func (l *fakeAccounts) HasSpend(account string) bool { return account == "acme" }

type fakeFleet struct{}

func (fakeFleet) Status(context.Context) (FleetStatus, error) {
	return FleetStatus{Daemons: []Daemon{{ID: "d1", Domain: "a", State: "live", Revision: 1}}}, nil
}

type harness struct {
	t        *testing.T
	store    *memstore.Store
	api      *API
	accounts *fakeAccounts
	now      time.Time
	config   *config.Config
}

const configText = `
[service.chat]
kind = "model"
models = ["m"]
[endpoint.e1]
service = "chat"
address = "127.0.0.1:9001"
domain = "a"
[endpoint.e2]
service = "chat"
address = "127.0.0.1:9002"
domain = "a"
[account.acme]
[account.acme.budget.main]
`

// operatorsText returns the configuration of one operator for each role. Name and
// token of an operator are the role.
func operatorsText() string {
	var b strings.Builder
	for _, role := range []string{"viewer", "operator", "billing"} {
		b.WriteString("[operator." + role + "]\noffice = \"north\"\nrole = \"" + role + "\"\ntoken = \"" + hashOf(role) + "\"\n")
	}
	return b.String()
}

// newHarness returns an API with a store that contains revision 1.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, accounts: &fakeAccounts{topUps: make(map[string]int64)}, now: time.Unix(1_000_000, 0)}
	h.store = memstore.New(func() time.Time { return h.now })
	h.api = New(Options{Store: h.store, Accounts: h.accounts, Fleet: fakeFleet{},
		Config:         func() *config.Config { return h.config },
		BootstrapToken: hashOf("first"), Log: zerolog.Nop(), Now: func() time.Time { return h.now }})
	h.call("POST", "/v1/configuration", "first",
		EditRequest{Reason: "setup", Text: configText + operatorsText()}, http.StatusOK, nil)
	h.config = h.currentConfig()
	return h
}

func (h *harness) currentConfig() *config.Config {
	h.t.Helper()
	result, err := h.api.runner.run(context.Background(), rollout.Edit{Action: rollout.ActionRead})
	if err != nil {
		h.t.Fatal(err)
	}
	return result.Config
}

// call sends a request, checks the status and decodes the response into out.
func (h *harness) call(method, path, token string, body any, status int, out any) *httptest.ResponseRecorder {
	h.t.Helper()
	h.now = h.now.Add(time.Second)
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			h.t.Fatal(err)
		}
	}
	r := httptest.NewRequest(method, path, &content)
	r.Header.Set("Content-Type", "application/json")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.api.ServeHTTP(w, r)
	if w.Code != status {
		h.t.Fatalf("%s %s: status %d, want %d: %s", method, path, w.Code, status, w.Body)
	}
	if status >= 400 && w.Header().Get("Content-Type") != "application/problem+json" {
		h.t.Errorf("%s %s: content type %q", method, path, w.Header().Get("Content-Type"))
	}
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			h.t.Fatal(err)
		}
	}
	return w
}

// Guards against edits that are lost or not audited, and against error responses
// that lack the details a client needs.
func TestEditFlow(t *testing.T) {
	h := newHarness(t)
	heavier := strings.Replace(configText, "[account.acme]", "[account.acme]\nweight = 3", 1) + operatorsText()
	var result EditResult
	edit := EditRequest{Base: 1, Reason: "more share", Text: heavier, OpID: "op-a"}
	h.call("POST", "/v1/configuration", "operator", edit, http.StatusOK, &result)
	if result.Revision != 2 || len(result.Changes) != 1 {
		t.Errorf("result %+v", result)
	}
	h.call("POST", "/v1/configuration", "operator", edit, http.StatusOK, &result)
	if !result.Repeated || result.Revision != 2 {
		t.Errorf("repeat: %+v", result)
	}
	var p Problem
	edit.OpID, edit.Text = "op-b", strings.Replace(configText, "[account.acme]", "[account.acme]\nweight = 4", 1)+operatorsText()
	h.call("POST", "/v1/configuration", "operator", edit, http.StatusConflict, &p)
	if len(p.Conflicts) != 1 || p.Conflicts[0].Name != "acme" || p.OpID != "op-b" {
		t.Errorf("conflict: %+v", p)
	}
	edit.Text = "[service.x]\nkind = \"odd\""
	h.call("POST", "/v1/configuration", "operator", edit, http.StatusUnprocessableEntity, &p)
	if len(p.Errors) != 1 || p.Errors[0].Line != 2 {
		t.Errorf("invalid text: %+v", p)
	}
	h.call("POST", "/v1/endpoints/e1/drain", "operator", EditRequest{Reason: "repair"}, http.StatusOK, &result)
	if h.currentConfig().Endpoints["e1"].State != config.StateLeaving {
		t.Error("endpoint is not leaving")
	}
	h.call("POST", "/v1/endpoints/e2/drain", "operator", EditRequest{Reason: "repair"}, http.StatusConflict, &p)
	if p.Type != problemTypeBase+"guarded-change" || len(p.Refusals) != 1 {
		t.Errorf("last endpoint: %+v", p)
	}
	h.call("POST", "/v1/endpoints/e9/drain", "operator", EditRequest{Reason: "repair"}, http.StatusNotFound, &p)
	h.call("POST", "/v1/configuration/rollback", "operator", EditRequest{Base: 3, To: 1, Reason: "undo"}, http.StatusOK, &result)
	if result.Revision != 4 {
		t.Errorf("rollback made revision %d, want 4", result.Revision)
	}
	h.call("POST", "/v1/configuration/rollback", "operator", EditRequest{Base: 3, To: 1, Reason: "undo"}, http.StatusConflict, &p)
	if p.Current != 4 {
		t.Errorf("stale rollback: %+v", p)
	}
	var history AuditPage
	h.call("GET", "/v1/configuration/history?limit=2", "viewer", nil, http.StatusOK, &history)
	if len(history.Entries) != 2 || history.Entries[1].Revision != 4 || history.Before == 0 || history.Broken != "" {
		t.Errorf("history: %+v", history)
	}
	var refused AuditPage
	h.call("GET", "/v1/audit?result=refused&actor=operator", "viewer", nil, http.StatusOK, &refused)
	if len(refused.Entries) != 4 {
		t.Errorf("%d refused edits in the trail, want 4", len(refused.Entries))
	}
}

// Guards against operators who exceed the permissions of their role, and against
// denied requests that are not audited or whose audit entry reveals the token.
func TestRoles(t *testing.T) {
	h := newHarness(t)
	topUp := TopUpRequest{Budget: "main", Tokens: 7, Reason: "invoice 12", OpID: "t1"}
	edit := EditRequest{Base: 1, Reason: "x", Text: configText + operatorsText()}
	for _, test := range []struct {
		token, method, path string
		body                any
		want                int
	}{
		{"", "GET", "/v1/accounts", nil, 401},
		{"wrong-token", "GET", "/v1/accounts", nil, 401},
		{"first", "GET", "/v1/accounts", nil, 401},
		{"viewer", "GET", "/v1/accounts/acme", nil, 200},
		{"viewer", "GET", "/v1/accounts/none", nil, 404},
		{"viewer", "POST", "/v1/configuration", edit, 403},
		{"viewer", "POST", "/v1/accounts/acme/topup", topUp, 403},
		{"operator", "POST", "/v1/accounts/acme/topup", topUp, 403},
		{"billing", "POST", "/v1/configuration", edit, 403},
		{"billing", "POST", "/v1/accounts/acme/topup", topUp, 200},
		{"billing", "POST", "/v1/accounts/acme/topup", TopUpRequest{Budget: "main", Tokens: -1, Reason: "x"}, 400},
		{"viewer", "GET", "/v1/fleet", nil, 200},
		{"viewer", "GET", "/v1/nothing", nil, 404},
	} {
		h.call(test.method, test.path, test.token, test.body, test.want, nil)
	}
	if h.accounts.topUps["t1"] != 7 || len(h.accounts.topUps) != 1 {
		t.Errorf("top-ups %v", h.accounts.topUps)
	}
	w := h.call("GET", "/v1/audit?format=jsonl", "viewer", nil, http.StatusOK, nil)
	trail := w.Body.String()
	if n := strings.Count(trail, `"kind":"access"`); n != 7 {
		t.Errorf("%d denied requests in the trail, want 7:\n%s", n, trail)
	}
	if !strings.Contains(trail, "account.topup") || strings.Contains(trail, "wrong-token") || strings.Contains(trail, hashOf("viewer")) {
		t.Errorf("trail lacks the top-up or reveals a token:\n%s", trail)
	}
}

// Guards against an operator who floods the API, and against clients without a
// token that cause unlimited store writes.
func TestRateLimits(t *testing.T) {
	h := newHarness(t)
	codes := make(map[int]int)
	for range operatorBurst + 10 {
		r := httptest.NewRequest("GET", "/v1/fleet", nil)
		r.Header.Set("Authorization", "Bearer viewer")
		w := httptest.NewRecorder()
		h.api.ServeHTTP(w, r)
		codes[w.Code]++
	}
	if codes[http.StatusTooManyRequests] != 10 {
		t.Errorf("status codes %v, want 10 refusals", codes)
	}
	before := h.store.Calls().Writes
	for range 100 {
		h.api.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/v1/fleet", nil))
	}
	if writes := h.store.Calls().Writes - before; writes != deniedAuditBurst {
		t.Errorf("%d writes for denied requests, want %d", writes, deniedAuditBurst)
	}
}

// Guards against applying an edit twice after the store's answer was lost, and
// against reporting a store outage as a client error.
func TestStoreFaults(t *testing.T) {
	h := newHarness(t)
	h.store.SetFaults(memstore.Faults{LoseAnswers: 5})
	var result EditResult
	next := strings.Replace(configText, "[account.acme]", "[account.acme]\nweight = 3", 1) + operatorsText()
	h.call("POST", "/v1/configuration", "operator", EditRequest{Base: 1, Reason: "x", Text: next}, http.StatusOK, &result)
	if result.Revision != 2 {
		t.Errorf("revision %d, want 2", result.Revision)
	}
	h.store.SetFaults(memstore.Faults{Outage: true})
	h.call("POST", "/v1/configuration", "operator", EditRequest{Base: 2, Reason: "x", Text: next}, http.StatusServiceUnavailable, nil)
}
