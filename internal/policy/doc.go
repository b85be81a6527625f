// Package policy decides which items are loaded, on which servers and for how
// long.
//
// The decisions are pure functions of a view of the servers, the time and the
// observed arrivals of requests. [Plan] turns the demands of waiting requests,
// prewarming and rebalancing into loads and unloads. [Pattern.Schedule] returns
// when an idle item stays loaded, [Ledger] divides a budget of loads in flight
// among the nodes. [Controller] passes events to these functions and executes
// their decisions through [Grants].
//
// Costs are compared in one currency, which the two prices of a deployment
// define: that of a second for which a request waits for a load, and that of an
// hour for which an idle item occupies an accelerator.
package policy
