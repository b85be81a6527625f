// Package residence decides which models and adapters are in the accelerator
// memory of which engine.
//
// There is room for about half of the models, so most of the decisions are
// swaps: a model that somebody waits for takes the place of one that nobody
// uses, on an engine whose VM has a copy of its weights, which takes a second
// instead of the many that the weight store takes. [Plan] gets all that is known
// as a [State] and returns the orders to give now; it is pure. It is called again
// after every change.
package residence
