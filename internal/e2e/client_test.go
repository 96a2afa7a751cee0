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

// call sends a JSON request and decodes the response into result if the status is
// 200 and result is not nil.
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

// mustCall calls the control API of a stand-in and fails the test on an error.
func (f *fleet) mustCall(method, url string, body any) {
	f.t.Helper()
	if status, err := f.call(method, url, "", body, nil); err != nil || status/100 != 2 {
		f.t.Fatalf("%s %s: status %d, %v", method, url, status, err)
	}
}

// adminCall calls the administration API of daemon d.
func (f *fleet) adminCall(d int, token, method, path string, body, result any) (int, error) {
	return f.call(method, "http://"+f.daemons[d].adminAddr+path, token, body, result)
}

// fleetStatus returns the fleet status that daemon d reports.
func (f *fleet) fleetStatus(d int) (admin.FleetStatus, error) {
	var s admin.FleetStatus
	status, err := f.adminCall(d, viewerToken, http.MethodGet, "/v1/fleet", nil, &s)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("fleet status: %d", status)
	}
	return s, err
}

// memberStatus returns the status of daemon id as daemon d reports it.
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
	return admin.Daemon{}, fmt.Errorf("fleet status of %s does not list %s", f.daemons[d].id, id)
}

// commandResult is the exit code and output of a command of the binary.
type commandResult struct {
	code           int
	stdout, stderr string
}

// runCLI runs a command against the administration API of daemon d.
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

// chatRequest describes a streamed chat completion.
type chatRequest struct {
	// daemon and account are indices; words is the number of tokens that the
	// engine generates.
	daemon, account, words int
	// maxTokens is sent as max_tokens if it is positive.
	maxTokens   int
	key, prompt string
	// onFirstToken, if set, is called when the first token arrives.
	onFirstToken func()
}

// reply is the response that a caller received.
type reply struct {
	status int
	id     string
	body   string
	// tokens is the number of tokens received. billable is total_tokens of the
	// usage event, 0 without one.
	tokens   int
	billable int64
	// complete reports whether the whole answer arrived with status 200.
	complete bool
	// refusal is set if the response is a problem document.
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

// sendChat sends a chat completion and reads the response to its end.
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

// parseLine counts the token or the usage in one line of an event stream.
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[d].callersAddr+path,
		strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer key-"+accountName(account))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// net/http retries a request with this header when a reused connection
		// fails, unless GetBody is nil. Tests count the effects of a single request.
		req.GetBody = nil
	}
	return f.http.Do(req)
}

// sendOrder sends a non-idempotent order to the plain service through daemon d.
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

// orderRuns returns how often the plain service started and completed the order.
func (f *fleet) orderRuns(key string) service.Runs {
	f.t.Helper()
	var report struct {
		Runs map[string]service.Runs `json:"runs"`
	}
	if status, err := f.call(http.MethodGet, "http://"+f.service.addr+"/admin/runs", "", nil, &report); err != nil ||
		status != http.StatusOK {
		f.t.Fatalf("runs of the plain service: status %d, %v", status, err)
	}
	return report.Runs[key]
}

// engineUsage returns the usage that an engine recorded, by request ID.
func (f *fleet) engineUsage(e *endpoint) map[string]engine.RequestUsage {
	f.t.Helper()
	var report struct {
		Requests map[string]engine.RequestUsage `json:"requests"`
	}
	if status, err := f.call(http.MethodGet, "http://"+e.addr+"/admin/usage", "", nil, &report); err != nil ||
		status != http.StatusOK {
		f.t.Fatalf("usage of %s: status %d, %v", e.id, status, err)
	}
	return report.Requests
}
