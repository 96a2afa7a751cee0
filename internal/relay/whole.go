package relay

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// maxBuffered is the size up to which an answer is read whole before its head
// goes to the caller, so that a broken answer can still be replaced.
const maxBuffered = 256 << 10

// relayWhole relays an answer that is not a stream of events.
func (a *attempt) relayWhole() *verdict {
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, a.resp.Body, maxBuffered)
	if n > 0 || errors.Is(err, io.EOF) {
		a.begun()
	}
	switch {
	case errors.Is(err, io.EOF):
		return a.deliver(buf.Bytes())
	case err != nil:
		return a.broken(err)
	}
	return a.deliverLong(buf.Bytes())
}

// begun records the first byte of the body.
func (a *attempt) begun() {
	if a.started {
		return
	}
	a.started = true
	a.stopWatching()
	a.x.e.Pools.Started(a.x.service, a.choice, time.Since(a.sentAt))
}

// broken judges an answer that ended early.
func (a *attempt) broken(err error) *verdict {
	v := &verdict{err: errors.Wrap(err, "the answer ended early"), ran: upstream.RanUnknown, outcome: balance.NoValidResponse}
	if a.ctx.Err() == nil {
		v.crash = true
	}
	return v
}

// deliver sends a whole answer.
func (a *attempt) deliver(body []byte) *verdict {
	x := a.x
	x.note(upstream.RanYes)
	if a.resp.StatusCode != http.StatusNotModified && a.resp.StatusCode != http.StatusNoContent && x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.commit(a.resp)
	if _, err := x.w.Write(body); err != nil && x.r.Method != http.MethodHead {
		x.e.Log.Debug().Err(err).Str("request", x.meta.ID).Msg("answer not delivered")
	}
	return a.judgeStatus()
}

// deliverLong sends an answer as it comes; head is its beginning.
func (a *attempt) deliverLong(head []byte) *verdict {
	x := a.x
	x.note(upstream.RanYes)
	if a.resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	x.commit(a.resp)
	if _, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(head), a.resp.Body)); err != nil {
		return a.broken(err)
	}
	return a.judgeStatus()
}

// judgeStatus records an endpoint's own failure although the caller has it.
func (a *attempt) judgeStatus() *verdict {
	if a.resp.StatusCode >= http.StatusInternalServerError {
		a.x.e.Pools.Observe(a.x.service, a.choice.ID, balance.ErrorResponse)
	}
	return nil
}
