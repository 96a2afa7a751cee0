package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/balance"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/routing"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Limits that apply where the configuration sets none.
const (
	defaultBodyBytes = 4 << 20
	defaultTimeout   = 30 * time.Second
)

// callerGrace is the time after a request's deadline in which its response may still be
// written to the caller: an error response that is sent at the deadline needs it.
const callerGrace = time.Second

// Delays that refused callers are told to wait before they retry.
const (
	retryAfterUnconfigured = 500 * time.Millisecond
	retryAfterNoEndpoint   = 400 * time.Millisecond
	retryAfterStopping     = 50 * time.Millisecond
	retryAfterOutdated     = 50 * time.Millisecond
	retryAfterNoMemory     = 200 * time.Millisecond
	// An evacuation lasts seconds or more, and the regions of a configuration longer.
	retryAfterRestricted = 2 * time.Second
)

// errTimeout is the cause of a request context that ends at its deadline.
var errTimeout = errors.New("the request's time limit has passed")

// exchange is one caller's request and its response.
type exchange struct {
	handler  *Handler
	w        http.ResponseWriter
	response *countedWriter
	r        *http.Request
	start    time.Time

	table    *routing.Table
	tableAge time.Duration
	meta     RequestMeta
	route    *routing.Route
	account  *routing.Account
	service  string
	engine   *routing.Engine
	// domains holds the failure domains to which the request may go; nil means all.
	domains  map[string]bool
	body     []byte
	deadline time.Time
	// fingerprint identifies the request's content and the parts of its prompt.
	fingerprint Fingerprint

	reservation Reservation
	reserved    int64
	// ran is whether the request ran in any attempt so far, as far as known.
	ran upstream.Ran
	// billed is the number of tokens to bill; 0 unless the request may have run.
	billed int64
	// events is the number of stream events sent to the caller.
	events int64
	// uncounted is true if the caller gets output whose tokens can't be counted by events.
	uncounted bool
	// lastEvent is when events last arrived, longestGap the longest time between
	// two arrivals.
	lastEvent  time.Time
	longestGap time.Duration
	// sentTo lists the ids of the endpoints that the request was sent to, in
	// order; tried holds the same ids.
	sentTo []string
	tried  map[string]bool
	// sentToAddr counts the attempts by the endpoint's address.
	sentToAddr map[string]int
	// chosenAt is when the endpoint of the current attempt was chosen.
	chosenAt time.Time
	// runs is the number of attempts in which the request may have run.
	runs int
	// offered is the time from start to the first attempt; 0 if there was none.
	offered time.Duration
	// committed is true once the response's header was sent to the caller.
	committed bool
	status    int
	firstByte time.Duration
}

// serve processes the request, then logs and counts it.
func (x *exchange) serve() {
	x.ran = upstream.RanNo
	err := x.process()
	aborted := x.finish(err)
	x.logAndCount(err)
	if aborted {
		panic(http.ErrAbortHandler) // closes the connection with the response incomplete
	}
}

// finish sends an error response for a failed request. It returns true if the
// connection must be aborted instead: the response has begun, or the caller has
// disconnected.
func (x *exchange) finish(err error) (abort bool) {
	if err == nil {
		return false
	}
	if x.committed {
		if x.handler.shutdown.ending.Err() != nil {
			x.handler.cut.Add(1)
		}
		return true
	}
	// The server cancels the context when the reading of the body times out or is
	// interrupted, as if the caller had disconnected.
	kind := problem.From(err).Kind
	if x.r.Context().Err() != nil && kind != problem.RequestTimeout && kind != problem.ShuttingDown {
		x.status = statusClientClosedRequest
		return true
	}
	x.refuse(err)
	return false
}

// statusClientClosedRequest is the logged status of a request whose caller
// disconnected before the response.
const statusClientClosedRequest = 499

func (x *exchange) process() error {
	conn := http.NewResponseController(x.w)
	// These hold for a request that is refused: the server reads the rest of its body.
	x.checkDeadline(conn.SetWriteDeadline(x.start.Add(defaultTimeout + callerGrace)))
	x.checkDeadline(conn.SetReadDeadline(x.start.Add(defaultTimeout)))
	if err := x.resolve(); err != nil {
		return err
	}
	if err := x.admit(); err != nil {
		return err
	}
	defer x.recordSizes()
	// A caller that stops to read or to write must not hold the request, its tokens and
	// the endpoint's slot beyond the deadline.
	x.checkDeadline(conn.SetWriteDeadline(x.deadline.Add(callerGrace)))
	x.checkDeadline(conn.SetReadDeadline(x.deadline))
	memory := x.handler.bodies.Buffer()
	defer memory.Release()
	bodyRead := x.interruptRead(conn)
	err := x.readBody(memory)
	bodyRead()
	if err != nil {
		return err
	}
	// The server reads ahead to notice that the caller disconnects.
	x.checkDeadline(conn.SetReadDeadline(time.Time{}))
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, errTimeout)
	defer cancel()
	ctx, release := cancelWhen(ctx, x.handler.shutdown.ending)
	defer release()
	retryAfter, ok := x.handler.CrashIsolator.Begin(x.fingerprint)
	if !ok {
		return problem.New(problem.Overloaded, "the request has crashed endpoints and is isolated").WithRetryAfter(retryAfter)
	}
	completed := false
	defer func() { x.handler.CrashIsolator.End(x.fingerprint, completed) }()
	if err = x.reserve(ctx); err != nil {
		return err
	}
	// A panic must not leave tokens reserved.
	defer x.settle()
	err = x.attempts(ctx)
	// An error response does not show that an endpoint can run the request.
	completed = err == nil && x.status/100 == 2
	return err
}

// checkDeadline logs that a deadline of the caller's connection could not be set.
func (x *exchange) checkDeadline(err error) {
	if err != nil {
		x.handler.Log.Debug().Err(err).Str("request", x.meta.ID).Msg("deadline of the caller's connection not set")
	}
}

// resolve decodes the headers, finds the route, the account and the service, and
// sets the deadline.
func (x *exchange) resolve() error {
	var err error
	if x.meta, err = x.handler.Codec.DecodeRequest(x.r.Header); err != nil {
		return problem.New(problem.InvalidRequest, "%v", err)
	}
	if err := upstream.CheckPath(x.r.RequestURI); err != nil {
		return problem.New(problem.InvalidRequest, "%v", err)
	}
	if err := x.handler.stopped(); err != nil {
		return err
	}
	if x.table, x.tableAge = x.handler.Table(); x.table == nil {
		return problem.New(problem.NoEndpoint, "the daemon has no configuration yet").WithRetryAfter(retryAfterUnconfigured)
	}
	if x.handler.Outdated() {
		// Another daemon has the newer configuration: the caller should connect again.
		x.w.Header().Set("Connection", "close")
		return problem.New(problem.DependencyDown, "the daemon's configuration is out of date; retry at another one").
			WithRetryAfter(retryAfterOutdated)
	}
	var ok bool
	if x.route, ok = x.table.Match(x.r.Host, x.r.URL.Path); !ok {
		return problem.New(problem.UnknownService, "no route matches %s%s", x.r.Host, x.r.URL.Path)
	}
	if x.meta.Key != "" {
		x.account, ok = x.table.Authenticate(x.meta.Key)
	} else {
		ok = false
	}
	if !ok && !x.route.AllowAnonymous && len(x.table.Accounts) > 0 {
		return problem.New(problem.Unauthorized, "the API key is missing or unknown")
	}
	x.service = x.route.PickService(rand.Float64())
	if s, ok := x.table.Service(x.service); ok {
		x.engine = s.Engine
	}
	x.domains = x.table.AllowedDomains(x.route, x.account)
	if err := x.refuseRestricted(); err != nil {
		return err
	}
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.meta.CallerTimeout > 0 {
		timeout = min(timeout, x.meta.CallerTimeout)
	}
	x.deadline = x.start.Add(timeout)
	return nil
}

// reserve sets aside the most tokens that the request can use.
func (x *exchange) reserve(ctx context.Context) error {
	if x.account == nil || x.account.Unlimited || !x.meta.Sized {
		return nil
	}
	tokens := x.meta.PromptTokens + x.meta.MaxOutput
	ctx, release := cancelWhen(ctx, x.handler.shutdown.refusing)
	defer release()
	reservation, err := x.handler.Budgets.Reserve(ctx, x.account, tokens, x.table.MostUrgent(x.route))
	if err != nil {
		if errors.Is(context.Cause(ctx), errStopping) {
			return x.handler.stopped()
		}
		if ctx.Err() != nil {
			return problem.New(problem.BudgetUnavailable, "no tokens could be reserved before the deadline").WithCause(err)
		}
		return err
	}
	x.reservation, x.reserved = reservation, tokens
	return nil
}

// settle bills the tokens that the request used: none if it did not run, else the
// prompt and the output delivered to the caller.
func (x *exchange) settle() {
	if x.reservation == nil {
		return
	}
	if x.ran != upstream.RanNo {
		x.billed = x.meta.PromptTokens + x.outputTokens()
	}
	x.reservation.Settle(x.billed)
}

// outputTokens returns an upper bound of the output tokens that the caller got. It is the declared limit
// where they can't be counted: only the events of an engine's stream have a largest number of tokens.
func (x *exchange) outputTokens() int64 {
	if x.engine == nil || x.uncounted {
		return x.meta.MaxOutput
	}
	if x.events == 0 {
		return 0
	}
	if x.engine.MaxTokensPerEvent <= 0 || x.events > x.meta.MaxOutput/x.engine.MaxTokensPerEvent {
		return x.meta.MaxOutput
	}
	return x.events * x.engine.MaxTokensPerEvent
}

// balanceRequest returns the description of the request by which a pool chooses an
// endpoint.
func (x *exchange) balanceRequest() balance.Request {
	return balance.Request{
		Prompt: x.meta.Prompt, PromptTokens: x.meta.PromptTokens, Idempotent: x.route.Idempotent(), Tried: x.tried,
		Domains: x.domains, Objective: x.route.LatencyObjective,
	}
}

// priority returns the priority sent to an engine: the account's if it has one,
// else the route's. It is negative for services without an engine.
func (x *exchange) priority() int {
	if x.engine == nil {
		return -1
	}
	if x.account != nil && x.account.Priority != nil {
		return *x.account.Priority
	}
	return x.route.Priority
}

// refuse sends an error response of the daemon's own.
func (x *exchange) refuse(err error) {
	p := problem.From(err)
	x.status = p.Status()
	body, err := json.Marshal(p.Document(x.meta.ID))
	if err != nil {
		x.handler.Log.Error().Err(err).Str("request", x.meta.ID).Msg("error response not encoded")
	}
	h := x.w.Header()
	h.Set("Content-Type", problem.ContentType)
	if x.handler.closing.Load() {
		h.Set("Connection", "close")
	}
	x.handler.Codec.SetRequestID(h, x.meta.ID)
	if p.RetryAfter > 0 {
		name, value := x.handler.Codec.RetryAfter(p.RetryAfter)
		h.Set(name, value)
	}
	x.committed = true
	x.w.WriteHeader(x.status)
	if _, err := x.w.Write(append(body, '\n')); err != nil {
		x.handler.Log.Debug().Err(err).Str("request", x.meta.ID).Msg("error response not delivered")
	}
}

// logAndCount writes the request's log line and updates its metrics.
func (x *exchange) logAndCount(err error) {
	elapsed := time.Since(x.start)
	var entry *zerolog.Event
	if err != nil {
		entry = x.handler.Log.Warn().Err(err)
	} else {
		entry = x.handler.Log.Info()
	}
	route, account := "", ""
	if x.route != nil {
		route = x.route.Name
	}
	if x.account != nil {
		account = x.account.Name
	}
	if x.table != nil {
		entry.Int64("config_version", x.table.Version).Dur("config_age_ms", x.tableAge)
	}
	if begun := x.handler.stopBegun.Load(); begun != nil {
		entry.Dur("stopping_ms", time.Since(*begun))
	}
	if x.reservation != nil && x.uncounted {
		entry.Bool("output_counted", false)
	}
	entry.Str("request", x.meta.ID).Str("route", route).Str("service", x.service).Str("account", account).
		Strs("endpoints", x.sentTo).Int("status", x.status).Str("ran", string(x.ran)).
		Int64("reserved", x.reserved).Int64("billed", x.billed).Int64("events", x.events).
		Dur("offered_ms", x.offered).Dur("first_byte_ms", x.firstByte).Dur("longest_gap_ms", x.longestGap).
		Dur("elapsed_ms", elapsed).Dur("limit_ms", x.deadline.Sub(x.start)).
		Msg("request ended")
	tags := map[string]string{"service": x.service, "ran": string(x.ran), "status": statusClass(x.status)}
	scope := x.handler.Scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(elapsed)
}

func statusClass(status int) string {
	const classes = "012345"
	if status < 100 || status > 599 {
		return "none"
	}
	return classes[status/100:status/100+1] + "xx"
}
