// Package policy decides which items are loaded, where and for how long.
//
// The decisions are pure functions of a view of the fleet, the time and what
// has been learned of the arrivals of requests. [Plan] turns the demands of
// waiting requests, of wake-ups ahead of time and of rebalancing into loads and
// unloads; [Idler] tells how long an item is worth its memory; [Ledger] divides
// a budget of loads in flight among nodes. [Controller] feeds them with events
// and carries out what they return through [Grants].
//
// Costs are compared in one currency, the two prices of a deployment: a second
// that a request waits for a load, and an hour that an accelerator holds an
// idle item.
package policy
