package order

import (
	"fmt"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/pkg/errors"
)

const (
	// TickInterval is how often the caller calls Tick.
	TickInterval = time.Second
	// sendTimeout is the time in which a send ends. A send starts only if the
	// duty is certain for that long.
	sendTimeout = 5 * time.Second
	// settleAfter is the age from which on an order of unknown outcome is
	// judged by reports, for loads with the time of a load added. It covers the
	// sends of an earlier holder that runs without a pause (sendTimeout), the
	// work on a small order and the lag of reports.
	unknownOutcomeWait = 15 * time.Second
	// writeInterval bounds the writes of a service: with 23 services in a
	// rollout at once they take 4.6 of the fleet's 150 writes/s, and a record of
	// 35 KB takes 7 KB/s.
	writeInterval = 5 * time.Second
	// callTimeout is the time after which a store call counts as lost.
	callTimeout = 5 * time.Second
)

// Duty is what package lease says about the duty at present.
type Duty struct {
	Held  bool
	Fence platform.Revision
	Until time.Time
}

// Result is the answer of an endpoint to an order.
type Result uint8

// The results of a send.
const (
	// ResultAccepted means that the endpoint took the order.
	ResultAccepted Result = iota
	// ResultFailed means that the endpoint certainly did not take it.
	ResultFailed
	// ResultRefused means that the endpoint knows a higher fencing number.
	ResultRefused
	// ResultUnknown means that the answer was lost.
	ResultUnknown
	// ResultUnsent means that nothing was sent, because NotAfter had passed or
	// the duty was lost.
	ResultUnsent
)

// Send is an order to be sent. Before it writes to the connection the caller
// checks that the duty is still held with the order's fencing number and that
// NotAfter has not passed, and otherwise reports ResultUnsent.
type Send struct {
	Order    Order
	NotAfter time.Time
	Timeout  time.Duration
}

// Event is a change for logs and the audit trail.
type Event struct {
	Order  Order
	Detail string
}

// Output is what the caller does after a call.
type Output struct {
	// Read asks for the record; its answer goes to Read.
	Read string
	// Write asks for a compare-and-swap; its answer goes to Written.
	Write *platform.Write
	Sends []Send
	// Renew asks to give the duty back and to take it again, for a higher
	// fencing number.
	Renew  bool
	Events []Event
}

// broken switches off single rules for tests.
type broken struct {
	// sendFirst sends before the intent is known to be recorded.
	sendBeforeRecord bool
	// resend sends an intended order of an earlier holder again.
	resendIntents bool
	// ignoreShare orders to all endpoints at once.
	ignoreMaxShare bool
}

// Controller places the orders of one service while the duty is held. It is
// not safe for use by several goroutines at once.
type Controller struct {
	owner    string
	broken   broken
	desired  Desired
	observed []Observed
	duty     Duty

	loaded   bool
	record   *Record
	revision platform.Revision

	reading    bool
	write      *platform.Write
	draft      *Record
	callSentAt time.Time
	// writtenAt is when the last write began.
	lastWriteAt time.Time
	writeCount  uint64
	sentAt      map[uint64]time.Time
	results     map[uint64]Result
	superseded  bool
	// sickSince is when each unhealthy endpoint was first seen to be so.
	unhealthySince map[string]time.Time
	out            Output
}

// NewController returns the controller of a service in the daemon owner.
func NewController(owner, service string) *Controller {
	return &Controller{owner: owner, desired: Desired{Service: service}, sentAt: map[uint64]time.Time{}, results: map[uint64]Result{}, unhealthySince: map[string]time.Time{}}
}

// SetDesired takes the desired state from the configuration.
func (c *Controller) SetDesired(d Desired) { c.desired = d.withDefaults() }

// SetObserved takes the last reports of the service's endpoints.
func (c *Controller) SetObserved(observed []Observed) { c.observed = observed }

// Record returns the record as last read or written, or nil. It must not be
// changed.
func (c *Controller) Record() *Record { return c.record }

// Progress returns the state of the service.
func (c *Controller) Progress() Progress { return NewProgress(c.desired, c.observed, c.record) }

// Tick compares desired and observed state with the duty as it is now.
func (c *Controller) Tick(now time.Time, d Duty) Output {
	if !d.Held {
		// The duty may be confirmed with the same fencing number, so what was
		// sent must not be forgotten.
		c.duty.Held = false
		return c.takeOutput()
	}
	if d.Fence != c.duty.Fence {
		// Another hold of the duty: what was under way belongs to the old one.
		c.loaded, c.reading, c.write, c.draft, c.superseded = false, false, nil, nil, false
		clear(c.sentAt)
		clear(c.results)
	}
	c.duty = d
	c.trackHealth(now)
	if c.superseded {
		return c.takeOutput()
	}
	lost := now.Sub(c.callSentAt) >= callTimeout
	switch {
	case c.write != nil:
		if lost {
			c.issueWrite(now)
		}
	case !c.loaded:
		if !c.reading || lost {
			c.reading, c.callSentAt = true, now
			c.out.Read = c.key()
		}
	case now.Sub(c.lastWriteAt) >= writeInterval:
		c.updateRecord(now)
	}
	c.sendIntents(now)
	return c.takeOutput()
}

// Read takes the answer to Output.Read.
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
		c.out.Events = append(c.out.Events, Event{Detail: fmt.Sprintf("record has fencing number %d, own %d", c.record.Fence, c.duty.Fence)})
	}
	return c.takeOutput()
}

// Written takes the answer to Output.Write.
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
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrLimited), errors.Is(err, platform.ErrOutcomeUnknown):
		// Tick repeats the write with the same operation id.
		c.callSentAt = now.Add(TickInterval - callTimeout)
	default:
		c.write, c.draft, c.loaded = nil, nil, false
	}
	return c.takeOutput()
}

// Sent takes the result of a Send.
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

// report emits an event for each order that changed.
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

// advance makes the next version of the record and writes it if it differs.
func (c *Controller) updateRecord(now time.Time) {
	draft := c.record.clone()
	var changed bool
	if draft.Fence < c.duty.Fence {
		// The takeover is recorded first: it makes each later write of an
		// earlier holder conflict, so that its open orders are all known.
		draft.takeOver(c.duty.Fence, now, c.broken.resendIntents)
		changed = true
	} else {
		draft.Fence = c.duty.Fence
		changed = c.updateStates(draft, now)
		d := c.desired
		if c.broken.ignoreMaxShare {
			d.MaxUnavailableShare = 1
		}
		changed = draft.clearHalt(d, now) || changed
		changed = draft.haltIfFailing(d, c.observed, func(id string) bool { return c.unhealthyTooLong(id, now) }, now) || changed
		added, renew := draft.addIntents(d, c.observed, now)
		changed = changed || added
		// Open orders would be in doubt after a change of hands, so it waits.
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
	c.write = &platform.Write{Key: c.key(), Value: value, Expected: c.revision, OpID: fmt.Sprintf("%s/%d/%d", c.owner, c.duty.Fence, c.writeCount)}
	c.issueWrite(now)
}

func (c *Controller) issueWrite(now time.Time) {
	c.callSentAt = now
	w := *c.write
	c.out.Write = &w
}

// takeOver marks the orders that an earlier holder may have sent.
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

// sendDue returns the recorded intents that were not sent.
func (c *Controller) sendIntents(now time.Time) {
	r := c.record
	if c.broken.sendBeforeRecord && c.draft != nil {
		r = c.draft
	}
	if !c.duty.Held || !c.loaded || r == nil || r.Fence != c.duty.Fence || now.Add(sendTimeout).After(c.duty.Until) {
		return
	}
	for _, o := range r.Orders {
		if _, sent := c.sentAt[o.ID]; sent || now.Before(o.NotBefore) || o.State != Intended || o.Fence != c.duty.Fence {
			continue
		}
		c.sentAt[o.ID] = now
		c.out.Sends = append(c.out.Sends, Send{Order: o, NotAfter: c.duty.Until.Add(-sendTimeout), Timeout: sendTimeout})
	}
}

// settle records the results of sends and what the reports show.
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
		if s, d, ok := observedOutcome(c.desired, o, report, known, now); ok && state != Failed && state != Refused && state != NotSent {
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

// outcome returns the state that follows from the result of the send.
func (c *Controller) stateAfterSend(o *Order, now time.Time) (State, string) {
	if o.State != Intended {
		return o.State, o.Detail
	}
	result, ok := c.results[o.ID]
	if !ok {
		// A caller that does not report a result counts as a lost answer.
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

// observedOutcome returns the state that follows from the endpoint's report.
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
