package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/standin/engine"
	"github.com/azurehatch/azurehatch/internal/standin/service"
)

// call sends a JSON request and decodes the answer into result.
func (f *fleet) call(method, url, token string, body, result any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || result == nil || resp.StatusCode != http.StatusOK {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(text, result)
}

// put calls the control interface of a stand-in.
func (f *fleet) mustCall(method, url string, body any) {
	f.t.Helper()
	if status, err := f.call(method, url, "", body, nil); err != nil || status/100 != 2 {
		f.t.Fatalf("%s %s: status %d, %v", method, url, status, err)
	}
}

// admin calls the administration API of a daemon.
func (f *fleet) adminCall(d int, token, method, path string, body, result any) (int, error) {
	return f.call(method, "http://"+f.daemons[d].adminAddr+path, token, body, result)
}

// status returns the fleet as a daemon sees it.
func (f *fleet) fleetStatus(d int) (admin.FleetStatus, error) {
	var s admin.FleetStatus
	status, err := f.adminCall(d, viewerToken, http.MethodGet, "/v1/fleet", nil, &s)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("fleet status: %d", status)
	}
	return s, err
}

// member returns one daemon of the fleet as another sees it.
func (f *fleet) memberStatus(d int, id string) (admin.Daemon, error) {
	s, err := f.fleetStatus(d)
	if err != nil {
		return admin.Daemon{}, err
	}
	for _, m := range s.Daemons {
		if m.ID == id {
			return m, nil
		}
	}
	return admin.Daemon{}, fmt.Errorf("%s does not see %s", f.daemons[d].id, id)
}

// command is the outcome of a command of the binary.
type commandResult struct {
	code           int
	stdout, stderr string
}

// cli runs a command against a daemon's administration API.
func (f *fleet) runCLI(d int, token string, args ...string) commandResult {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, binaryPath, args...)
	cmd.Env = append(os.Environ(), "AZUREHATCH_ADMIN=http://"+f.daemons[d].adminAddr, "AZUREHATCH_TOKEN="+token)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Errorf("%v: %v", args, err)
	}
	return commandResult{code: cmd.ProcessState.ExitCode(), stdout: out.String(), stderr: errs.String()}
}

// chat is a streamed chat completion.
type chatRequest struct {
	daemon, account, words int
	// maxTokens bounds the answer if it is positive.
	maxTokens   int
	key, prompt string
	// started, if set, is called at the first token.
	onFirstToken func()
}

// reply is what a caller got.
type reply struct {
	status int
	id     string
	body   string
	// tokens is the number of tokens that arrived, billable what the usage event
	// states.
	tokens   int
	billable int64
	complete bool
	// refusal is set if the answer is a problem document.
	refusal *problem.Document
	err     error
}

func (c chatRequest) body() string {
	limit := ""
	if c.maxTokens > 0 {
		limit = fmt.Sprintf(`"max_tokens":%d,`, c.maxTokens)
	}
	return fmt.Sprintf(`{"model":%q,"stream":true,%s"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"%s plan words:%d"}]}`,
		model, limit, c.prompt, c.words)
}

// send sends a chat completion and reads the answer to its end.
func (f *fleet) sendChat(ctx context.Context, c chatRequest) reply {
	resp, err := f.post(ctx, c.daemon, c.account, "/v1/chat/completions", c.key, c.body())
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, id: resp.Header.Get("X-Request-ID")}
	var text strings.Builder
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		r.parseLine(strings.TrimSpace(line), c.onFirstToken)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				r.err = err
			}
			break
		}
	}
	r.body = text.String()
	r.complete = r.err == nil && r.status == http.StatusOK && strings.HasSuffix(r.body, "data: [DONE]\n\n")
	r.refusal = parseRefusal(r.status, r.body)
	return r
}

// event counts one line of a stream.
func (r *reply) parseLine(line string, started func()) {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	var e struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *struct {
			Total int64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal([]byte(data), &e) != nil {
		return
	}
	if e.Usage != nil {
		r.billable = e.Usage.Total
	}
	if len(e.Choices) > 0 && e.Choices[0].Delta.Content != "" {
		r.tokens++
		if r.tokens == 1 && started != nil {
			started()
		}
	}
}

func parseRefusal(status int, body string) *problem.Document {
	var doc problem.Document
	if status == http.StatusOK || json.Unmarshal([]byte(body), &doc) != nil || doc.Type == "" {
		return nil
	}
	return &doc
}

func (f *fleet) post(ctx context.Context, d, account int, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[d].callersAddr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer key-"+accountName(account))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// net/http repeats a request with this header when a kept connection
		// breaks; tests count what one request does.
		req.GetBody = nil
	}
	return f.http.Do(req)
}

// order sends a non-idempotent order to the plain service.
func (f *fleet) sendOrder(d int, key string) reply {
	resp, err := f.post(context.Background(), d, 0, "/services/"+plainService+"/reserve", key, `{"item":"tray 7"}`)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, id: resp.Header.Get("X-Request-ID"), body: string(body), err: err,
		complete: err == nil && resp.StatusCode == http.StatusOK, refusal: parseRefusal(resp.StatusCode, string(body)),
	}
}

// runs returns how often the plain service began to run the order.
func (f *fleet) orderRuns(key string) service.Runs {
	f.t.Helper()
	var report struct {
		Runs map[string]service.Runs `json:"runs"`
	}
	if status, err := f.call(http.MethodGet, "http://"+f.service.addr+"/admin/runs", "", nil, &report); err != nil || status != http.StatusOK {
		f.t.Fatalf("runs: status %d, %v", status, err)
	}
	return report.Runs[key]
}

// usage returns what ran on an engine, by request id.
func (f *fleet) engineUsage(e *endpoint) map[string]engine.RequestUsage {
	f.t.Helper()
	var report struct {
		Requests map[string]engine.RequestUsage `json:"requests"`
	}
	if status, err := f.call(http.MethodGet, "http://"+e.addr+"/admin/usage", "", nil, &report); err != nil || status != http.StatusOK {
		f.t.Fatalf("usage of %s: status %d, %v", e.id, status, err)
	}
	return report.Requests
}
