// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside and checks what callers and backend servers see.
//
// A [Run] is drawn from a seed. Its nodes are processes of the guavatrack program
// before a platform of stand-ins. Every connection to the store and to backend
// servers passes a [Proxy] that can delay, cut, silence or reset it; processes are
// paused, killed, stopped and started again by signals. Faults come in series and
// overlap.
//
// Only what must hold at any speed of the machine is checked: what ran, what
// callers got, and that everything is served again some time after the last fault.
// Only processes that a run started are ended, by their ids.
package soak
