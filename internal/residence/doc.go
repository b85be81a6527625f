// Package residence decides which models and adapters each engine keeps in
// accelerator memory.
//
// Accelerator memory has room for about half of the models, so most decisions
// are swaps: a model with waiting calls replaces an unused one, preferably on
// an engine whose VM has a local copy of the weights. Loading a local copy
// takes a second, loading from the weight store takes many. [Plan] is a pure
// function from a [State] to the orders to send now. It is called again after
// every change.
package residence
