// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside and checks what callers and backend servers see.
//
// The requests and faults of a [Run] are drawn from a seed. Its nodes are processes
// of the guavatrack program that use a platform of stand-ins. Every connection to
// the store and to backend servers passes through a [Proxy] that can delay, stall
// or reset it, or stall one direction. Processes are paused, resumed, stopped and
// killed by signals, and started again. A run injects several faults, which may
// overlap. Engines may be replaced meanwhile by engines of another software version, and
// back, while callers ask for the rest of streams that broke off. The manifest may have
// organisations, whose keys callers send, and lose a key meanwhile.
//
// Only properties that do not depend on the speed of the machine are checked: which
// requests ran, what callers received, and that every model is served again within
// a generous limit after the last fault. A run ends only processes that it started,
// by their ids.
package soak
