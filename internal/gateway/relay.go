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

// Bounds of answers that are held whole before they are sent.
const (
	// maxWholeAnswer bounds a chat completion that is not streamed.
	maxWholeAnswer = 16 << 20
	// maxKeptAnswer bounds the answer that a claim keeps; encoded, it fits
	// claim.MaxAnswerBytes.
	maxKeptAnswer = 1 << 10
	// maxEngineError bounds an engine's error document.
	maxEngineError = 64 << 10
)

// resumeAttempts is how often a cut stream is resumed at its engine.
const resumeAttempts = 2

// streamWriter sends the head of a streamed answer with its first byte, so
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

func (s streamWriter) Flush() { s.x.w.Flush() }

func (j *job) relayStream(d *dispatch) error {
	ctx, endpoint := d.ctx, d.endpoint
	id := upstream.EventID{Request: j.x.id, Endpoint: endpoint.ID}
	relay := &upstream.Relay{IDPrefix: id.Prefix(), ForwardUsage: j.q.usage}
	prompt := j.promptEstimate()
	relay.OnToken = func(tokens int64) error {
		if tokens == 1 {
			d.guard.Stop()
			j.ticket.FirstToken()
			j.note(upstream.RanYes)
			j.x.g.Scope.Histogram("first_token_seconds", tokenBuckets).RecordDuration(j.x.g.Now().Sub(j.x.started))
		}
		j.ticket.Token(tokens)
		j.tokens = tokens
		j.billed = prompt + tokens
		return j.hold.cover(ctx, j.q.prompt+tokens)
	}
	dst := streamWriter{x: j.x}
	err := relay.Copy(dst, d.resp.Body)
	for range resumeAttempts {
		if !j.resumable || !errors.Is(err, upstream.ErrTruncated) || relay.Progress().LastEventID == "" || ctx.Err() != nil {
			break
		}
		err = j.resumeStream(ctx, relay, endpoint, err)
	}
	return j.endStream(ctx, relay.Progress(), endpoint, err)
}

// resumeStream continues a cut stream at the same engine.
func (j *job) resumeStream(ctx context.Context, relay *upstream.Relay, endpoint Endpoint, cause error) error {
	h := j.header()
	h.Set(upstream.HeaderLastEventID, relay.Progress().LastEventID)
	resp, err := j.x.g.Upstream.Do(ctx, upstream.Call{
		Endpoint: endpoint.ID, Addr: endpoint.Addr, Method: http.MethodPost, Path: j.path, Header: h, Body: j.body,
	})
	if err != nil {
		return cause
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return cause
	}
	j.x.log.Info().Str("endpoint", endpoint.ID).Str("event", relay.Progress().LastEventID).Msg("stream resumed at its engine")
	return relay.Copy(streamWriter{x: j.x}, resp.Body)
}

// endStream settles the count and tells the caller if the answer is not whole.
func (j *job) endStream(ctx context.Context, p upstream.Progress, endpoint Endpoint, err error) error {
	if p.Usage != nil {
		j.billed = p.Usage.Total()
		j.tokens = max(j.tokens, p.Usage.CompletionTokens)
	}
	if err == nil {
		j.note(upstream.RanYes)
		return nil
	}
	err = failure.At(err, "gateway.stream", endpoint.Addr)
	if errors.Is(err, upstream.ErrCallerDisconnected) || ctx.Err() != nil {
		if j.billed == 0 {
			j.billed = j.promptEstimate()
		}
		return (&problem.Error{Kind: problem.StreamTruncated, Detail: "the caller left or the deadline passed"}).Having(j.ran).Because(err)
	}
	if !j.x.committed {
		return err
	}
	var refusal *problem.Error
	if !errors.As(err, &refusal) {
		refusal = (&problem.Error{Kind: problem.StreamTruncated, Detail: "the endpoint's stream was cut"}).Having(upstream.RanYes).Because(err)
	}
	if refusal.Ran == upstream.RanNo {
		// A refused extension of the reservation did not run; the request did.
		ran := *refusal
		refusal = ran.Having(upstream.RanYes)
	}
	j.sendErrorEvent(refusal)
	return refusal
}

// sendErrorEvent puts the refusal into the stream, in place of [DONE].
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

// promptEstimate is the prompt's part of the bill of an answer without a usage
// report. The engine's own count is not known then; the bound that was
// reserved is a multiple of it, so a quarter of the bytes is taken.
func (j *job) promptEstimate() int64 {
	const bytesPerToken = 4
	return max(1, int64(len(j.q.raw["messages"]))/bytesPerToken)
}

func (j *job) relayWhole(resp *http.Response, endpoint Endpoint) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeAnswer+1))
	if err != nil {
		return failure.At(&upstream.Error{Endpoint: endpoint.ID, Ran: upstream.RanUnknown, Err: err}, "gateway.answer", endpoint.Addr)
	}
	usage, ok := usageOf(body)
	if !ok || len(body) > maxWholeAnswer {
		err := &upstream.Error{Endpoint: endpoint.ID, Ran: upstream.RanUnknown, Err: upstream.ErrMalformed}
		return failure.At(err, "gateway.answer", endpoint.Addr)
	}
	j.note(upstream.RanYes)
	j.ticket.FirstToken()
	j.tokens = usage.CompletionTokens
	j.billed = usage.Total()
	if j.billed == 0 {
		j.billed = j.q.prompt + j.q.maxTokens
	}
	return j.sendWhole(resp, body)
}

func (j *job) sendWhole(resp *http.Response, body []byte) error {
	h := j.x.w.Header()
	copyHeader(h, resp.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if len(body) <= maxKeptAnswer {
		j.answer = &Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	}
	j.x.committed = true
	j.x.w.WriteHeader(resp.StatusCode)
	if _, err := j.x.w.Write(body); err != nil {
		j.x.log.Debug().Err(err).Msg("caller left before the whole answer was sent")
	}
	return nil
}

// engineRefusal handles an engine's status other than 200. A busy engine's
// refusal may be retried elsewhere; any other answer goes to the caller.
func (j *job) engineRefusal(resp *http.Response, endpoint Endpoint) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEngineError))
	if err != nil || resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		cause := errors.Wrapf(upstream.ErrStatus, "status %d: %.200s", resp.StatusCode, body)
		return failure.At(&upstream.Error{Endpoint: endpoint.ID, Ran: upstream.RanUnknown, Err: cause}, "gateway.answer", endpoint.Addr)
	}
	j.billed = 0
	if !isJSON(resp.Header) {
		return problem.New(problem.InvalidRequest, "the engine refused the request with status %d", resp.StatusCode)
	}
	return j.sendWhole(resp, body)
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !hopHeaders[name] {
			dst[name] = values
		}
	}
}
