package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
)

// Request headers that the engine reads.
const (
	// HeaderRequestID identifies the request in the usage log and for resumption.
	HeaderRequestID = "X-Request-ID"
	// HeaderResumable set to "true" keeps the generation for
	// Options.ResumeGrace after a disconnect.
	HeaderResumable = "X-Resumable"
	// HeaderLastEventID resumes a stream after the event with this id.
	HeaderLastEventID = "Last-Event-ID"
)

// maxBodyBytes limits the size of a request's body.
const maxBodyBytes = 16 << 20

type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	Priority            int           `json:"priority"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content messageText `json:"content"`
}

// messageText is the text of a message, decoded from a string or a list of parts.
type messageText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *messageText) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		var parts []struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal(data, &parts); err != nil {
			return err
		}
		for _, p := range parts {
			*t += messageText(p.Text + " ")
		}
		return nil
	}
	return json.Unmarshal(data, (*string)(t))
}

type apiError struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func writeError(c echo.Context, status int, errorType, message string) error {
	var e apiError
	e.Error.Type, e.Error.Message = errorType, message
	return c.JSON(status, e)
}

func (e *Engine) chat(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return writeError(c, http.StatusBadRequest, "invalid_request_error", err.Error())
	}
	header := c.Request().Header
	if lastEventID := header.Get(HeaderLastEventID); lastEventID != "" {
		return e.resume(c, header.Get(HeaderRequestID), lastEventID)
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return writeError(c, http.StatusBadRequest, "invalid_request_error", err.Error())
	}
	if !e.hasModel(req.Model) {
		return writeError(c, http.StatusNotFound, "model_not_found", "model "+strconv.Quote(req.Model)+" is not loaded")
	}
	g := e.newGeneration(req, header)
	marker := e.Faults().CrashMarker
	g.hasCrashMarker = marker != "" && bytes.Contains(body, []byte(marker))
	if !e.submit(g) {
		return writeError(c, http.StatusTooManyRequests, "overloaded", "the queue is full")
	}
	defer e.detach(g)
	c.Response().Header().Set(HeaderRequestID, g.id)
	if req.Stream {
		return e.streamFrom(c, g, 0, true)
	}
	return e.respond(c, g)
}

func (e *Engine) resume(c echo.Context, id, lastEventID string) error {
	lastEvent, err := strconv.Atoi(lastEventID)
	if err != nil || lastEvent < 0 {
		return writeError(c, http.StatusBadRequest, "invalid_request_error", "Last-Event-ID is not a number")
	}
	g := e.attach(id)
	if g == nil {
		return writeError(c, http.StatusGone, "not_resumable", "no generation is kept for request "+strconv.Quote(id))
	}
	defer e.detach(g)
	c.Response().Header().Set(HeaderRequestID, id)
	return e.streamFrom(c, g, lastEvent, false)
}

func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.models {
		if m == model {
			return true
		}
	}
	return false
}

func (e *Engine) newGeneration(req chatRequest, header http.Header) *generation {
	var prompt []string
	for _, m := range req.Messages {
		prompt = append(prompt, strings.Fields(string(m.Content))...)
	}
	g := &generation{
		id:           header.Get(HeaderRequestID),
		model:        req.Model,
		prompt:       prompt,
		priority:     req.Priority,
		resumable:    header.Get(HeaderResumable) == "true",
		includeUsage: req.StreamOptions.IncludeUsage,
		heapPos:      -1,
	}
	if g.id == "" {
		g.id = uuid.NewString()
	}
	limit := req.MaxTokens
	if req.MaxCompletionTokens > 0 {
		limit = req.MaxCompletionTokens
	}
	g.answer, g.finishReason = Answer(prompt, e.opts.AnswerWords, limit)
	return g
}

// vocabulary holds the words of which answers consist.
var vocabulary = strings.Fields(`amber basin cedar delta ember fjord grove harbor
	inlet jetty knoll lagoon meadow north orchard prairie quarry ridge summit tundra`)

// Answer returns the deterministic answer to a prompt and the finish reason. The
// number of tokens is NN of the prompt's last "words:NN", or the argument words if
// there is none. A positive maxTokens limits it.
func Answer(prompt []string, words, maxTokens int) (tokens []string, finish string) {
	for _, p := range prompt {
		if n, err := strconv.Atoi(strings.TrimPrefix(p, "words:")); err == nil && n > 0 && strings.HasPrefix(p, "words:") {
			words = n
		}
	}
	finish = "stop"
	if maxTokens > 0 && words > maxTokens {
		words, finish = maxTokens, "length"
	}
	seed := xxhash.Sum64String(strings.Join(prompt, " "))
	tokens = make([]string, words)
	for i := range tokens {
		tokens[i] = vocabulary[(seed+uint64(i)*(seed>>32|1))%uint64(len(vocabulary))]
	}
	return tokens, finish
}

// waitForProgress blocks until g has more than produced tokens or has ended. It
// returns g's number of tokens and state, and false if the caller has disconnected.
func (e *Engine) waitForProgress(c echo.Context, g *generation, produced int) (int, state, bool) {
	for {
		e.mu.Lock()
		n, s, changed := g.produced, g.state, g.changed
		e.mu.Unlock()
		if n > produced || s > stateRunning {
			return n, s, true
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return n, s, false
		}
	}
}

func (e *Engine) respond(c echo.Context, g *generation) error {
	for produced := 0; ; {
		n, s, ok := e.waitForProgress(c, g, produced)
		if !ok || s == stateAborted || s == stateCancelled {
			panic(http.ErrAbortHandler)
		}
		if s == stateCompleted {
			break
		}
		produced = n
	}
	if e.Faults().Garbage {
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(`{"choices":[{"message":`))
	}
	text := strings.Join(g.answer, " ")
	return c.JSON(http.StatusOK, completion{
		ID: "chatcmpl-" + g.id, Object: "chat.completion", Created: time.Now().Unix(), Model: g.model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: &text}, FinishReason: &g.finishReason}},
		Usage:   e.usageOf(g),
	})
}
