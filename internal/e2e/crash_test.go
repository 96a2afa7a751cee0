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

// pause is longer than membership takes to find a silent daemon dead (10 s).
const pauseDuration = 16 * time.Second

// sent is a request of the load and what its caller got.
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
	// complete counts the complete answers by daemon.
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
	c := chatRequest{daemon: d, account: (d + caller + n) % accountCount, words: 20 + (d*7+caller*11+n*13)%60, key: key, prompt: key}
	c.onFirstToken = func() { w.started.Add(1) }
	r := w.f.sendChat(context.Background(), c)
	if r.complete {
		w.completed[d].Add(1)
	} else {
		time.Sleep(pollInterval) // a dead daemon refuses at once
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, outcome{c, r})
}

// more waits until the daemons have completed n further requests each.
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

// Daemons of the test and what happens to them.
const (
	killedDaemon = 0 // failure domain a
	pausedDaemon = 3 // failure domain b
)

// Guards against overspend, lost and double bills, and cut streams that look
// complete, when a daemon is killed and another is paused for longer than it
// takes to be found dead, and then goes on unaware of it.
//
// What is compared exactly: a complete answer of a daemon that was neither
// killed nor paused is billed at the engine's count; each account's spend is
// the sum of its bills; each request id has at most one bill; the parts of a
// budget add up to the prepaid tokens. What is compared as a bound: a request
// that was cut is billed at least at what its caller received and at most at
// the tokens reserved, which are the bound on the prompt and one step above
// what was relayed. The same holds for the paused daemon, whose reservations
// may have been charged in its absence. A refusal without a token is bounded
// in the same way, since a request whose daemon died may be charged.
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
	// A late bill must not break what has been reached.
	time.Sleep(3 * time.Second)
	if err := f.checkBills(w.results); err != nil {
		t.Errorf("settled, and then: %v", err)
	}
}

// checkAnswers checks what the callers got against what the engines ran.
func checkAnswers(t *testing.T, results []outcome, engines []map[string]engine.RequestUsage) {
	t.Helper()
	var complete, cut, refused int
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
				t.Errorf("request %s looks complete with %d of %d tokens, %d runs", s.key, s.tokens, s.words, ran)
			}
			// A request that was hedged or retried ran on several engines.
			if ran == 1 && s.billable != counted {
				t.Errorf("request %s: usage %d, its engine counted %d", s.key, s.billable, counted)
			}
		case s.refusal != nil:
			refused++
			if s.refusal.Ran == "no" && ran > 0 {
				t.Errorf("request %s was refused as not run and ran: %q", s.key, s.reply.body)
			}
		default:
			cut++
		}
	}
	t.Logf("%d requests complete, %d cut or not sent, %d refused", complete, cut, refused)
	if cut == 0 {
		t.Error("no stream was cut, so the test does not show what it is for")
	}
}

// settled checks the bills of all requests.
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
		if s.id == "" { // the connection ended before the head of the answer
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
			return fmt.Errorf("%s spent %d, engines counted %d for its finished requests", accountName(i), spent, finished[i])
		}
		if spent > prepaid {
			return fmt.Errorf("%s spent %d of %d", accountName(i), spent, prepaid)
		}
	}
	if err := f.checkBudgetRecords(); err != nil {
		return err
	}
	return f.checkAccountList(1)
}

// templateAllowance is what the gateway adds to the bytes of a request with one
// message; see internal/gateway.
const templateAllowance = 16 + 8

// checkBill checks the bill of one request.
func checkBill(s outcome, b budget.RecentBill, ok bool) error {
	undisturbed := s.daemon != killedDaemon && s.daemon != pausedDaemon
	switch {
	case s.complete && !ok:
		return fmt.Errorf("request %s is complete and not billed", s.key)
	case s.complete && undisturbed && b.Tokens != s.billable:
		return fmt.Errorf("request %s is billed %d, its engine counted %d", s.key, b.Tokens, s.billable)
	case s.tokens > 0 && !ok:
		return fmt.Errorf("request %s has %d tokens and is not billed", s.key, s.tokens)
	}
	if !ok {
		return nil
	}
	// The gateway bounds the prompt by the body's bytes and an allowance for
	// the chat template.
	low, high := int64(s.tokens), int64(len(s.chatRequest.body())+templateAllowance+s.words+reservationStep)
	if s.complete {
		low = s.billable
	}
	if b.Tokens < low || b.Tokens > high {
		return fmt.Errorf("request %s is billed %d, want %d to %d", s.key, b.Tokens, low, high)
	}
	return nil
}
