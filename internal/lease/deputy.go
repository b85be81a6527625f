package lease

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// deputyState is the part of the protocol state that concerns the deputy, both on
// the holder and on a process that may be the deputy.
//
// Once the holder has named a deputy in the record, a renewal alone lets it act
// only for the short lease, after which the deputy may claim the lease. Beyond
// that it acts on the deputy's promise not to claim yet, which it requests
// periodically. So the deputy soon replaces a holder that has failed, and a
// holder that can't reach the table continues to act until its lease expires.
type deputyState struct {
	// shortLeaseEnd is when the short lease ends, during which the holder may act
	// without a promise; promiseEnd is when the last promise of the deputy in the
	// record ends.
	shortLeaseEnd, promiseEnd time.Duration
	// pendingDeputy is the deputy named by a renewal that may still take effect;
	// empty if the outcome of every renewal sent is known.
	pendingDeputy fleet.NodeID
	// claimBlockedUntil is the time before which this process, as the deputy, has
	// promised not to claim.
	claimBlockedUntil time.Duration
	// claimPending reports whether a claim of this process, conditional on the
	// version last read, may have taken effect or may still do so.
	claimPending bool
}

// PromiseDuration is how long a promise lets the holder act, counted from when the
// holder sent its request.
const PromiseDuration = time.Second

// claimBlockDuration is how long a promise keeps the deputy from claiming,
// counted from when the deputy received the request.
const claimBlockDuration = PromiseDuration + clockMargin

// deputyRuledOut reports whether no deputy can have claimed the lease by the given
// time.
func (s *State) deputyRuledOut(now time.Duration) bool {
	if s.ShortLeaseDuration == 0 || s.record.Deputy == "" && s.pendingDeputy == "" || now < s.shortLeaseEnd {
		return true
	}
	return (s.pendingDeputy == "" || s.pendingDeputy == s.record.Deputy) && now < s.promiseEnd
}

// deputyToName returns the deputy to name in a renewal. While an earlier renewal
// may still take effect, it returns that renewal's deputy, so that promises are
// needed from one deputy at most.
func (s *State) deputyToName(deputy fleet.NodeID) fleet.NodeID {
	switch {
	case s.ShortLeaseDuration == 0:
		return ""
	case s.pendingDeputy != "":
		return s.pendingDeputy
	case deputy == "":
		return s.record.Deputy
	}
	s.pendingDeputy = deputy
	return deputy
}

// Deputy returns the process from which this one, as the holder, has to request a
// promise, with the record and version to send. found is false if this process is
// not the holder or there is no deputy.
func (s *State) Deputy() (deputy fleet.NodeID, record Record, version table.Version, found bool) {
	return s.record.Deputy, s.record, s.version, s.isHolder && s.record.Deputy != ""
}

// PromiseReceived records a promise that was requested from the deputy at the
// given time.
func (s *State) PromiseReceived(deputy fleet.NodeID, sent time.Duration) {
	if s.isHolder && deputy == s.record.Deputy {
		s.promiseEnd = max(s.promiseEnd, sent+PromiseDuration)
	}
}

// Promise gives a promise, as the deputy, not to claim the lease for the duration
// of a promise. It returns false if it can't promise that. The record and version
// are those that the holder has last written.
func (s *State) Promise(now time.Duration, record Record, version table.Version) bool {
	if s.isHolder || s.claimPending {
		return false
	}
	if version > s.version {
		s.Observe(now, record, version)
	}
	if s.record.Node != record.Node {
		return false // Another process has become the holder, perhaps this one.
	}
	s.claimBlockedUntil = max(s.claimBlockedUntil, now+claimBlockDuration)
	return true
}

// IsDeputy reports whether this process is the deputy in the record.
func (s *State) IsDeputy() bool {
	return !s.isHolder && s.record.Deputy == s.Node && s.ShortLeaseDuration > 0
}

// mayClaimAsDeputy reports whether this process may claim the lease as the deputy,
// before it expires.
func (s *State) mayClaimAsDeputy(now time.Duration) bool {
	return s.IsDeputy() && now-s.changedAt >= s.ShortLeaseDuration+clockMargin && now >= s.claimBlockedUntil
}
