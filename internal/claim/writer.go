package claim

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Result is the result of an attempt to claim a request.
type Result uint8

// The results of an attempt.
const (
	// Granted means that the claim is durable and the request may be dispatched
	// once.
	Granted Result = iota + 1
	// AlreadyRan means that the request ran; Answer has its answer if it was
	// stored.
	AlreadyRan
	// InProgress means that another attempt may be running.
	InProgress
	// OutcomeUnknown means that an earlier attempt may have run and its outcome
	// can no longer be learned.
	OutcomeUnknown
	// Unavailable means that no claim could be made; this attempt did not run.
	Unavailable
)

// Answer is the answer to an attempt.
type Answer struct {
	Token  string
	Result Result
	// Status and Body are the first answer to the request, set with AlreadyRan
	// if it was stored.
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
	// Applied means that the write took effect.
	Applied Outcome = iota + 1
	// Conflict means that the record has another revision than expected.
	Conflict
	// MaybeApplied means that the write may have taken effect.
	MaybeApplied
	// NotApplied means that the write certainly had no effect.
	NotApplied
)

// Output lists what the caller of a Writer must do.
type Output struct {
	Answers []Answer
	// Read requests the record; it goes to HandleRead.
	Read bool
	// Write requests a compare-and-swap; its outcome goes to HandleWrite.
	Write *Write
	// Next is the latest time of the next Tick.
	Next time.Time
}

// Options configures a Writer.
type Options struct {
	// Daemon is the id of this daemon.
	Daemon string
	// Retention is the time for which a claim is kept; 0 means DefaultRetention.
	Retention time.Duration
	// Window is the time for which attempts are collected for one write; 0 means
	// 50 ms.
	Window time.Duration
	// WaitTimeout is the time after which a waiting attempt is refused; 0 means
	// 1 s.
	WaitTimeout time.Duration
	flaws       flaw
}

// flaw is a set of rules that tests disable to show that a check fails.
type flaw uint

const (
	// flawReuseUnknown claims requests again whose outcome is unknown.
	flawReuseUnknown flaw = 1 << iota
	// flawGrantUnconfirmed grants claims before their write is confirmed.
	flawGrantUnconfirmed
	// flawIgnoreOthers changes claims that belong to other attempts.
	flawIgnoreOthers
)

// Writer batches the claims of one daemon in one shard into store writes. It is
// not safe for concurrent use.
type Writer struct {
	opts Options
	out  Output

	record     *Record
	revision   int64
	writeCount int
	// pendingAttempts are attempts without an answer, in order of arrival.
	pendingAttempts []*attempt
	// pendingChanges are changes of this daemon's claims that are not durable
	// yet, by token.
	pendingChanges map[string]change
	endedDaemons   map[string]bool

	callPending bool // a read or write is in flight
	// placedAttempts and writtenChanges are the attempts and changes that the
	// last write contains.
	placedAttempts []*attempt
	writtenChanges map[string]change
	// nextWriteAt is when the collection window ends; zero if none is open.
	nextWriteAt time.Time
	// retryAt is the earliest time of a call after a failure.
	retryAt time.Time
}

type attempt struct {
	id       string
	token    string
	deadline time.Time
}

// change updates or removes a claim of this daemon.
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

// Window returns the collection window with which the given number of writers
// (shards in use times daemons that write to each) together stay within
// writesPerSecond. It is between 50 ms and 1 s.
func Window(writers int, writesPerSecond float64) time.Duration {
	if writesPerSecond <= 0 {
		return time.Second
	}
	d := time.Duration(float64(writers) / writesPerSecond * float64(time.Second))
	return min(max(d, 50*time.Millisecond), time.Second)
}

// SetWindow changes the collection window.
func (w *Writer) SetWindow(d time.Duration) { w.opts.Window = d }

// SetEnded marks daemons as ended: their unfinished claims have an unknown
// outcome.
func (w *Writer) SetEnded(now time.Time, daemons ...string) {
	for _, d := range daemons {
		w.endedDaemons[d] = true
	}
	w.advance(now)
}

// Take returns and clears the output since the last call.
func (w *Writer) Take() Output {
	out := w.out
	w.out = Output{}
	return out
}

// Attempt requests the claim of a request. The token is unique to the attempt
// and identifies it in the answer, in Finish and in Release.
func (w *Writer) Attempt(now time.Time, id ID, token string) {
	w.pendingAttempts = append(w.pendingAttempts, &attempt{
		id: id.String(), token: token, deadline: now.Add(w.opts.WaitTimeout),
	})
	w.scheduleWrite(now)
	w.advance(now)
}

// Finish records that a granted request ran with the given answer (state Done),
// or that its outcome is unknown (state Unknown).
func (w *Writer) Finish(now time.Time, id ID, token string, state State, status int, body []byte) {
	c := Claim{Token: token, Daemon: w.opts.Daemon, State: state, Unix: now.Unix(), Status: status}
	if state == Done && len(body) <= MaxAnswerBytes {
		c.Answer = slices.Clone(body)
	}
	w.pendingChanges[token] = change{id: id.String(), claim: c}
	w.scheduleWrite(now)
	w.advance(now)
}

// Release removes a granted claim whose request was never dispatched.
func (w *Writer) Release(now time.Time, id ID, token string) {
	w.pendingChanges[token] = change{id: id.String(), remove: true}
	w.scheduleWrite(now)
	w.advance(now)
}

// Tick handles time-outs and starts the store call that is due.
func (w *Writer) Tick(now time.Time) { w.advance(now) }

// Idle reports whether no attempt, change or store call is pending.
func (w *Writer) Idle() bool {
	return len(w.pendingAttempts) == 0 && len(w.pendingChanges) == 0 && !w.callPending
}

// scheduleWrite opens a collection window unless one is open.
func (w *Writer) scheduleWrite(now time.Time) {
	if w.nextWriteAt.IsZero() {
		w.nextWriteAt = now.Add(w.opts.Window)
	}
}

// advance handles time-outs, starts the call that is due and sets Output.Next.
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

// expirePending refuses attempts whose wait time-out has passed. Their claims
// may have reached the store and are released, so that a retry can run.
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

// startCall requests the record if it is not known, and otherwise requests a
// write of the record with the pending changes and the new claims.
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
	w.out.Write = &Write{
		Value: value, Expected: w.revision, OpID: fmt.Sprintf("%s/%d", w.opts.Daemon, w.writeCount),
	}
}

// applyChange applies a change to the record, unless the claim in the record
// belongs to another attempt.
func (w *Writer) applyChange(token string, ch change) {
	c, ok := w.record.Claims[ch.id]
	switch {
	case ok && c.Token != token && w.opts.flaws&flawIgnoreOthers == 0:
	case ch.remove:
		delete(w.record.Claims, ch.id)
	default:
		// The claim is written even if it has expired in the meantime, because the
		// request ran.
		w.record.Claims[ch.id] = ch.claim
	}
}

// placeClaim puts an attempt's claim into the record to be written. It returns
// false if the request is claimed by another attempt or the record is full; the
// attempt is answered once the write has shown that the record is current.
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

// resultFor returns the result of an attempt that meets claim c of another
// attempt.
func (w *Writer) resultFor(c Claim) Result {
	switch {
	case c.State == Done:
		return AlreadyRan
	case c.State == Unknown || w.endedDaemons[c.Daemon]:
		return OutcomeUnknown
	}
	return InProgress
}

// HandleRead handles the record that Output.Read requested; ok is false if it
// could not be read.
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

// reset forgets the record after a failure, so that it is read again after two
// collection windows.
func (w *Writer) reset(now time.Time) {
	w.record, w.callPending = nil, false
	w.retryAt = now.Add(2 * w.opts.Window)
	w.nextWriteAt = w.retryAt
}

// HandleWrite handles the outcome of Output.Write. After Conflict, value is the
// newer record.
func (w *Writer) HandleWrite(now time.Time, o Outcome, value []byte, revision int64) {
	w.callPending = false
	switch o {
	case Applied:
		w.revision = revision
		w.completeWrite(now, w.placedAttempts)
	case Conflict:
		// The newer record may contain an earlier write whose answer was lost. Its
		// claims have the tokens of the attempts, so the next write recognises
		// them.
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

// completeWrite answers the attempts that a confirmed write has decided and
// removes the changes that it made durable.
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
		case !ok && w.record.estimatedSize()+
			(Claim{Token: a.token, Daemon: w.opts.Daemon}).estimatedSize(a.id) > MaxRecordBytes:
			w.addAnswer(Answer{Token: a.token, Result: Unavailable})
		default:
			return false // it arrived during the write
		}
		return true
	})
	if len(w.pendingAttempts) > 0 || len(w.pendingChanges) > 0 {
		w.scheduleWrite(now)
	}
}
