// Package config accepts tickets and keeps every node's configuration equal to
// the accepted ones.
//
// A ticket is accepted by one transaction of the table service, which raises
// the revision in a head record, so that all accepted tickets have one order
// and are checked against the configuration that they change. The transaction
// also writes the ticket under its number, the new entry of each object and a
// line of the audit trail.
//
// A node's configuration is the merge of the entries of all tickets, by the
// newest number for each object. Merging only ever moves forward, so what a
// node learns late, twice or from an old copy changes nothing. A node's
// revision says that it has merged every ticket up to that one.
//
// New tickets are handed to neighbours at once. With each message between
// members goes a [Stamp] of revision and digest; a node that is behind, or
// whose digest differs, fetches the entries that differ from the node it heard
// from. Besides, each node reads the head record now and then.
//
// A node that for a while has neither read the head nor compared its stamp
// with another node is not current: it must not be named to callers and must
// take no new work.
package config
