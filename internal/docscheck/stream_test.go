package docscheck

import (
	"strings"
	"testing"
	"time"
)

// topUpTimeout limits the wait until each daemon can draw tokens of a top-up.
const topUpTimeout = 10 * time.Second

// Guards against a stream that ends because its budget is exhausted with an error
// event that denies that the request ran or that does not name the budget.
func TestStreamEndsWithBudget(t *testing.T) {
	e := newEnv(t, "maracas")
	// 400 tokens cover the prompt bound and the first reservation step, but not a
	// second step.
	topUp := `azurehatch account topup --admin "$ADMIN" --token-file "$BILLING_FILE" --reason test trial main 400`
	if out, err := e.runShell(topUp); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	stream := `curl -sS -N "$DAEMON/v1/chat/completions" -H 'Authorization: Bearer dev-trial' ` +
		`-d '{"model":"tray-planner","stream":true,"messages":[{"role":"user","content":"plan words:500"}]}'`
	// For a moment after the top-up a request can still be refused before its first
	// token. Such a response has no events, and curl exits without an error.
	var out string
	var err error
	for deadline := time.Now().Add(topUpTimeout); err == nil && time.Now().Before(deadline); {
		// The daemon aborts the connection after the error event, so curl fails.
		if out, err = e.runShell(stream); err == nil {
			t.Logf("%s: refused before the first token: %s", time.Now().Format(time.TimeOnly+".000"), out)
			time.Sleep(100 * time.Millisecond)
		}
	}
	if err == nil || strings.Contains(out, "[DONE]") {
		t.Errorf("stream was not truncated, error %v:\n%s", err, out)
	}
	_, event, found := strings.Cut(out, "event: error\n")
	for _, part := range []string{`problems/budget-exhausted"`, `"ran":"yes"`, `budget \"trial/main\" does not cover`} {
		if !found || !strings.Contains(event, part) {
			t.Errorf("error event %q does not contain %q", event, part)
		}
	}
}
