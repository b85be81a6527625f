// Package placement has models and adapters loaded where calls wait for them,
// on a platform on which one node at a time gives all orders to engines.
//
// Every node keeps a [Directory] of what the engines hold, from their entries
// in the platform's list and, sooner, from the node that gives the orders. A
// [Reporter] tells that node what calls wait for and what they run on, at once
// when a call begins to wait and otherwise now and then. The node that holds the
// lease runs the [Scheduler]: it has package residence decide, gives the orders,
// finds out what became of them, and tells the nodes that wait.
//
// An order carries the number of orders that the engine had accepted when it was
// decided, so that at most one order is carried out for each state of an engine,
// however late, and each was decided for just that state. So an engine is never
// ordered beyond its memory, whatever becomes of answers.
package placement
