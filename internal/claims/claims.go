// Package claims claims non-idempotent requests for the gateway: it runs the
// writers of package claim against the platform's store.
package claims

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/azurehatch/azurehatch/internal/claim"
	"github.com/azurehatch/azurehatch/internal/gateway"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/problem"
	"github.com/azurehatch/azurehatch/internal/upstream"
)

// Timing of claims.
const (
	tickInterval = 10 * time.Millisecond
	// collectWindow is the time for which attempts of a shard are collected for
	// one write.
	collectWindow = 50 * time.Millisecond
	// claimTimeout is the longest time that an attempt waits for its claim.
	claimTimeout      = 2 * time.Second
	callTimeout       = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// progressPollInterval is the interval at which an attempt checks whether
	// another attempt in progress has an outcome.
	progressPollInterval = 100 * time.Millisecond
)

// Options are the settings of Claims.
type Options struct {
	// Daemon is the id of this daemon.
	Daemon string
	Store  platform.Store
	Log    zerolog.Logger
}

// Claims implements gateway.Claims.
type Claims struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	writers map[int]*shardWriter
	// waiters are the channels of attempts that wait for an answer, by token.
	waiters      map[string]chan claim.Answer
	endedDaemons []string
}

type shardWriter struct {
	shard    int
	writer   *claim.Writer
	nextTick time.Time
}

// New starts the goroutine that drives the writers; Close stops it.
func New(o Options) *Claims {
	ctx, stop := context.WithCancel(context.Background())
	c := &Claims{
		opts: o, ctx: ctx, stop: stop,
		writers: make(map[int]*shardWriter), waiters: make(map[string]chan claim.Answer),
	}
	c.spawn(c.loop)
	return c
}

// Close stops without waiting for pending writes; see Drain.
func (c *Claims) Close() {
	c.stop()
	c.wg.Wait()
}

func (c *Claims) spawn(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

func (c *Claims) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.tick()
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Claims) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, w := range c.writers {
		if !now.Before(w.nextTick) {
			w.writer.Tick(now)
			c.execute(w)
		}
	}
}

// Drain waits until the outcomes of all claims are stored or ctx is done.
func (c *Claims) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !c.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "claims are not durable")
		}
	}
	return nil
}

func (c *Claims) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.writers {
		if !w.writer.Idle() {
			return false
		}
	}
	return true
}

// DaemonEnded reports that a daemon has ended: the outcome of its unfinished
// claims is unknown.
func (c *Claims) DaemonEnded(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedDaemons = append(c.endedDaemons, id)
	for _, w := range c.writers {
		w.writer.SetEnded(time.Now(), id)
		c.execute(w)
	}
}

// writer returns the writer of a shard. The caller holds c.mu.
func (c *Claims) writer(shard int) *shardWriter {
	if w, ok := c.writers[shard]; ok {
		return w
	}
	w := &shardWriter{shard: shard, writer: claim.New(claim.Options{
		Daemon: c.opts.Daemon, Window: collectWindow, WaitTimeout: claimTimeout,
	})}
	w.writer.SetEnded(time.Now(), c.endedDaemons...)
	c.writers[shard] = w
	return w
}

// execute delivers the writer's answers and starts its store calls. The caller
// holds c.mu.
func (c *Claims) execute(w *shardWriter) {
	out := w.writer.Take()
	w.nextTick = out.Next
	for _, a := range out.Answers {
		if ch, ok := c.waiters[a.Token]; ok {
			delete(c.waiters, a.Token)
			ch <- a
		}
	}
	if out.Read {
		c.spawn(func() { c.read(w) })
	}
	if out.Write != nil {
		write := *out.Write
		c.spawn(func() { c.write(w, write) })
	}
}

func recordKey(shard int) string { return "claim/" + strconv.Itoa(shard) }

func (c *Claims) read(w *shardWriter) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	item, err := c.opts.Store.Get(ctx, recordKey(w.shard))
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		c.opts.Log.Warn().Err(err).Int("shard", w.shard).Msg("claim record not read")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.writer.HandleRead(time.Now(), item.Value, int64(item.Revision), err == nil || missing)
	c.execute(w)
}

func (c *Claims) write(w *shardWriter, write claim.Write) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	item, err := c.opts.Store.CompareAndSwap(ctx, platform.Write{
		Key: recordKey(w.shard), Value: write.Value, Expected: platform.Revision(write.Expected), OpID: write.OpID,
	})
	outcome := outcomeOf(err)
	if conflict, ok := platform.AsConflict(err); ok {
		item = conflict.Actual
	} else if err != nil {
		c.opts.Log.Warn().Err(err).Int("shard", w.shard).Msg("claim record not written")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.writer.HandleWrite(time.Now(), outcome, item.Value, int64(item.Revision))
	c.execute(w)
}

func outcomeOf(err error) claim.Outcome {
	_, conflict := platform.AsConflict(err)
	switch {
	case err == nil:
		return claim.Applied
	case conflict:
		return claim.Conflict
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrLimited),
		errors.Is(err, platform.ErrTooLarge):
		return claim.NotApplied
	}
	return claim.MaybeApplied
}

// Claim implements gateway.Claims. If another attempt is in progress, it waits
// for the outcome, because an answer reaches the store a little later than the
// first caller.
func (c *Claims) Claim(ctx context.Context, k gateway.ClaimKey) (gateway.Claim, *gateway.Answer, error) {
	id := claim.ID{Account: k.Account, Service: k.Service, Key: k.Key}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	last := claim.Answer{}
	for {
		attempt := &claimAttempt{c: c, id: id, token: uuid.NewString()}
		a, err := c.attempt(ctx, attempt)
		if err != nil && last.Result == claim.InProgress {
			return attempt.result(last) // the other attempt may have run
		}
		if err != nil {
			return nil, nil, err
		}
		last = a
		if a.Result != claim.InProgress || !sleep(ctx, progressPollInterval) {
			return attempt.result(a)
		}
	}
}

// attempt requests a claim and waits for the answer until ctx is done.
func (c *Claims) attempt(ctx context.Context, attempt *claimAttempt) (claim.Answer, error) {
	ch := make(chan claim.Answer, 1)
	c.mu.Lock()
	w := c.writer(claim.ShardOf(attempt.id))
	c.waiters[attempt.token] = ch
	w.writer.Attempt(time.Now(), attempt.id, attempt.token)
	c.execute(w)
	c.mu.Unlock()
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		c.spawn(func() { attempt.abandon(ch) })
		return claim.Answer{}, problem.New(problem.ClaimUnavailable, "the claim was not made in time").
			WithCause(ctx.Err())
	case <-c.ctx.Done():
		return claim.Answer{}, problem.New(problem.ShuttingDown, "this daemon is stopping")
	}
}

// sleep waits for d and returns false if ctx is done earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// claimAttempt is one attempt to claim a request. It implements gateway.Claim.
type claimAttempt struct {
	c     *Claims
	id    claim.ID
	token string
}

// result converts the answer to an attempt to the results of Claims.Claim.
func (ca *claimAttempt) result(a claim.Answer) (gateway.Claim, *gateway.Answer, error) {
	switch a.Result {
	case claim.Granted:
		return ca, nil, nil
	case claim.AlreadyRan:
		var stored gateway.Answer
		if len(a.Body) > 0 && json.Unmarshal(a.Body, &stored) == nil {
			return nil, &stored, nil
		}
		return nil, nil, problem.New(problem.AlreadyRan, "a request with this key ran before").
			WithRan(upstream.RanYes)
	case claim.InProgress:
		return nil, nil, problem.New(problem.Duplicate, "a request with this key may be running").
			WithRan(upstream.RanUnknown).WithRetryAfter(time.Second)
	case claim.OutcomeUnknown:
		return nil, nil, problem.New(problem.OutcomeUnknown, "a request with this key was sent before").
			WithRan(upstream.RanUnknown)
	}
	return nil, nil, problem.New(problem.ClaimUnavailable, "the claim can't be stored now").WithRetryAfter(time.Second)
}

// abandon releases a claim that is granted after its caller has stopped waiting.
func (ca *claimAttempt) abandon(ch chan claim.Answer) {
	select {
	case a := <-ch:
		if a.Result == claim.Granted {
			ca.Release()
		}
	case <-ca.c.ctx.Done():
	}
}

// update calls f with the writer of the claim and executes its output.
func (ca *claimAttempt) update(f func(w *claim.Writer)) {
	ca.c.mu.Lock()
	defer ca.c.mu.Unlock()
	w := ca.c.writer(claim.ShardOf(ca.id))
	f(w.writer)
	ca.c.execute(w)
}

// Done implements gateway.Claim.
func (ca *claimAttempt) Done(a *gateway.Answer) {
	status, body := 0, []byte(nil)
	if a != nil {
		if text, err := json.Marshal(a); err == nil && len(text) <= claim.MaxAnswerBytes {
			status, body = a.Status, text
		}
	}
	ca.update(func(w *claim.Writer) { w.Finish(time.Now(), ca.id, ca.token, claim.Done, status, body) })
}

// Unknown implements gateway.Claim.
func (ca *claimAttempt) Unknown() {
	ca.update(func(w *claim.Writer) { w.Finish(time.Now(), ca.id, ca.token, claim.Unknown, 0, nil) })
}

// Release implements gateway.Claim.
func (ca *claimAttempt) Release() {
	ca.update(func(w *claim.Writer) { w.Release(time.Now(), ca.id, ca.token) })
}
