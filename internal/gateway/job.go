package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// resumeGrace is how long the reservation of a resumable stream stays open
// after the caller's connection has broken.
const resumeGrace = 5 * time.Second

// job processes a validated request from its claim to its settlement.
type job struct {
	x *exchange
	// chat is nil for a plain service.
	chat       *chatRequest
	path       string
	body       []byte
	idempotent bool
	resumable  bool
	resume     *upstream.EventID
	deadline   time.Time
	work       Work

	reservation *extender
	claim       Claim
	ticket      Ticket
	// ran is whether the request ran in any attempt so far, as far as known.
	ran upstream.Ran
	// storedAnswer is stored with the claim; nil if it is too large.
	storedAnswer *Answer
	// billed is the amount to settle in tokens if the request ran: the usage
	// that the endpoint reported, or else an estimate.
	billed       int64
	outputTokens int64
}

func (x *exchange) newJob(body []byte, chat *chatRequest) (*job, error) {
	if limit := x.service.MaxBody; limit > 0 && int64(len(x.body)) > limit {
		return nil, problem.New(problem.TooLarge, "the body is larger than %d bytes, the limit of service %q",
			limit, x.service.Name)
	}
	deadline, err := x.deadline()
	if err != nil {
		return nil, err
	}
	j := &job{x: x, chat: chat, body: body, deadline: deadline, path: x.r.URL.RequestURI(), ran: upstream.RanNo}
	j.idempotent = x.r.Header.Get(headerNonIdempotent) != "true"
	if x.service.NonIdempotent != nil && x.service.NonIdempotent(x.r.Method, x.r.URL.Path) {
		j.idempotent = false
	}
	if !j.idempotent && x.idempotencyKey == "" && x.service.RequireKey {
		return nil, problem.New(problem.InvalidRequest, "non-idempotent requests to %q need an Idempotency-Key", x.service.Name)
	}
	j.resumable = j.idempotent && chat != nil && chat.stream && x.r.Header.Get(upstream.HeaderResumable) == "true"
	if err := j.parseResume(); err != nil {
		return nil, err
	}
	j.work = Work{
		Account: x.account, Service: x.service, RequestID: x.id, Idempotent: j.idempotent, Deadline: deadline,
		MaxOutput: x.service.Price,
	}
	if chat != nil {
		j.work.PromptTokens, j.work.MaxOutput, j.work.Stream = chat.maxPromptTokens, chat.maxTokens, chat.stream
		j.work.Digest, j.work.PrefixDigest = digests(x.service.Name, body, chat.raw["messages"])
	} else {
		j.work.Digest, _ = digests(x.service.Name, append([]byte(x.r.Method+j.path), body...), nil)
	}
	return j, nil
}

func (j *job) parseResume() error {
	lastEventID := j.x.r.Header.Get(upstream.HeaderLastEventID)
	if lastEventID == "" || j.chat == nil || !j.chat.stream {
		return nil
	}
	id, err := upstream.ParseEventID(lastEventID)
	if err != nil {
		return problem.New(problem.InvalidRequest, "%s: %v", upstream.HeaderLastEventID, err)
	}
	if !strings.HasPrefix(id.Request, requestIDPrefix(j.x.account.Name)) ||
		(j.x.idempotencyKey != "" && id.Request != j.x.id) {
		return problem.New(problem.InvalidRequest, "%s names another request", upstream.HeaderLastEventID)
	}
	j.x.id = id.Request
	j.resume, j.resumable = &id, true
	return nil
}

// run processes the job. The claim comes first, since the refusal of a request
// with an idempotency key may say "not run" only if no earlier request with the
// key ran.
func (j *job) run() error {
	ctx, cancel := j.x.context(j.deadline)
	defer cancel()
	answered, err := j.obtainClaim(ctx)
	if answered || err != nil {
		return err
	}
	err = j.execute(ctx)
	j.endClaim(err)
	return err
}

func (j *job) execute(ctx context.Context) error {
	if down := j.x.g.Directory.DependencyDown(j.x.service); down != "" {
		p := problem.New(problem.DependencyDown, "service %q depends on %q", j.x.service.Name, down).WithRetryAfter(time.Second)
		p.Dependency = down
		return p
	}
	ticket, err := j.x.g.Pools.Admit(ctx, j.work)
	if err != nil {
		return err
	}
	j.ticket = ticket
	finished := false
	defer func() {
		if !finished {
			ticket.Finish(false, j.outputTokens)
		}
	}()
	if err := j.reserve(ctx); err != nil {
		return err
	}
	err = j.dispatchWithRetries(ctx)
	finished = true
	ticket.Finish(err == nil, j.outputTokens)
	j.settle(ctx, err)
	return err
}

func (j *job) obtainClaim(ctx context.Context) (answered bool, err error) {
	if j.idempotent {
		return false, nil
	}
	key := j.x.idempotencyKey
	if key == "" {
		key = j.x.id
	}
	claim, stored, err := j.x.g.Claims.Claim(ctx, ClaimKey{Account: j.x.account.Name, Service: j.x.service.Name, Key: key})
	if err != nil {
		return false, err
	}
	if stored != nil {
		return true, j.x.replay(stored)
	}
	j.claim = claim
	return false, nil
}

// replay sends the stored answer of an earlier request.
func (x *exchange) replay(a *Answer) error {
	x.w.Header().Set("Content-Type", a.ContentType)
	x.w.Header().Set("Idempotency-Replayed", "true")
	x.committed = true
	x.w.WriteHeader(a.Status)
	_, err := x.w.Write(a.Body)
	return errors.Wrap(err, "send stored answer")
}

func (j *job) endClaim(err error) {
	switch {
	case j.claim == nil:
	case err == nil || j.ran == upstream.RanYes:
		j.claim.Done(j.storedAnswer)
	case j.ran == upstream.RanNo:
		j.claim.Release()
	default:
		j.claim.Unknown()
	}
}

func (j *job) reserve(ctx context.Context) error {
	first := j.x.service.Price
	limit := first
	if j.chat != nil {
		limit = j.chat.maxPromptTokens + j.chat.maxTokens
		first = limit
		if j.chat.stream {
			first = min(limit, j.chat.maxPromptTokens+j.x.g.ExtensionTokens)
		}
	}
	reservation, err := j.x.g.Ledger.Reserve(ctx, ReservationRequest{
		ID: j.x.id, Account: j.x.account.Name, Service: j.x.service.Name, Tokens: first,
		// A resumable stream can be requested again under its id, and is billed
		// once.
		Keyed: j.x.idempotencyKey != "" || j.resumable, Resume: j.resume != nil,
	})
	if err != nil {
		return err
	}
	j.reservation = newExtender(reservation, first, limit, j.x.g.ExtensionTokens)
	return nil
}

// settle bills a request that may have run. A request that certainly did not run
// is not billed, nor is one that an endpoint failed before its first token, since
// billed is 0 then.
func (j *job) settle(ctx context.Context, err error) {
	if j.ran != upstream.RanNo {
		j.x.g.Scope.Tagged(map[string]string{"service": j.x.service.Name}).Counter("tokens_billed").Inc(j.billed)
	}
	switch {
	case j.ran == upstream.RanNo:
		j.reservation.release()
	case err != nil && j.resumable && ctx.Err() != nil:
		billed := j.billed
		time.AfterFunc(resumeGrace, func() { j.reservation.settle(billed) })
	default:
		j.reservation.settle(j.billed)
	}
}

// dispatchWithRetries dispatches the request until it is answered, fails in a way
// after which it must not be sent again, or no further attempt is allowed.
func (j *job) dispatchWithRetries(ctx context.Context) error {
	for {
		endpoint, err := j.chooseEndpoint()
		if err != nil {
			return j.refusal(err)
		}
		err = j.attempt(ctx, endpoint)
		if err == nil {
			return nil
		}
		if j.x.committed || ctx.Err() != nil || (!j.idempotent && j.ran != upstream.RanNo) {
			return j.refusal(err)
		}
		delay, ok := j.ticket.Retry(err)
		if !ok {
			pause.Sleep(ctx, delay)
			return j.refusal(err)
		}
		j.x.log.Debug().Err(err).Dur("delay", delay).Msg("retrying at another endpoint")
		if !pause.Sleep(ctx, delay) {
			return j.refusal(err)
		}
	}
}

func (j *job) chooseEndpoint() (Endpoint, error) {
	if j.resume == nil {
		return j.ticket.Choose()
	}
	addr, ok := j.x.g.Directory.Endpoint(j.resume.Endpoint)
	if !ok {
		return Endpoint{}, problem.New(problem.OutcomeUnknown,
			"endpoint %q of the stream no longer exists; the stream can't be resumed", j.resume.Endpoint).
			WithRan(upstream.RanYes)
	}
	return Endpoint{ID: j.resume.Endpoint, Addr: addr}, nil
}

// refusal converts the error of the last attempt to one that says whether the
// request ran in any attempt.
func (j *job) refusal(err error) error {
	p := problem.From(err)
	if p.Ran == upstream.RanNo && j.ran != upstream.RanNo {
		p = &problem.Error{Kind: problem.EndpointFailed, Ran: j.ran, Detail: p.Detail, Err: err}
	}
	if p.Kind == problem.EndpointFailed && p.Detail == "unexpected failure" {
		p.Detail = "no endpoint gave an answer"
		if p.Ran == upstream.RanNo {
			p.Kind = problem.NoEndpoint
		}
	}
	return p
}

// attempt sends the request to an endpoint, and to a second one if it is hedged,
// and relays the answer.
func (j *job) attempt(ctx context.Context, endpoint Endpoint) error {
	d := j.dispatchHedged(ctx, endpoint)
	defer d.cancel(nil)
	if d.err != nil {
		j.mergeRan(upstream.RanOf(d.err))
		return d.err
	}
	defer d.resp.Body.Close()
	j.mergeRan(upstream.RanUnknown)
	err := j.attributeTimeout(d, j.relay(d))
	if err != nil && upstream.RanOf(err) == upstream.RanUnknown && !errors.Is(err, upstream.ErrStatus) {
		j.abandon(d.resp) // the endpoint may still work on the request
	}
	return err
}

func (j *job) relay(d *dispatch) error {
	if j.chat == nil {
		return j.relayPlain(d.resp, d.endpoint)
	}
	if d.resp.StatusCode != http.StatusOK {
		return j.engineRefusal(d.resp, d.endpoint)
	}
	if j.chat.stream {
		return j.relayStream(d)
	}
	return j.relayCompletion(d.resp, d.endpoint)
}

// mergeRan merges what is known of one attempt into j.ran.
func (j *job) mergeRan(ran upstream.Ran) {
	if j.ran == upstream.RanYes || ran == upstream.RanNo {
		return
	}
	j.ran = ran
}

// unforwardedHeaders are the headers that are not forwarded, because they apply
// to one connection only or the daemon sets them itself.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Accept-Encoding": true,
	"X-Request-Id": true, "Last-Event-Id": true, "X-Non-Idempotent": true, "X-Resumable": true,
}

func (j *job) upstreamHeader() http.Header {
	h := make(http.Header, len(j.x.r.Header)+4)
	for name, values := range j.x.r.Header {
		if !unforwardedHeaders[name] {
			h[name] = values
		}
	}
	h.Set(upstream.HeaderRequestID, j.x.id)
	left := j.deadline.Sub(j.x.g.Now()).Milliseconds()
	h.Set(upstream.HeaderDeadline, strconv.FormatInt(max(left, 1), 10))
	if j.resumable {
		h.Set(upstream.HeaderResumable, "true")
	}
	if j.resume != nil {
		h.Set(upstream.HeaderLastEventID, j.resume.Event)
	}
	return h
}

// isJSON reports whether the content type is JSON.
func isJSON(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "application/json")
}

// usageOf returns the usage of a chat completion that is not streamed. It returns
// false if the body is not a chat completion.
func usageOf(body []byte) (upstream.Usage, bool) {
	var answer struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *upstream.Usage   `json:"usage"`
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) == 0 {
		return upstream.Usage{}, false
	}
	if answer.Usage == nil {
		return upstream.Usage{}, true
	}
	return *answer.Usage, true
}
