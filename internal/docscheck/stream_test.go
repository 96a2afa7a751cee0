package docscheck

import (
	"strings"
	"testing"
	"time"
)

// topUpSeen bounds the time until each daemon draws on a top-up.
const topUpTimeout = 10 * time.Second

// Guards against the end of a stream for lack of tokens that says that nothing
// ran, or that does not name the budget.
func TestStreamEndsWithBudget(t *testing.T) {
	e := newEnv(t, "maracas")
	// Covers the prompt's bound and the first step, but no second one.
	topUp := `azurehatch account topup --admin "$ADMIN" --token-file "$BILLING_FILE" --reason test trial main 400`
	if out, err := e.runShell(topUp); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	stream := `curl -sS -N "$DAEMON/v1/chat/completions" -H 'Authorization: Bearer dev-trial' ` +
		`-d '{"model":"tray-planner","stream":true,"messages":[{"role":"user","content":"plan words:500"}]}'`
	// A refusal before the first token can follow a top-up for a moment; it is
	// an answer without an event, and curl ends without an error.
	var out string
	var err error
	for deadline := time.Now().Add(topUpTimeout); err == nil && time.Now().Before(deadline); {
		// The connection is broken after the error event, so that curl fails.
		if out, err = e.runShell(stream); err == nil {
			t.Logf("%s: refused before the first token: %s", time.Now().Format(time.TimeOnly+".000"), out)
			time.Sleep(100 * time.Millisecond)
		}
	}
	if err == nil || strings.Contains(out, "[DONE]") {
		t.Errorf("the stream looks whole, error %v:\n%s", err, out)
	}
	_, event, found := strings.Cut(out, "event: error\n")
	for _, part := range []string{`problems/budget-exhausted"`, `"ran":"yes"`, `budget \"trial/main\" does not cover`} {
		if !found || !strings.Contains(event, part) {
			t.Errorf("the error event %q lacks %q", event, part)
		}
	}
}
