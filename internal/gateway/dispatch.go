package gateway

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// timePerOutputToken is the time that an answer without streaming may take per
// output token: twice the target of 75 ms.
const timePerOutputToken = 150 * time.Millisecond

// errFirstTokenTimeout cancels a dispatch whose endpoint sent no first token in
// time.
var errFirstTokenTimeout = errors.New("no first token within the service's first-token timeout")

// errHedged cancels the slower of two dispatches.
var errHedged = errors.New("another endpoint answered first")

// dispatch is one request in flight to one endpoint.
type dispatch struct {
	endpoint Endpoint
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// firstTokenTimer cancels the dispatch unless the first token stops it.
	firstTokenTimer *time.Timer
	resp            *upstream.Response
	err             error
}

func (j *job) newDispatch(ctx context.Context, endpoint Endpoint) *dispatch {
	d := &dispatch{endpoint: endpoint}
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	timeout := j.x.service.FirstTokenTimeout
	if timeout == 0 {
		timeout = j.x.g.Timeout
	}
	if j.chat != nil && !j.chat.stream {
		timeout += time.Duration(j.chat.maxTokens) * timePerOutputToken
	}
	d.firstTokenTimer = time.AfterFunc(timeout, func() { d.cancel(errFirstTokenTimeout) })
	return d
}

// send sends the request and waits for the first byte of the answer's body.
func (j *job) send(d *dispatch) {
	d.resp, d.err = j.x.g.Upstream.Do(d.ctx, upstream.Call{
		Endpoint: d.endpoint.ID, Addr: d.endpoint.Addr, Method: j.x.r.Method, Path: j.path,
		Header: j.upstreamHeader(), Body: j.body, OwnConnection: !j.idempotent,
	})
	if d.err == nil && d.resp.NamesEarlierCall() {
		d.err = j.lateCopy(d)
	}
	if d.err != nil {
		d.firstTokenTimer.Stop()
		d.err = j.attributeTimeout(d, d.err)
		return
	}
	body := bufio.NewReader(d.resp.Body)
	// The next read returns an error of Peek again.
	_, _ = body.Peek(1)
	d.resp.Body = struct {
		io.Reader
		io.Closer
	}{body, d.resp.Body}
	if j.chat == nil || !j.chat.stream {
		d.firstTokenTimer.Stop()
	}
}

// lateCopy closes the connection of a dispatch that got the response to an earlier request,
// and returns its error. It is unknown whether the endpoint runs this request.
func (j *job) lateCopy(d *dispatch) error {
	j.abandon(d.resp)
	d.resp.Body.Close()
	d.resp = nil
	cause := &upstream.Error{Endpoint: d.endpoint.ID, Ran: upstream.RanUnknown, Err: upstream.ErrOtherResponse}
	return failure.At(cause, "gateway.dispatch", d.endpoint.Addr)
}

// abandon closes the connection of a response, so that its endpoint stops.
func (j *job) abandon(resp *upstream.Response) {
	if err := resp.Abandon(); err != nil {
		j.x.log.Debug().Err(err).Msg("connection to endpoint not closed")
	}
}

// attributeTimeout replaces the error of a dispatch that the first-token timer
// has cancelled, so that it is attributed to the endpoint and not to the caller.
func (j *job) attributeTimeout(d *dispatch, err error) error {
	if err == nil || !errors.Is(context.Cause(d.ctx), errFirstTokenTimeout) {
		return err
	}
	cause := &upstream.Error{Endpoint: d.endpoint.ID, Ran: upstream.RanUnknown, Err: errFirstTokenTimeout}
	return failure.At(cause, "gateway.dispatch", d.endpoint.Addr)
}

// dispatchHedged sends the request to the endpoint and, if that is slow and the
// request may be hedged, to a second one. It returns the dispatch that is answered
// first.
func (j *job) dispatchHedged(ctx context.Context, endpoint Endpoint) *dispatch {
	first := j.newDispatch(ctx, endpoint)
	delay, ok := j.hedgeDelay()
	if !ok {
		j.send(first)
		return first
	}
	results := make(chan *dispatch, 2)
	start := func(d *dispatch) {
		go func() {
			j.send(d)
			results <- d
		}()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case d := <-results:
		return d
	case <-timer.C:
	}
	hedge, ok := j.ticket.Hedge()
	if !ok {
		return <-results
	}
	second := j.newDispatch(ctx, hedge)
	start(second)
	return j.firstAnswer(results, first, second)
}

func (j *job) hedgeDelay() (time.Duration, bool) {
	// An answer that is not streamed shows no progress before its end, so a long
	// answer can't be distinguished from a slow endpoint.
	unstreamed := j.chat != nil && !j.chat.stream
	if !j.idempotent || unstreamed || j.resume != nil || j.resumable {
		return 0, false
	}
	return j.ticket.HedgeDelay()
}

// firstAnswer returns the dispatch that is answered first and cancels the other
// one. If the first result is a failure, it returns the other dispatch.
func (j *job) firstAnswer(results chan *dispatch, first, second *dispatch) *dispatch {
	winner := <-results
	if winner.err != nil {
		j.mergeRan(upstream.RanOf(winner.err))
		winner.cancel(nil)
		winner = <-results
		j.ticket.Won(winner.endpoint)
		return winner
	}
	j.ticket.Won(winner.endpoint)
	loser := first
	if winner == first {
		loser = second
	}
	loser.cancel(errHedged)
	go func() {
		if d := <-results; d.resp != nil {
			d.resp.Body.Close()
		}
		loser.firstTokenTimer.Stop()
	}()
	return winner
}
