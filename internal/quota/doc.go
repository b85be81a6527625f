// Package quota keeps the requests of each organisation, over all nodes together, within its
// quota.
//
// One node at a time, the owner, keeps the accounts of all organisations in a [Ledger]. It
// holds a lease, so that two nodes never grant tokens at the same time, whatever the members
// hold of each other. A node asks the owner for the tokens of the attempts that it is about to
// send, in one message for all organisations, and may spend what it gets for [CreditLifetime].
// It gives back what it will not spend.
//
// What nodes spend in a window was granted in that window or up to CreditLifetime before it.
// The ledger bounds the grants of the longer time by the quota of the window, so that the
// bound holds whatever happens to the nodes: tokens that are lost with a node, a message or an
// owner were counted. A new owner has no record of what the one before granted, and counts as
// granted all that may have been.
package quota
