// Package grant decides, records and ends the rights to load.
//
// A [Grant] is the right to hold one item on one server. It is recorded in the
// table by one transaction over the server's and the item's record, which
// checks the server's memory and the item's decided replicas. Only then a load
// order is sent, once. The grant counts against both
// bounds until there is proof that it is over:
//
//   - no order under it can still arrive (the order is closed), and
//   - the engine reports it absent, from a moment after that.
//
// An order is closed when its sender knows that the engine refused it or that
// it was never sent, when the engine reports the item held under the grant and
// no other order was ever recorded under it, when an engine that checks fencing numbers
// reports a higher number than the order's, or when the VM is gone. That an
// engine accepted an order closes nothing, since orders are carried out later,
// and neither does the time that has passed. An order to an engine that ignores
// fencing numbers may therefore stay open for long after its sender's death:
// the grant is quarantined, its memory stays reserved, and a later load of the
// same item renews it. A renewed grant keeps its id, under which an engine
// holds one copy however many orders arrive.
//
// [Machine] holds these rules as pure code for one server: events in, actions
// out. [Controller] carries the actions out against table and engines.
package grant
