// Package hosted is a node on a platform that lists its backend servers and
// keeps the manifest itself.
//
// The node finds the others through records in the platform's store and gossip,
// like any other node. What is deployed and which servers there are it reads
// from the store (package roster). One node at a time has the lease to give
// orders to engines (packages lease and placement). Requests are carried by
// package dispatch, and package platform speaks the platform's formats.
package hosted
