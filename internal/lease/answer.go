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
		h.call(now, Call{Kind: Grant, TTL: h.o.TTL})
	case a.Err == nil:
		h.see(a.Item.Revision)
	}
}

func (h *Holder) see(r platform.Revision) { h.highest = max(h.highest, r) }

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
	case a.Err == nil && item.Revision < h.highest:
		// A store that was set back must not lead to a second use of a number.
		h.abandon(now, "fencing number below one seen before")
	case a.Err == nil:
		h.see(item.Revision)
		h.fence = item.Revision
		h.next = h.sentAt.Add(h.o.Renew)
		if now.Before(h.until) {
			h.set(Held, "taken")
		} else {
			// The answer came so late that another daemon may have followed.
			h.set(Uncertain, "taken too long ago")
			h.next = now
		}
	case errors.Is(a.Err, platform.ErrOutcomeUnknown), errors.Is(a.Err, platform.ErrUnavailable), errors.Is(a.Err, platform.ErrLimited):
		// The same operation id is used again, so it takes effect once.
	default:
		h.see(item.Revision)
		h.abandon(now, "taken by another daemon")
	}
}

// abandon gives up a lease that holds nothing.
func (h *Holder) abandon(now time.Time, cause string) {
	h.call(now, Call{Kind: Revoke, Lease: h.lease})
	h.pending = nil
	h.drop(cause)
}

func (h *Holder) stepKeepAlive(now time.Time, a Answer) {
	switch {
	case a.Err == nil:
		// The lease still exists, so the key does too and nobody else can have
		// created it in between.
		h.until = h.certain(now)
		h.next = h.sentAt.Add(h.o.Renew)
		if h.state == Uncertain && now.Before(h.until) {
			h.set(Held, "confirmed")
		}
		h.doubt(now)
	case errors.Is(a.Err, platform.ErrLeaseExpired):
		h.drop("lease expired")
		h.next = now
	default:
		h.next = now.Add(min(h.o.Retry, time.Second))
	}
}
