package retry

import "time"

// WindowOptions configure a Window.
type WindowOptions struct {
	// Ratio and Slack define the bound of the fleet: the retries within any
	// Span are at most Ratio times the requests within it plus Slack.
	Ratio, Slack float64
	Span         time.Duration
	// UsableShare is the share of the bound that is used. The rest is a reserve
	// for retries that daemons made before they died.
	UsableShare float64
}

// slotsPerWindow is the number of time slots into which Span is divided.
const slotsPerWindow = 10

// Window bounds one daemon's retries for one service within a sliding window, so
// that the retries of the whole fleet stay within the bound of WindowOptions:
// Ratio applies to the daemon's own requests, Slack is divided among the daemons.
//
// Window does no input or output; the caller holds the lock and passes the time.
type Window struct {
	opts WindowOptions
	// origin is the start of the first slot. Slots are numbered by the monotonic
	// time since origin, which steps of the wall clock do not affect.
	origin           time.Time
	firstIncarnation bool // see NewWindow
	slots            [slotsPerWindow + 1]windowSlot
}

// windowSlot counts the requests and retries of one time slot.
type windowSlot struct {
	number            int64 // slot number since Window.origin, from 1
	requests, retries float64
}

// NewWindow returns a window without requests. firstIncarnation is true if no
// earlier incarnation of the daemon can have used the daemon's share of Slack.
func NewWindow(now time.Time, o WindowOptions, firstIncarnation bool) *Window {
	return &Window{opts: o, origin: now, firstIncarnation: firstIncarnation}
}

// slot returns the slot of the given time, cleared if it held an earlier slot.
func (w *Window) slot(now time.Time) *windowSlot {
	number := int64(now.Sub(w.origin)/(w.opts.Span/slotsPerWindow)) + 1
	s := &w.slots[number%int64(len(w.slots))]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// RecordRequest records a request.
func (w *Window) RecordRequest(now time.Time) { w.slot(now).requests++ }

// TryRetry reports whether a retry is within the bound, and if so counts it.
// daemons is the number of daemons that share the slack.
func (w *Window) TryRetry(now time.Time, daemons int) bool {
	current := w.slot(now)
	var requests, retries float64
	for _, s := range w.slots {
		if current.number-s.number <= slotsPerWindow {
			requests += s.requests
			retries += s.retries
		}
	}
	slack := w.opts.Slack
	if !w.firstIncarnation && now.Sub(w.origin) < w.opts.Span {
		slack = 0
	}
	allowed := w.opts.UsableShare * (w.opts.Ratio*requests + slack/float64(max(daemons, 1)))
	if retries+1 > allowed {
		return false
	}
	current.retries++
	return true
}
