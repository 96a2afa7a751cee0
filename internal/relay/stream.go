package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Buffer sizes of a stream.
const (
	readBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// maxExtraEvents is the number of events that a stream may have beyond the most
	// output tokens that the caller declared, of which each event holds at least one:
	// the events that begin and end a stream may hold none.
	maxExtraEvents = 16
)

// relayStream relays a stream of events as they arrive. Only complete events are
// sent to the caller, so that another endpoint can resume after the last of them.
func (a *attempt) relayStream() *attemptFailure {
	buf := eventBuffer{memory: a.x.handler.buffers.Buffer()}
	defer buf.memory.Release()
	var received int64
	chunk := make([]byte, readBytes)
	flush := http.NewResponseController(a.x.w)
	for {
		n, err := a.resp.Body.Read(chunk)
		if !buf.add(chunk[:n]) {
			return &attemptFailure{
				err: errors.Errorf("no memory for an event of more than %d bytes", len(buf.pending)),
				ran: upstream.RanUnknown, outcome: balance.NoValidResponse,
			}
		}
		if errors.Is(err, io.EOF) && buf.blank() {
			a.resp.Accept() // the next request need not wait for this one's caller
		}
		if n > 0 {
			a.recordFirstByte()
			a.x.mergeRan(upstream.RanYes)
			received += int64(n)
			if failed := a.forwardEvents(&buf, flush); failed != nil {
				return failed
			}
		}
		switch {
		case errors.Is(err, io.EOF) && buf.blank():
			return a.endStream(buf.pending)
		case errors.Is(err, io.EOF):
			return a.truncated(io.ErrUnexpectedEOF)
		case err != nil:
			return a.truncated(err)
		case len(buf.pending) > maxEventBytes:
			return a.truncated(errors.Errorf("an event exceeds %d bytes", maxEventBytes))
		case received > upstream.MaxResponseBytes:
			return a.tooLong(errors.Errorf("the stream exceeds %d bytes", upstream.MaxResponseBytes))
		case a.x.tooManyEvents():
			return a.tooLong(errors.Errorf("%d events for at most %d tokens of output", a.x.events, a.x.meta.MaxOutput))
		}
	}
}

// forwardEvents sends the complete events of buf to the caller and removes them.
func (a *attempt) forwardEvents(buf *eventBuffer, flush *http.ResponseController) *attemptFailure {
	complete := buf.complete()
	if len(complete) == 0 {
		return nil
	}
	a.x.recordGap(time.Now())
	a.begun.Store(true)
	a.resetStallTimer()
	x := a.x
	// A write that fails may have delivered a part, so events count before it.
	x.events += int64(bytes.Count(complete, eventEnd))
	x.uncounted = x.uncounted || !wellFormed(complete)
	x.commit(a.resp)
	if _, err := x.w.Write(complete); err != nil {
		return a.notDelivered(err)
	}
	if err := flush.Flush(); err != nil {
		return a.notDelivered(err)
	}
	if id, ok := lastEventID(complete); ok {
		x.meta.LastEventID = id
	}
	buf.remove(len(complete))
	return nil
}

// recordGap updates the longest time between two arrivals of events.
func (x *exchange) recordGap(now time.Time) {
	if !x.lastEvent.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEvent))
	}
	x.lastEvent = now
}

// endStream ends a stream whose last event is complete.
func (a *attempt) endStream(rest []byte) *attemptFailure {
	a.x.mergeRan(upstream.RanYes)
	a.x.commit(a.resp)
	if _, err := a.x.w.Write(rest); err != nil {
		return a.notDelivered(err)
	}
	return nil
}

// tooManyEvents reports whether the stream has more events than the caller's limit of
// output tokens allows.
func (x *exchange) tooManyEvents() bool {
	return x.meta.Sized && x.engine != nil && x.events > x.meta.MaxOutput+maxExtraEvents
}
