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

// trialPrepaidTokens is less than any chat completion costs.
const trialPrepaidTokens = 20

// billsTimeout limits the wait until all bills are in the store.
const billsTimeout = 20 * time.Second

// demo sends sample requests to a fleet, checks the responses and prints them.
type demo struct {
	fleet *Fleet
	out   io.Writer
}

// Demo sends sample requests to a running fleet and prints the results: a chat
// completion, a streamed chat completion, a call of the plain service, a request
// that is refused because its budget is exhausted, a non-idempotent order sent
// twice that runs once, and the spend of each account. It returns an error if a
// result is not the expected one.
func (f *Fleet) Demo(ctx context.Context, out io.Writer) error {
	d := &demo{fleet: f, out: out}
	for _, step := range []func(context.Context) error{
		d.chatCompletion, d.streamedChatCompletion, d.plainCall, d.exhaustedBudget, d.nonIdempotentOrder, d.printSpend,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// response is an HTTP response whose body was read.
type response struct {
	status int
	header http.Header
	body   string
}

// send sends a request of the account to a daemon. header holds alternating names
// and values.
func (d *demo) send(
	ctx context.Context, daemon int, method, path, account, body string, header ...string,
) (response, error) {
	url := "http://" + d.fleet.Daemons[daemon%len(d.fleet.Daemons)].CallersAddr() + path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return response{}, errors.Wrap(err, "demo request")
	}
	req.Header.Set("Authorization", "Bearer "+APIKey(account))
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, errors.Wrap(err, "demo request")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(text)}, errors.Wrap(err, "read demo response")
}

func (d *demo) chatBody(stream bool, words int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"plan the trays words:%d"}]}`,
		d.fleet.Deployment.Model, stream, words)
}

func (d *demo) account(i int) string { return d.fleet.Deployment.Accounts[i] }

func (d *demo) chatCompletion(ctx context.Context) error {
	resp, err := d.send(ctx, 0, http.MethodPost, chatPath, d.account(0), d.chatBody(false, 8))
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK || !json.Valid([]byte(resp.body)) {
		return errors.Errorf("chat completion: status %d, body %q", resp.status, resp.body)
	}
	fmt.Fprintf(d.out, "chat completion:\n  %s\n", resp.body)
	return nil
}

const chatPath = "/v1/chat/completions"

func (d *demo) streamedChatCompletion(ctx context.Context) error {
	resp, err := d.send(ctx, 1, http.MethodPost, chatPath, d.account(1), d.chatBody(true, 12))
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK || !strings.HasSuffix(strings.TrimSpace(resp.body), "data: [DONE]") {
		return errors.Errorf("stream: status %d, body %q", resp.status, resp.body)
	}
	fmt.Fprintf(d.out, "streamed chat completion: %d events, complete\n", strings.Count(resp.body, "data: "))
	return nil
}

func (d *demo) plainCall(ctx context.Context) error {
	resp, err := d.send(ctx, 2, http.MethodGet, "/services/"+d.fleet.Deployment.PlainService+"/lookup?tray=7",
		d.account(2), "")
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return errors.Errorf("plain call: status %d, body %q", resp.status, resp.body)
	}
	fmt.Fprintf(d.out, "plain call:\n  %s\n", strings.TrimSpace(resp.body))
	return nil
}

func (d *demo) exhaustedBudget(ctx context.Context) error {
	resp, err := d.send(ctx, 3, http.MethodPost, chatPath, TrialAccount, d.chatBody(false, 8))
	if err != nil {
		return err
	}
	var doc problem.Document
	if err := json.Unmarshal([]byte(resp.body), &doc); err != nil ||
		!strings.HasSuffix(doc.Type, string(problem.BudgetExhausted)) || doc.Ran != "no" {
		return errors.Errorf("exhausted budget: status %d, body %q", resp.status, resp.body)
	}
	fmt.Fprintf(d.out, "refusal for an exhausted budget:\n  %s\n", strings.TrimSpace(resp.body))
	return nil
}

// nonIdempotentOrder sends the same non-idempotent order, with the same
// idempotency key, to two daemons.
func (d *demo) nonIdempotentOrder(ctx context.Context) error {
	const key = "demo-order-1"
	var bodies []string
	for i := range 2 {
		resp, err := d.send(ctx, i, http.MethodPost,
			"/services/"+d.fleet.Deployment.PlainService+d.fleet.Deployment.OrderPath, d.account(3),
			`{"item":"badge 12"}`, "Idempotency-Key", key)
		if err != nil {
			return err
		}
		if resp.status != http.StatusOK {
			return errors.Errorf("order: status %d, body %q", resp.status, resp.body)
		}
		bodies = append(bodies, resp.body)
	}
	runs := 0
	for _, s := range d.fleet.Services {
		byKey, _ := s.Runs()
		runs += byKey[key].Completed
	}
	if bodies[0] != bodies[1] || runs != 1 {
		return errors.Errorf("order ran %d times, want 1; responses %q", runs, bodies)
	}
	fmt.Fprintf(d.out, "non-idempotent order sent to two daemons: ran %d time, same answer twice\n", runs)
	return nil
}

// printSpend waits until the bills of the demo are in the store and prints the
// statement of each account.
func (d *demo) printSpend(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, billsTimeout)
	defer cancel()
	accounts := ledger.Accounts{Store: d.fleet.Store}
	for {
		var table bytes.Buffer
		billed, err := d.writeStatements(ctx, accounts, &table)
		if err != nil {
			return err
		}
		// One bill each for the chat completion, the stream, the plain call and the order.
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

// writeStatements writes the statement of each account as a table and returns the
// number of requests billed to all of them.
func (d *demo) writeStatements(ctx context.Context, accounts ledger.Accounts, w io.Writer) (billed int64, err error) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  budget\tprepaid\tspent\theld\tavailable")
	for _, account := range append(append([]string(nil), d.fleet.Deployment.Accounts...), TrialAccount) {
		s, err := accounts.Statement(ctx, account)
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
