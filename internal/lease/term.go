package lease

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Record is the body of the lease's record.
type Record struct {
	// Holder is the VM that holds the lease, Node the process on it.
	Holder string       `json:"holder"`
	Node   fleet.NodeID `json:"node"`
	// Fencing is the number of this hold. It grows with each change of holder.
	Fencing fleet.FencingNumber `json:"fencing"`
	// Acting says that the holder's wait after the former holder is over. Only
	// then may a process that starts again on its VM go on at once.
	Acting bool `json:"acting,omitempty"`
	// Released says that the holder has given the lease up and acts no more.
	Released bool `json:"released,omitempty"`
	// Deputy is the process that may claim the lease early; empty if none may.
	Deputy fleet.NodeID `json:"deputy,omitempty"`
}

// Term decides on one VM's right. It is pure: all times are arguments, on a
// clock that counts suspension. The exported fields are set before use.
type Term struct {
	// Self is this VM, Node this process.
	Self string
	Node fleet.NodeID
	// Length is how long a renewal holds.
	Length time.Duration
	// HandOver is the time in which two VMs must not act one after the other.
	HandOver time.Duration
	// Short is how long a renewal holds where a deputy has been named and has not
	// promised to wait; 0 has no deputy named.
	Short time.Duration

	known   bool
	record  Record
	version table.Version
	// changedAt is when the version was first seen.
	changedAt time.Duration
	// until is when the own right ends, from when it begins.
	from, until time.Duration
	mine        bool
	deputyship
}

// margin is added to the times that another VM's clock must not undercut.
const margin = 200 * time.Millisecond

// Seen takes in the record as read at the given time; absent means that there
// is none.
func (t *Term) Seen(now time.Duration, record Record, version table.Version) {
	if !t.known || version != t.version {
		t.changedAt = now
	}
	if version != t.version {
		t.claiming, t.naming = false, ""
	}
	if record.Deputy != t.record.Deputy {
		t.promised = 0
	}
	t.known, t.record, t.version = true, record, version
	// A record of this process's own that was not written by it now was written
	// by a renewal whose answer was lost.
	if t.mine && (record.Node != t.Node || record.Released) {
		t.mine = false
	}
}

// Claim returns the record to write, under the condition of the version, and
// false if the lease is not to be had now.
func (t *Term) Claim(now time.Duration) (record Record, expect table.Version, wanted bool) {
	if !t.known || t.mine {
		return Record{}, 0, false
	}
	free := t.version == table.Absent || t.record.Released || t.record.Holder == t.Self ||
		now-t.changedAt >= t.Length+margin || t.maySucceed(now)
	if !free {
		return Record{}, 0, false
	}
	t.claiming = true
	record = Record{Holder: t.Self, Node: t.Node, Fencing: fleet.FencingNumber(t.version) + 1, Acting: t.goesOn()}
	return record, t.version, true
}

// goesOn reports whether a claim would need no wait, since no other VM can have
// acted lately.
func (t *Term) goesOn() bool {
	return t.version == table.Absent || t.record.Holder == t.Self && t.record.Acting
}

// Renewal returns the record that renews the lease and names a deputy, and the
// version that it needs.
func (t *Term) Renewal(now time.Duration, deputy fleet.NodeID) (record Record, expect table.Version) {
	record = t.record
	record.Acting = record.Acting || now >= t.from
	record.Deputy = t.name(deputy)
	return record, t.version
}

// Claimed notes that the claim sent at the given time took effect at the
// latest at now.
func (t *Term) Claimed(sent, now time.Duration, record Record, version table.Version) {
	t.from = now
	if !record.Acting {
		t.from = now + t.HandOver + margin
	}
	t.record, t.version, t.changedAt = record, version, now
	t.mine, t.until = true, sent+t.Length
	t.deputyship = deputyship{alone: sent + t.Short}
}

// Renewed notes that the renewal sent at the given time took effect.
func (t *Term) Renewed(sent time.Duration, record Record, version table.Version) {
	if record.Deputy != t.record.Deputy {
		t.promised = 0
	}
	t.record, t.version, t.naming = record, version, ""
	t.until, t.alone = max(t.until, sent+t.Length), max(t.alone, sent+t.Short)
}

// Holds reports whether this process may act at the given time, and under
// which number.
func (t *Term) Holds(now time.Duration) (fleet.FencingNumber, bool) {
	return t.record.Fencing, t.mine && now >= t.from && now < t.until && t.unrivalled(now)
}

// Mine reports whether the record is this process's own.
func (t *Term) Mine() bool { return t.mine }
