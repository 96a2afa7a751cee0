package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
)

// Guards against changes by operators without the required role, and against
// refused attempts that are missing from the audit trail.
func TestUnauthorizedOperators(t *testing.T) {
	f := startFleet(t, options{})
	file := f.writeFile("refused.toml", string(config.Format(f.configWithWeight(0, 2))))
	apply := []string{"config", "apply", file, "--base", "1", "--reason", "not allowed"}
	topUp := []string{"account", "topup", accountName(0), "main", "5000", "--reason", "not allowed"}
	drain := "/v1/endpoints/" + f.engines[0].id + "/drain"
	attempts := []struct {
		name, token, actor string
		args               []string
	}{
		{"viewer applies", viewerToken, "viewer-1", apply},
		{"billing applies", billingToken, "billing-1", apply},
		{"operator tops up", northToken, "north-1", topUp},
		{"viewer tops up", viewerToken, "viewer-1", topUp},
		{"no token", "", "unknown", apply},
		{"wrong token", "e2e-guessed", "unknown", topUp},
		{"bootstrap token after the first configuration", bootstrapToken, "unknown", apply},
	}
	want := make(map[string]int)
	for i, a := range attempts {
		if run := f.runCLI(i%daemonCount, a.token, a.args...); run.code != 4 {
			t.Errorf("%s: command exited with code %d, want 4: %s", a.name, run.code, run.stderr)
		}
		want[a.actor]++
	}
	body := admin.EditRequest{Reason: "not allowed"}
	for token, status := range map[string]int{viewerToken: http.StatusForbidden, "": http.StatusUnauthorized} {
		if got, err := f.adminCall(0, token, http.MethodPost, drain, body, nil); err != nil || got != status {
			t.Errorf("drain: status %d, %v, want %d", got, err, status)
		}
	}
	want["viewer-1"]++
	want["unknown"]++
	eventually(t, func() error {
		var page admin.AuditPage
		status, err := f.adminCall(1, viewerToken, http.MethodGet, "/v1/audit?kind=access&result=refused", nil, &page)
		if err != nil || status != http.StatusOK || page.Broken != "" {
			return fmt.Errorf("audit: status %d, %w, integrity fault %q", status, err, page.Broken)
		}
		got := make(map[string]int)
		for _, e := range page.Entries {
			got[e.Actor]++
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			return fmt.Errorf("audit lists refused attempts by actor %v, want %v", got, want)
		}
		return nil
	})
	var current admin.Configuration
	if status, err := f.adminCall(2, viewerToken, http.MethodGet, "/v1/configuration", nil, &current); err != nil ||
		status != http.StatusOK {
		t.Fatalf("configuration: status %d, %v", status, err)
	}
	if current.Revision != 1 {
		t.Errorf("configuration revision is %d, want 1", current.Revision)
	}
	if err := f.checkAccountList(3); err != nil {
		t.Errorf("after the refused top-ups: %v", err)
	}
}
