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

// patience bounds waits for an event; no test measures time.
const patience = 60 * time.Second

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

// testLog writes JSON lines if AZUREHATCH_TEST_LOG is set.
func testLog() zerolog.Logger {
	if os.Getenv("AZUREHATCH_TEST_LOG") == "" {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}

// eventually polls until check returns nil.
func eventually(t *testing.T, check func() error) {
	t.Helper()
	deadline := time.Now().Add(patience)
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

// Guards against a broken step anywhere between a caller and the settled bill.
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

// streamResult is what a caller got of a stream.
type streamResult struct {
	body     string
	complete bool
	err      error
}

func (f *Fleet) stream(daemon, account, words int) streamResult {
	d := &demo{f: f}
	a, err := d.send(context.Background(), daemon, http.MethodPost, chatPath, d.account(account), d.chatBody(true, words))
	return streamResult{body: a.body, complete: strings.HasSuffix(a.body, "data: [DONE]\n\n"), err: err}
}

// engineTokens returns the tokens that all engines ran.
func (f *Fleet) engineTokens() (tokens, runs int64) {
	for _, e := range f.Engines {
		_, total := e.Usage()
		tokens += int64(total.PromptTokens + total.CompletionTokens)
		runs += int64(total.Runs)
	}
	return tokens, runs
}

// spent returns the sum over all accounts.
func (f *Fleet) spent(t *testing.T) (tokens, requests int64) {
	books := ledger.Accounts{Store: f.Store}
	for _, account := range f.Deployment.Accounts {
		s, err := books.Statement(context.Background(), account)
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

// Guards against lost or double bills in ordinary operation: the accounts must
// add up to what the engines ran.
func TestAccountsMatchEngines(t *testing.T) {
	f := startFleet(t, "maracas")
	const requests = 60
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if r := f.stream(i, i%10, 5+i%7); !r.complete {
				t.Errorf("request %d: %+v", i, r)
			}
		}()
	}
	wg.Wait()
	eventually(t, func() error {
		ran, runs := f.engineTokens()
		tokens, billed := f.spent(t)
		if tokens != ran || billed != requests || runs != requests {
			return fmt.Errorf("billed %d tokens of %d requests, engines ran %d tokens of %d", tokens, billed, ran, runs)
		}
		return nil
	})
}

// Guards against a planned stop that cuts a stream.
func TestStopCutsNoStream(t *testing.T) {
	f := startFleet(t, "maracas")
	const streams = 8
	results := make(chan streamResult, streams)
	for i := range streams {
		go func() { results <- f.stream(0, i, 60) }()
	}
	eventually(t, func() error {
		if n := f.Daemons[0].Active(); n < streams {
			return fmt.Errorf("%d streams are open", n)
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := f.StopDaemon(ctx, 0); err != nil {
		t.Error(err)
	}
	for range streams {
		if r := <-results; !r.complete {
			t.Errorf("stream was cut: %+v", r)
		}
	}
	if _, requests := f.spent(t); requests != streams {
		t.Errorf("%d bills are durable after the stop, want %d", requests, streams)
	}
}

// Guards against a bill that is lost, or charged in full, when a daemon dies
// with streams open, and against a stream that then looks complete.
func TestDaemonDiesWithStreamsOpen(t *testing.T) {
	f := startFleet(t, "maracas")
	for _, e := range f.Engines {
		e.SetFaults(engine.Faults{Slowdown: 20}) // the stream must outlast the wait for mirrors
	}
	resp := f.openStream(t, 0)
	defer resp.Body.Close()
	buf := make([]byte, 64)
	if _, err := resp.Body.Read(buf); err != nil {
		t.Fatal(err)
	}
	f.awaitMirrors(t, f.Deployment.Accounts[0], f.Deployment.domain(0))
	f.KillDaemon(0)
	rest, err := io.ReadAll(resp.Body)
	if err == nil || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("the cut stream looks complete: %q", rest)
	}
	eventually(t, func() error {
		ran, _ := f.engineTokens()
		tokens, requests := f.spent(t)
		if requests != 1 || tokens < ran {
			return fmt.Errorf("%d bills of %d tokens, engines ran %d", requests, tokens, ran)
		}
		return nil
	})
}

// awaitMirrors waits until no reservation of the shard is known to its
// allocator alone. A process that dies before that leaves disputed tokens for
// an operator, by design; see docs/design.md, section 5.4.
func (f *Fleet) awaitMirrors(t *testing.T, account, domain string) {
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
	d := &demo{f: f}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Daemons[daemon].CallersAddr()+chatPath, strings.NewReader(d.chatBody(true, 400)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+Key(d.account(0)))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a poison request that takes engine after engine down, and
// against healthy requests that are refused because of it.
func TestPoisonRequestIsIsolated(t *testing.T) {
	f := startFleet(t, "verstraeten")
	for _, e := range f.Engines {
		e.SetFaults(engine.Faults{CrashMarker: "poison-marker", CrashDownMillis: 300})
	}
	d := &demo{f: f}
	body := strings.Replace(d.chatBody(true, 5), "plan", "poison-marker", 1)
	refused := 0
	for i := range 12 {
		a, err := d.send(context.Background(), 0, http.MethodPost, chatPath, d.account(0), body)
		if err == nil && a.status == http.StatusUnprocessableEntity {
			refused++
		}
		if r := f.stream(1, 1, 5); !r.complete {
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
