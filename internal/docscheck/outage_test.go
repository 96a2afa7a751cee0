package docscheck

import (
	"errors"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	standin "github.com/azurehatch/azurehatch/internal/standin/platform"
)

const (
	chatCommand = `curl -sS "$DAEMON/v1/chat/completions" -H "Authorization: Bearer $KEY" ` +
		`-d '{"model":"tray-planner","messages":[{"role":"user","content":"plan words:3"}]}'`
	orderCommand = `curl -sS -X POST "$DAEMON/services/tray-stock/reserve" -H "Authorization: Bearer $KEY" -d '{}' -H 'Idempotency-Key: '`
	topUpCommand = `azurehatch account topup --admin "$ADMIN" --token-file "$BILLING_FILE" --reason test shop-1 main 10`
)

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// Guards against documented behavior during a store outage that differs from what
// the fleet does.
func TestOutage(t *testing.T) {
	e := newEnv(t, "maracas")
	expect := func(commands, part string, code int) {
		t.Helper()
		if out, err := e.runShell(commands); !strings.Contains(out, part) || exitCode(err) != code {
			t.Errorf("%s\nexited with code %d, want %d and %q in the output:\n%s", commands, exitCode(err), code, part, out)
		}
	}
	expect(chatCommand, "total_tokens", 0)
	expect(orderCommand+"before", `"instance":"service-`, 0)
	e.fleet.Platform.SetFaults(standin.Faults{Faults: memstore.Faults{Outage: true}})
	expect(chatCommand, "total_tokens", 0)
	expect(orderCommand+"during", `problems/claim-unavailable"`, 0)
	expect(topUpCommand, "azurehatch:", 5)
	expect(`azurehatch account show --admin "$ADMIN" --token-file "$TOKEN_FILE" shop-1`, "azurehatch:", 5)
	expect(`azurehatch audit --admin "$ADMIN" --token-file "$TOKEN_FILE"`, "azurehatch:", 5)
	expect(`azurehatch fleet status --admin "$ADMIN" --token-file "$TOKEN_FILE"`, "live", 0)
	// Each request reserves more than 512 tokens, and the standing grant of a rarely
	// used budget is 2,048 tokens.
	long := strings.NewReplacer("$KEY", "dev-shop-9", "words:3", "words:400").Replace(chatCommand)
	expect(strings.Repeat(long+" &\n", 6)+"wait", `problems/budget-unavailable"`, 0)
	e.fleet.Platform.SetFaults(standin.Faults{})
	deadline := time.Now().Add(20 * time.Second)
	for {
		out, _ := e.runShell(orderCommand + "after")
		if strings.Contains(out, `"instance":"service-`) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("orders are still refused 20 s after the outage: %s", out)
		}
		time.Sleep(200 * time.Millisecond)
	}
	expect(topUpCommand, "available", 0)
}
