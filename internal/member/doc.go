// Package member tells each node which other nodes are there, and carries soft
// state between them.
//
// Membership is kept by bounded gossip. Every node has the same small number
// of neighbours in its region, whatever the size of the fleet: its successors
// in several hashed orders of the live nodes. Once per interval it exchanges a
// message with one of them, and so is probed about once per interval itself.
// Messages carry recent changes and a digest; where digests stay different,
// the records of the differing buckets are fetched.
//
// A neighbour that doesn't answer, also not on a new connection, is probed
// through other nodes. Only if one of them is reachable and can't reach it
// either is it suspected, and only if the suspicion is not refuted while more
// nodes may confirm it is it declared dead. A node that finds that it was
// paused accuses nobody of what it missed.
//
// Between two regions only one pair of nodes exchanges messages, so that a
// change crosses the link once. If none of the candidates reaches the other
// region it is cut off: its nodes are kept but not counted as live.
//
// [View] takes all decisions and does no I/O. [Controller] carries them out.
package member
