// Package placement loads models and adapters on the engines for the calls that
// wait for them, on a platform where one node at a time gives all orders to
// engines.
//
// Every node keeps a [Directory] of what the engines hold. Its sources are the
// engines' entries in the platform's server list and, with less delay, updates
// from the node that gives the orders. A [Reporter] sends that node the items
// that calls wait for and run on: at once when a call begins to wait, and
// otherwise at an interval. The node that holds the lease runs the [Scheduler]:
// it calls package residence to decide, sends the orders, determines their
// outcomes, and notifies the nodes whose calls wait.
//
// An order carries the number of orders that the engine had accepted when it
// was decided, and the engine rejects it if that number has changed. So at most
// one order is executed for each state of an engine, however late it arrives,
// and it was decided for exactly that state. An engine is therefore never
// ordered beyond its memory, even if answers are lost.
package placement
