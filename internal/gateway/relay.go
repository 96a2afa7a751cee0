package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Limits of answers that are buffered completely before they are sent.
const (
	// maxStoredAnswerBytes limits the answer that is stored with a claim; its
	// encoding fits claim.MaxAnswerBytes.
	maxStoredAnswerBytes = 1 << 10
	// maxEngineErrorBytes limits an engine's error document.
	maxEngineErrorBytes = 64 << 10
)

// maxStreamResumes limits how often a broken stream is resumed at its engine.
const maxStreamResumes = 2

// streamWriter sends the headers of a streamed answer with its first byte, so
// that a failure before it can still be retried or refused.
type streamWriter struct {
	x *exchange
}

func (s streamWriter) Write(p []byte) (int, error) {
	if !s.x.committed {
		h := s.x.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		s.x.committed = true
		s.x.w.WriteHeader(http.StatusOK)
	}
	return s.x.w.Write(p)
}

// Flush sends nothing before the first byte, since it would send the headers.
func (s streamWriter) Flush() {
	if s.x.committed {
		s.x.w.Flush()
	}
}

func (j *job) relayStream(d *dispatch) error {
	ctx, endpoint := d.ctx, d.endpoint
	id := upstream.EventID{Request: j.x.id, Endpoint: endpoint.ID}
	relay := &upstream.Relay{IDPrefix: id.Prefix(), ForwardUsage: j.chat.usageRequested, MaxTokens: j.chat.maxTokens, Memory: j.x.g.buffers.Buffer()}
	defer relay.Memory.Release()
	promptTokens := j.promptEstimate()
	relay.OnToken = func(tokens int64) error {
		if tokens == 1 {
			d.firstTokenTimer.Stop()
			j.ticket.FirstToken()
			j.mergeRan(upstream.RanYes)
			j.x.g.Scope.Histogram("first_token_seconds", firstTokenBuckets).RecordDuration(j.x.g.Now().Sub(j.x.started))
		}
		j.ticket.Token(tokens)
		j.outputTokens = tokens
		j.billed = promptTokens + tokens
		return j.reservation.cover(ctx, j.chat.maxPromptTokens+tokens)
	}
	dst := streamWriter{x: j.x}
	err := relay.Copy(dst, d.resp.Body)
	if err != nil {
		j.abandon(d.resp) // before the stream is resumed
	}
	for range maxStreamResumes {
		if !j.resumable || !errors.Is(err, upstream.ErrTruncated) || relay.Progress().LastEventID == "" || ctx.Err() != nil {
			break
		}
		err = j.resumeStream(ctx, relay, endpoint, err)
	}
	return j.endStream(ctx, relay.Progress(), endpoint, err)
}

// resumeStream continues a broken stream at the same engine. It returns cause if
// the engine does not resume it.
func (j *job) resumeStream(ctx context.Context, relay *upstream.Relay, endpoint Endpoint, cause error) error {
	h := j.upstreamHeader()
	h.Set(upstream.HeaderLastEventID, relay.Progress().LastEventID)
	resp, err := j.x.g.Upstream.Do(ctx, upstream.Call{
		Endpoint: endpoint.ID, Addr: endpoint.Addr, Method: http.MethodPost, Path: j.path, Header: h, Body: j.body,
		OwnConnection: true,
	})
	if err != nil {
		return cause
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return cause
	}
	j.x.log.Info().Str("endpoint", endpoint.ID).Str("event", relay.Progress().LastEventID).
		Msg("stream resumed at its engine")
	return relay.Copy(streamWriter{x: j.x}, resp.Body)
}

// endStream sets the final token counts and notifies the caller if the answer is
// incomplete.
func (j *job) endStream(ctx context.Context, p upstream.Progress, endpoint Endpoint, err error) error {
	if p.Usage != nil {
		j.billed = p.Usage.Total()
		j.outputTokens = max(j.outputTokens, p.Usage.CompletionTokens)
	}
	if err == nil {
		j.mergeRan(upstream.RanYes)
		return nil
	}
	err = failure.At(err, "gateway.stream", endpoint.Addr)
	if errors.Is(err, upstream.ErrCallerDisconnected) || ctx.Err() != nil {
		if j.billed == 0 {
			j.billed = j.promptEstimate()
		}
		return (&problem.Error{Kind: problem.StreamTruncated, Detail: "the caller disconnected or the deadline passed"}).
			WithRan(j.ran).WithCause(err)
	}
	if !j.x.committed {
		return err
	}
	var refusal *problem.Error
	if !errors.As(err, &refusal) {
		refusal = (&problem.Error{
			Kind: problem.StreamTruncated, Detail: "the endpoint's stream ended before its answer was complete",
		}).WithRan(upstream.RanYes).WithCause(err)
	}
	if refusal.Ran == upstream.RanNo {
		// "Not run" refers to the refused extension; the request itself did run.
		ran := *refusal
		refusal = ran.WithRan(upstream.RanYes)
	}
	j.sendErrorEvent(refusal)
	return refusal
}

// sendErrorEvent sends the refusal as an event of the stream, in place of [DONE].
func (j *job) sendErrorEvent(p *problem.Error) {
	doc, err := json.Marshal(p.Document(j.x.id))
	if err != nil {
		return
	}
	event := append(append([]byte("event: error\ndata: "), doc...), "\n\n"...)
	if _, err := j.x.w.Write(event); err == nil {
		j.x.w.Flush()
	}
}

// promptEstimate returns the prompt tokens that are billed for an answer without
// a usage report, that is, without the engine's own count. The reserved upper
// bound is a multiple of that count, so a quarter of the bytes is used instead.
func (j *job) promptEstimate() int64 {
	const bytesPerToken = 4
	return max(1, int64(len(j.chat.raw["messages"]))/bytesPerToken)
}

func (j *job) relayCompletion(resp *upstream.Response, endpoint Endpoint) error {
	memory := j.x.g.buffers.Buffer()
	defer memory.Release()
	body, err := memory.ReadAhead(resp.Body, upstream.MaxResponseBytes+1)
	usage, ok := upstream.Usage{}, false
	switch {
	case errors.Is(err, io.EOF):
		if usage, ok = usageOf(body); !ok {
			err = upstream.ErrMalformed
		}
	case len(body) > upstream.MaxResponseBytes:
		err = upstream.ErrTooLong
	case err == nil:
		err = upstream.ErrNoMemory
	}
	if !ok {
		return failure.At(&upstream.Error{Endpoint: endpoint.ID, Ran: upstream.RanUnknown, Err: err},
			"gateway.answer", endpoint.Addr)
	}
	j.mergeRan(upstream.RanYes)
	j.ticket.FirstToken()
	j.outputTokens = usage.CompletionTokens
	j.billed = usage.Total()
	if j.billed == 0 {
		j.billed = j.chat.maxPromptTokens + j.chat.maxTokens
	}
	return j.sendComplete(resp, body)
}

// sendComplete sends a response that was read completely.
func (j *job) sendComplete(resp *upstream.Response, body []byte) error {
	resp.Accept()
	h := j.x.w.Header()
	copyHeader(h, resp.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if len(body) <= maxStoredAnswerBytes {
		j.storedAnswer = &Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	}
	j.x.committed = true
	j.x.w.WriteHeader(resp.StatusCode)
	if _, err := j.x.w.Write(body); err != nil {
		j.x.log.Debug().Err(err).Msg("caller disconnected before the answer was sent completely")
	}
	return nil
}

// engineRefusal handles an engine's status other than 200. The refusal of an
// overloaded or failed engine may be retried at another endpoint; any other answer
// is sent to the caller.
func (j *job) engineRefusal(resp *upstream.Response, endpoint Endpoint) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEngineErrorBytes))
	if err != nil || resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		cause := errors.Wrapf(upstream.ErrStatus, "status %d: %.200s", resp.StatusCode, body)
		return failure.At(&upstream.Error{Endpoint: endpoint.ID, Ran: upstream.RanUnknown, Err: cause},
			"gateway.answer", endpoint.Addr)
	}
	j.billed = 0
	if !isJSON(resp.Header) {
		return problem.New(problem.InvalidRequest, "the engine refused the request with status %d", resp.StatusCode)
	}
	return j.sendComplete(resp, body)
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !unforwardedHeaders[name] {
			dst[name] = values
		}
	}
}
