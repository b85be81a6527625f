// Package origin keeps which software version of backend servers began a stream.
//
// Servers of several software versions may serve one pool, and a stream must be
// continued by a server of the version that began it. A caller whose connection broke
// may ask any node for the rest and names the request that brought the first event, so
// the version must be found at nodes that have not seen that request, and after all
// nodes have started anew.
//
// Each pool has a base version, which a record in the store names. A stream that was
// begun by another version has a record of its own, written before the caller receives
// the first event. A stream without a record was therefore begun by the base version.
// While a single version serves a pool, no stream has a record.
//
// The base version is replaced once no server of it has been listed for so long that no
// caller asks for the rest of a stream that such a server began.
//
// A node whose store is unreachable has another node read and write in its place. If
// no node reaches the store, new streams are begun at the base version only, and the
// rest of a stream is given where a single version has served for long enough.
package origin
