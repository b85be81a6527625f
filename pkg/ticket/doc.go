// Package ticket defines numbered change tickets and the objects they set.
//
// A ticket carries the whole new state of every object that it touches. For
// each object the highest accepted ticket number wins, so the order in which
// tickets reach a node has no influence on the result, and nothing is
// replayed. A null object in a ticket deletes it; the deletion is kept under
// its ticket number so that an older copy cannot bring the object back.
//
// There are three kinds of object. A [Pool] says what kind of backend servers
// carry a pool's name in the VM list and whether they check fencing numbers. A
// [Deployment] says which model and adapters may be served, where, with how
// many replicas, for which class of request and at which prices. A [Service]
// routes a path prefix to a pool of plain services and marks which of its
// calls are idempotent.
package ticket
