package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/ledger"
	"github.com/azurehatch/azurehatch/internal/problem"
)

// TrialAccount has a budget that a single request exhausts.
const TrialAccount = "trial"

// trialPrepaid covers no chat completion.
const trialPrepaid = 20

// demoWait bounds the wait for the last bills.
const demoWait = 20 * time.Second

// demo sends a few real requests and prints what came back.
type demo struct {
	f   *Fleet
	out io.Writer
}

// Demo shows the whole path on a running fleet: chat completions whole and
// streamed, a plain call, a refusal for an exhausted budget, a retried
// non-idempotent order that runs once, and each account's spend. It returns an
// error if any of them differs from what is promised.
func (f *Fleet) Demo(ctx context.Context, out io.Writer) error {
	d := &demo{f: f, out: out}
	for _, step := range []func(context.Context) error{d.whole, d.stream, d.plain, d.exhausted, d.order, d.spend} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// answer is a received response.
type answer struct {
	status int
	header http.Header
	body   string
}

func (d *demo) send(ctx context.Context, daemon int, method, path, account, body string, header ...string) (answer, error) {
	url := "http://" + d.f.Daemons[daemon%len(d.f.Daemons)].CallersAddr() + path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrap(err, "demo request")
	}
	req.Header.Set("Authorization", "Bearer "+Key(account))
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, errors.Wrap(err, "demo request")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text)}, errors.Wrap(err, "demo answer")
}

func (d *demo) chatBody(stream bool, words int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"plan the trays words:%d"}]}`,
		d.f.Deployment.Model, stream, words)
}

func (d *demo) account(i int) string { return d.f.Deployment.Accounts[i] }

func (d *demo) whole(ctx context.Context) error {
	a, err := d.send(ctx, 0, http.MethodPost, chatPath, d.account(0), d.chatBody(false, 8))
	if err != nil {
		return err
	}
	if a.status != http.StatusOK || !json.Valid([]byte(a.body)) {
		return errors.Errorf("chat completion: status %d, body %q", a.status, a.body)
	}
	fmt.Fprintf(d.out, "chat completion:\n  %s\n", a.body)
	return nil
}

const chatPath = "/v1/chat/completions"

func (d *demo) stream(ctx context.Context) error {
	a, err := d.send(ctx, 1, http.MethodPost, chatPath, d.account(1), d.chatBody(true, 12))
	if err != nil {
		return err
	}
	if a.status != http.StatusOK || !strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]") {
		return errors.Errorf("stream: status %d, body %q", a.status, a.body)
	}
	fmt.Fprintf(d.out, "streamed chat completion: %d events, complete\n", strings.Count(a.body, "data: "))
	return nil
}

func (d *demo) plain(ctx context.Context) error {
	a, err := d.send(ctx, 2, http.MethodGet, "/services/"+d.f.Deployment.Service+"/lookup?tray=7", d.account(2), "")
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return errors.Errorf("plain call: status %d, body %q", a.status, a.body)
	}
	fmt.Fprintf(d.out, "plain call:\n  %s\n", strings.TrimSpace(a.body))
	return nil
}

func (d *demo) exhausted(ctx context.Context) error {
	a, err := d.send(ctx, 3, http.MethodPost, chatPath, TrialAccount, d.chatBody(false, 8))
	if err != nil {
		return err
	}
	var doc problem.Document
	if err := json.Unmarshal([]byte(a.body), &doc); err != nil || !strings.HasSuffix(doc.Type, string(problem.BudgetExhausted)) || doc.Ran != "no" {
		return errors.Errorf("exhausted budget: status %d, body %q", a.status, a.body)
	}
	fmt.Fprintf(d.out, "refusal for an exhausted budget:\n  %s\n", strings.TrimSpace(a.body))
	return nil
}

// order sends the same non-idempotent order to two daemons.
func (d *demo) order(ctx context.Context) error {
	const key = "demo-order-1"
	var bodies []string
	for i := range 2 {
		a, err := d.send(ctx, i, http.MethodPost, "/services/"+d.f.Deployment.Service+d.f.Deployment.OrderPath, d.account(3),
			`{"item":"badge 12"}`, "Idempotency-Key", key)
		if err != nil {
			return err
		}
		if a.status != http.StatusOK {
			return errors.Errorf("order: status %d, body %q", a.status, a.body)
		}
		bodies = append(bodies, a.body)
	}
	runs := 0
	for _, s := range d.f.Services {
		byKey, _ := s.Runs()
		runs += byKey[key].Completed
	}
	if bodies[0] != bodies[1] || runs != 1 {
		return errors.Errorf("order ran %d times; answers %q", runs, bodies)
	}
	fmt.Fprintf(d.out, "non-idempotent order sent to two daemons: ran %d time, same answer twice\n", runs)
	return nil
}

// spend waits until the bills are in the store and prints each account.
func (d *demo) spend(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoWait)
	defer cancel()
	books := ledger.Accounts{Store: d.f.Store}
	for {
		var table bytes.Buffer
		billed, err := d.statement(ctx, books, &table)
		if err != nil {
			return err
		}
		// Whole answer, stream, plain call and order.
		if billed == 4 {
			_, err = fmt.Fprintf(d.out, "spend:\n%s", table.String())
			return err
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return errors.Errorf("%d of 4 bills are in the store:\n%s", billed, table.String())
		}
	}
}

func (d *demo) statement(ctx context.Context, books ledger.Accounts, w io.Writer) (billed int64, err error) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  budget\tprepaid\tspent\theld\tavailable")
	for _, account := range append(append([]string(nil), d.f.Deployment.Accounts...), TrialAccount) {
		s, err := books.Statement(ctx, account)
		if err != nil {
			return 0, err
		}
		billed += s.Requests
		for _, b := range s.Budgets {
			fmt.Fprintf(tw, "  %s\t%d\t%d\t%d\t%d\n", b.Budget, b.Prepaid, b.Spent, b.Granted, b.Available)
		}
	}
	return billed, tw.Flush()
}
