// Package lease gives at most one VM at a time the right to act, by means of a
// lease record in the table.
//
// The holder renews the record by conditional writes. Its right to act counts
// from the moment at which it sent the last renewal that took effect. A VM may be
// suspended without its monotonic clock advancing, so all times are those of a
// clock that includes suspension ([wait.BootTime]), and the right must be checked
// immediately before each action.
//
// Another VM takes over only if the record has not changed for the whole duration
// of the lease, measured on its own clock, or if the holder has released it. It
// then waits for the handover delay before it acts, so that no action of the
// former holder can come after its own. A process that restarts on the holder's VM
// acts at once: to the outside both are one holder.
//
// The holder names a deputy in the record. A renewal then lets the holder act for
// a short time only, the short lease, after which the deputy may claim the lease
// without waiting for the full lease to expire. Beyond the short lease the holder
// acts on promises of the deputy not to claim for one second, and requests several
// of them per second. So a holder that has failed is replaced soon, and a holder
// that merely cannot reach the table continues to act.
//
// Every change of holder raises the fencing number: it is the version of the
// record that the claim writes, and versions only grow.
package lease
