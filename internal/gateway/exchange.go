package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Headers of the callers' API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerNonIdempotent  = "X-Non-Idempotent"
	headerRan            = "X-Ran"
)

// maxIdempotencyKeyBytes limits the memory that a caller's key can occupy.
const maxIdempotencyKeyBytes = 255

// exchange is one caller's request and the response to it.
type exchange struct {
	g *Gateway
	w *echo.Response
	r *http.Request
	// id is the request id.
	id             string
	idempotencyKey string
	// account and service are set as soon as they are known.
	account Account
	service Service
	body    []byte
	started time.Time
	log     zerolog.Logger
	// committed is true once the status line has been sent to the caller.
	committed bool
}

func (g *Gateway) handle(h func(*exchange) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		x := &exchange{g: g, w: c.Response(), r: c.Request(), started: g.Now(), id: uuid.NewString(), log: g.Log}
		if !g.requests.begin() {
			p := problem.New(problem.ShuttingDown, "this daemon takes no new requests").WithRetryAfter(time.Second)
			if x.r.Header.Get(headerIdempotencyKey) != "" {
				p.Ran = upstream.RanUnknown // an earlier attempt with the key may have run
			}
			return x.refuse(p)
		}
		defer g.requests.end()
		err := x.prepare()
		if err == nil {
			err = h(x)
		}
		return x.finish(err)
	}
}

// prepare authenticates the caller and determines the request id.
func (x *exchange) prepare() error {
	token, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return problem.New(problem.Unauthorized, "send the API key as \"Authorization: Bearer KEY\"")
	}
	account, ok := x.g.Directory.Authenticate(token)
	if !ok {
		return problem.New(problem.Unauthorized, "the API key is not known")
	}
	x.account = account
	x.id = requestIDPrefix(account.Name) + x.id
	x.idempotencyKey = x.r.Header.Get(headerIdempotencyKey)
	if len(x.idempotencyKey) > maxIdempotencyKeyBytes {
		return problem.New(problem.InvalidRequest, "the Idempotency-Key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	if x.idempotencyKey != "" {
		x.id = requestIDFor(account.Name, x.idempotencyKey)
	}
	x.log = x.g.Log.With().Str("request", x.id).Str("account", account.Name).Logger()
	x.w.Header().Set(upstream.HeaderRequestID, x.id)
	return nil
}

// requestIDFor derives the request id from the account and the idempotency key,
// so that repeated requests have the same id at every daemon.
func requestIDFor(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return requestIDPrefix(account) + "k" + hex.EncodeToString(sum[:16])
}

// requestIDPrefix returns the prefix of the ids of an account's requests. It
// ensures that a stream is resumed only by the account that started it.
func requestIDPrefix(account string) string {
	sum := sha256.Sum256([]byte(account))
	return hex.EncodeToString(sum[:8]) + "-"
}

func (x *exchange) readBody() error {
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.g.MaxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return problem.New(problem.TooLarge, "the body is larger than %d bytes", x.g.MaxBody)
		}
		return problem.New(problem.InvalidRequest, "the body can't be read").WithCause(err)
	}
	x.body = body
	return nil
}

// deadline returns the deadline of the request: the caller's own, else that of
// the service, else that of the gateway.
func (x *exchange) deadline() (time.Time, error) {
	timeout := x.g.Timeout
	if x.service.Timeout > 0 {
		timeout = x.service.Timeout
	}
	if header := x.r.Header.Get(upstream.HeaderDeadline); header != "" {
		ms, err := strconv.ParseInt(header, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, problem.New(problem.InvalidRequest,
				"%s must be a positive number of milliseconds", upstream.HeaderDeadline)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	return x.started.Add(timeout), nil
}

// context returns the request's context with its deadline.
func (x *exchange) context(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.r.Context(), deadline.Sub(x.started))
}

// finish records the outcome and sends a refusal if no answer was started.
func (x *exchange) finish(err error) error {
	scope := x.g.Scope.Tagged(map[string]string{"service": x.service.Name})
	scope.Histogram("request_seconds", requestBuckets).RecordDuration(x.g.Now().Sub(x.started))
	if err == nil {
		scope.Counter("requests_ok").Inc(1)
		return nil
	}
	p := problem.From(err)
	scope.Tagged(map[string]string{"type": string(p.Kind)}).Counter("requests_refused").Inc(1)
	step, peer := failure.Location(err)
	x.log.Info().Str("type", string(p.Kind)).Str("ran", string(p.Ran)).Str("step", step).Str("peer", peer).
		Err(err).Msg("request refused or failed")
	if x.committed {
		// Closing the connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	return x.refuse(p)
}

func (x *exchange) refuse(p *problem.Error) error {
	x.w.Header().Set(headerRan, string(p.Ran))
	if err := p.Write(x.w, x.id); err != nil {
		x.log.Debug().Err(err).Msg("caller disconnected before the refusal was sent")
	}
	return nil
}
