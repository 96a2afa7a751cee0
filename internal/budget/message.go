package budget

import "time"

// Key names one reservation. It is never used twice.
type Key struct {
	// Holder is the id of the holder that serves the request.
	Holder string
	// Incarnation is the generation of the holder; see StatusClosed.
	Incarnation uint64 `json:"Gen"`
	// N numbers the reservations of a generation from 1.
	N uint64
}

// Reservation is the claim of one request on a budget.
type Reservation struct {
	Key Key
	// ID is the request id; a request is billed once for each ID.
	ID     string
	Budget string
	// Tokens is the amount reserved in total, including extensions.
	Tokens int64
	// Keyed is true if the caller chose the ID, so that it can come again.
	Keyed bool
}

// Bill is the settlement of one reservation.
type Bill struct {
	// N numbers the settlements of a holder's generation from 1 without gaps.
	// The record keeps the highest number applied, so a repeat has no effect.
	// Provisional bills made by an allocator have N 0.
	N      uint64
	Key    Key
	ID     string
	Budget string
	// Tokens is the actual use; 0 releases the reservation without a bill.
	Tokens int64
	// Old is the part of Tokens charged to the grants of earlier epochs.
	Old   int64
	Keyed bool
	// Late is true if the reservation was already charged provisionally; the
	// bill can then only lower that charge.
	Late bool
	// Provisional is true if an allocator charged the reservation of a dead
	// holder.
	Provisional bool
}

// Kind tells which request a Reply answers.
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
// reservation as it was.
const (
	StatusOK Status = iota + 1
	// StatusExhausted: fewer unspent tokens than needed are left outside open
	// reservations.
	StatusExhausted
	// StatusUnavailable: enough tokens may exist but cannot be drawn now.
	StatusUnavailable
	// StatusDuplicate: a request with the same ID is in progress.
	StatusDuplicate
	// StatusBilled: a request with the same ID ran and is billed.
	StatusBilled
	// StatusRegister: the holder must register with this epoch first.
	StatusRegister
	// StatusClosed: the generation was taken for dead and its reservations
	// were charged. The holder goes on with a new generation.
	StatusClosed
	// StatusStale: the request came too late, or this allocator is not (or no
	// longer) the current one.
	StatusStale
	// StatusUnknown: the budget does not exist.
	StatusUnknown
)

// ReserveRequest asks an allocator for tokens before dispatch.
type ReserveRequest struct {
	Shard int
	// Epoch is the newest epoch that the holder has seen.
	Epoch uint64
	// Low is the lowest reservation number whose answer the holder awaits. A
	// delayed request below it is refused.
	LowestPending uint64
	Reservation   Reservation
}

// ExtendRequest asks for a larger total; a repeat has no effect.
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

// RegisterRequest makes a holder known to a new allocator.
type RegisterRequest struct {
	Shard         int
	Epoch         uint64
	Holder        string
	Incarnation   uint64
	LowestPending uint64
	// Open are the holder's acknowledged reservations.
	Open []Reservation
	// Bills are the settlements not known to be durable.
	Bills []Bill
	// Mirrored are the reservations of other holders that this one mirrors.
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
	// refusal of a new reservation it is above 0 if a mirror may know of it.
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
	// Incarnation is the member's generation; Seq restarts with each.
	Incarnation uint64
	Seq         uint64
	Put         []Reservation
	Clear       []Key
}

// MirrorAnswer answers a MirrorRequest.
type MirrorAnswer struct {
	Shard  int
	Member string
	// Incarnation is the member's generation.
	Incarnation uint64
	// Epoch is the newest epoch that the member has seen.
	Epoch uint64
	// Seq is the last request applied in the request's epoch.
	Seq uint64
	// OK is false if the member has seen a newer epoch.
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
	// Conflict: the key has another revision; the newer record is passed along.
	Conflict
	// OutcomeUnknown: the write may or may not have taken effect.
	OutcomeUnknown
	// Unavailable: the write did not take effect.
	Unavailable
)

// StoreResult is the outcome of a StoreWrite as an input to an Allocator.
type StoreResult struct {
	Outcome Outcome
	// Value and Revision are the newer record after Conflict; Revision is the
	// new revision after Applied.
	Value    []byte
	Revision int64
}

// Output is what an Allocator wants done.
type Output struct {
	Replies  []Reply
	Mirrors  []MirrorRequest
	Reclaims []ReclaimRequest
	Write    *StoreWrite
	// Read asks for the current record.
	Read bool
	// Next is the latest time for the next Tick.
	Next time.Time
}
