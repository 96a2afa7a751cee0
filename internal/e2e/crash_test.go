package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/standin/engine"
)

// pauseDuration exceeds the 10 s after which membership declares a silent daemon
// dead.
const pauseDuration = 16 * time.Second

// outcome is a request of the workload with the reply that its caller received.
type outcome struct {
	chatRequest
	reply
}

// workload sends chat completions from several callers to each daemon until it
// is stopped.
type workload struct {
	f       *fleet
	stopped atomic.Bool
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []outcome
	// completed counts the complete answers by daemon.
	completed [daemonCount]atomic.Int64
	started   atomic.Int64
}

const callersPerDaemon = 3

func (w *workload) start() {
	for d := range daemonCount {
		for c := range callersPerDaemon {
			w.wg.Add(1)
			go func() {
				defer w.wg.Done()
				for n := 0; !w.stopped.Load(); n++ {
					w.sendOne(d, c, n)
				}
			}()
		}
	}
}

func (w *workload) sendOne(d, caller, n int) {
	key := fmt.Sprintf("%d-%d-%d", d, caller, n)
	c := chatRequest{
		daemon: d, account: (d + caller + n) % accountCount, words: 20 + (d*7+caller*11+n*13)%60,
		key: key, prompt: key,
	}
	c.onFirstToken = func() { w.started.Add(1) }
	r := w.f.sendChat(context.Background(), c)
	if r.complete {
		w.completed[d].Add(1)
	} else {
		time.Sleep(pollInterval) // a killed daemon refuses connections at once
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, outcome{c, r})
}

// awaitCompletions waits until each of the daemons has completed n further
// requests.
func (w *workload) awaitCompletions(t *testing.T, n int64, daemons ...int) {
	t.Helper()
	for _, d := range daemons {
		base := w.completed[d].Load()
		eventually(t, func() error {
			if done := w.completed[d].Load() - base; done < n {
				return fmt.Errorf("daemon %d completed %d further requests, want %d", d, done, n)
			}
			return nil
		})
	}
}

// Indices of the daemons that the test disturbs. They are in different failure
// domains.
const (
	killedDaemon = 0 // failure domain a
	pausedDaemon = 3 // failure domain b
)

// Guards against overspending, lost or duplicate bills and truncated streams that
// look complete. One daemon is killed, and another is paused for longer than it
// takes to be declared dead and then resumes without knowing of it.
//
// Compared exactly: a complete answer of an undisturbed daemon is billed at the
// engine's token count; the spend of each account is the sum of its bills; each
// request ID has at most one bill; the parts of a budget add up to the prepaid
// tokens. Compared with bounds: a truncated request is billed at least the tokens
// that its caller received and at most the tokens reserved, which are the bound on
// the prompt plus one reservation step more than was relayed. The same bounds
// apply to the paused daemon, because its reservations may have been charged while
// it was declared dead, and to a refusal without a token, because a request whose
// daemon died may be charged.
func TestDaemonsDieAndPauseUnderLoad(t *testing.T) {
	f := startFleet(t, options{})
	w := &workload{f: f}
	w.start()
	defer func() {
		w.stopped.Store(true)
		f.daemons[pausedDaemon].signal(t, syscall.SIGCONT)
		w.wg.Wait()
	}()
	w.awaitCompletions(t, 10, 0, 1, 2, 3)
	f.daemons[killedDaemon].kill()
	f.deregisterInstance(f.daemons[killedDaemon].id)
	f.daemons[pausedDaemon].signal(t, syscall.SIGSTOP)
	resume := time.Now().Add(pauseDuration)
	eventually(t, func() error {
		for _, d := range []int{1, 2} {
			m, err := f.memberStatus(d, f.daemons[pausedDaemon].id)
			if err != nil {
				return err
			}
			if m.State != "dead" {
				return fmt.Errorf("%s sees the paused daemon as %s", f.daemons[d].id, m.State)
			}
		}
		return nil
	})
	time.Sleep(time.Until(resume))
	w.awaitCompletions(t, 10, 1, 2)
	f.daemons[pausedDaemon].signal(t, syscall.SIGCONT)
	w.awaitCompletions(t, 10, 1, 2, pausedDaemon)
	w.stopped.Store(true)
	w.wg.Wait()

	engines := make([]map[string]engine.RequestUsage, engineCount)
	for i, e := range f.engines {
		engines[i] = f.engineUsage(e)
	}
	checkAnswers(t, w.results, engines)
	eventually(t, func() error { return f.checkBills(w.results) })
	// Bills that arrive later must not break the totals.
	time.Sleep(3 * time.Second)
	if err := f.checkBills(w.results); err != nil {
		t.Errorf("bills were consistent and changed afterwards: %v", err)
	}
}

// checkAnswers compares the replies with what the engines ran.
func checkAnswers(t *testing.T, results []outcome, engines []map[string]engine.RequestUsage) {
	t.Helper()
	var complete, truncated, refused int
	for _, s := range results {
		ran, counted := 0, int64(0)
		for _, e := range engines {
			ran += e[s.id].Runs
			counted += int64(e[s.id].PromptTokens + e[s.id].CompletionTokens)
		}
		switch {
		case s.complete:
			complete++
			if s.tokens != s.words || ran == 0 {
				t.Errorf("answer of request %s ends as complete with %d of %d tokens and %d runs", s.key, s.tokens, s.words, ran)
			}
			// A hedged or retried request runs on several engines, whose counts are
			// not compared.
			if ran == 1 && s.billable != counted {
				t.Errorf("request %s: usage event states %d tokens, the engine counted %d", s.key, s.billable, counted)
			}
		case s.refusal != nil:
			refused++
			if s.refusal.Ran == "no" && ran > 0 {
				t.Errorf("request %s was refused as not run but ran: %q", s.key, s.reply.body)
			}
		default:
			truncated++
		}
	}
	t.Logf("%d requests complete, %d truncated or not sent, %d refused", complete, truncated, refused)
	if truncated == 0 {
		t.Error("no stream was truncated, so truncation was not tested")
	}
}

// checkBills checks the bills of all requests, the totals of the accounts and the
// budget records. It fails until everything has been settled.
func (f *fleet) checkBills(results []outcome) error {
	var bills [accountCount]map[string]budget.RecentBill
	for i := range accountCount {
		var err error
		if bills[i], err = f.checkAccount(i); err != nil {
			return err
		}
	}
	var finished [accountCount]int64
	for _, s := range results {
		b, ok := bills[s.account][s.id]
		if s.id == "" { // the connection failed before the response headers
			continue
		}
		if err := checkBill(s, b, ok); err != nil {
			return err
		}
		if s.complete {
			finished[s.account] += s.billable
		}
	}
	for i := range accountCount {
		var spent int64
		for _, b := range bills[i] {
			spent += b.Tokens
		}
		if spent < finished[i] {
			return fmt.Errorf("%s spent %d tokens, less than the %d of its complete requests",
				accountName(i), spent, finished[i])
		}
		if spent > prepaid {
			return fmt.Errorf("%s spent %d tokens of %d prepaid", accountName(i), spent, prepaid)
		}
	}
	if err := f.checkBudgetRecords(); err != nil {
		return err
	}
	return f.checkAccountList(1)
}

// templateAllowance is the number of tokens for the chat template that the
// gateway adds to the prompt bound of a request with one message; see
// internal/gateway.
const templateAllowance = 16 + 8

// checkBill checks the bill b of one request; ok reports whether there is one.
func checkBill(s outcome, b budget.RecentBill, ok bool) error {
	undisturbed := s.daemon != killedDaemon && s.daemon != pausedDaemon
	switch {
	case s.complete && !ok:
		return fmt.Errorf("request %s is complete but not billed", s.key)
	case s.complete && undisturbed && b.Tokens != s.billable:
		return fmt.Errorf("request %s is billed %d tokens, the engine counted %d", s.key, b.Tokens, s.billable)
	case s.tokens > 0 && !ok:
		return fmt.Errorf("caller of request %s received %d tokens, but it is not billed", s.key, s.tokens)
	}
	if !ok {
		return nil
	}
	// The gateway bounds the prompt's tokens by the size of the body in bytes plus
	// an allowance for the chat template.
	low, high := int64(s.tokens), int64(len(s.chatRequest.body())+templateAllowance+s.words+reservationStep)
	if s.complete {
		low = s.billable
	}
	if b.Tokens < low || b.Tokens > high {
		return fmt.Errorf("request %s is billed %d tokens, want %d to %d", s.key, b.Tokens, low, high)
	}
	return nil
}
