// Package caller serves callers: it takes their requests over OpenAI-compatible
// HTTP, selects a backend server for each and relays the answer.
//
// A request becomes a [Call] and passes through a chain of filters:
// authentication, decoding, deadline, claim, admission and routing, relay.
// Each [Call] ends exactly once: with a complete answer, with a refusal marked
// "notRun", which is possible only while nothing was sent to a backend server,
// or with a refusal that marks the outcome as unknown.
//
// The decisions are made by the pure packages admission, route, retry, claim
// and poison. This package keeps their state in shards, each under its own
// lock, and acts on the decisions.
package caller
