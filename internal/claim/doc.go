// Package claim decides whether a non-idempotent request may be dispatched. A
// claim is written to the store before dispatch; a later attempt with the same
// key finds it there. The package does no input or output.
//
// # Driving a Writer
//
// A daemon has one Writer for each claim shard in use. Call its methods under
// one lock and call Take after each. Write is a compare-and-swap of the key
// claim/<shard>; pass its outcome to Stored. Read asks for the key; pass it to
// Loaded. Answers tell the waiting requests whether they may be dispatched:
// only after Granted. Call Tick no later than Next.
//
// After dispatch the daemon calls Finish, or Release if the request was never
// sent. SetGone names the daemons that are known to have ended: their
// unfinished claims have an unknown outcome.
package claim
