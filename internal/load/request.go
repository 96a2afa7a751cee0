package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/azurehatch/azurehatch/internal/problem"
)

// kind is the kind of a request.
type kind int

const (
	kindChat   kind = iota // chat completion without streaming
	kindStream             // streamed chat completion
	kindPlain              // idempotent call of a plain service
	kindOrder              // non-idempotent call of a plain service
)

// request holds the random parameters of a request.
type request struct {
	kind   kind
	target string
	key    string
	tokens int
}

// drawRequest draws the parameters of the n-th request. It is not safe for concurrent
// use.
func (r *runner) drawRequest(n int) request {
	opts := r.opts
	req := request{
		target: opts.Targets[n%len(opts.Targets)], key: opts.Keys[r.rng.IntN(len(opts.Keys))], tokens: opts.ShortTokens,
	}
	plain, order := r.rng.Float64() < opts.PlainShare, r.rng.Float64() < opts.OrderShare
	long, stream := r.rng.Float64() < opts.LongShare, r.rng.Float64() < opts.StreamShare
	switch {
	case plain && order && opts.OrderPath != "":
		req.kind = kindOrder
	case plain:
		req.kind = kindPlain
	case stream:
		req.kind = kindStream
	}
	if long {
		req.tokens = opts.LongTokens
	}
	return req
}

func (r *runner) newRequest(ctx context.Context, q request) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"load words:%d"}]}`,
		r.opts.Model, q.kind == kindStream, q.tokens, q.tokens)
	switch q.kind {
	case kindPlain:
		method, path, body = http.MethodGet, "/services/"+r.opts.Service+"/lookup", ""
	case kindOrder:
		path, body = "/services/"+r.opts.Service+r.opts.OrderPath, `{"item":"load"}`
	}
	req, err := http.NewRequestWithContext(ctx, method, q.target+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+q.key)
	req.Header.Set("Content-Type", "application/json")
	if q.kind == kindOrder {
		req.Header.Set("Idempotency-Key", uuid.NewString())
	}
	return req, nil
}

func (r *runner) send(ctx context.Context, q request) {
	req, err := r.newRequest(ctx, q)
	if err != nil {
		r.stats.countFailed("not-built")
		return
	}
	started := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		r.stats.countFailed("connection")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.stats.countRefused(refusalType(resp))
		return
	}
	if q.kind == kindStream {
		r.readStream(resp.Body, started)
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.stats.countFailed("cut")
		return
	}
	r.stats.recordCompleted(time.Since(started), completionTokens(body))
}

// refusalType returns the last path segment of the problem type, or the status if the
// response is not a problem document.
func refusalType(resp *http.Response) string {
	var doc problem.Document
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil || json.Unmarshal(body, &doc) != nil || doc.Type == "" {
		return fmt.Sprintf("status-%d", resp.StatusCode)
	}
	return doc.Type[strings.LastIndex(doc.Type, "/")+1:]
}

// completionTokens returns the number of answer tokens in the usage of a response.
func completionTokens(body []byte) int {
	var answer struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal(body, &answer) // the response of a plain service has no usage
	return answer.Usage.CompletionTokens
}

// readStream reads a stream and records its latencies. The stream is complete only if
// it ends with [DONE].
func (r *runner) readStream(body io.Reader, started time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 16<<10), 1<<20)
	var firstAt, lastAt time.Time
	tokens := 0
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.stats.recordStream(started, firstAt, tokens)
			return
		}
		now := time.Now()
		if bytes.Contains(data, []byte(`"content":`)) && !bytes.Contains(data, []byte(`"content":""`)) {
			if tokens == 0 {
				firstAt = now
			} else {
				r.stats.recordInterToken(now.Sub(lastAt))
			}
			lastAt = now
			tokens++
		}
	}
	r.stats.countFailed("cut")
}
