// Package retry decides what follows an attempt that brought no whole answer:
// another attempt, when and where, or the end of the call.
//
// All of it is pure: events, time and the random source are arguments.
package retry
