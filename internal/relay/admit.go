package relay

import (
	"math/rand/v2"
	"net/http"

	"github.com/azurehatch/azurehatch/internal/overload"
	"github.com/azurehatch/azurehatch/internal/problem"
)

// packetBytes are the headers of a packet, which each write of a stream's events needs.
const packetBytes = 66

// admit refuses a request that the machine's link can't carry. It is decided before the body is read
// and tokens are reserved, so that a refusal takes nothing from the requests that are admitted. A body that
// is announced as larger than allowed is refused first: it must not count as demand for the link.
func (x *exchange) admit() error {
	if limit := x.bodyLimit(); x.r.ContentLength > limit {
		return problem.New(problem.TooLarge, "the body is larger than %d bytes", limit)
	}
	asked := overload.Request{Body: x.r.ContentLength, Urgency: x.urgency()}
	if x.account != nil {
		asked.Account = x.account.Name
	}
	d := x.handler.Link.Admit(x.route.Name, asked)
	if d.Close {
		x.w.Header().Set("Connection", "close")
	}
	if d.Admitted {
		return nil
	}
	// Callers that are refused at the same time come back over half of the time again.
	wait := d.RetryAfter + rand.N(d.RetryAfter/2+1)
	return problem.New(problem.DaemonOverloaded, "the daemon's link is at its capacity; retry at another daemon").WithRetryAfter(wait)
}

// recordSizes records the sizes of a request that was served: a refusal after the admission does not show
// how much the route's responses have.
func (x *exchange) recordSizes() {
	if x.status/100 == 2 {
		x.handler.Link.Ended(x.route.Name, int64(len(x.body)), x.response.bytes)
	}
}

// urgency returns the request's urgency from 0 to 1, which is that of priority 0.
func (x *exchange) urgency() float64 {
	priority := x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		priority = *x.account.Priority
	}
	return 1 / float64(1+max(priority, 0))
}

// countedWriter counts the bytes of a response.
type countedWriter struct {
	http.ResponseWriter
	bytes int64
}

// Write implements http.ResponseWriter.
func (w *countedWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.bytes += int64(n) + packetBytes
	return n, err
}

// Unwrap is for http.ResponseController.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
