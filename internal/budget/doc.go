// Package budget enforces prepaid token budgets by two-level escrow: the store
// holds one Record for each shard, the Allocator of each (failure domain, shard)
// holds grants drawn from it, and the Holder of each daemon holds the
// reservations of single requests. The package performs no I/O: the time is an
// argument, and everything to be sent or written is returned.
//
// # Driving an Allocator
//
// Create one with NewAllocator when rendezvous hashing assigns a (failure
// domain, shard) to this daemon. Call its methods from one goroutine (or under
// one lock), and call TakeOutput after each call. For each part of the Output:
//
//   - Read: get budget/<shard> and pass it to Loaded (a missing key is an empty
//     record with revision 0).
//   - Write: compare-and-swap Value at Expected with OpID; pass the outcome to
//     Stored. At most one read or write is in flight.
//   - Replies: deliver each to its Holder. Kind and Key (or Holder, for Settle
//     and Register) identify the request that it answers. A reply can come long
//     after its request; a caller that gives up settles the key with 0.
//   - Mirrors: send each to its member's Holder.Mirror and pass the answer to
//     MirrorAnswered. Tick repeats an unanswered one.
//   - Reclaims: send each to the allocator of the same shard in failure domain
//     To (Reclaim), if it is reachable; there is no answer.
//   - Next: call Tick no later than this time.
//
// Membership is an input: call SetMembers with the live holders of the failure
// domain, and HolderGone when one is dead or has left. When Deposed returns true,
// drop the Allocator.
//
// # Driving a Holder
//
// A daemon process has one Holder, with an id that no other process ever uses.
// Before the first use of a shard, and whenever ObserveEpoch or a reply reports
// a newer allocator, send Register until RegisterAnswered returns Granted. Call
// Reserve before dispatch, dispatch only after ReserveAnswered returned Granted,
// call Extend ahead of the relayed tokens, and Settle once at the end. Send
// Unsettled on a timer until it is empty.
package budget
