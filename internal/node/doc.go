// Package node constructs and runs a node.
//
// A node is one process on an entry VM. It has three endpoints: one for
// callers, one for operators and one for the other nodes. They are served by
// controllers: members and configuration synchronize the node's state with that of
// the others, policy decides which items are loaded, grants records and carries
// out these decisions, and the callers' server forwards requests to backend
// servers. Each controller is a package that depends on the others only through
// small interfaces, which this package implements.
package node
