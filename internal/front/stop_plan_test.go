package front

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a stop whose cut-off for new requests moves with the handling of the signal,
// and against one that cuts requests before the last part of the grace period.
func TestLateSignalDoesNotMoveTheCutOff(t *testing.T) {
	const grace, served = 8 * time.Second, 3 * time.Second
	start := time.Now()
	for lag := time.Duration(0); lag <= time.Second; lag += 10 * time.Millisecond {
		for phase := time.Duration(0); phase <= tickInterval; phase += 20 * time.Millisecond {
			var ticks tickTimes
			sent := start.Add(time.Minute + phase)
			handled := sent.Add(lag)
			// A daemon short of CPU ticks once more before it handles a signal that has arrived.
			for at := start; at.Before(sent); at = at.Add(tickInterval) {
				ticks.record(at)
			}
			if lag > 0 {
				ticks.record(handled)
			}
			plan := newStopPlan(ticks.signalNotBefore(handled), handled, grace)
			if after := plan.refuseAt.Sub(sent); after > served || after < 2*time.Second {
				t.Errorf("signal handled %v late: new requests are refused %v after it", lag, after)
			}
			if after := plan.endAt.Sub(sent); after < grace*5/6 || after > grace-300*time.Millisecond {
				t.Errorf("signal handled %v late: requests are ended %v after it", lag, after)
			}
		}
	}
}

// Guards against refused connections before the load balancer has noticed the stop.
func TestStopListensUntilTheLoadBalancerHasNoticed(t *testing.T) {
	f := newFleet(t, 100*(promptTokens+outputTokens))
	begin := time.Now()
	done := make(chan error, 1)
	go func() { done <- f.daemons[0].Stop(t.Context()) }()
	for time.Since(begin) < listeningPeriod-50*time.Millisecond {
		if status := f.send(0, "/order/x", false); status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("status %d, %v after the stop began", status, time.Since(begin))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	f.start(0, false)
}

// Guards against a stop with a short grace period that takes requests until its end.
func TestShortGracePeriodLeavesTimeForRequests(t *testing.T) {
	now := time.Now()
	plan := newStopPlan(now, now, 3*time.Second)
	if left := plan.endAt.Sub(plan.refuseAt); left < 500*time.Millisecond {
		t.Errorf("requests are taken until %v before the end", left)
	}
}
