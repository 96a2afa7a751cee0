// Package budget enforces prepaid token budgets by two-level escrow: the store
// holds one Record for each shard, one Allocator of each (failure domain,
// shard) holds a grant drawn from it, and the Holder of each daemon holds the
// reservations of single requests. The package does no input or output: the
// time is an argument, and everything to be sent or written is returned.
//
// # Driving an Allocator
//
// Create one with NewAllocator when rendezvous hashing assigns a (failure
// domain, shard) to this daemon. Call its methods from one goroutine (or under
// one lock), and call Take after each call. For each part of the Output:
//
//   - Read: get budget/<shard> and pass it to Loaded (a missing key is an empty
//     record with revision 0).
//   - Write: compare-and-swap Value at Expected with OpID; pass the outcome to
//     Stored. There is at most one read or write outstanding.
//   - Replies: deliver each to its Holder. Kind and Key (or Holder, for Settle
//     and Register) name the request that it answers. A reply can follow much
//     later than its request; a caller that gives up settles the key with 0.
//   - Mirrors: send each to its member's Holder.Mirror and pass the answer to
//     MirrorAnswered. An unanswered one is produced again by Tick.
//   - Reclaims: send each to the allocator of the same shard in failure domain
//     To (Reclaim), if it can be reached; there is no answer.
//   - Next: call Tick no later than this time.
//
// Membership is an input: SetMembers with the live holders of the failure
// domain, HolderGone when one is dead or has left. When Deposed is true, drop
// the Allocator.
//
// # Driving a Holder
//
// A daemon has one Holder for its whole life, with an id that no other process
// ever uses. Before the first use of a shard, and whenever ObserveEpoch or a
// reply says that a newer allocator exists, send Register until
// RegisterAnswered succeeds. Reserve before dispatch, dispatch only after
// ReserveAnswered returned Granted, Extend ahead of the relayed tokens, Settle
// once at the end. Send Unsettled on a timer until it is empty.
package budget
