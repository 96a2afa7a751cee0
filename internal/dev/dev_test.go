package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/azurehatch/azurehatch/internal/budget"
	"github.com/azurehatch/azurehatch/internal/ledger"
	"github.com/azurehatch/azurehatch/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout limits the wait for an event. The tests do not measure how long
// events take.
const waitTimeout = 60 * time.Second

func startFleet(t *testing.T, name string) *Fleet {
	deployment, err := DeploymentByName(name)
	if err != nil {
		t.Fatal(err)
	}
	f, err := Start(Options{Deployment: deployment, Log: testLog()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return f
}

// testLog returns a logger that writes JSON lines if AZUREHATCH_TEST_LOG is set and
// nothing otherwise.
func testLog() zerolog.Logger {
	if os.Getenv("AZUREHATCH_TEST_LOG") == "" {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}

// eventually polls check until it returns nil, and fails the test after
// waitTimeout.
func eventually(t *testing.T, check func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a fault anywhere on the path from a caller's request to the
// settled bill.
func TestDemo(t *testing.T) {
	for _, name := range DeploymentNames() {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, name)
			var out bytes.Buffer
			if err := f.Demo(context.Background(), &out); err != nil {
				t.Fatalf("%v\n%s", err, out.String())
			}
		})
	}
}

// streamResult is the part of a stream that a caller received.
type streamResult struct {
	body     string
	complete bool
	err      error
}

func (f *Fleet) streamChat(daemon, account, words int) streamResult {
	d := &demo{fleet: f}
	a, err := d.send(context.Background(), daemon, http.MethodPost, chatPath, d.account(account), d.chatBody(true, words))
	return streamResult{body: a.body, complete: strings.HasSuffix(a.body, "data: [DONE]\n\n"), err: err}
}

// engineUsage returns the tokens and the runs that all engines counted.
func (f *Fleet) engineUsage() (tokens, runs int64) {
	for _, e := range f.Engines {
		_, total := e.Usage()
		tokens += int64(total.PromptTokens + total.CompletionTokens)
		runs += int64(total.Runs)
	}
	return tokens, runs
}

// totalBilled returns the tokens and the requests billed to all accounts, and
// checks that no budget is overspent.
func (f *Fleet) totalBilled(t *testing.T) (tokens, requests int64) {
	accounts := ledger.Accounts{Store: f.Store}
	for _, account := range f.Deployment.Accounts {
		s, err := accounts.Statement(context.Background(), account)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range s.Budgets {
			if b.Spent > b.Prepaid {
				t.Errorf("budget %s spent %d of %d", b.Budget, b.Spent, b.Prepaid)
			}
		}
		tokens += s.Spent
		requests += s.Requests
	}
	return tokens, requests
}

// Guards against lost or duplicate bills without faults: the billed tokens and
// requests must equal those that the engines counted.
func TestAccountsMatchEngines(t *testing.T) {
	f := startFleet(t, "maracas")
	const requests = 60
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if r := f.streamChat(i, i%10, 5+i%7); !r.complete {
				t.Errorf("request %d: %+v", i, r)
			}
		}()
	}
	wg.Wait()
	eventually(t, func() error {
		ran, runs := f.engineUsage()
		tokens, billed := f.totalBilled(t)
		if tokens != ran || billed != requests || runs != requests {
			return fmt.Errorf("billed %d tokens of %d requests, engines ran %d tokens of %d", tokens, billed, ran, runs)
		}
		return nil
	})
}

// Guards against a graceful stop that cuts streams in progress or loses their
// bills.
func TestStopCutsNoStream(t *testing.T) {
	f := startFleet(t, "maracas")
	const streams = 8
	results := make(chan streamResult, streams)
	for i := range streams {
		go func() { results <- f.streamChat(0, i, 60) }()
	}
	eventually(t, func() error {
		if n := f.Daemons[0].Active(); n < streams {
			return fmt.Errorf("%d streams are open", n)
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := f.StopDaemon(ctx, 0); err != nil {
		t.Error(err)
	}
	for range streams {
		if r := <-results; !r.complete {
			t.Errorf("stream was cut: %+v", r)
		}
	}
	if _, requests := f.totalBilled(t); requests != streams {
		t.Errorf("%d bills are durable after the stop, want %d", requests, streams)
	}
}

// Guards against a bill that is lost, or charged in full, when a daemon crashes
// with open streams, and against a cut stream that looks complete to the caller.
func TestDaemonDiesWithStreamsOpen(t *testing.T) {
	f := startFleet(t, "maracas")
	for _, e := range f.Engines {
		e.SetFaults(engine.Faults{Slowdown: 20}) // keeps the stream open until its reservation is mirrored
	}
	resp := f.openStream(t, 0)
	defer resp.Body.Close()
	buf := make([]byte, 64)
	if _, err := resp.Body.Read(buf); err != nil {
		t.Fatal(err)
	}
	f.waitMirrored(t, f.Deployment.Accounts[0], f.Deployment.domain(0))
	f.KillDaemon(0)
	rest, err := io.ReadAll(resp.Body)
	if err == nil || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("the cut stream looks complete: %q", rest)
	}
	eventually(t, func() error {
		ran, _ := f.engineUsage()
		tokens, requests := f.totalBilled(t)
		if requests != 1 || tokens < ran {
			return fmt.Errorf("%d bills of %d tokens, engines ran %d", requests, tokens, ran)
		}
		return nil
	})
}

// waitMirrored waits until the shard's allocator in the domain holds no reservation
// that is not mirrored. By design, a process that crashes before that leaves
// disputed tokens for an operator to resolve; see docs/design.md, section 5.4.
func (f *Fleet) waitMirrored(t *testing.T, account, domain string) {
	eventually(t, func() error {
		item, err := f.Store.Get(context.Background(), ledger.Key(budget.ShardOf(account)))
		if err != nil {
			return err
		}
		record, err := budget.Unmarshal(item.Value)
		if err != nil {
			return err
		}
		if d := record.Domains[domain]; d == nil || d.Unmirrored || len(d.Waiting) > 0 {
			return fmt.Errorf("failure domain %s is %+v", domain, d)
		}
		return nil
	})
}

func (f *Fleet) openStream(t *testing.T, daemon int) *http.Response {
	d := &demo{fleet: f}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Daemons[daemon].CallersAddr()+chatPath,
		strings.NewReader(d.chatBody(true, 400)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+APIKey(d.account(0)))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a poison request that crashes one engine after another, and
// against healthy requests that are refused because of it.
func TestPoisonRequestIsIsolated(t *testing.T) {
	f := startFleet(t, "verstraeten")
	for _, e := range f.Engines {
		e.SetFaults(engine.Faults{CrashMarker: "poison-marker", CrashDownMillis: 300})
	}
	d := &demo{fleet: f}
	body := strings.Replace(d.chatBody(true, 5), "plan", "poison-marker", 1)
	refused := 0
	for i := range 12 {
		a, err := d.send(context.Background(), 0, http.MethodPost, chatPath, d.account(0), body)
		if err == nil && a.status == http.StatusUnprocessableEntity {
			refused++
		}
		if r := f.streamChat(1, 1, 5); !r.complete {
			t.Errorf("healthy request %d: %+v", i, r)
		}
	}
	crashes := 0
	for _, e := range f.Engines {
		crashes += e.Crashes()
	}
	if crashes > 3 || refused == 0 {
		t.Errorf("%d engines crashed, %d requests refused as poison; want at most 3 crashes", crashes, refused)
	}
}
