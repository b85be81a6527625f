// Package keys creates and loads the certificates and secrets of a node.
//
// All of them are files, which are reloaded without a restart when they change.
// A [Pair] is the certificate of a TLS endpoint, [Authorities] verify the peer's
// certificate, and [Secrets] authenticate callers by key and operators by token.
// If a changed file is unreadable or invalid, the last valid content stays in use
// and the error is logged once.
package keys
