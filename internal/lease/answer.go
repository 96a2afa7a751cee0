package lease

import (
	"time"

	"github.com/azurehatch/azurehatch/internal/platform"
	"github.com/pkg/errors"
)

// stepRead looks for a free duty. A read before each attempt spares the store
// the writes of the daemons that wait.
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
		// A repetition of a write whose answer was lost finds its own key.
		item = conflict.Actual
		if item.OpID == h.opID {
			a.Err = nil
		}
	}
	switch {
	case a.Err == nil && item.Revision < h.highestFence:
		// A store that was set back must not lead to a second use of a number.
		h.abandonLease(now, "fencing number below one seen before")
	case a.Err == nil:
		h.observeRevision(item.Revision)
		h.fence = item.Revision
		h.nextCallAt = h.sentAt.Add(h.opts.Renew)
		if now.Before(h.guaranteedUntil) {
			h.setState(Held, "taken")
		} else {
			// The answer came so late that another daemon may have followed.
			h.setState(Uncertain, "taken too long ago")
			h.nextCallAt = now
		}
	case errors.Is(a.Err, platform.ErrOutcomeUnknown), errors.Is(a.Err, platform.ErrUnavailable), errors.Is(a.Err, platform.ErrLimited):
		// The same operation id is used again, so it takes effect once.
	default:
		h.observeRevision(item.Revision)
		h.abandonLease(now, "taken by another daemon")
	}
}

// abandon gives up a lease that holds nothing.
func (h *Holder) abandonLease(now time.Time, cause string) {
	h.call(now, Call{Kind: Revoke, Lease: h.lease})
	h.pending = nil
	h.becomeIdle(cause)
}

func (h *Holder) stepKeepAlive(now time.Time, a Answer) {
	switch {
	case a.Err == nil:
		// The lease still exists, so the key does too and nobody else can have
		// created it in between.
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
