// Package node puts a node together and runs it.
//
// A node is one process on an entry VM. It has three endpoints: one for
// callers, one for operators and one for the other nodes. Behind them run the
// controllers: members and configuration keep the node in step with the others,
// grants and policy decide and carry out what is loaded, and the callers'
// server relays requests. Each controller is a package of its own that knows
// the others only through small interfaces; this package fills these in.
package node
