// Package dispatch sends calls to backend servers.
//
// It is the protocol-independent part of a node. An edge, such as package
// caller, reads a request and builds a [Call] from it. [Dispatcher.Do] then
// decides whether the call is refused because its content crashes servers,
// whether it is queued or refused because it cannot be answered in time, which
// server runs it, which item is loaded for it, and whether a failed attempt is
// retried. The edge's [Message] encodes the call and forwards the answer; the
// dispatcher does not read either.
//
// A call ends exactly once: with nil when the caller has received the whole
// answer, or with an error, which is a refusal if the dispatcher made the
// decision. A refusal may state that the call has not run only if [Call.Sent]
// is false.
//
// The decisions are made by the pure packages admission, route, retry and
// poison. This package holds their state in shards, each with its own lock,
// and executes the decisions.
package dispatch
