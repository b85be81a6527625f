// Package keys holds the certificates and secrets of a node.
//
// All of them are files. They are read again when they change, without a
// restart: a [Pair] is used by TLS endpoints, an [Authorities] to check the
// other side's certificate, and [Secrets] to recognise callers by key and
// operators by token. When a changed file can't be read or is wrong, the last
// good content stays in use and the error is reported once.
package keys
