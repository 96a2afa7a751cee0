package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// maxBufferedBytes is the size up to which a response is read completely before
// its header is sent to the caller, so that a truncated one can still be retried. It is
// less while the responses of all requests occupy the memory that they may.
const maxBufferedBytes = 256 << 10

// relayResponse relays a response that is not a stream of events.
func (a *attempt) relayResponse() *attemptFailure {
	memory := a.x.handler.buffers.Buffer()
	defer memory.Release()
	head, err := memory.ReadAhead(a.resp.Body, maxBufferedBytes)
	if len(head) > 0 || errors.Is(err, io.EOF) {
		a.recordFirstByte()
	}
	switch {
	case errors.Is(err, io.EOF):
		return a.sendBuffered(head)
	case err != nil:
		return a.truncated(err)
	}
	return a.sendUnbuffered(head, memory)
}

// recordFirstByte records the arrival of the body's first byte.
func (a *attempt) recordFirstByte() {
	if a.started {
		return
	}
	a.started, a.startedAt = true, time.Now()
	if a.x.route.Kind == routing.Streaming {
		a.resetStallTimer() // only a complete event shows that a stream progresses
	} else {
		a.stopTimer()
	}
	a.x.handler.Pools.Started(a.x.service, a.choice, time.Since(a.sentAt))
}

// truncated returns the failure of a response that ended early. It counts as a
// crash of the endpoint unless the attempt was canceled.
func (a *attempt) truncated(err error) *attemptFailure {
	failed := &attemptFailure{
		err: errors.Wrap(err, "the response ended early"), ran: upstream.RanUnknown, outcome: balance.NoValidResponse,
	}
	if a.ctx.Err() == nil {
		failed.crashed = true
	}
	return failed
}

// tooLong returns the failure of a response that goes on after the most that it can
// hold. The caller has received a part of it.
func (a *attempt) tooLong(err error) *attemptFailure {
	return &attemptFailure{err: err, ran: upstream.RanYes, outcome: balance.NoValidResponse, corrupt: true}
}

// notDelivered returns the failure of a response that the caller did not take.
func (a *attempt) notDelivered(err error) *attemptFailure {
	return &attemptFailure{
		err: errors.Wrap(err, "write to the caller"), ran: upstream.RanYes, outcome: balance.Succeeded, callerFailed: true,
	}
}

// sendBuffered sends a response that was read completely.
func (a *attempt) sendBuffered(body []byte) *attemptFailure {
	x := a.x
	x.mergeRan(upstream.RanYes)
	if a.resp.StatusCode != http.StatusNotModified && a.resp.StatusCode != http.StatusNoContent &&
		x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.recordWhole(len(body))
	x.commit(a.resp)
	if _, err := x.w.Write(body); err != nil && x.r.Method != http.MethodHead {
		x.handler.Log.Debug().Err(err).Str("request", x.meta.ID).Msg("response not delivered")
	}
	return a.reportServerError()
}

// sendUnbuffered sends a response as it arrives; head is the part read so far, which
// occupies memory.
func (a *attempt) sendUnbuffered(head []byte, memory *upstream.Buffer) *attemptFailure {
	x := a.x
	x.mergeRan(upstream.RanYes)
	if a.resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	a.recordWhole(len(head))
	x.commit(a.resp)
	if _, err := x.w.Write(head); err != nil {
		return a.truncated(err)
	}
	rest := upstream.MaxResponseBytes + 1 - int64(len(head))
	memory.Release() // head is not used any more, so that it can be collected
	switch _, err := io.CopyN(x.w, a.resp.Body, rest); {
	case errors.Is(err, io.EOF):
		return a.reportServerError()
	case err != nil:
		return a.truncated(err)
	default:
		return a.tooLong(errors.Errorf("the response exceeds %d bytes", upstream.MaxResponseBytes))
	}
}

// recordWhole records that the caller gets a body of some bytes that is no stream. The body of an error
// holds no output.
func (a *attempt) recordWhole(bytes int) {
	if bytes > 0 && a.resp.StatusCode/100 == 2 && a.x.r.Method != http.MethodHead {
		a.x.uncounted = true
	}
}

// reportServerError records a response with a server error against the endpoint,
// although the response went to the caller.
func (a *attempt) reportServerError() *attemptFailure {
	if a.resp.StatusCode >= http.StatusInternalServerError {
		a.x.handler.Pools.Observe(a.x.service, a.choice.ID, a.errorOutcome())
	}
	return nil
}
