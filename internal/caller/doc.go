// Package caller serves callers: it takes their requests over OpenAI-compatible
// HTTP, decides where each goes and relays the answer.
//
// A request becomes a [Call] and passes through a chain of filters:
// authentication, decoding, deadline, claim, admission and routing, relay.
// Each [Call] ends exactly once: with a whole answer, with a refusal that says
// "notRun", which is possible only while nothing was sent to a backend server,
// or with a refusal that says the outcome is unknown.
//
// The decisions are made by the pure packages admission, route, retry, claim
// and poison. This package holds their state in shards, each under its own
// lock, and carries the decisions out.
package caller
