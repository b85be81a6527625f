// Package claim makes calls that are not idempotent run at most once.
//
// Before the first byte of such a call is sent, a record is written to the
// table under a digest of the caller and its idempotency key. Only the node
// that created the record may send the call, and it sends it once. The record
// then gets the outcome. A repeat of the call, at whichever node, finds the
// record and waits for the outcome or reads it.
//
// A record is deleted only by its creator when nothing of the call was sent, or
// when it has expired. No node takes over another's record: if the creator dies
// before the outcome is recorded, the outcome stays unknown.
//
// [Owner] holds the decisions for one arrival of a call and is pure.
// [Controller] carries them out and groups writes into transactions.
package claim
