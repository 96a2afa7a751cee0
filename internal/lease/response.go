package lease

import (
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/pkg/errors"
)

// stepRead handles the response to Read: it requests a lease if nobody holds the
// duty. Reading first saves the store the failing writes of daemons that wait.
func (h *Holder) stepRead(now time.Time, resp Response) {
	switch {
	case errors.Is(resp.Err, platform.ErrNotFound):
		h.call(now, Call{Kind: Grant, TTL: h.opts.TTL})
	case resp.Err == nil:
		h.observeRevision(resp.Item.Revision)
	}
}

func (h *Holder) observeRevision(r platform.Revision) { h.highestFence = max(h.highestFence, r) }

func (h *Holder) stepCreate(now time.Time, resp Response) {
	item := resp.Item
	if conflict, ok := platform.AsConflict(resp.Err); ok {
		// A retry of a write whose response was lost finds its own key.
		item = conflict.Actual
		if item.OpID == h.opID {
			resp.Err = nil
		}
	}
	switch {
	case resp.Err == nil && item.Revision < h.highestFence:
		// A store that was restored to an older state must not lead to a second
		// use of a fencing token.
		h.abandonLease(now, "fencing number below one seen before")
	case resp.Err == nil:
		h.observeRevision(item.Revision)
		h.fence = item.Revision
		h.nextCallAt = h.sentAt.Add(h.opts.RenewInterval)
		if now.Before(h.guaranteedUntil) {
			h.setState(Held, "taken")
		} else {
			// The response came so late that the lease may have expired and another
			// daemon may hold the duty.
			h.setState(Uncertain, "taken too long ago")
			h.nextCallAt = now
		}
	case errors.Is(resp.Err, platform.ErrOutcomeUnknown), errors.Is(resp.Err, platform.ErrUnavailable),
		errors.Is(resp.Err, platform.ErrLimited):
		// Tick retries with the same operation id, so the write takes effect once.
	default:
		h.observeRevision(item.Revision)
		h.abandonLease(now, "taken by another daemon")
	}
}

// abandonLease revokes a lease to which the duty's key is not bound.
func (h *Holder) abandonLease(now time.Time, cause string) {
	h.call(now, Call{Kind: Revoke, Lease: h.lease})
	h.pending = nil
	h.becomeIdle(cause)
}

func (h *Holder) stepKeepAlive(now time.Time, resp Response) {
	switch {
	case resp.Err == nil:
		// The lease still exists, so its key does too, and no other daemon can
		// have created the key in between.
		h.guaranteedUntil = h.guaranteeEnd(now)
		h.nextCallAt = h.sentAt.Add(h.opts.RenewInterval)
		if h.state == Uncertain && now.Before(h.guaranteedUntil) {
			h.setState(Held, "confirmed")
		}
		h.checkExpiry(now)
	case errors.Is(resp.Err, platform.ErrLeaseExpired):
		h.becomeIdle("lease expired")
		h.nextCallAt = now
	default:
		h.nextCallAt = now.Add(min(h.opts.RetryInterval, time.Second))
	}
}
