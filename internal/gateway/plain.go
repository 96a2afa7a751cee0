package gateway

import (
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// maxBufferedBytes is the part of a plain service's answer that is buffered before
// the headers are sent to the caller. A failure up to there can be retried. It is less while
// the answers of all requests occupy the memory that they may.
const maxBufferedBytes = 1 << 20

const servicesPrefix = "/services/"

func (g *Gateway) plain(x *exchange) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(x.r.URL.Path, servicesPrefix), "/")
	service, ok := g.Directory.Service(name)
	if !ok {
		return problem.New(problem.UnknownService, "service %q does not exist", name)
	}
	x.service = service
	if err := x.readBody(); err != nil {
		return err
	}
	x.r.URL.Path = "/" + rest
	x.r.URL.RawPath = ""
	j, err := x.newJob(x.body, nil)
	if err != nil {
		return err
	}
	return j.run()
}

func (j *job) relayPlain(resp *upstream.Response, endpoint Endpoint) error {
	memory := j.x.g.buffers.Buffer()
	defer memory.Release()
	buffered, err := memory.ReadAhead(resp.Body, maxBufferedBytes)
	complete := errors.Is(err, io.EOF)
	if err != nil && !complete {
		return j.plainFailure(endpoint, err)
	}
	j.mergeRan(upstream.RanYes)
	j.billed = j.x.service.Price
	j.ticket.FirstToken()
	if complete {
		return j.sendComplete(resp, buffered)
	}
	copyHeader(j.x.w.Header(), resp.Header)
	j.x.committed = true
	j.x.w.WriteHeader(resp.StatusCode)
	if _, err := j.x.w.Write(buffered); err != nil {
		return j.plainFailure(endpoint, upstream.ErrCallerDisconnected)
	}
	memory.Release()
	switch _, err := io.CopyN(j.x.w, resp.Body, upstream.MaxResponseBytes+1-int64(len(buffered))); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return j.plainFailure(endpoint, err)
	}
	return j.plainFailure(endpoint, upstream.ErrTooLong)
}

func (j *job) plainFailure(endpoint Endpoint, err error) error {
	j.billed = j.x.service.Price
	return failure.At(&upstream.Error{Endpoint: endpoint.ID, Ran: j.ran, Err: err}, "gateway.answer", endpoint.Addr)
}
