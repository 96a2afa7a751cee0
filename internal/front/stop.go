package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/pause"
)

const (
	// takingPeriod is the time from a stop's signal for which new requests are served. The
	// load balancer probes every second and takes a daemon out after two failures. Callers
	// are told that requests sent in the first 3 s are served.
	takingPeriod = 2700 * time.Millisecond
	// listeningPeriod is the time from the handling of a stop's signal for which the daemon
	// accepts connections. Until the load balancer has taken it out, callers must get a
	// refusal instead of a refused connection.
	listeningPeriod = 3 * time.Second
	// exitMargin is the part of the grace period reserved for the steps after the last
	// request.
	exitMargin = 700 * time.Millisecond
	// finalPart is the part of the grace period, its last sixth, in which requests may be
	// cut.
	finalPart = 6
	// stopPollInterval is the interval at which a shutdown checks for active
	// requests.
	stopPollInterval = 50 * time.Millisecond
	// tokenReturnTimeout bounds the return of tokens to the store at shutdown.
	tokenReturnTimeout = 500 * time.Millisecond
	// lastResponsesTimeout bounds the sending of the last responses before the callers'
	// connections are closed.
	lastResponsesTimeout = 200 * time.Millisecond
)

// tickTimes are the times of the last two ticks of the housekeeping. A signal that had been
// waiting before the older one would have been handled by now.
type tickTimes struct{ last, previous atomic.Pointer[time.Time] }

func (t *tickTimes) record(now time.Time) { t.previous.Store(t.last.Swap(&now)) }

// signalNotBefore returns the earliest time at which a signal that is handled now may have
// been sent.
func (t *tickTimes) signalNotBefore(now time.Time) time.Time {
	if previous := t.previous.Load(); previous != nil {
		return *previous
	}
	return now
}

// stopPlan is the schedule of a planned stop.
type stopPlan struct {
	// refuseAt is when requests that were not sent to an endpoint are refused, listenUntil
	// when the daemon may end if no request is in progress, endAt when those in progress are
	// ended.
	refuseAt, listenUntil, endAt time.Time
}

// newStopPlan returns the schedule of a stop whose signal was sent between notBefore and
// handled. A daemon short of CPU handles it late, which must not move the cut-off; the
// requests in progress must not be cut before the last part of the grace period.
func newStopPlan(notBefore, handled time.Time, grace time.Duration) stopPlan {
	endAt := notBefore.Add(grace - exitMargin)
	if earliest := handled.Add(grace - grace/finalPart); endAt.Before(earliest) {
		endAt = earliest
	}
	return stopPlan{
		refuseAt: notBefore.Add(min(takingPeriod, grace/2)), listenUntil: handled.Add(min(listeningPeriod, grace/2)), endAt: endAt,
	}
}

// Stop shuts the daemon down gracefully: it ends readiness, serves requests until
// the load balancer has noticed, then refuses new ones and waits for the active
// ones.
func (d *Daemon) Stop(ctx context.Context) error {
	stopBegin := time.Now()
	d.stopping.Store(true)
	d.handler.DisableKeepAlives()
	notBefore := d.ticks.signalNotBefore(stopBegin)
	plan := newStopPlan(notBefore, stopBegin, time.Duration(d.grace.Load()))
	d.log.Info().Int64("open", d.handler.ActiveRequests()).Dur("signal_age_at_most_ms", stopBegin.Sub(notBefore)).
		Dur("refuse_in_ms", plan.refuseAt.Sub(stopBegin)).Dur("end_in_ms", plan.endAt.Sub(stopBegin)).Msg("daemon stopping")
	ctx, cancel := context.WithDeadline(ctx, plan.endAt)
	defer cancel()
	pause.Sleep(ctx, time.Until(plan.refuseAt))
	d.handler.RefuseNew()
	pause.Sleep(ctx, time.Until(plan.listenUntil))
	if !d.awaitRequests(ctx) {
		d.log.Warn().Int64("open", d.handler.ActiveRequests()).Msg("requests ended at the end of the grace period")
		d.handler.EndRequests()
	}
	err := d.closeCallers(stopBegin)
	returning, cancelReturn := context.WithTimeout(context.Background(), tokenReturnTimeout)
	defer cancelReturn()
	d.budgets.Close(returning)
	d.close()
	d.log.Info().Dur("took_ms", time.Since(stopBegin)).Msg("daemon stopped")
	return errors.Wrap(err, "graceful stop")
}

// awaitRequests waits until no request is active or pending. It returns false if ctx is done
// first. The listener stays open meanwhile, so that late callers get a response instead of a
// refused connection.
func (d *Daemon) awaitRequests(ctx context.Context) bool {
	for d.handler.ActiveRequests() > 0 || d.pendingConns.count(time.Now()) > 0 {
		if !pause.Sleep(ctx, stopPollInterval) {
			return false
		}
	}
	return true
}

// closeCallers closes the callers' connections once the responses that are due have been
// sent. A request that was read before the end of reading is among these. An error tells how
// many responses are incomplete.
func (d *Daemon) closeCallers(stopBegin time.Time) error {
	d.pendingConns.stopReading()
	ctx, cancel := context.WithTimeout(context.Background(), lastResponsesTimeout)
	defer cancel()
	pause.Sleep(ctx, stopPollInterval) // a connection may just have read data
	d.awaitRequests(ctx)
	active, cut := d.handler.ActiveRequests(), d.handler.CutResponses()
	d.log.Info().Int64("active", active).Int64("cut", cut).Int("pending", d.pendingConns.count(time.Now())).
		Dur("after_ms", time.Since(stopBegin)).Msg("callers' connections closed")
	d.callersServer.Close()
	if active+cut > 0 {
		return errors.Errorf("%d responses cut at the end of the grace period", active+cut)
	}
	return nil
}
