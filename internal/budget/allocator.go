package budget

import "time"

// Options configures an Allocator.
type Options struct {
	Domain string
	Shard  int
	// Owner is the id of the holder in the same process.
	Owner string
	// Interval is the time between periodic flushes; see FlushInterval.
	Interval time.Duration
	// Step is the number of tokens of one extension, for sizing.
	Step int64
}

// Allocator serves the daemons of one failure domain from the grant of one
// shard. It is not safe for concurrent use.
type Allocator struct {
	opts Options
	out  Output
}

// NewAllocator returns an allocator that takes the shard over.
func NewAllocator(now time.Time, opts Options) *Allocator {
	return &Allocator{opts: opts, out: Output{Read: true, Next: now}}
}

// Take returns what is to be done since the last call.
func (a *Allocator) Take() Output { return a.out }

// Epoch returns the epoch in office; 0 before the takeover is durable.
func (a *Allocator) Epoch() uint64 { return 0 }

// Deposed reports whether a newer epoch exists.
func (a *Allocator) Deposed() bool { return false }

// Loaded passes the record that Output.Read asked for; rec is empty and the
// revision 0 if the key does not exist. A failed read is ok = false.
func (a *Allocator) Loaded(now time.Time, value []byte, revision int64, ok bool) {}

// Stored passes the outcome of Output.Write.
func (a *Allocator) Stored(now time.Time, r StoreResult) {}

// Reserve handles a request for tokens.
func (a *Allocator) Reserve(now time.Time, r ReserveRequest) {}

// Extend handles a request for a larger reservation.
func (a *Allocator) Extend(now time.Time, r ExtendRequest) {}

// Settle handles a holder's settlements.
func (a *Allocator) Settle(now time.Time, r SettleRequest) {}

// Register handles a holder's registration.
func (a *Allocator) Register(now time.Time, r RegisterRequest) {}

// MirrorAnswered passes a member's answer to a MirrorRequest.
func (a *Allocator) MirrorAnswered(now time.Time, m MirrorAnswer) {}

// SetMembers passes the ids of the live holders of the failure domain.
func (a *Allocator) SetMembers(now time.Time, holders []string) {}

// HolderGone tells that a holder is dead or has left. Its open reservations
// are charged at the tokens reserved.
func (a *Allocator) HolderGone(now time.Time, holder string) {}

// Reclaim handles the request of another failure domain for idle tokens.
func (a *Allocator) Reclaim(now time.Time, r ReclaimRequest) {}

// SetInterval changes the time between periodic flushes.
func (a *Allocator) SetInterval(d time.Duration) {}

// Retire stops new reservations and returns idle tokens before a planned stop.
func (a *Allocator) Retire(now time.Time) {}

// Tick handles the passing of time.
func (a *Allocator) Tick(now time.Time) {}
