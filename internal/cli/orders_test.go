package cli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
)

// fakeOrders is a fake of the orders with one service, whose rollout may be halted.
type fakeOrders struct{ halted bool }

func (r *fakeOrders) Status(ctx context.Context, service string) ([]admin.ServiceOrders, error) {
	if service != "" && service != "chat" {
		return nil, platform.ErrNotFound
	}
	return r.Preview(ctx, nil, nil)
}

func (*fakeOrders) Preview(context.Context, *config.Config, []string) ([]admin.ServiceOrders, error) {
	step := admin.PlannedOrder{Step: 1, Endpoint: "e1", Kind: "load-version", Value: "v2",
		WaitsFor: "the outcome of order 4", Risk: "a late order"}
	other := step
	other.Endpoint = "e2"
	return []admin.ServiceOrders{{
		Service: "chat", Version: "v2", Holder: "d1", Fence: 9, Total: 3, Ready: 1, Open: 1, IgnoresFencing: true,
		Halt:        &admin.Halt{Reason: "3 loads failed"},
		Unreachable: []string{"e3"}, Orders: []admin.OpenOrder{{ID: 4, Endpoint: "e1", State: "unknown"}},
		Plan: []admin.PlannedOrder{step, other},
	}}, nil
}

func (r *fakeOrders) Resume(context.Context, string) error {
	if !r.halted {
		return admin.ErrNotHalted
	}
	r.halted = false
	return nil
}

// Guards against commands that omit a part of a rollout's state, return the wrong
// exit code or resume a rollout without a reason.
func TestOrdersCommands(t *testing.T) {
	api := admin.New(admin.Options{Store: memstore.New(nil), Accounts: fakeBackend{}, Fleet: fakeBackend{},
		Orders: &fakeOrders{halted: true},
		Config: func() *config.Config { return nil }, BootstrapToken: tokenHash, Log: zerolog.Nop()})
	server := httptest.NewServer(api)
	defer server.Close()
	t.Setenv("AZUREHATCH_ADMIN", server.URL)
	t.Setenv("AZUREHATCH_TOKEN", "token")
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{"orders", ExitOK, []string{"d1 with fencing number 9", "1 of 3", "halted", "3 loads failed", "e3",
			"order 4 to e1", "the outcome of order 4", "e2 *", "ignore fencing"}},
		{"orders --service chat --output json", ExitOK,
			[]string{`"waits_for": "the outcome of order 4"`, `"risk": "a late order"`}},
		{"orders --service other", ExitFailure, []string{"not found"}},
		{"orders resume chat", ExitUsage, []string{"reason"}},
		{"orders resume chat --reason repaired", ExitOK, []string{"chat resumed"}},
		{"orders resume chat --reason again", ExitConflict, []string{"not halted"}},
	} {
		var out, errOut bytes.Buffer
		code := Main(strings.Fields(c.args), &out, &errOut)
		all := out.String() + errOut.String()
		if code != c.code {
			t.Errorf("%s: exit code %d, want %d: %s", c.args, code, c.code, all)
		}
		for _, want := range c.want {
			if !strings.Contains(all, want) {
				t.Errorf("%s: output has no %q:\n%s", c.args, want, all)
			}
		}
		if n := strings.Count(all, "a late order"); c.args == "orders" && n != 1 {
			t.Errorf("%s: the risk is printed %d times, want once", c.args, n)
		}
	}
}
