package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/lease"
	"github.com/azurehatch/azurehatch/internal/order"
	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/azurehatch/azurehatch/internal/platform/memstore"
	"github.com/azurehatch/azurehatch/internal/standin/engine"
)

// Guards against an engine that gets an order twice or never, and against a
// version change that takes several engines out of service at the same time.
func TestVersionReachesEachEngineOnce(t *testing.T) {
	inBubble(t, 10, false, func(r *rig) {
		r.start("d1")
		r.waitFor("all engines have the version", 10*time.Minute, func() bool { return r.countLoaded("v2") == 10 })
		r.waitFor("the orders are done", time.Minute, func() bool { s := r.status(); return s.Open == 0 && s.Ready == 10 })
		r.checkRanOnce()
	})
}

// Guards against an order that is placed again after its holder ended or its
// answer was lost, and against a rollout that stops with its holder.
func TestAnotherDaemonTakesOver(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, 4, false, func(r *rig) {
				rnd := rand.New(rand.NewPCG(seed, 7))
				first := r.start("d1")
				r.waitFor("the first daemon holds the duty", time.Minute, func() bool { return r.status().Holder == "d1" })
				second := r.start("d2")
				time.Sleep(time.Duration(rnd.IntN(60_000)) * time.Millisecond)
				r.mu.Lock()
				r.loseAnswers = rnd.IntN(2)
				r.mu.Unlock()
				switch rnd.IntN(3) {
				case 0:
					first.m.Close()
				case 1:
					if err := first.m.Drain(context.Background()); err != nil {
						t.Fatal(err)
					}
				default:
					first.setUnreachable(true)
				}
				r.waitFor("the second daemon holds the duty", time.Minute, func() bool {
					second.m.mu.Lock()
					defer second.m.mu.Unlock()
					return second.m.services["chat"].duty.holder.State(time.Now()) == lease.Held
				})
				first.setUnreachable(false)
				r.waitFor("all engines have the version", 30*time.Minute, func() bool { return r.countLoaded("v2") == 4 })
				r.waitFor("the orders are done", 10*time.Minute,
					func() bool { s := r.status(); return s.Open == 0 && s.Ready == 4 })
				r.checkRanOnce()
			})
		})
	}
}

// Guards against a send that is written to the connection after its holder was
// paused until the lease expired.
func TestPausedSendIsNotWritten(t *testing.T) {
	inBubble(t, 2, true, func(r *rig) {
		first := r.start("d1")
		first.blockOrders = make(chan struct{})
		r.waitFor("an order is intended", time.Minute, func() bool { return r.status().Open == 1 })
		time.Sleep(2 * time.Second)
		first.setUnreachable(true)
		r.start("d2")
		r.waitFor("the second daemon holds the duty", time.Minute, func() bool { return r.status().Holder == "d2" })
		close(first.blockOrders)
		synctest.Wait()
		for i, e := range r.engines {
			if orders := e.Orders(); len(orders) != 0 {
				t.Errorf("engine %d received an order of the paused daemon: %+v", i, orders)
			}
		}
	})
}

// Guards against orders that are lost or repeated when the store fails during a
// rollout, and against sends while the duty is uncertain.
func TestStoreOutageDuringRollout(t *testing.T) {
	inBubble(t, 5, false, func(r *rig) {
		r.start("d1")
		r.start("d2")
		r.waitFor("two engines have the version", 5*time.Minute, func() bool { return r.countLoaded("v2") == 2 })
		r.store.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(30 * time.Second)
		before := len(r.allOrders())
		time.Sleep(2 * time.Minute)
		if after := len(r.allOrders()); after != before {
			t.Errorf("%d orders were sent while the duty was uncertain", after-before)
		}
		r.store.SetFaults(memstore.Faults{LoseAnswers: 3})
		r.waitFor("all engines have the version", 30*time.Minute, func() bool { return r.countLoaded("v2") == 5 })
		r.checkRanOnce()
	})
}

func (r *rig) allOrders() []engine.Order {
	var all []engine.Order
	for _, e := range r.engines {
		all = append(all, e.Orders()...)
	}
	return all
}

// Guards against a refused order that counts as done, and against a rollout that
// is stuck at an endpoint that has received a higher fencing token.
func TestEngineRefusesStaleFence(t *testing.T) {
	inBubble(t, 2, false, func(r *rig) {
		r.engines[0].Place(engine.Order{ID: "other", Kind: engine.OrderSetRole, Target: "prefill", Fencing: 30})
		time.Sleep(loadTime + time.Second)
		r.start("d1")
		r.waitFor("an order is refused", 2*time.Minute, func() bool {
			for _, o := range r.record().Orders {
				if o.State == order.Refused {
					return true
				}
			}
			return false
		})
		if s := r.status(); s.Ready != 0 && r.countLoaded("v2") == 0 {
			t.Errorf("%d endpoints count as ready after a refusal", s.Ready)
		}
		r.waitFor("all engines have the version", 30*time.Minute, func() bool { return r.countLoaded("v2") == 2 })
		for _, o := range r.engines[0].Orders() {
			if o.State == engine.OrderDone && o.Fencing < 30 {
				t.Errorf("an order with a stale fencing token was executed: %+v", o)
			}
		}
	})
}

// Guards against a new order to an endpoint that ignores fencing tokens before
// the lost order must have ended, and against a plan that hides this wait.
func TestWaitBeforeNextOrderWithoutFencing(t *testing.T) {
	inBubble(t, 2, true, func(r *rig) {
		first := r.start("d1")
		// The order stays at the sender, so that no report shows its effect.
		first.blockOrders = make(chan struct{})
		defer close(first.blockOrders)
		r.waitFor("an order is intended", time.Minute, func() bool { return r.status().Open == 1 })
		first.setUnreachable(true)
		r.start("d2")
		r.waitFor("an order has an unknown outcome", 2*time.Minute, func() bool { return r.status().Unknown == 1 })
		s := r.status()
		if !s.IgnoresFencing || len(s.Plan) != 2 || s.Plan[0].Risk != order.LateOrderRisk ||
			!strings.Contains(s.Plan[0].WaitsFor, "the end of sends by an earlier holder") {
			t.Errorf("the plan does not describe what the order waits for: %+v", s)
		}
		var unknown order.Order
		for _, o := range r.record().Orders {
			if o.State == order.Unknown {
				unknown = o
			}
		}
		r.waitFor("the endpoint gets an order", 30*time.Minute, func() bool { return len(r.engines[0].Orders()) > 0 })
		if waited := time.Since(unknown.At); waited < 15*time.Second+5*time.Minute {
			t.Errorf("the next order came %v after the outcome became unknown", waited)
		}
	})
}

// Guards against a duty that stays taken after its holder was drained, until the
// lease expires.
func TestDrainReleasesDuties(t *testing.T) {
	inBubble(t, 2, false, func(r *rig) {
		d := r.start("d1")
		ctx := context.Background()
		r.waitFor("the daemon holds both duties", time.Minute, func() bool {
			held, err := r.store.List(ctx, lease.KeyPrefix)
			return err == nil && len(held) == 2
		})
		// A configuration without the service takes effect right before the drain.
		d.m.SetConfig(config.New())
		if err := d.m.Drain(ctx); err != nil {
			t.Fatal(err)
		}
		if held, err := r.store.List(ctx, lease.KeyPrefix); err != nil || len(held) != 0 {
			t.Errorf("duties after the drain: %+v (%v)", held, err)
		}
		time.Sleep(time.Minute)
		if held, _ := r.store.List(ctx, lease.KeyPrefix); len(held) != 0 {
			t.Errorf("the drained daemon took duties again: %+v", held)
		}
	})
}

// Guards against a duty that is kept for a service that no longer has a desired
// state.
func TestServiceWithoutVersionReleasesDuty(t *testing.T) {
	inBubble(t, 2, false, func(r *rig) {
		d := r.start("d1")
		key := lease.KeyPrefix + order.DutyPrefix + "chat"
		r.waitFor("the daemon holds the duty", time.Minute, func() bool {
			_, err := r.store.Get(context.Background(), key)
			return err == nil
		})
		d.m.SetConfig(config.New())
		r.waitFor("the duty is released", 5*time.Second, func() bool {
			_, err := r.store.Get(context.Background(), key)
			return errors.Is(err, platform.ErrNotFound)
		})
	})
}

// Guards against orders that are decided before all endpoints have reported:
// unhealthy endpoints that were not read yet would not count as out of service.
func TestNoOrdersBeforeAllReports(t *testing.T) {
	inBubble(t, 100, false, func(r *rig) {
		for i := 80; i < 100; i++ {
			r.unhealthy[fmt.Sprintf("e%02d", i)] = true
		}
		r.start("d1")
		time.Sleep(20 * time.Second)
		for i, e := range r.engines[:80] {
			if orders := e.Orders(); len(orders) != 0 {
				t.Errorf("engine %d got an order while a fifth of the engines is unhealthy: %+v", i, orders)
			}
		}
	})
}

// Guards against a rollout that continues past unhealthy endpoints, a halt that
// an operator can't end, and a resume that ends the next halt as well.
func TestHaltAndResume(t *testing.T) {
	inBubble(t, 3, false, func(r *rig) {
		d := r.start("d1")
		ctx := context.Background()
		if err := d.m.Resume(ctx, "chat"); !errors.Is(err, admin.ErrNotHalted) {
			t.Errorf("resume of a running rollout: %v", err)
		}
		r.waitFor("one engine has the version", 5*time.Minute, func() bool { return r.countLoaded("v2") == 1 })
		r.setUnhealthy(true)
		r.waitFor("the rollout halts", 5*time.Minute, func() bool { return r.status().Halt != nil })
		time.Sleep(5 * time.Minute)
		if n := r.countLoaded("v2"); n != 1 {
			t.Errorf("%d engines have the version after the halt, want 1", n)
		}
		if s := r.status(); !strings.Contains(s.Plan[0].WaitsFor, "operator") {
			t.Errorf("the plan does not name the operator: %+v", s.Plan)
		}
		for range 2 {
			if err := d.m.Resume(ctx, "chat"); err != nil {
				t.Fatal(err)
			}
		}
		if n, _, err := d.m.readResume(ctx, "chat"); n != 1 || err != nil {
			t.Errorf("two resumes of one halt give the resume number %d (%v), want 1", n, err)
		}
		r.waitFor("the halt ends", time.Minute, func() bool { return r.status().Halt == nil })
		r.setUnhealthy(false)
		r.waitFor("a second engine has the version", 5*time.Minute, func() bool { return r.countLoaded("v2") == 2 })
		r.setUnhealthy(true)
		r.waitFor("the rollout halts again", 5*time.Minute, func() bool { return r.status().Halt != nil })
		if r.status().Halt.Resumed {
			t.Error("the earlier resume counts for the second halt")
		}
		r.setUnhealthy(false)
		if err := d.m.Resume(ctx, "chat"); err != nil {
			t.Fatal(err)
		}
		r.waitFor("all engines have the version", 10*time.Minute, func() bool { return r.countLoaded("v2") == 3 })
		r.checkRanOnce()
	})
}

// Guards against a holder that records a halt before it has read the last resume
// number, which would end that halt at once.
func TestResumeIsReadBeforeHalt(t *testing.T) {
	inBubble(t, 2, false, func(r *rig) {
		d := r.start("d1")
		d.mu.Lock()
		d.resumesUnreadable = true
		d.mu.Unlock()
		time.Sleep(time.Minute)
		if r.record().Fence != 0 || len(r.allOrders()) != 0 {
			t.Errorf("the holder acted before it had read the resume number: %+v", r.record())
		}
		d.mu.Lock()
		d.resumesUnreadable = false
		d.mu.Unlock()
		r.waitFor("all engines have the version", 10*time.Minute, func() bool { return r.countLoaded("v2") == 2 })
	})
}

func (r *rig) setUnhealthy(unhealthy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, e := range r.engines {
		for _, m := range e.Load().Models {
			if m == "v2" {
				r.unhealthy[fmt.Sprintf("e%02d", i)] = unhealthy
			}
		}
	}
}
