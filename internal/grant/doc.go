// Package grant records and releases grants, each of which permits one server
// to hold one item.
//
// A [Grant] is recorded in the table by one transaction over the records of the
// server and the item, which checks the server's memory and the item's decided
// number of replicas. Only after that is a load order sent, once. The grant
// counts against both limits until it is proved to have ended:
//
//   - no order under it can still arrive (all its orders are closed), and
//   - the engine reports the item absent as of a later moment.
//
// An order is closed when one of the following holds:
//
//   - the engine refused it or it was never sent, as established by its sender
//   - the engine reports the item held under the grant, and no other order was
//     ever recorded under that grant
//   - an engine that checks fencing numbers reports a higher number than the order's
//   - the VM has ended
//
// Acceptance by the engine does not close an order, since engines execute
// orders asynchronously; nor does elapsed time. An order to an engine that
// ignores fencing numbers may therefore stay open long after its sender has
// failed. Such a grant is quarantined: its memory stays reserved, and a later
// load of the same item renews it. A renewed grant keeps its id, under which an
// engine holds one copy however many orders arrive.
//
// A node adopts a grant when an order under it was left without effect, by
// another node that did not complete it or by an engine: it then fences off the
// order or drains the grant.
//
// [Machine] implements these rules for one server as a state machine without
// I/O: events in, actions out. [Controller] executes the actions against the
// table and the engines.
package grant
