// Package lease decides whether a daemon holds a duty. A duty is a key of the
// platform's store that is bound to a lease; its fencing token is the store
// revision at which the key was created. The package is a state machine: the
// time and the store's responses are arguments, the calls to make are returned.
package lease

import (
	"strconv"
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
)

// KeyPrefix is the prefix of the store keys of duties.
const KeyPrefix = "duty/"

// TickInterval is the interval at which the caller calls Tick.
const TickInterval = 500 * time.Millisecond

// Kind is the kind of a store call.
type Kind uint8

// The kinds of store calls.
const (
	// Read gets Key.
	Read Kind = iota
	// Grant grants a lease with TTL.
	Grant
	// Create writes Write.
	Create
	// KeepAlive keeps Lease alive.
	KeepAlive
	// Revoke ends Lease.
	Revoke
)

// Call is a store call for the caller to make.
type Call struct {
	// ID is returned in the Response.
	ID    uint64
	Kind  Kind
	Key   string
	Lease platform.LeaseID
	TTL   time.Duration
	Write platform.Write
}

// Response is the result of a Call; the fields that belong to its kind are set.
type Response struct {
	ID    uint64
	Item  platform.Item
	Lease platform.LeaseID
	Err   error
}

// Event reports that the duty was taken, became uncertain, was confirmed again
// or was lost.
type Event struct {
	Duty  string
	State State
	Fence platform.Revision
	Cause string
}

// Output lists the store calls to make and the events to log.
type Output struct {
	Calls  []Call
	Events []Event
}

// State is the state of the duty in this daemon.
type State uint8

// The states of a duty.
const (
	// Idle means that this daemon does not hold the duty.
	Idle State = iota
	// Held means that this daemon holds the duty and may act on it.
	Held
	// Uncertain means that the lease of a held duty may have expired. The daemon
	// must not act before the store has confirmed the lease.
	Uncertain
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"idle", "held", "doubt"}[min(s, Uncertain)]
}

// Options are the settings of a holder. Zero durations take the defaults.
type Options struct {
	// Duty is the name of the duty, and Owner the ID of this daemon.
	Duty, Owner string
	// TTL is the time to live of the lease; the default is 15 s.
	TTL time.Duration
	// Margin is subtracted from the TTL, to allow for a local clock that runs
	// slower than the store's and for messages in transit when the lease ends;
	// the default is 3 s.
	Margin time.Duration
	// RenewInterval is the interval between two KeepAlive calls; the default is 5 s.
	RenewInterval time.Duration
	// RetryInterval is the interval at which a candidate reads the duty's key, and the
	// delay before the next call after a failure; the default is 2 s.
	RetryInterval time.Duration
	// CallTimeout is the time after which a response counts as lost; the default
	// is 3 s.
	CallTimeout time.Duration
}

// disabledRules disables individual rules. Tests set it to verify that the checks
// detect a missing rule.
type disabledRules struct {
	// actWhenUncertain reports the duty as held however much time has passed.
	actWhenUncertain bool
	// ttlFromResponse counts the TTL from the response instead of from the call.
	ttlFromResponse bool
}

// Holder is the state machine of one daemon for one duty.
type Holder struct {
	opts      Options
	disabled  disabledRules
	candidate bool
	state     State
	lease     platform.LeaseID
	fence     platform.Revision
	// highestFence is the highest store revision of the key that was observed.
	// Invariant: it never decreases, and a duty is held only with a fencing
	// token that is not below it.
	highestFence platform.Revision
	// guaranteedUntil is the time until which the lease certainly exists.
	guaranteedUntil time.Time
	// opID identifies the creation of the key, also in retries.
	opID   string
	lastID uint64
	// pending is the call in flight, or nil, and sentAt the time of the last call.
	pending *Call
	sentAt  time.Time
	// nextCallAt is the earliest time of the next call.
	nextCallAt time.Time
	out        Output
}

// New returns a holder in state Idle. It does not try to take the duty before
// SetCandidate.
func New(o Options) *Holder {
	defaults := []struct {
		d     *time.Duration
		value time.Duration
	}{
		{&o.TTL, 15 * time.Second}, {&o.Margin, 3 * time.Second}, {&o.RenewInterval, 5 * time.Second},
		{&o.RetryInterval, 2 * time.Second}, {&o.CallTimeout, 3 * time.Second},
	}
	for _, f := range defaults {
		if *f.d <= 0 {
			*f.d = f.value
		}
	}
	return &Holder{opts: o}
}

// Fence returns the fencing token and the time until which the daemon may act
// on the duty. It returns false unless the state is Held. The caller must call
// it again directly before each effect.
func (h *Holder) Fence(now time.Time) (platform.Revision, time.Time, bool) {
	if h.disabled.actWhenUncertain && h.state != Idle {
		return h.fence, now.Add(h.opts.TTL), true
	}
	if h.state != Held || !now.Before(h.guaranteedUntil) {
		return 0, time.Time{}, false
	}
	return h.fence, h.guaranteedUntil, true
}

// State returns the state at time now.
func (h *Holder) State(now time.Time) State {
	if h.state == Held && !now.Before(h.guaranteedUntil) {
		return Uncertain
	}
	return h.state
}

// SetCandidate sets whether this daemon tries to take the duty. A holder that
// is no longer a candidate releases the duty.
func (h *Holder) SetCandidate(now time.Time, candidate bool) Output {
	h.candidate = candidate
	if !candidate && h.lease != 0 {
		// The revocation is not retried: if it is lost, the duty only stays
		// taken until the TTL ends.
		h.call(now, Call{Kind: Revoke, Lease: h.lease})
		h.becomeIdle("given back")
		h.pending = nil
	}
	return h.takeOutput()
}

// Released reports that a watch saw the deletion of the duty's key. An idle
// candidate then reads the key at once.
func (h *Holder) Released(now time.Time) Output {
	if h.state == Idle {
		h.nextCallAt = now
	}
	return h.Tick(now)
}

// Tick handles time-outs and starts the next call that is due. It is called
// every TickInterval.
func (h *Holder) Tick(now time.Time) Output {
	h.checkExpiry(now)
	if h.pending != nil && now.Sub(h.sentAt) >= h.opts.CallTimeout {
		h.handleResponse(now, Response{ID: h.pending.ID, Err: platform.ErrOutcomeUnknown})
	}
	if h.pending == nil && !now.Before(h.nextCallAt) {
		h.issueNext(now)
	}
	return h.takeOutput()
}

// Step handles the response to a call. A response to a call that has timed out is
// ignored.
func (h *Holder) Step(now time.Time, resp Response) Output {
	h.checkExpiry(now)
	if h.pending != nil && resp.ID == h.pending.ID {
		h.handleResponse(now, resp)
	}
	return h.takeOutput()
}

// checkExpiry makes the duty uncertain when the time for which the lease is
// guaranteed has passed, for example during a pause of this process.
func (h *Holder) checkExpiry(now time.Time) {
	if h.state == Held && !now.Before(h.guaranteedUntil) {
		h.setState(Uncertain, "lease not confirmed in time")
		h.nextCallAt = now
	}
}

// issueNext starts the call that the state requires.
func (h *Holder) issueNext(now time.Time) {
	switch {
	case h.state != Idle:
		h.call(now, Call{Kind: KeepAlive, Lease: h.lease})
	case h.lease != 0:
		h.create(now)
	case h.candidate:
		h.call(now, Call{Kind: Read, Key: h.key()})
	}
}

func (h *Holder) key() string { return KeyPrefix + h.opts.Duty }

func (h *Holder) create(now time.Time) {
	h.call(now, Call{Kind: Create, Lease: h.lease, Write: platform.Write{
		Key: h.key(), Value: []byte(h.opts.Owner), OpID: h.opID, Lease: h.lease,
	}})
}

func (h *Holder) call(now time.Time, c Call) {
	h.lastID++
	c.ID = h.lastID
	h.pending, h.sentAt = &c, now
	h.out.Calls = append(h.out.Calls, c)
}

func (h *Holder) handleResponse(now time.Time, resp Response) {
	kind := h.pending.Kind
	h.pending = nil
	h.nextCallAt = now.Add(h.opts.RetryInterval)
	switch kind {
	case Read:
		h.stepRead(now, resp)
	case Grant:
		// A lost response leaves a lease without a key behind, which expires by
		// itself.
		if resp.Err == nil {
			h.lease = resp.Lease
			h.opID = h.opts.Owner + "/" + strconv.FormatUint(h.lastID, 10) + "/" +
				strconv.FormatInt(int64(resp.Lease), 10)
			h.guaranteedUntil = h.guaranteeEnd(now)
			h.create(now)
		}
	case Create:
		h.stepCreate(now, resp)
	case KeepAlive:
		h.stepKeepAlive(now, resp)
	}
}

// guaranteeEnd returns the time until which the lease is guaranteed by a
// successful call that was sent at sentAt.
func (h *Holder) guaranteeEnd(now time.Time) time.Time {
	from := h.sentAt
	if h.disabled.ttlFromResponse {
		from = now
	}
	return from.Add(h.opts.TTL - h.opts.Margin)
}

func (h *Holder) takeOutput() Output {
	out := h.out
	h.out = Output{}
	return out
}

func (h *Holder) setState(s State, cause string) {
	h.state = s
	h.out.Events = append(h.out.Events, Event{Duty: h.opts.Duty, State: s, Fence: h.fence, Cause: cause})
}

// becomeIdle forgets the lease and reports the loss if the duty was held.
func (h *Holder) becomeIdle(cause string) {
	held := h.state != Idle
	h.lease, h.opID = 0, ""
	if held {
		h.setState(Idle, cause)
	}
	h.fence = 0
}
