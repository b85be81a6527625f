// Package lease gives one VM at a time the right to act, by a record in the
// table.
//
// The holder renews its record by conditional writes and counts its right from
// the moment at which it sent the last renewal that took effect. A VM may be
// suspended without its monotonic clock moving, so all times are those of a
// clock that counts suspension ([BootTime]), and the right is to be checked
// right before each act.
//
// Another VM takes over only if the record has not changed for the whole time
// of the lease, seen on its own clock, or if the holder gave it up. Then it
// still waits for the hand-over time before it acts, so that nothing that the
// former holder did can come after it. A process that starts again on the
// holder's own VM goes on at once: both are one holder to the outside.
//
// The holder names a deputy in the record. A renewal alone then lets it act for a
// short time only, after which the deputy may claim the lease, without waiting for
// its end. Beyond that the holder acts under promises of the deputy not to claim
// for a second, for which it asks a few times in each. So a holder that is gone
// is followed soon, and one that only can't reach the table acts on.
//
// Every change of holder raises the fencing number: it is the version of the
// record, which only grows.
package lease
