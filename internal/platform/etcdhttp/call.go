package etcdhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/etcdhttp/etcdjson"
)

// maxResponseBytes limits the size of a response. The largest list has some
// hundred records, most of them far smaller than platform.MaxValueBytes.
const maxResponseBytes = 256 << 20

// call is one unary call of the API.
type call struct {
	step  string
	path  string
	write bool
	in    any
	out   any
	// validate returns an error if the decoded response is malformed.
	validate func() error
}

// do makes the call. If it was not executed at the current address, do tries the
// next one, at most once for each address.
func (s *Store) do(ctx context.Context, c call) error {
	body, err := json.Marshal(c.in)
	if err != nil {
		return failure.At(err, c.step, "")
	}
	for range s.opts.Addrs {
		i := s.currentAddr.Load()
		addr := s.opts.Addrs[i]
		var tryNext bool
		tryNext, err = s.attempt(ctx, addr, c, body)
		err = failure.At(err, c.step, addr)
		if err == nil || !tryNext || !errors.Is(err, platform.ErrUnavailable) || ctx.Err() != nil {
			break
		}
		s.currentAddr.CompareAndSwap(i, (i+1)%int64(len(s.opts.Addrs)))
	}
	return err
}

// attempt makes the call at one address. tryNext reports whether the call may
// succeed at another address.
func (s *Store) attempt(ctx context.Context, addr string, c call, body []byte) (tryNext bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	resp, written, err := s.send(ctx, addr+c.path, body)
	if err != nil {
		return true, c.transportError(written, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return true, c.transportError(true, err)
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode >= http.StatusInternalServerError, c.statusError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, c.out); err != nil {
		return true, c.transportError(true, errors.Wrap(err, "malformed response"))
	}
	if c.validate == nil {
		return false, nil
	}
	if err := c.validate(); err != nil {
		return true, c.transportError(true, errors.Wrap(err, "malformed response"))
	}
	return false, nil
}

// send posts the body. written reports whether the store may have received the
// whole request, which is impossible until the headers are written.
func (s *Store) send(ctx context.Context, url string, body []byte) (resp *http.Response, written bool, err error) {
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err = s.client.Do(req)
	return resp, wrote.Load(), err
}

// transportError returns the typed error of a call without a usable response.
func (c call) transportError(written bool, cause error) error {
	if c.write && written {
		return errors.WithMessage(platform.ErrOutcomeUnknown, cause.Error())
	}
	return errors.WithMessage(platform.ErrUnavailable, cause.Error())
}

// statusError returns the typed error of an error response. After a 5xx response
// the outcome of a write is unknown, because a proposal may time out and commit
// later, unless the message says that there was no leader to propose to.
func (c call) statusError(code int, body []byte) error {
	var s etcdjson.Status
	if err := json.Unmarshal(body, &s); err != nil {
		s.Message = http.StatusText(code)
	}
	cause := errors.Errorf("status %d: %s", code, s.Message)
	switch {
	case strings.Contains(s.Message, etcdjson.MessageLeaseNotFound):
		return errors.WithMessage(platform.ErrLeaseExpired, cause.Error())
	case strings.Contains(s.Message, etcdjson.MessageTooLarge):
		return errors.WithMessage(platform.ErrTooLarge, cause.Error())
	case strings.Contains(s.Message, etcdjson.MessageNoLeader):
		return c.transportError(false, cause)
	case code >= 300 && code < 500 && code != http.StatusRequestTimeout:
		return c.transportError(false, cause)
	}
	return c.transportError(true, cause)
}
