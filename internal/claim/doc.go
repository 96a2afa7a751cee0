// Package claim decides whether a non-idempotent request may be dispatched. A
// claim is written to the store before dispatch; a later attempt with the same
// key finds it there. The package does no input or output.
//
// # Driving a Writer
//
// A daemon has one Writer for each claim shard in use. Call its methods under
// one lock and call Take after each. If Output.Write is set, carry out a
// compare-and-swap of the key claim/<shard> and pass the outcome to
// HandleWrite. If Output.Read is set, read the key and pass its value to
// HandleRead. Output.Answers are the results of waiting attempts; a request may
// be dispatched only after Granted. Call Tick no later than Output.Next.
//
// After dispatch the daemon calls Finish, or Release if the request was never
// sent. SetEnded names the daemons that are known to have ended: their
// unfinished claims have an unknown outcome.
package claim
