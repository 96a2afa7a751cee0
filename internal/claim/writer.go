package claim

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Result is the answer to an attempt.
type Result uint8

// The results of an attempt.
const (
	// Granted: the claim is durable and the request may be dispatched once.
	Granted Result = iota + 1
	// AlreadyRan: the request ran; the answer is given if it was kept.
	AlreadyRan
	// InProgress: another attempt may be running.
	InProgress
	// OutcomeUnknown: an earlier attempt may have run, nobody knows.
	OutcomeUnknown
	// Unavailable: no claim could be made; this attempt did not run.
	Unavailable
)

// Answer answers an attempt.
type Answer struct {
	Token  string
	Result Result
	// Status and Body are the first answer after AlreadyRan, if it was kept.
	Status int
	Body   []byte
}

// Write is a compare-and-swap of the record.
type Write struct {
	Value    []byte
	Expected int64
	OpID     string
}

// Outcome is the result of a Write.
type Outcome uint8

// The results of a store write.
const (
	Applied Outcome = iota + 1
	Conflict
	UnknownOutcome
	NotApplied
)

// Output is what a Writer wants done.
type Output struct {
	Answers []Answer
	Read    bool
	Write   *Write
	Next    time.Time
}

// Options configures a Writer.
type Options struct {
	// Daemon is the holder id of this process.
	Daemon string
	// Retention is how long a claim is kept; 0 means DefaultRetention.
	Retention time.Duration
	// Window is the time in which attempts are collected for one write.
	Window time.Duration
	// Patience is how long an attempt waits before it is refused.
	WaitTimeout time.Duration
	flaws       flaw
}

// flaw is a set of rules that tests switch off to see that a check fails.
type flaw uint

const (
	flawReuseUnknown flaw = 1 << iota
	flawGrantUnconfirmed
	flawIgnoreOthers
)

// Writer groups the claims of one daemon in one shard into store writes. It is
// not safe for concurrent use.
type Writer struct {
	opts Options
	out  Output

	record     *Record
	revision   int64
	writeCount int
	// pending are attempts without an answer, in order of arrival.
	pendingAttempts []*attempt
	// changes are changes of own claims that are not durable, by token.
	pendingChanges map[string]change
	endedDaemons   map[string]bool

	callPending    bool // a read or write is under way
	placedAttempts []*attempt
	writtenChanges map[string]change
	nextWriteAt    time.Time
	retryAt        time.Time
}

type attempt struct {
	id       string
	token    string
	deadline time.Time
}

// change ends an own claim.
type change struct {
	id     string
	remove bool
	claim  Claim
}

// New returns a writer.
func New(opts Options) *Writer {
	if opts.Retention <= 0 {
		opts.Retention = DefaultRetention
	}
	if opts.Window <= 0 {
		opts.Window = 50 * time.Millisecond
	}
	if opts.WaitTimeout <= 0 {
		opts.WaitTimeout = time.Second
	}
	return &Writer{opts: opts, pendingChanges: make(map[string]change), endedDaemons: make(map[string]bool)}
}

// Window returns the collection window that keeps so many shards in use, each
// written by so many daemons, within an allowance of writes/s.
func Window(writers int, writesPerSecond float64) time.Duration {
	if writesPerSecond <= 0 {
		return time.Second
	}
	d := time.Duration(float64(writers) / writesPerSecond * float64(time.Second))
	return min(max(d, 50*time.Millisecond), time.Second)
}

// SetWindow changes the collection window.
func (w *Writer) SetWindow(d time.Duration) { w.opts.Window = d }

// SetGone names daemons that are known to have ended.
func (w *Writer) SetEnded(now time.Time, daemons ...string) {
	for _, d := range daemons {
		w.endedDaemons[d] = true
	}
	w.advance(now)
}

// Take returns what is to be done since the last call.
func (w *Writer) Take() Output {
	out := w.out
	w.out = Output{}
	return out
}

// Attempt asks for the claim of a request. The token is unique for the attempt
// and names it in the answer, in Finish and in Release.
func (w *Writer) Attempt(now time.Time, id ID, token string) {
	w.pendingAttempts = append(w.pendingAttempts, &attempt{id: id.String(), token: token, deadline: now.Add(w.opts.WaitTimeout)})
	w.scheduleWrite(now)
	w.advance(now)
}

// Finish records that a granted request ran with the given answer, or that its
// outcome is not known.
func (w *Writer) Finish(now time.Time, id ID, token string, state State, status int, body []byte) {
	c := Claim{Token: token, Daemon: w.opts.Daemon, State: state, Unix: now.Unix(), Status: status}
	if state == Done && len(body) <= MaxAnswerBytes {
		c.Answer = slices.Clone(body)
	}
	w.pendingChanges[token] = change{id: id.String(), claim: c}
	w.scheduleWrite(now)
	w.advance(now)
}

// Release gives up a granted claim whose request was never dispatched.
func (w *Writer) Release(now time.Time, id ID, token string) {
	w.pendingChanges[token] = change{id: id.String(), remove: true}
	w.scheduleWrite(now)
	w.advance(now)
}

// Tick handles the passing of time.
func (w *Writer) Tick(now time.Time) { w.advance(now) }

// Idle reports whether nothing waits for the store.
func (w *Writer) Idle() bool {
	return len(w.pendingAttempts) == 0 && len(w.pendingChanges) == 0 && !w.callPending
}

func (w *Writer) scheduleWrite(now time.Time) {
	if w.nextWriteAt.IsZero() {
		w.nextWriteAt = now.Add(w.opts.Window)
	}
}

func (w *Writer) advance(now time.Time) {
	w.expirePending(now)
	if !w.callPending && !w.nextWriteAt.IsZero() && !now.Before(w.nextWriteAt) && !now.Before(w.retryAt) {
		w.startCall(now)
	}
	w.out.Next = now.Add(w.opts.Retention)
	if len(w.pendingAttempts) > 0 || len(w.pendingChanges) > 0 {
		w.out.Next = now.Add(w.opts.Window)
	}
}

// expirePending refuses attempts that waited too long. A claim that may have
// reached the store is released, so that a repeat can run.
func (w *Writer) expirePending(now time.Time) {
	w.pendingAttempts = slices.DeleteFunc(w.pendingAttempts, func(a *attempt) bool {
		if now.Before(a.deadline) {
			return false
		}
		w.addAnswer(Answer{Token: a.token, Result: Unavailable})
		w.pendingChanges[a.token] = change{id: a.id, remove: true}
		w.scheduleWrite(now)
		return true
	})
}

func (w *Writer) addAnswer(a Answer) { w.out.Answers = append(w.out.Answers, a) }

// start reads the record if none is known, answers what the record decides,
// and writes the rest.
func (w *Writer) startCall(now time.Time) {
	if w.record == nil {
		w.callPending, w.out.Read = true, true
		return
	}
	w.nextWriteAt = time.Time{}
	if len(w.pendingAttempts) == 0 && len(w.pendingChanges) == 0 {
		return
	}
	w.record.expire(now, w.opts.Retention)
	w.writtenChanges = maps.Clone(w.pendingChanges)
	for token, ch := range w.writtenChanges {
		w.applyChange(token, ch)
	}
	w.placedAttempts = nil
	for _, a := range w.pendingAttempts {
		if w.placeClaim(now, a) {
			w.placedAttempts = append(w.placedAttempts, a)
		}
	}
	w.record.dropAnswers(MaxRecordBytes)
	value, err := w.record.Marshal()
	if err != nil {
		w.reset(now)
		return
	}
	w.writeCount++
	w.callPending = true
	w.out.Write = &Write{Value: value, Expected: w.revision, OpID: fmt.Sprintf("%s/%d", w.opts.Daemon, w.writeCount)}
}

// apply makes a change of an own claim; a claim of another attempt stays.
func (w *Writer) applyChange(token string, ch change) {
	c, ok := w.record.Claims[ch.id]
	switch {
	case ok && c.Token != token && w.opts.flaws&flawIgnoreOthers == 0:
	case ch.remove:
		delete(w.record.Claims, ch.id)
	default:
		// Also after the retention: the request ran.
		w.record.Claims[ch.id] = ch.claim
	}
}

// place puts an attempt's claim into the record to be written. It reports
// false if another claim is in the way or there is no room; the answer is
// given when the record is known to be current.
func (w *Writer) placeClaim(now time.Time, a *attempt) bool {
	if c, ok := w.record.Claims[a.id]; ok && c.Token != a.token {
		if w.opts.flaws&flawReuseUnknown == 0 || w.resultFor(c) != OutcomeUnknown {
			return false
		}
	}
	c := Claim{Token: a.token, Daemon: w.opts.Daemon, State: Claimed, Unix: now.Unix()}
	if w.record.estimatedSize()+c.estimatedSize(a.id) > MaxRecordBytes {
		w.record.dropAnswers(MaxRecordBytes - c.estimatedSize(a.id))
		if w.record.estimatedSize()+c.estimatedSize(a.id) > MaxRecordBytes {
			return false
		}
	}
	w.record.Claims[a.id] = c
	return true
}

// outcome tells what an existing claim means for another attempt.
func (w *Writer) resultFor(c Claim) Result {
	switch {
	case c.State == Done:
		return AlreadyRan
	case c.State == Unknown || w.endedDaemons[c.Daemon]:
		return OutcomeUnknown
	}
	return InProgress
}

// Loaded passes the record that Output.Read asked for.
func (w *Writer) HandleRead(now time.Time, value []byte, revision int64, ok bool) {
	w.callPending = false
	rec, err := Unmarshal(value)
	if !ok || err != nil {
		w.reset(now)
	} else {
		w.record, w.revision = rec, revision
	}
	w.advance(now)
}

// reset forgets the record after a failure; the next try reads it again.
func (w *Writer) reset(now time.Time) {
	w.record, w.callPending = nil, false
	w.retryAt = now.Add(2 * w.opts.Window)
	w.nextWriteAt = w.retryAt
}

// Stored passes the outcome of Output.Write. After Conflict, value is the newer
// record.
func (w *Writer) HandleWrite(now time.Time, o Outcome, value []byte, revision int64) {
	w.callPending = false
	switch o {
	case Applied:
		w.revision = revision
		w.completeWrite(now, w.placedAttempts)
	case Conflict:
		// A write whose answer was lost may be in the newer record: its claims
		// carry the tokens of the attempts, so the next round recognises them.
		rec, err := Unmarshal(value)
		if err != nil {
			w.reset(now)
			break
		}
		w.record, w.revision, w.nextWriteAt = rec, revision, now
	default:
		if w.opts.flaws&flawGrantUnconfirmed != 0 {
			w.completeWrite(now, w.placedAttempts)
		}
		w.reset(now)
	}
	w.advance(now)
}

// settle answers the attempts after their record became current.
func (w *Writer) completeWrite(now time.Time, placed []*attempt) {
	for token, ch := range w.writtenChanges {
		if c, ok := w.pendingChanges[token]; ok && c.remove == ch.remove && c.claim.State == ch.claim.State {
			delete(w.pendingChanges, token)
		}
	}
	w.pendingAttempts = slices.DeleteFunc(w.pendingAttempts, func(a *attempt) bool {
		c, ok := w.record.Claims[a.id]
		switch {
		case slices.Contains(placed, a):
			w.addAnswer(Answer{Token: a.token, Result: Granted})
		case ok && c.Token != a.token:
			r := Answer{Token: a.token, Result: w.resultFor(c)}
			if r.Result == AlreadyRan {
				r.Status, r.Body = c.Status, c.Answer
			}
			w.addAnswer(r)
		case !ok && w.record.estimatedSize()+(Claim{Token: a.token, Daemon: w.opts.Daemon}).estimatedSize(a.id) > MaxRecordBytes:
			w.addAnswer(Answer{Token: a.token, Result: Unavailable})
		default:
			return false // it came while the write was under way
		}
		return true
	})
	if len(w.pendingAttempts) > 0 || len(w.pendingChanges) > 0 {
		w.scheduleWrite(now)
	}
}
