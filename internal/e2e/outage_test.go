package e2e

import (
	"context"
	"fmt"
	"testing"
)

// Guards against a fleet that stops serving while the platform is unavailable,
// against refusals that do not say whether the request ran, and against an edit
// that is applied twice when it is retried after an unknown outcome.
func TestPlatformOutage(t *testing.T) {
	f := startFleet(t, options{})
	// Give each failure domain a grant of each budget before the outage.
	for i := range accountCount {
		for d := range daemonCount {
			eventually(t, func() error {
				if r := f.sendChat(context.Background(), chatRequest{daemon: d, account: i, words: 5}); !r.complete {
					return fmt.Errorf("daemon %d, account %d: status %d, %q, %w", d, i, r.status, r.body, r.err)
				}
				return nil
			})
		}
	}
	f.setFaults(f.platformURL, map[string]any{"outage": true})
	next := f.configWithWeight(0, 9)
	run, _ := f.applyConfig(0, northToken, "during-outage", 1, next, "--op-id", "outage-1")
	if run.code != 5 {
		t.Errorf("apply during the outage: exit code %d, want 5: %s", run.code, run.stderr)
	}
	served := f.sendDuringOutage(t)
	for d, n := range served {
		if n == 0 {
			t.Errorf("daemon %d completed no request from its grants", d)
		}
	}
	if r := f.sendOrder(0, "outage-order"); r.refusal == nil || r.refusal.Ran != "no" {
		t.Errorf("order during the outage: status %d, %q, %v; want a refusal as not run", r.status, r.body, r.err)
	}
	if runs := f.orderRuns("outage-order"); runs.Started != 0 {
		t.Errorf("order was refused as not run but ran: %+v", runs)
	}
	f.setFaults(f.platformURL, map[string]any{})

	var revision uint64
	eventually(t, func() error {
		run, result := f.applyConfig(1, northToken, "after-outage", 1, next, "--op-id", "outage-1")
		if revision = result.Revision; run.code != 0 {
			return fmt.Errorf("apply after the outage: exit code %d: %s", run.code, run.stderr)
		}
		return nil
	})
	run, again := f.applyConfig(2, northToken, "repeat", 1, next, "--op-id", "outage-1")
	if run.code != 0 || again.Revision != revision || revision != 2 {
		t.Errorf("repeated apply: exit code %d, %+v after revision %d, want revision 2 both times: %s",
			run.code, again, revision, run.stderr)
	}
	f.awaitRevision(revision, 0, 1, 2, 3)
	eventually(t, func() error {
		if r := f.sendOrder(0, "outage-order"); !r.complete {
			return fmt.Errorf("order after the outage: status %d, %q", r.status, r.body)
		}
		return nil
	})
	if runs := f.orderRuns("outage-order"); runs.Started != 1 {
		t.Errorf("order ran %+v, want once", runs)
	}
	f.checkRevisionsIncrease()
	eventually(t, func() error {
		for i := range accountCount {
			if _, err := f.checkAccount(i); err != nil {
				return err
			}
		}
		return f.checkBudgetRecords()
	})
}

// sendDuringOutage sends chat completions through all daemons and returns the
// number of complete answers by daemon. Every other request must be refused as not
// run, and must not have run.
func (f *fleet) sendDuringOutage(t *testing.T) (served [daemonCount]int) {
	refused := make(map[string]bool)
	for n := range 40 {
		d := n % daemonCount
		r := f.sendChat(context.Background(), chatRequest{daemon: d, account: n % accountCount, words: 5, maxTokens: 8})
		switch {
		case r.complete:
			served[d]++
		case r.refusal != nil && r.refusal.Ran == "no":
			refused[r.id] = true
		default:
			t.Errorf("request %d: status %d, %q, %v", n, r.status, r.body, r.err)
		}
	}
	for _, e := range f.engines {
		for id, u := range f.engineUsage(e) {
			if refused[id] && u.Runs > 0 {
				t.Errorf("request %s was refused as not run but ran on %s", id, e.id)
			}
		}
	}
	t.Logf("requests completed by daemon: %v; refused: %d", served, len(refused))
	return served
}
