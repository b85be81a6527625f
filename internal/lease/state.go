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
	// Note is what the holder leaves to the next one; empty if it leaves nothing.
	Note string `json:"note,omitempty"`
	// Era is the era of the table in which the record was written.
	Era table.Era `json:"era,omitempty"`
}

// State is the lease protocol of one process, as a state machine. It decides
// whether the process may act or claim the lease. It performs no I/O: all times
// are arguments, read from a clock that includes suspension. The exported fields
// are set before use.
type State struct {
	// VM is the name of this VM, Node that of this process.
	VM   string
	Node fleet.NodeID
	// LeaseDuration is how long a renewal is valid.
	LeaseDuration time.Duration
	// HandoverDelay is the minimum time between the actions of two different VMs.
	HandoverDelay time.Duration
	// ShortLeaseDuration is how long a renewal is valid if a deputy has been named
	// and has not promised to wait. If it is 0, no deputy is named.
	ShortLeaseDuration time.Duration

	// observed reports whether the record, or its absence, has been read.
	observed bool
	record   Record
	version  table.Version
	// changedAt is when the version was first seen.
	changedAt time.Duration
	// actFrom and actUntil bound the time in which this process may act.
	actFrom, actUntil time.Duration
	// isHolder reports whether this process is the holder, inherited is the note of the
	// holder before.
	isHolder  bool
	inherited string
	deputyState
	eraState
}

// clockMargin is added to waits that must not be shorter than the same time
// measured on another VM's clock.
const clockMargin = 200 * time.Millisecond

// Observe updates the state with the record that was read at the given time. The
// version is [table.Absent] if there is no record.
func (s *State) Observe(now time.Duration, record Record, version table.Version) {
	if version != table.Absent {
		s.ObserveEra(now, version.Era())
	}
	if !s.observed || version != s.version {
		s.changedAt = now
	}
	if version != s.version {
		s.claimPending, s.pendingDeputy = false, ""
	}
	if record.Deputy != s.record.Deputy {
		s.promiseEnd = 0
	}
	s.observed, s.record, s.version = true, record, version
	if s.era > 0 && s.ofThisEra() && record.Node != s.Node {
		s.heldThrough = false // Another process has claimed the lease since.
	}
	// A record that still names this process but that it did not expect was
	// written by a renewal whose response was lost.
	if s.isHolder && (record.Node != s.Node || record.Released) {
		s.isHolder = false
	}
}

// Claim returns the record that claims the lease, to be written on condition that
// the version is still the expected one; ok is false if the lease can't be claimed
// now.
func (s *State) Claim(now time.Duration) (record Record, expect table.Version, ok bool) {
	if !s.observed || s.isHolder {
		return Record{}, 0, false
	}
	claimable := s.version == table.Absent || s.record.Released || s.record.Holder == s.VM || s.heldThrough ||
		now-s.changedAt >= s.LeaseDuration+clockMargin || s.mayClaimAsDeputy(now)
	if !claimable || !s.earlierHoldersEnded(now) {
		return Record{}, 0, false
	}
	s.claimPending = true
	record = Record{Holder: s.VM, Node: s.Node, Fencing: s.nextFencing(), Acting: s.skipsHandover(), Era: s.era, Note: s.record.Note}
	return record, s.version, true
}

// skipsHandover reports whether a claim needs no handover delay, since no other
// VM can have acted recently.
func (s *State) skipsHandover() bool {
	if !s.ofThisEra() {
		return s.heldThrough
	}
	return s.version == table.Absent || s.record.Holder == s.VM && s.record.Acting
}

// Renewal returns the record that renews the lease and names a deputy, and the
// version on which its write is conditional.
func (s *State) Renewal(now time.Duration, deputy fleet.NodeID) (record Record, expect table.Version) {
	record = s.record
	record.Acting = record.Acting || now >= s.actFrom
	record.Deputy = s.deputyToName(deputy)
	record.Era = s.era
	return record, s.version
}

// ClaimSucceeded updates the state after the claim sent at the given time took
// effect, which was at now or before.
func (s *State) ClaimSucceeded(sent, now time.Duration, record Record, version table.Version) {
	if record.Era != s.era {
		return // The table has been restored since.
	}
	s.actFrom = now
	if !record.Acting {
		s.actFrom = now + s.HandoverDelay + clockMargin
	}
	s.record, s.version, s.changedAt, s.inherited = record, version, now, record.Note
	s.isHolder, s.actUntil = true, sent+s.LeaseDuration
	s.deputyState = deputyState{shortLeaseEnd: sent + s.ShortLeaseDuration}
}

// RenewalSucceeded updates the state after the renewal sent at the given time
// took effect.
func (s *State) RenewalSucceeded(sent time.Duration, record Record, version table.Version) {
	if record.Era != s.era {
		return // The table has been restored since.
	}
	if record.Deputy != s.record.Deputy {
		s.promiseEnd = 0
	}
	s.record, s.version, s.pendingDeputy = record, version, ""
	s.actUntil, s.shortLeaseEnd = max(s.actUntil, sent+s.LeaseDuration), max(s.shortLeaseEnd, sent+s.ShortLeaseDuration)
}

// MayAct reports whether this process may act at the given time, and returns the
// fencing number to act under.
func (s *State) MayAct(now time.Duration) (fleet.FencingNumber, bool) {
	return s.record.Fencing, s.isHolder && now >= s.actFrom && now < s.actUntil && s.deputyRuledOut(now)
}

// IsHolder reports whether this process is the holder.
func (s *State) IsHolder() bool { return s.isHolder }
