// Package hosted implements a node on a platform that manages the list of backend
// servers and the manifest itself.
//
// Like any other node, the node discovers the others through records in the
// platform's store and through gossip. It reads the manifest and the list of
// backend servers from the store (package roster). The node that holds a lease
// gives the orders to all engines (packages lease and placement). Package dispatch
// sends requests to backend servers, and package platform implements the formats
// of the platform.
package hosted
