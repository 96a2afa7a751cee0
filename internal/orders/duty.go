package orders

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/lease"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// storePeer is the name of the store as the peer in errors of its calls.
const storePeer = "store"

// duty runs a lease.Holder. Its fields are guarded by Manager.mu.
type duty struct {
	m      *Manager
	name   string
	holder *lease.Holder
}

func newDuty(m *Manager, name string) *duty {
	return &duty{m: m, name: name, holder: lease.New(lease.Options{Duty: name, Owner: m.opts.Self})}
}

func (d *duty) tick(now time.Time) {
	// A holder keeps the duty when the ranking changes, because a takeover
	// makes the outcome of open orders unknown.
	candidate := d.holder.State(now) != lease.Idle ||
		slices.Contains(d.m.opts.Ranked(d.name, maxCandidates), d.m.opts.Self)
	d.execute(d.holder.SetCandidate(now, candidate))
	d.execute(d.holder.Tick(now))
}

// renew releases the duty and takes it again, to get a higher fencing token.
func (d *duty) renew(now time.Time) {
	d.execute(d.holder.SetCandidate(now, false))
	d.execute(d.holder.SetCandidate(now, true))
}

// holds reports whether the duty is certainly held with the fencing token for
// the duration of an effect that starts now.
func (d *duty) holds(fence platform.Revision, effect time.Duration) bool {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	now := time.Now()
	have, until, ok := d.holder.Fence(now)
	return ok && have == fence && !now.Add(effect).After(until)
}

// execute logs the holder's events and starts its store calls. The caller holds
// Manager.mu.
func (d *duty) execute(out lease.Output) {
	for _, ev := range out.Events {
		d.m.opts.Log.Info().Str("duty", ev.Duty).Str("state", ev.State.String()).Int64("fence", int64(ev.Fence)).
			Str("cause", ev.Cause).Msg("duty changed")
		d.m.trail.add(ev.Duty, "", fmt.Sprintf("duty %s, fencing number %d: %s", ev.State, ev.Fence, ev.Cause))
	}
	for _, c := range out.Calls {
		d.m.startCall(func() {
			resp := d.call(c)
			if resp.Err != nil {
				d.m.opts.Log.Debug().Err(failure.At(resp.Err, "duty."+d.name, storePeer)).
					Msg("store call for the duty failed")
			}
			d.m.mu.Lock()
			defer d.m.mu.Unlock()
			d.execute(d.holder.Step(time.Now(), resp))
		})
	}
}

func (d *duty) call(c lease.Call) lease.Response {
	ctx, cancel := context.WithTimeout(d.m.ctx, storeTimeout)
	defer cancel()
	resp := lease.Response{ID: c.ID}
	switch store := d.m.opts.Store; c.Kind {
	case lease.Read:
		resp.Item, resp.Err = store.Get(ctx, c.Key)
	case lease.Grant:
		resp.Lease, resp.Err = store.GrantLease(ctx, c.TTL)
	case lease.Create:
		resp.Item, resp.Err = store.CompareAndSwap(ctx, c.Write)
	case lease.KeepAlive:
		resp.Err = store.KeepAlive(ctx, c.Lease)
	case lease.Revoke:
		resp.Err = store.Revoke(ctx, c.Lease)
	}
	return resp
}
