package lease

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Record is the content of the lease record in the table.
type Record struct {
	// Holder is the VM that holds the lease, Node the process on it.
	Holder string       `json:"holder"`
	Node   fleet.NodeID `json:"node"`
	// Fencing is the fencing number of this holder. It grows with each change of
	// holder.
	Fencing fleet.FencingNumber `json:"fencing"`
	// Acting reports whether the holder's handover delay is over. Only then may a
	// process that restarts on its VM act without another delay.
	Acting bool `json:"acting,omitempty"`
	// Released reports that the holder has released the lease and no longer acts.
	Released bool `json:"released,omitempty"`
	// Deputy is the process that may claim the lease before it expires; empty if
	// there is none.
	Deputy fleet.NodeID `json:"deputy,omitempty"`
}

// State is the state of the lease protocol in one process. It decides whether the
// process may act or claim the lease. It performs no I/O: all times are arguments,
// read from a clock that includes suspension. The exported fields are set before
// use.
type State struct {
	// VM is this VM, Node this process.
	VM   string
	Node fleet.NodeID
	// LeaseDuration is how long a renewal is valid.
	LeaseDuration time.Duration
	// HandoverDelay is the minimum time between the actions of two different VMs.
	HandoverDelay time.Duration
	// ShortLeaseDuration is how long a renewal is valid if a deputy has been named and has not
	// promised to wait. If it is 0, no deputy is named.
	ShortLeaseDuration time.Duration

	// observed reports whether the record, or its absence, has been read.
	observed bool
	record   Record
	version  table.Version
	// changedAt is when the version was first seen.
	changedAt time.Duration
	// actFrom and actUntil bound the time in which this process may act.
	actFrom, actUntil time.Duration
	// isHolder reports whether this process is the holder.
	isHolder bool
	deputyState
}

// clockMargin is added to waits that must not be shorter than the same time
// measured on another VM's clock.
const clockMargin = 200 * time.Millisecond

// Observe updates the state with the record that was read at the given time. The
// version is [table.Absent] if there is no record.
func (t *State) Observe(now time.Duration, record Record, version table.Version) {
	if !t.observed || version != t.version {
		t.changedAt = now
	}
	if version != t.version {
		t.claimPending, t.pendingDeputy = false, ""
	}
	if record.Deputy != t.record.Deputy {
		t.promiseEnd = 0
	}
	t.observed, t.record, t.version = true, record, version
	// A record that still names this process but that it did not expect was
	// written by a renewal whose response was lost.
	if t.isHolder && (record.Node != t.Node || record.Released) {
		t.isHolder = false
	}
}

// Claim returns the record that claims the lease, to be written on condition that
// the version is still the expected one; ok is false if the lease can't be claimed
// now.
func (t *State) Claim(now time.Duration) (record Record, expect table.Version, ok bool) {
	if !t.observed || t.isHolder {
		return Record{}, 0, false
	}
	claimable := t.version == table.Absent || t.record.Released || t.record.Holder == t.VM ||
		now-t.changedAt >= t.LeaseDuration+clockMargin || t.mayClaimAsDeputy(now)
	if !claimable {
		return Record{}, 0, false
	}
	t.claimPending = true
	record = Record{Holder: t.VM, Node: t.Node, Fencing: fleet.FencingNumber(t.version) + 1, Acting: t.skipsHandover()}
	return record, t.version, true
}

// skipsHandover reports whether a claim needs no handover delay, since no other
// VM can have acted recently.
func (t *State) skipsHandover() bool {
	return t.version == table.Absent || t.record.Holder == t.VM && t.record.Acting
}

// Renewal returns the record that renews the lease and names a deputy, and the
// version on which its write is conditional.
func (t *State) Renewal(now time.Duration, deputy fleet.NodeID) (record Record, expect table.Version) {
	record = t.record
	record.Acting = record.Acting || now >= t.actFrom
	record.Deputy = t.deputyToName(deputy)
	return record, t.version
}

// ClaimSucceeded updates the state after the claim sent at the given time took effect,
// which was at now or before.
func (t *State) ClaimSucceeded(sent, now time.Duration, record Record, version table.Version) {
	t.actFrom = now
	if !record.Acting {
		t.actFrom = now + t.HandoverDelay + clockMargin
	}
	t.record, t.version, t.changedAt = record, version, now
	t.isHolder, t.actUntil = true, sent+t.LeaseDuration
	t.deputyState = deputyState{shortLeaseEnd: sent + t.ShortLeaseDuration}
}

// RenewalSucceeded updates the state after the renewal sent at the given time took effect.
func (t *State) RenewalSucceeded(sent time.Duration, record Record, version table.Version) {
	if record.Deputy != t.record.Deputy {
		t.promiseEnd = 0
	}
	t.record, t.version, t.pendingDeputy = record, version, ""
	t.actUntil, t.shortLeaseEnd = max(t.actUntil, sent+t.LeaseDuration), max(t.shortLeaseEnd, sent+t.ShortLeaseDuration)
}

// MayAct reports whether this process may act at the given time, and returns the
// fencing number to act under.
func (t *State) MayAct(now time.Duration) (fleet.FencingNumber, bool) {
	return t.record.Fencing, t.isHolder && now >= t.actFrom && now < t.actUntil && t.deputyRuledOut(now)
}

// IsHolder reports whether this process is the holder.
func (t *State) IsHolder() bool { return t.isHolder }
