package retry

import "time"

// WindowOptions configure a Window.
type WindowOptions struct {
	// Ratio and Slack are the fleet's bound: repeats in any Span are at most
	// Ratio times the requests in it plus Slack.
	Ratio, Slack float64
	Span         time.Duration
	// Margin is the part of the bound that is used; the rest covers requests
	// of which daemons that died had repeated some.
	UsableShare float64
}

// slotsPerSpan is the resolution of a Window.
const slotsPerWindow = 10

// Window bounds one daemon's repeats for one service within sliding windows, so
// that the repeats of the whole fleet stay within its bound: Ratio applies to
// the daemon's own requests, Slack is divided among the daemons.
//
// Window does no input or output; the caller holds the lock and passes the time.
type Window struct {
	opts WindowOptions
	// origin is the start of the first slot. Times are differences to it, which
	// a step of the wall clock does not change.
	origin           time.Time
	firstIncarnation bool
	slots            [slotsPerWindow + 1]windowSlot
}

type windowSlot struct {
	number            int64
	requests, retries float64
}

// NewWindow returns a window without requests. fresh is true if no earlier
// start of the daemon can have used its share.
func NewWindow(now time.Time, o WindowOptions, firstIncarnation bool) *Window {
	return &Window{opts: o, origin: now, firstIncarnation: firstIncarnation}
}

func (w *Window) slot(now time.Time) *windowSlot {
	number := int64(now.Sub(w.origin)/(w.opts.Span/slotsPerWindow)) + 1
	s := &w.slots[number%int64(len(w.slots))]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// Offered records a request.
func (w *Window) RecordRequest(now time.Time) { w.slot(now).requests++ }

// Take asks for one repeat, with the number of daemons that share the slack.
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
