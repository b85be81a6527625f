// Package retry decides what follows an attempt without a complete answer:
// another attempt, when and on which server, or failure of the call.
//
// It does no I/O: events, the time and the random source are arguments.
package retry
