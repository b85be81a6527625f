// Package ticket defines numbered change tickets and the objects they set.
//
// A ticket carries the complete new state of every object that it touches. For
// each object the highest accepted ticket number wins, so the result does not
// depend on the order in which tickets reach a node, and nothing is replayed. A
// null object in a ticket deletes the object; the deletion is kept as a
// tombstone under its ticket number so that an older copy cannot restore the
// object.
//
// There are three kinds of object. A [Pool] defines the kind of the backend
// servers that the VM list shows under the pool's name, and whether they check
// fencing numbers. A [Deployment] defines which model and adapters may be
// served, where, with how many replicas, for which class of request and at which
// prices. A [Service] routes a path prefix to a pool of plain services and marks
// which of its calls are idempotent.
package ticket
