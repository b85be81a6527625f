// Package member implements cluster membership, failure detection and the
// dissemination of soft state among the nodes.
//
// Membership is maintained by gossip with bounded fan-out. The number of a
// node's neighbours in its region is limited independently of the fleet size:
// they are its successors in several hashed orders of the live nodes. Once per
// interval a node exchanges a message with one of them, and so is itself probed
// about once per interval. Messages carry recent changes and a digest; if the
// digests keep differing, the records of the differing buckets are fetched.
//
// A neighbour that answers neither on the open nor on a new connection is
// probed indirectly through other nodes. It becomes a suspect only if one of
// them answers and can't reach it either, and is declared dead only if it does
// not refute the suspicion within a period in which other nodes may confirm it.
// A node that detects that its own process was paused discards the failures
// observed across the pause.
//
// Between two regions only one pair of nodes exchanges messages, so that a
// change crosses the link once. If no gateway candidate can reach the other
// region, the region is unreachable: its nodes are kept but not counted as
// live.
//
// [View] is the protocol state machine and does no I/O. [Controller] executes
// the actions that it returns.
package member
