package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/azurehatch/azurehatch/internal/problem"
)

// Terms of the upper bound of a prompt's token count. A token is at least one
// byte, and the chat template adds a few tokens per request and per message.
const (
	templateTokensPerRequest = 16
	templateTokensPerMessage = 8
)

// prefixBytes is the length of the part of the messages that identifies a
// prompt's prefix.
const prefixBytes = 1024

// chatRequest holds the fields of a chat completion request that the daemon uses.
// All fields are kept in raw, and those that it does not set are forwarded
// unchanged.
type chatRequest struct {
	raw             map[string]json.RawMessage
	model           string
	stream          bool
	usageRequested  bool // the caller asked for the usage chunk
	maxTokens       int64
	messageCount    int
	maxPromptTokens int64 // upper bound
}

// chatFields are decoded from the body; pointers distinguish absent from zero.
type chatFields struct {
	Model               *string           `json:"model"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	Messages            []json.RawMessage `json:"messages"`
	N                   *int64            `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func parseChat(body []byte) (*chatRequest, error) {
	var f chatFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, problem.New(problem.InvalidRequest, "the body is not a chat completion request: %v", err)
	}
	if f.Model == nil || *f.Model == "" {
		return nil, problem.New(problem.InvalidRequest, "field \"model\" is missing")
	}
	if len(f.Messages) == 0 {
		return nil, problem.New(problem.InvalidRequest, "field \"messages\" is missing or empty")
	}
	if f.N != nil && *f.N != 1 {
		return nil, problem.New(problem.InvalidRequest, "field \"n\" must be 1")
	}
	q := &chatRequest{
		model: *f.Model, stream: f.Stream, usageRequested: f.StreamOptions.IncludeUsage, messageCount: len(f.Messages),
	}
	for _, limit := range []*int64{f.MaxTokens, f.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit <= 0 {
			return nil, problem.New(problem.InvalidRequest, "the answer's token limit must be positive")
		}
		q.maxTokens = *limit
	}
	q.maxPromptTokens = int64(len(body)) + templateTokensPerRequest + templateTokensPerMessage*int64(len(f.Messages))
	if err := json.Unmarshal(body, &q.raw); err != nil {
		return nil, problem.New(problem.InvalidRequest, "the body is not a JSON object: %v", err)
	}
	return q, nil
}

// engineBody returns the body for the engine. It limits the answer, so that the
// engine can't exceed the reservation, and requests the usage chunk of a stream.
func (q *chatRequest) engineBody(maxOutputTokens int64, priority int) ([]byte, error) {
	if q.maxTokens == 0 || q.maxTokens > maxOutputTokens {
		q.maxTokens = maxOutputTokens
	}
	limit, err := json.Marshal(q.maxTokens)
	if err != nil {
		return nil, err
	}
	q.raw["max_tokens"] = limit
	if _, ok := q.raw["max_completion_tokens"]; ok {
		q.raw["max_completion_tokens"] = limit
	}
	if _, ok := q.raw["priority"]; !ok && priority != 0 {
		if q.raw["priority"], err = json.Marshal(priority); err != nil {
			return nil, err
		}
	}
	if q.stream {
		if err := q.requestUsage(); err != nil {
			return nil, err
		}
	}
	return json.Marshal(q.raw)
}

func (q *chatRequest) requestUsage() error {
	options := map[string]json.RawMessage{}
	if raw, ok := q.raw["stream_options"]; ok && string(raw) != "null" {
		if err := json.Unmarshal(raw, &options); err != nil {
			return problem.New(problem.InvalidRequest, "field \"stream_options\" is not an object")
		}
	}
	options["include_usage"] = json.RawMessage("true")
	raw, err := json.Marshal(options)
	if err != nil {
		return err
	}
	q.raw["stream_options"] = raw
	return nil
}

func (x *exchange) chat() error {
	if err := x.readBody(); err != nil {
		return err
	}
	q, err := parseChat(x.body)
	if err != nil {
		return err
	}
	service, ok := x.g.Directory.Model(q.model)
	if !ok {
		return problem.New(problem.UnknownService, "model %q does not exist", q.model)
	}
	x.service = service
	body, err := q.engineBody(service.MaxOutput, service.Priority)
	if err != nil {
		return problem.From(err)
	}
	j, err := x.newJob(body, q)
	if err != nil {
		return err
	}
	return j.run()
}

func (g *Gateway) chat(x *exchange) error { return x.chat() }

func (g *Gateway) models(x *exchange) error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, id := range g.Directory.Models() {
		list.Data = append(list.Data, model{ID: id, Object: "model", OwnedBy: "azurehatch"})
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(http.StatusOK)
	return json.NewEncoder(x.w).Encode(list)
}

// digests returns the digest of the whole request and that of its prefix.
func digests(service string, raw []byte, messages json.RawMessage) (whole, prefix uint64) {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.Write(raw)
	prefix = xxhash.Sum64(messages[:min(len(messages), prefixBytes)])
	return h.Sum64(), prefix
}
