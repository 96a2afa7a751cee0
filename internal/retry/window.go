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
const slotsPerSpan = 10

// Window bounds one daemon's repeats for one service within sliding windows, so
// that the repeats of the whole fleet stay within its bound: Ratio applies to
// the daemon's own requests, Slack is divided among the daemons.
//
// Window does no input or output; the caller holds the lock and passes the time.
type Window struct {
	opts WindowOptions
	// origin is the start of the first slot. Times are differences to it, which
	// a step of the wall clock does not change.
	origin time.Time
	fresh  bool
	slots  [slotsPerSpan + 1]windowSlot
}

type windowSlot struct {
	number            int64
	offered, repeated float64
}

// NewWindow returns a window without requests. fresh is true if no earlier
// start of the daemon can have used its share.
func NewWindow(now time.Time, o WindowOptions, fresh bool) *Window {
	return &Window{opts: o, origin: now, fresh: fresh}
}

func (w *Window) slot(now time.Time) *windowSlot {
	number := int64(now.Sub(w.origin)/(w.opts.Span/slotsPerSpan)) + 1
	s := &w.slots[number%int64(len(w.slots))]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// Offered records a request.
func (w *Window) RecordRequest(now time.Time) { w.slot(now).offered++ }

// Take asks for one repeat, with the number of daemons that share the slack.
func (w *Window) TryRetry(now time.Time, daemons int) bool {
	current := w.slot(now)
	var offered, repeated float64
	for _, s := range w.slots {
		if current.number-s.number <= slotsPerSpan {
			offered += s.offered
			repeated += s.repeated
		}
	}
	slack := w.opts.Slack
	if !w.fresh && now.Sub(w.origin) < w.opts.Span {
		slack = 0
	}
	allowed := w.opts.UsableShare * (w.opts.Ratio*offered + slack/float64(max(daemons, 1)))
	if repeated+1 > allowed {
		return false
	}
	current.repeated++
	return true
}
