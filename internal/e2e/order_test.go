package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/azurehatch/azurehatch/internal/problem"
)

// checkRepeatedOrder accepts the two valid replies to a repeated order: the first
// answer, or a refusal of one of the given kinds.
func checkRepeatedOrder(t *testing.T, r reply, answer string, kinds ...problem.Kind) {
	t.Helper()
	if r.complete && r.body == answer {
		return
	}
	for _, k := range kinds {
		if r.refusal != nil && r.refusal.Type == problemType(k) {
			return
		}
	}
	t.Errorf("repeated order: status %d, body %q, %v; want the first answer %q", r.status, r.body, r.err, answer)
}

// Guards against an order that runs twice because daemons of two failure domains
// receive it concurrently, or because it is repeated after the daemon that ran it
// was killed.
func TestOrderSentToTwoDaemons(t *testing.T) {
	f := startFleet(t, options{serviceArgs: []string{"--latency", "300ms"}})
	const orders = 4
	answers := make(map[string]string)
	for n := range orders {
		key := fmt.Sprintf("order-%d", n)
		answers[key] = sendToTwoDaemons(t, f, key)
		// The answer is recorded after it has been returned to the caller. Once
		// another daemon returns it, killing the first daemon must have no effect.
		for d := 1; d < daemonCount; d++ {
			awaitRepeatedOrder(t, f, d, key, answers[key])
		}
	}
	f.daemons[0].kill()
	f.deregisterInstance(f.daemons[0].id)
	for key, answer := range answers {
		for d := 1; d < daemonCount; d++ {
			awaitRepeatedOrder(t, f, d, key, answer)
		}
	}
}

// sendToTwoDaemons sends an order to two daemons concurrently and returns the
// answer.
func sendToTwoDaemons(t *testing.T, f *fleet, key string) string {
	replies := make(chan reply, 2)
	start := make(chan struct{})
	for d := range 2 {
		go func() {
			<-start
			replies <- f.sendOrder(d, key)
		}()
	}
	close(start)
	answer := ""
	var others []reply
	for range 2 {
		if r := <-replies; r.complete && answer == "" {
			answer = r.body
		} else {
			others = append(others, r)
		}
	}
	if answer == "" {
		t.Errorf("%s: neither daemon returned an answer: %+v", key, others)
	}
	for _, r := range others {
		checkRepeatedOrder(t, r, answer, problem.Duplicate)
	}
	if runs := f.orderRuns(key); runs.Started != 1 || runs.Completed != 1 {
		t.Errorf("%s ran %+v, want once", key, runs)
	}
	return answer
}

// awaitRepeatedOrder repeats an order at a daemon until it returns the first
// answer. Until then the daemon may only refuse, because the answer has not been
// recorded yet or a budget is being taken over from a dead daemon.
func awaitRepeatedOrder(t *testing.T, f *fleet, d int, key, answer string) {
	t.Helper()
	eventually(t, func() error {
		r := f.sendOrder(d, key)
		if r.refusal != nil &&
			(r.status == http.StatusServiceUnavailable || r.refusal.Type == problemType(problem.Duplicate)) {
			return fmt.Errorf("%s: daemon %d refuses: %s", key, d, r.body)
		}
		checkRepeatedOrder(t, r, answer)
		return nil
	})
	if runs := f.orderRuns(key); runs.Started != 1 {
		t.Errorf("%s ran %+v after the repeats, want once", key, runs)
	}
}

func problemType(k problem.Kind) string { return "https://azurehatch.example/problems/" + string(k) }

// Guards against an order that runs again after the daemon that sent it was killed
// before the service answered.
func TestOrderOfKilledDaemon(t *testing.T) {
	f := startFleet(t, options{serviceArgs: []string{"--latency", "2s"}})
	const key = "order-killed"
	first := make(chan reply, 1)
	go func() { first <- f.sendOrder(0, key) }()
	eventually(t, func() error {
		if f.orderRuns(key).Started == 0 {
			return fmt.Errorf("the order has not started")
		}
		return nil
	})
	f.daemons[0].kill()
	f.deregisterInstance(f.daemons[0].id)
	if r := <-first; r.complete {
		t.Errorf("killed daemon returned a complete answer: %+v", r)
	}
	for range 3 {
		for d := 1; d < daemonCount; d++ {
			r := f.sendOrder(d, key)
			if r.complete || r.refusal == nil {
				t.Errorf("daemon %d: status %d, body %q, %v; want a refusal", d, r.status, r.body, r.err)
			}
		}
	}
	// Each daemon must eventually report that the outcome of the order is unknown.
	for d := 1; d < daemonCount; d++ {
		eventually(t, func() error {
			r := f.sendOrder(d, key)
			if r.refusal == nil || r.refusal.Type != problemType(problem.OutcomeUnknown) {
				return fmt.Errorf("daemon %d: status %d, body %q", d, r.status, r.body)
			}
			if r.refusal.Ran == "no" {
				t.Errorf("daemon %d reports that the order did not run: %q", d, r.body)
			}
			return nil
		})
	}
	if runs := f.orderRuns(key); runs.Started != 1 {
		t.Errorf("order ran %+v, want once", runs)
	}
}
