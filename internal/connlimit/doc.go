// Package connlimit bounds what callers and other nodes make a node hold: the number of their
// connections, the memory of these and of what is read from them, the number of header fields,
// and the time that a body takes.
//
// The decisions are in [Account], [Table], [Header] and [Pace], which do no I/O and get the time
// as an argument. [Listener] applies them to the connections of a socket.
package connlimit
