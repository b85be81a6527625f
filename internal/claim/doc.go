// Package claim makes calls that are not idempotent run at most once.
//
// Before the first byte of such a call is sent, a record, the claim, is written
// to the table under a digest of the caller and its idempotency key. Only the
// node that created the record may send the call, and it sends it once. The
// outcome is then stored in the record. A repeat of the call, at any node, finds
// the record and replays the outcome or waits for it.
//
// A record is deleted only by its creator if nothing of the call was sent, or
// after it has expired. No node takes over the record of another: if the creator
// fails before the outcome is recorded, the outcome stays unknown.
//
// [Machine] is the state machine of one attempt at a call and does no I/O.
// [Controller] executes its actions and groups writes into transactions.
package claim
