package relay

import (
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/poison"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// bodyLimit returns the most bytes that the request's body may have.
func (x *exchange) bodyLimit() int64 {
	if limit := x.table.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

// readBody reads the request's body into memory, which the caller releases. The bodies of all
// requests together have a limit of their own: callers who send slowly, or endpoints that read
// slowly, must not take the memory of responses that are under way. Beyond it a new request is
// refused, since it has not run anywhere, and those that have been read go on.
func (x *exchange) readBody(memory *upstream.Buffer) error {
	limit := x.bodyLimit()
	// The server's own writer closes the connection beyond the limit instead of reading the rest.
	body, err := readAll(memory, http.MaxBytesReader(x.response.ResponseWriter, x.r.Body, limit), x.r.ContentLength, limit)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		x.body = body
		x.identify()
		return nil
	case err == nil:
		return x.noMemory()
	case errors.As(err, &large):
		return problem.New(problem.TooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The rest of the body may follow, so the connection cannot be reused.
		x.w.Header().Set("Connection", "close")
		if err := x.handler.stopped(); err != nil {
			return err
		}
		return problem.New(problem.RequestTimeout, "only %d bytes of the body arrived in time", len(body)).WithCause(err)
	default:
		return problem.New(problem.InvalidRequest, "the body could not be read").WithCause(err)
	}
}

// readAll reads a body of at most limit bytes; length is its announced length, negative if there
// is none. The error is io.EOF after the end, and nil if there is no memory for the rest.
func readAll(memory *upstream.Buffer, r io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return memory.ReadAhead(r, int(limit)+1)
	}
	if !memory.Grow(int(length)) {
		return nil, nil
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	if err == nil {
		err = io.EOF
	}
	return body[:n], err
}

// noMemory returns the error of a request whose body finds no memory.
func (x *exchange) noMemory() error {
	x.handler.Scope.Counter("bodies_refused").Inc(1)
	// The rest of the body is not read, so the connection cannot be reused.
	x.w.Header().Set("Connection", "close")
	return problem.New(problem.DaemonOverloaded, "the daemon holds as many unfinished requests as its memory allows; retry at another daemon").
		WithRetryAfter(retryAfterNoMemory)
}

// identify computes the digests of the request's content and of the parts of its prompt.
func (x *exchange) identify() {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	key := append([]byte(x.r.Method+" "+x.r.RequestURI+"\x00"+account+"\x00"), x.body...)
	// The service is left out: the same request may be sent to another one by a later version
	// of the configuration.
	x.fingerprint.Content = poison.DigestOf(x.r.Host, key)
	for _, part := range x.meta.Prompt[:max(len(x.meta.Prompt)-1, 0)] {
		x.fingerprint.Parts = append(x.fingerprint.Parts, poison.PartDigest(part.ID))
	}
}
