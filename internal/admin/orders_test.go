package admin

import (
	"context"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/audit"
	"github.com/azurehatch/azurehatch/internal/config"
)

// fakeOrders implements Orders for the service chat.
type fakeOrders struct {
	halted  bool
	failing bool
}

func (r *fakeOrders) Status(context.Context, string) ([]ServiceOrders, error) {
	return []ServiceOrders{{Service: "chat", Total: 2}}, nil
}

func (r *fakeOrders) Preview(_ context.Context, c *config.Config, services []string) ([]ServiceOrders, error) {
	if r.failing {
		return nil, errors.New("store is down")
	}
	var list []ServiceOrders
	for _, s := range services {
		list = append(list, ServiceOrders{Service: s, Version: c.Services[s].Version})
	}
	return list, nil
}

func (r *fakeOrders) Resume(context.Context, string) error {
	if !r.halted {
		return ErrNotHalted
	}
	r.halted = false
	return nil
}

// Guards against resuming a rollout without the required role, and against a
// resumption that is not audited with its reason.
func TestResumeIsAudited(t *testing.T) {
	h := newHarness(t)
	fake := &fakeOrders{halted: true}
	h.api.opts.Orders = fake
	const path = "/v1/orders/chat/resume"
	h.call("GET", "/v1/orders", "viewer", nil, http.StatusOK, nil)
	for _, role := range []string{"viewer", "billing"} {
		h.call("POST", path, role, ResumeRequest{Reason: "repaired"}, http.StatusForbidden, nil)
	}
	if !fake.halted {
		t.Fatal("a role without permission resumed the rollout")
	}
	h.call("POST", path, "operator", ResumeRequest{}, http.StatusBadRequest, nil)
	h.call("POST", path, "operator", ResumeRequest{Reason: "repaired"}, http.StatusOK, nil)
	h.call("POST", path, "operator", ResumeRequest{Reason: "again"}, http.StatusConflict, nil)
	var page AuditPage
	h.call("GET", "/v1/audit?kind=order&service=chat", "viewer", nil, http.StatusOK, &page)
	if len(page.Entries) != 2 {
		t.Fatalf("%d entries, want 2: %+v", len(page.Entries), page.Entries)
	}
	for i, want := range []struct {
		result audit.Result
		reason string
	}{{audit.ResultDone, "repaired"}, {audit.ResultRefused, "again"}} {
		if e := page.Entries[i]; e.Result != want.result || e.Reason != want.reason || e.Actor != "operator" || e.Team != "north" {
			t.Errorf("entry %d: %+v", i, e)
		}
	}
}

// Guards against a diff that omits the orders of a version change, lists orders for
// unchanged services, or fails when the orders cannot be determined.
func TestDiffShowsOrders(t *testing.T) {
	h := newHarness(t)
	fake := &fakeOrders{}
	h.api.opts.Orders = fake
	next := h.config.Clone()
	chat := next.Services["chat"]
	chat.Version = "v2"
	next.Services["chat"] = chat
	var diff DiffResult
	req := EditRequest{Text: string(config.Format(next))}
	h.call("POST", "/v1/configuration/diff", "viewer", req, http.StatusOK, &diff)
	if len(diff.Orders) != 1 || diff.Orders[0].Version != "v2" {
		t.Errorf("orders %+v", diff.Orders)
	}
	fake.failing = true
	diff = DiffResult{}
	h.call("POST", "/v1/configuration/diff", "viewer", req, http.StatusOK, &diff)
	if diff.OrdersError == "" || len(diff.Changes) != 1 {
		t.Errorf("diff without orders: %+v", diff)
	}
	diff = DiffResult{}
	h.call("POST", "/v1/configuration/diff", "viewer", EditRequest{Text: configText + operatorsText()}, http.StatusOK, &diff)
	if len(diff.Orders) != 0 || diff.OrdersError != "" {
		t.Errorf("orders for unchanged services: %+v", diff)
	}
}
