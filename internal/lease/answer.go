package lease

import (
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/pkg/errors"
)

// stepRead handles the answer to Read: it requests a lease if nobody holds the
// duty. Reading first saves the store the failing writes of daemons that wait.
func (h *Holder) stepRead(now time.Time, a Answer) {
	switch {
	case errors.Is(a.Err, platform.ErrNotFound):
		h.call(now, Call{Kind: Grant, TTL: h.opts.TTL})
	case a.Err == nil:
		h.observeRevision(a.Item.Revision)
	}
}

func (h *Holder) observeRevision(r platform.Revision) { h.highestFence = max(h.highestFence, r) }

func (h *Holder) stepCreate(now time.Time, a Answer) {
	item := a.Item
	if conflict, ok := platform.AsConflict(a.Err); ok {
		// A retry of a write whose answer was lost finds its own key.
		item = conflict.Actual
		if item.OpID == h.opID {
			a.Err = nil
		}
	}
	switch {
	case a.Err == nil && item.Revision < h.highestFence:
		// A store that was restored to an older state must not lead to a second
		// use of a fencing token.
		h.abandonLease(now, "fencing number below one seen before")
	case a.Err == nil:
		h.observeRevision(item.Revision)
		h.fence = item.Revision
		h.nextCallAt = h.sentAt.Add(h.opts.Renew)
		if now.Before(h.guaranteedUntil) {
			h.setState(Held, "taken")
		} else {
			// The answer came so late that the lease may have expired and another
			// daemon may hold the duty.
			h.setState(Uncertain, "taken too long ago")
			h.nextCallAt = now
		}
	case errors.Is(a.Err, platform.ErrOutcomeUnknown), errors.Is(a.Err, platform.ErrUnavailable),
		errors.Is(a.Err, platform.ErrLimited):
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

func (h *Holder) stepKeepAlive(now time.Time, a Answer) {
	switch {
	case a.Err == nil:
		// The lease still exists, so its key does too, and no other daemon can
		// have created the key in between.
		h.guaranteedUntil = h.guaranteeEnd(now)
		h.nextCallAt = h.sentAt.Add(h.opts.Renew)
		if h.state == Uncertain && now.Before(h.guaranteedUntil) {
			h.setState(Held, "confirmed")
		}
		h.checkExpiry(now)
	case errors.Is(a.Err, platform.ErrLeaseExpired):
		h.becomeIdle("lease expired")
		h.nextCallAt = now
	default:
		h.nextCallAt = now.Add(min(h.opts.Retry, time.Second))
	}
}
