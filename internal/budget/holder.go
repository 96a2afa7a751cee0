package budget

import "github.com/pkg/errors"

// Errors of a Holder.
var (
	// ErrNotRegistered tells that the holder must register with the shard's
	// allocator first.
	ErrNotRegistered = errors.New("not registered with the shard's allocator")
	// ErrNoReservation tells that the holder has no such reservation.
	ErrNoReservation = errors.New("no such reservation")
)

// Verdict is what a reply means for the request that waits for it.
type Verdict uint8

// The verdicts on a reply.
const (
	// Ignored: the reply answers nothing that is awaited.
	Ignored Verdict = iota
	// Granted: the request may be dispatched, or the extension is in force.
	Granted
	// Refused: Reply.Status tells why; a reservation that was to be made does
	// not exist, one that was to be extended is as it was.
	Refused
	// Again: register, then try again with a new reservation.
	Again
)

// Holder keeps a daemon's reservations and settlements, and mirrors those of
// other daemons. It is not safe for concurrent use.
type Holder struct {
	id string
}

// NewHolder returns a holder. No other process may ever use the id.
func NewHolder(id string) *Holder { return &Holder{id: id} }

// ObserveEpoch notes that an allocator of the epoch exists. It reports whether
// the holder has to register with it.
func (h *Holder) ObserveEpoch(shard int, epoch uint64) bool { return false }

// Epoch returns the newest epoch of a shard that the holder has seen.
func (h *Holder) Epoch(shard int) uint64 { return 0 }

// Registered reports whether the holder is registered with the newest epoch.
func (h *Holder) Registered(shard int) bool { return false }

// Register returns the registration with the newest epoch seen, and the keys
// whose answer can no longer be accepted: their requests reserve again.
func (h *Holder) Register(shard int) (RegisterRequest, []Key) { return RegisterRequest{}, nil }

// RegisterAnswered passes the reply; it returns Granted, Ignored, Refused (not
// in office) or Again (send Register once more).
func (h *Holder) RegisterAnswered(r Reply) Verdict { return Ignored }

// Reserve starts a reservation.
func (h *Holder) Reserve(shard int, id, budget string, tokens int64, keyed bool) (ReserveRequest, error) {
	return ReserveRequest{}, nil
}

// ReserveAnswered passes the reply to a ReserveRequest.
func (h *Holder) ReserveAnswered(r Reply) Verdict { return Ignored }

// Extend asks for a larger total of a granted reservation.
func (h *Holder) Extend(shard int, key Key, tokens int64) (ExtendRequest, error) {
	return ExtendRequest{}, nil
}

// ExtendAnswered passes the reply to an ExtendRequest.
func (h *Holder) ExtendAnswered(r Reply) Verdict { return Ignored }

// Reserved returns the tokens acknowledged for a reservation.
func (h *Holder) Reserved(shard int, key Key) int64 { return 0 }

// Settle ends a reservation at its actual use, which is at most Reserved. With
// 0 it also gives up a reservation that has not been answered.
func (h *Holder) Settle(shard int, key Key, tokens int64) error { return nil }

// Unsettled returns the settlements of a shard that are not durable; ok is
// false if there are none or the holder has to register.
func (h *Holder) Unsettled(shard int) (r SettleRequest, ok bool) { return SettleRequest{}, false }

// SettleAnswered passes the reply to a SettleRequest.
func (h *Holder) SettleAnswered(r Reply) Verdict { return Ignored }

// Mirror handles an allocator's request to mirror reservations.
func (h *Holder) Mirror(m MirrorRequest) MirrorAnswer { return MirrorAnswer{} }

// Shards returns the shards in use, in order.
func (h *Holder) Shards() []int { return nil }
