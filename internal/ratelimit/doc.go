// Package ratelimit keeps the requests of all nodes together within the limits that
// backend servers name.
//
// A server in need names a limit, in requests a second from all nodes, in each of its
// answers for as long as it holds. The node that reads it tells the others. For each such
// server one node is the owner: it is chosen from the members by hashing, and hands out
// tokens at the rate of the limit, one for each request. The owner's own requests take
// their tokens from it directly. Another node asks the owner while its requests find no
// other server, and gets tokens that it must use within a short time. Without a token a
// server counts as full.
//
// Nothing is stored: when the owner is lost the members choose another one, which waits
// until the tokens of the one before have lapsed. A node that reaches no owner sends
// nothing.
package ratelimit
