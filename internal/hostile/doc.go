// Package hostile tests a node against callers that misbehave. The tests start the real program
// as a process on loopback addresses and open a crowd of connections to one of its ports. They
// check only what does not depend on the speed of the machine: the process lives, its memory
// and its open descriptors stay within the settings, and it answers an ordinary request
// afterwards.
package hostile
