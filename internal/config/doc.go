// Package config accepts tickets and replicates the resulting configuration to
// every node.
//
// A ticket is accepted by one transaction of the table service. The transaction
// increments the revision in a head record, which puts all accepted tickets in
// one order and ensures that each is validated against the configuration that
// it changes. It also writes the ticket under its number, the new entry of each
// object and an audit entry.
//
// A node's configuration is the merge of the entries of all tickets: for each
// object the entry with the highest ticket number wins. Merging is monotonic
// and idempotent, so late, repeated or stale entries have no effect. A node's
// revision is the highest one up to which it has merged every ticket.
//
// A new ticket is pushed to neighbours immediately. Each message between
// members carries a [Stamp] with the sender's revision and digest. A receiver
// whose revision is lower, or whose digest differs at the same revision,
// fetches the differing entries from the sender. In addition, each node polls
// the head record.
//
// A node is not current if it has neither read the head record nor compared its
// stamp with that of another node within a time limit. Such a node must not be
// listed to callers and must not accept new work.
package config
