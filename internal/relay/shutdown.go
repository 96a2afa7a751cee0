package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/problem"
)

// errStopping is the cause of a context that the daemon's shutdown ends.
var errStopping = errors.New("the daemon is stopping")

// shutdown tells requests how far the daemon's shutdown has come.
type shutdown struct {
	// refusing is done once no request is sent to a first endpoint any more, ending once
	// the requests in progress must end.
	refusing, ending context.Context
	refuse, end      context.CancelFunc
}

func newShutdown() shutdown {
	var s shutdown
	s.refusing, s.refuse = context.WithCancel(context.Background())
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// RefuseNew rejects new requests, and those that have not run at any endpoint yet, as not
// run.
func (h *Handler) RefuseNew() { h.shutdown.refuse() }

// EndRequests ends the requests in progress. Those whose response has not begun get an error
// response.
func (h *Handler) EndRequests() {
	h.shutdown.refuse()
	h.shutdown.end()
}

// CutResponses returns the number of responses that EndRequests has cut after they had begun.
func (h *Handler) CutResponses() int64 { return h.cut.Load() }

// stopped returns the error of a request that has not run when the daemon refuses requests;
// nil before that.
func (h *Handler) stopped() error {
	if h.shutdown.refusing.Err() == nil {
		return nil
	}
	return problem.New(problem.ShuttingDown, "the daemon is shutting down; retry at another one").
		WithRetryAfter(retryAfterStopping)
}

// cancelWhen returns a context that is canceled with errStopping once a phase of the
// shutdown is done.
func cancelWhen(ctx, phase context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(phase, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// interruptRead ends the reading of the request's body once the requests in progress must
// end. The returned function must be called when the body has been read.
func (x *exchange) interruptRead(conn interface{ SetReadDeadline(time.Time) error }) (done func()) {
	ended := make(chan struct{})
	stop := context.AfterFunc(x.handler.shutdown.ending, func() {
		defer close(ended)
		x.checkDeadline(conn.SetReadDeadline(time.Now()))
	})
	return func() {
		if !stop() {
			<-ended
		}
	}
}
