package order

import (
	"fmt"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/pkg/errors"
)

const (
	// TickInterval is the interval at which the caller calls Tick.
	TickInterval = time.Second
	// sendTimeout is the time-out of a send. A send starts only if the duty is
	// guaranteed for that long.
	sendTimeout = 5 * time.Second
	// unknownOutcomeWait is the age from which an order of unknown outcome is
	// judged by endpoint reports; loads wait for Desired.MaxLoadTime in addition.
	// It covers the sends of an earlier holder that was not paused (sendTimeout),
	// the execution of an order that does not load weights and the lag of reports.
	unknownOutcomeWait = 15 * time.Second
	// writeInterval limits the writes of a service: 23 services in a rollout at
	// the same time use 4.6 of the fleet's 150 writes/s, and a record of 35 KB
	// uses 7 KB/s.
	writeInterval = 5 * time.Second
	// callTimeout is the time after which a store call counts as lost.
	callTimeout = 5 * time.Second
)

// Duty is the current state of the duty as package lease reports it.
type Duty struct {
	Held  bool
	Fence platform.Revision
	// Until is the time until which the duty is guaranteed to be held.
	Until time.Time
}

// Result is the result of a send.
type Result uint8

// The results of a send.
const (
	// ResultAccepted means that the endpoint accepted the order.
	ResultAccepted Result = iota
	// ResultFailed means that the endpoint certainly did not accept it.
	ResultFailed
	// ResultRefused means that the endpoint has received a higher fencing token.
	ResultRefused
	// ResultUnknown means that the answer was lost.
	ResultUnknown
	// ResultUnsent means that nothing was sent, because NotAfter had passed or
	// the duty was lost.
	ResultUnsent
)

// Send is an order to be sent. Before the caller writes to the connection, it
// checks that the duty is still held with the order's fencing token and that
// NotAfter has not passed, and otherwise reports ResultUnsent.
type Send struct {
	Order    Order
	NotAfter time.Time
	Timeout  time.Duration
}

// Event is a change to be logged and recorded in the audit trail. Order is zero
// if the change does not concern a single order.
type Event struct {
	Order  Order
	Detail string
}

// Output lists what the caller must do after a call.
type Output struct {
	// Read is the key to read, or empty; the response goes to HandleRead.
	Read string
	// Write requests a compare-and-swap; the response goes to HandleWrite.
	Write *platform.Write
	// Sends are the orders to send; the results go to HandleSend.
	Sends []Send
	// Renew requests that the duty be released and taken again, to get a higher
	// fencing token.
	Renew  bool
	Events []Event
}

// disabledRules disables individual rules. Tests set it to verify that the checks
// detect a missing rule.
type disabledRules struct {
	// sendBeforeRecord sends before the intent is known to be recorded.
	sendBeforeRecord bool
	// resendIntents sends intended orders of an earlier holder again.
	resendIntents bool
	// ignoreMaxShare places orders at all endpoints at once.
	ignoreMaxShare bool
}

// Controller places the orders of one service while the duty is held. It is not
// safe for concurrent use.
type Controller struct {
	owner    string
	disabled disabledRules
	desired  Desired
	observed []Observed
	duty     Duty

	loaded   bool
	record   *Record
	revision platform.Revision

	reading bool // a read of the record is pending
	// write is the pending write, and draft the record that it stores.
	write *platform.Write
	draft *Record
	// callSentAt is when the pending read or write was requested; it is set back
	// to retry a failed write before callTimeout.
	callSentAt time.Time
	// lastWriteAt is when the last write of a new version began.
	lastWriteAt time.Time
	writeCount  uint64
	// sentAt and results are the times and the results of sends, by order ID.
	sentAt  map[uint64]time.Time
	results map[uint64]Result
	// superseded is true if the record has a higher fencing token than the duty.
	superseded bool
	// unhealthySince is when each unhealthy endpoint was first observed as such.
	unhealthySince map[string]time.Time
	out            Output
}

// NewController returns the controller of a service in the daemon owner.
func NewController(owner, service string) *Controller {
	return &Controller{
		owner: owner, desired: Desired{Service: service}, sentAt: map[uint64]time.Time{},
		results: map[uint64]Result{}, unhealthySince: map[string]time.Time{},
	}
}

// SetDesired sets the desired state, which comes from the configuration.
func (c *Controller) SetDesired(d Desired) { c.desired = d.withDefaults() }

// SetObserved sets the last reports of the service's endpoints.
func (c *Controller) SetObserved(observed []Observed) { c.observed = observed }

// Record returns the record as last read or written, or nil. The caller must
// not modify it.
func (c *Controller) Record() *Record { return c.record }

// Progress returns the state of the service.
func (c *Controller) Progress() Progress { return NewProgress(c.desired, c.observed, c.record) }

// Tick compares the desired with the observed state and continues the rollout
// if the duty is held.
func (c *Controller) Tick(now time.Time, d Duty) Output {
	if !d.Held {
		// The duty may be confirmed again with the same fencing token, so the
		// sends are remembered.
		c.duty.Held = false
		return c.takeOutput()
	}
	if d.Fence != c.duty.Fence {
		// The duty was taken anew: calls and sends in flight belong to the
		// previous term.
		c.loaded, c.reading, c.write, c.draft, c.superseded = false, false, nil, nil, false
		clear(c.sentAt)
		clear(c.results)
	}
	c.duty = d
	c.trackHealth(now)
	if c.superseded {
		return c.takeOutput()
	}
	timedOut := now.Sub(c.callSentAt) >= callTimeout
	switch {
	case c.write != nil:
		if timedOut {
			c.issueWrite(now)
		}
	case !c.loaded:
		if !c.reading || timedOut {
			c.reading, c.callSentAt = true, now
			c.out.Read = c.key()
		}
	case now.Sub(c.lastWriteAt) >= writeInterval:
		c.updateRecord(now)
	}
	c.sendIntents(now)
	return c.takeOutput()
}

// HandleRead handles the response to Output.Read.
func (c *Controller) HandleRead(item platform.Item, err error) Output {
	if !c.reading {
		return c.takeOutput()
	}
	c.reading = false
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.record, c.revision, c.loaded = &Record{Service: c.desired.Service}, 0, true
	case err == nil:
		r, err := Unmarshal(item.Value)
		if err != nil {
			c.out.Events = append(c.out.Events, Event{Detail: err.Error()})
			return c.takeOutput()
		}
		c.record, c.revision, c.loaded = r, item.Revision, true
	}
	if c.loaded && c.record.Fence > c.duty.Fence {
		c.superseded = true
		c.out.Events = append(c.out.Events, Event{
			Detail: fmt.Sprintf("record has fencing number %d, own %d", c.record.Fence, c.duty.Fence),
		})
	}
	return c.takeOutput()
}

// HandleWrite handles the response to Output.Write.
func (c *Controller) HandleWrite(now time.Time, opID string, item platform.Item, err error) Output {
	if c.write == nil || c.write.OpID != opID {
		return c.takeOutput()
	}
	if conflict, ok := platform.AsConflict(err); ok && conflict.Actual.OpID == opID {
		item, err = conflict.Actual, nil
	}
	switch {
	case err == nil:
		c.emitChanges(c.record, c.draft)
		c.record, c.revision = c.draft, item.Revision
		c.write, c.draft = nil, nil
		c.sendIntents(now)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrLimited),
		errors.Is(err, platform.ErrOutcomeUnknown):
		// The next Tick repeats the write with the same operation id.
		c.callSentAt = now.Add(TickInterval - callTimeout)
	default:
		c.write, c.draft, c.loaded = nil, nil, false
	}
	return c.takeOutput()
}

// HandleSend handles the result of a Send.
func (c *Controller) HandleSend(id uint64, r Result) Output {
	if _, ok := c.sentAt[id]; ok {
		c.results[id] = r
		if r == ResultRefused {
			c.out.Events = append(c.out.Events, Event{Detail: fmt.Sprintf("order %d refused: old fencing number", id)})
		}
	}
	return c.takeOutput()
}

func (c *Controller) key() string { return KeyPrefix + c.desired.Service }

func (c *Controller) takeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// emitChanges emits an event for each order whose state changed and for a new
// halt.
func (c *Controller) emitChanges(before, after *Record) {
	for i := range after.Orders {
		o := &after.Orders[i]
		if old := before.findOrder(o.ID); old == nil || old.State != o.State {
			c.out.Events = append(c.out.Events, Event{Order: *o, Detail: string(o.State)})
		}
	}
	if after.Halt != nil && before.Halt == nil {
		c.out.Events = append(c.out.Events, Event{Detail: "rollout halted: " + after.Halt.Reason})
	}
}

// updateRecord prepares the next version of the record and requests its write
// if it differs.
func (c *Controller) updateRecord(now time.Time) {
	draft := c.record.clone()
	var changed bool
	if draft.Fence < c.duty.Fence {
		// The takeover is recorded first: it makes every later write of an
		// earlier holder conflict, so that all open orders of that holder are
		// known.
		draft.takeOver(c.duty.Fence, now, c.disabled.resendIntents)
		changed = true
	} else {
		draft.Fence = c.duty.Fence
		changed = c.updateStates(draft, now)
		d := c.desired
		if c.disabled.ignoreMaxShare {
			d.MaxUnavailableShare = 1
		}
		changed = draft.clearHalt(d, now) || changed
		changed = draft.haltIfFailing(d, c.observed,
			func(id string) bool { return c.unhealthyTooLong(id, now) }, now) || changed
		added, renew := draft.addIntents(d, c.observed, now)
		changed = changed || added
		// Renewal waits until no answer is pending, because a takeover makes the
		// outcome of such orders unknown.
		c.out.Renew = renew && !changed && draft.noAnswerPending()
	}
	if !changed {
		return
	}
	draft.prune()
	value, err := draft.Marshal()
	if err != nil {
		c.out.Events = append(c.out.Events, Event{Detail: err.Error()})
		return
	}
	c.writeCount++
	c.lastWriteAt = now
	c.draft = draft
	c.write = &platform.Write{
		Key: c.key(), Value: value, Expected: c.revision,
		OpID: fmt.Sprintf("%s/%d/%d", c.owner, c.duty.Fence, c.writeCount),
	}
	c.issueWrite(now)
}

func (c *Controller) issueWrite(now time.Time) {
	c.callSentAt = now
	w := *c.write
	c.out.Write = &w
}

// takeOver sets the fencing token and marks the orders that an earlier holder
// may have sent.
func (r *Record) takeOver(fence platform.Revision, now time.Time, resend bool) {
	r.Fence = fence
	for i := range r.Orders {
		o := &r.Orders[i]
		switch {
		case resend && o.State == Intended:
			o.Fence = fence
		case o.State == Intended, o.State == Unknown:
			o.State, o.At, o.Detail = Unknown, now, "the duty changed hands"
		}
	}
}

// sendIntents emits the recorded intents that are due and were not sent.
func (c *Controller) sendIntents(now time.Time) {
	r := c.record
	if c.disabled.sendBeforeRecord && c.draft != nil {
		r = c.draft
	}
	if !c.duty.Held || !c.loaded || r == nil || r.Fence != c.duty.Fence ||
		now.Add(sendTimeout).After(c.duty.Until) {
		return
	}
	for _, o := range r.Orders {
		if _, sent := c.sentAt[o.ID]; sent || now.Before(o.NotBefore) || o.State != Intended ||
			o.Fence != c.duty.Fence {
			continue
		}
		c.sentAt[o.ID] = now
		c.out.Sends = append(c.out.Sends, Send{
			Order: o, NotAfter: c.duty.Until.Add(-sendTimeout), Timeout: sendTimeout,
		})
	}
}

// updateStates updates the states of open orders from the results of sends and
// from endpoint reports. It reports whether a state changed.
func (c *Controller) updateStates(r *Record, now time.Time) bool {
	reports := byEndpoint(c.observed)
	changed := false
	for i := range r.Orders {
		o := &r.Orders[i]
		if !o.Open() {
			delete(c.sentAt, o.ID)
			delete(c.results, o.ID)
			continue
		}
		state, detail := c.stateAfterSend(o, now)
		report, known := reports[o.Endpoint]
		if s, d, ok := observedOutcome(c.desired, o, report, known, now); ok &&
			state != Failed && state != Refused && state != NotSent {
			state, detail = s, d
		}
		if state != o.State {
			o.State, o.Detail, o.At = state, detail, now
			o.AnswerLost = o.AnswerLost || state == Unknown
			changed = true
		}
	}
	return changed
}

// stateAfterSend returns the state and detail that follow from the result of
// the send.
func (c *Controller) stateAfterSend(o *Order, now time.Time) (State, string) {
	if o.State != Intended {
		return o.State, o.Detail
	}
	result, ok := c.results[o.ID]
	if !ok {
		// A send whose result the caller never reports counts as a lost answer.
		if at, sent := c.sentAt[o.ID]; sent && now.Sub(at) > 3*sendTimeout {
			return Unknown, "no answer"
		}
		return o.State, o.Detail
	}
	switch result {
	case ResultAccepted:
		return Accepted, ""
	case ResultFailed:
		return Failed, "the endpoint did not take the order"
	case ResultUnsent:
		return NotSent, ""
	case ResultRefused:
		return Refused, "old fencing number"
	}
	return Unknown, "answer lost"
}

// observedOutcome returns the state and detail that follow from the endpoint's
// report, and whether there is a change.
func observedOutcome(d Desired, o *Order, report Observed, known bool, now time.Time) (State, string, bool) {
	late := now.Sub(o.At) > 3*d.MaxLoadTime
	switch {
	case o.State == Intended:
		return "", "", false
	case known && report.At.After(o.At) && hasEffect(o.Action, report):
		return Done, "effect seen", true
	case o.State == Unknown && known && report.At.Sub(o.At) > outcomeWait(d, o):
		return NotSeen, "no effect was seen", true
	case o.State == Accepted && late:
		return Failed, "accepted, but no effect was seen", true
	case !known && late:
		return NotSeen, "the endpoint is gone", true
	}
	return "", "", false
}
