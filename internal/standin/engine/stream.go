package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// completion is a chat completion or one chunk of a streamed one.
type completion struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *chatUsage `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type chatUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (e *Engine) usageOf(g *generation) *chatUsage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &chatUsage{
		PromptTokens:     len(g.prompt),
		CompletionTokens: g.produced,
		TotalTokens:      len(g.prompt) + g.produced,
		Details:          promptDetails{CachedTokens: g.cached},
	}
}

// sseWriter writes the server-sent events of one connection. The id of the role
// chunk is 0 and that of the k-th answer token is k, counted from 1. The ids of the
// finish and usage chunks follow that of the last token.
type sseWriter struct {
	c        echo.Context
	g        *generation
	created  int64
	truncate bool // write malformed events
}

// streamFrom sends g's events whose ids are greater than lastEvent, preceded by the
// role chunk if sendRole is set.
func (e *Engine) streamFrom(c echo.Context, g *generation, lastEvent int, sendRole bool) error {
	faults := e.Faults()
	w := sseWriter{c: c, g: g, created: time.Now().Unix(), truncate: faults.Garbage}
	sent := min(lastEvent, len(g.answer))
	tokensUntilClose := faults.CloseAfterTokens
	started := false
	for {
		n, s, ok := e.waitForProgress(c, g, sent)
		if !ok || s == stateAborted || s == stateCancelled {
			panic(http.ErrAbortHandler)
		}
		if !started {
			started = true
			w.writeHeader(sendRole)
		}
		for ; sent < n; sent++ {
			w.writeToken(sent)
			if tokensUntilClose--; tokensUntilClose == 0 {
				c.Response().Flush()
				panic(http.ErrAbortHandler)
			}
		}
		if s == stateCompleted && sent >= n {
			break
		}
		c.Response().Flush()
	}
	w.writeEnd(lastEvent, e.usageOf(g))
	return nil
}

func (w *sseWriter) writeHeader(sendRole bool) {
	h := w.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
	if sendRole {
		empty := ""
		w.writeEvent(0, []choice{{Delta: &delta{Role: "assistant", Content: &empty}}}, nil)
	}
}

func (w *sseWriter) writeToken(i int) {
	text := w.g.answer[i]
	if i > 0 {
		text = " " + text
	}
	w.writeEvent(i+1, []choice{{Delta: &delta{Content: &text}}}, nil)
}

func (w *sseWriter) writeEnd(lastEvent int, usage *chatUsage) {
	last := len(w.g.answer)
	if lastEvent < last+1 {
		w.writeEvent(last+1, []choice{{Delta: &delta{}, FinishReason: &w.g.finishReason}}, nil)
	}
	if w.g.includeUsage && lastEvent < last+2 {
		w.writeEvent(last+2, []choice{}, usage)
	}
	w.write([]byte("data: [DONE]\n\n"))
	w.c.Response().Flush()
}

func (w *sseWriter) writeEvent(id int, choices []choice, usage *chatUsage) {
	data, err := json.Marshal(completion{
		ID: "chatcmpl-" + w.g.id, Object: "chat.completion.chunk", Created: w.created, Model: w.g.model,
		Choices: choices, Usage: usage,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if w.truncate {
		data = data[:len(data)/2]
	}
	buf := append([]byte("id: "), strconv.Itoa(id)...)
	buf = append(append(append(buf, "\ndata: "...), data...), "\n\n"...)
	w.write(buf)
}

// write aborts the handler if the connection is closed.
func (w *sseWriter) write(data []byte) {
	if _, err := w.c.Response().Write(data); err != nil {
		panic(http.ErrAbortHandler)
	}
}
