package budget

import "time"

// Key names one reservation. It is never used twice.
type Key struct {
	// Holder is the id of the holder that serves the request.
	Holder string
	// Incarnation is the incarnation of the holder; see StatusClosed.
	Incarnation uint64 `json:"Gen"`
	// N numbers the reservations of an incarnation from 1.
	N uint64
}

// Reservation is the tokens of a budget that are set aside for one request.
type Reservation struct {
	Key Key
	// ID is the request id; a request is billed once for each ID.
	ID     string
	Budget string
	// Tokens is the amount reserved in total, including extensions.
	Tokens int64
	// Keyed is true if the caller chose the ID, so that it can be used again.
	Keyed bool
}

// Bill is the settlement of one reservation.
type Bill struct {
	// N numbers the settlements of a holder's incarnation from 1 without gaps.
	// The record keeps the highest number applied, so a repeat has no effect.
	// Provisional bills made by an allocator have N 0.
	N      uint64
	Key    Key
	ID     string
	Budget string
	// Tokens is the actual use; 0 releases the reservation without a bill.
	Tokens int64
	// OldTokens is the part of Tokens charged to the grants of earlier epochs.
	OldTokens int64
	Keyed     bool
	// Late is true if the reservation was already charged provisionally; the
	// bill can then only lower that charge.
	Late bool
	// Provisional is true if an allocator charged the reservation because its
	// holder was dead or had left.
	Provisional bool
}

// Kind is the kind of request that a Reply answers.
type Kind uint8

// The kinds of replies.
const (
	KindReserve Kind = iota + 1
	KindExtend
	KindSettle
	KindRegister
)

// Status is the result of a request to an allocator.
type Status uint8

// The results of a request to an allocator. All but StatusOK leave the
// reservation unchanged.
const (
	StatusOK Status = iota + 1
	// StatusExhausted means that fewer unspent tokens than needed are left
	// outside open reservations.
	StatusExhausted
	// StatusUnavailable means that enough tokens may exist but cannot be drawn
	// now.
	StatusUnavailable
	// StatusDuplicate means that a request with the same ID is in progress.
	StatusDuplicate
	// StatusBilled means that a request with the same ID ran and is billed.
	StatusBilled
	// StatusRegister means that the holder must register with this epoch first.
	StatusRegister
	// StatusClosed means that the incarnation was presumed dead and its
	// reservations were charged. The holder continues with a new incarnation.
	StatusClosed
	// StatusStale means that the request came too late, or that this allocator
	// is not (or no longer) the current one.
	StatusStale
	// StatusUnknown means that the budget does not exist.
	StatusUnknown
)

// ReserveRequest requests tokens from an allocator before dispatch.
type ReserveRequest struct {
	Shard int
	// Epoch is the newest epoch that the holder knows of.
	Epoch uint64
	// LowestPending is the lowest reservation number without an answer. A
	// delayed request below it is refused.
	LowestPending uint64
	Reservation   Reservation
}

// ExtendRequest requests a larger total of a reservation; a repeat has no effect.
type ExtendRequest struct {
	Shard int
	Epoch uint64
	Key   Key
	// Tokens is the new total.
	Tokens int64
}

// SettleRequest carries all settlements of a holder that are not known to be
// durable, in the order of their numbers.
type SettleRequest struct {
	Shard         int
	Epoch         uint64
	Holder        string
	Incarnation   uint64
	LowestPending uint64
	Bills         []Bill
}

// RegisterRequest reports a holder's state to a new allocator.
type RegisterRequest struct {
	Shard         int
	Epoch         uint64
	Holder        string
	Incarnation   uint64
	LowestPending uint64
	// Open are the holder's acknowledged reservations.
	Open []Reservation
	// Bills are the settlements that are not known to be durable.
	Bills []Bill
	// Mirrored are the reservations of other holders that this holder mirrors.
	Mirrored []Reservation
}

// Reply answers a holder's request.
type Reply struct {
	Kind        Kind
	Shard       int
	Holder      string
	Incarnation uint64
	// Key is the reservation, for KindReserve and KindExtend.
	Key    Key
	Epoch  uint64
	Status Status
	// Tokens is the total now reserved, for KindReserve and KindExtend. In the
	// refusal of a new reservation it is above 0 if a mirror may hold it.
	Tokens int64
	// Durable is the highest settlement number that is in the record.
	Durable uint64
}

// MirrorRequest changes the mirror that a member keeps for an allocator. The
// member applies requests of an epoch in the order of Seq.
type MirrorRequest struct {
	Shard  int
	Epoch  uint64
	Member string
	// Incarnation is the member's incarnation; Seq restarts with each.
	Incarnation uint64
	Seq         uint64
	Put         []Reservation
	Clear       []Key
}

// MirrorAnswer answers a MirrorRequest.
type MirrorAnswer struct {
	Shard  int
	Member string
	// Incarnation is the member's incarnation.
	Incarnation uint64
	// Epoch is the newest epoch that the member knows of.
	Epoch uint64
	// Seq is the last request applied in the request's epoch.
	Seq uint64
	// OK is false if the request was not applied: the member knows of a newer
	// epoch, or the request is for another incarnation or out of order.
	OK bool
}

// ReclaimRequest asks the allocator of another failure domain to return idle
// tokens of a budget.
type ReclaimRequest struct {
	Shard int
	// From and To are failure domains.
	From, To string
	Budget   string
	Tokens   int64
}

// StoreWrite is a compare-and-swap of the record.
type StoreWrite struct {
	Value []byte
	// Expected is the store revision that the key must have.
	Expected int64
	OpID     string
}

// Outcome is the result of a StoreWrite.
type Outcome uint8

// The results of a store write.
const (
	Applied Outcome = iota + 1
	// Conflict means that the key has another revision; StoreResult holds the
	// newer record.
	Conflict
	// OutcomeUnknown means that the write may or may not have taken effect.
	OutcomeUnknown
	// Unavailable means that the write did not take effect.
	Unavailable
)

// StoreResult is the outcome of a StoreWrite, an input to an Allocator.
type StoreResult struct {
	Outcome Outcome
	// Value and Revision are the newer record after Conflict; Revision is the
	// new revision after Applied.
	Value    []byte
	Revision int64
}

// Output is the work that an Allocator leaves to its caller.
type Output struct {
	Replies  []Reply
	Mirrors  []MirrorRequest
	Reclaims []ReclaimRequest
	Write    *StoreWrite
	// Read requests the current record.
	Read bool
	// Next is the latest time for the next Tick.
	Next time.Time
}
