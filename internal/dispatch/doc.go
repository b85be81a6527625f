// Package dispatch carries calls to backend servers.
//
// It is the part of a node that is the same whatever protocol callers and
// backend servers speak. An edge, such as package caller, reads a request and
// makes a [Call] of it. [Dispatcher.Do] then decides: whether the call is
// refused because it crashes servers, whether it can be answered in time and so
// waits or is refused at once, which server runs it, what is loaded for it,
// and what follows an attempt that failed. The edge's [Message] puts the call
// on the wire and passes the answer on; the dispatcher sees neither.
//
// A call ends exactly once: with nil, when the caller has the whole answer,
// or with an error, which is a refusal if the dispatcher decided it. Whether a
// refusal may say that the call has not run is told by [Call.Sent].
//
// The decisions are made by the pure packages admission, route, retry and
// poison. This package holds their state in shards, each under its own lock,
// and carries the decisions out.
package dispatch
