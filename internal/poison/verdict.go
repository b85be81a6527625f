package poison

import "time"

// suspectedFrom returns the number of crashes from which requests with a digest run one at a time,
// in trials.
func (d Digest) suspectedFrom() int {
	if d.IsPart() {
		return suspectPartCrashes
	}
	return 1
}

// refusedFrom returns the number of crashes from which a digest is refused until a further trial
// is due.
func (d Digest) refusedFrom() int {
	if d.IsPart() {
		return MaxPartCrashes
	}
	return MaxCrashes
}

// verdict returns the verdict on the requests with a digest, of whose crashes some count, and the
// time until which it is valid.
func (n Notice) verdict(now time.Time, crashes int) (Verdict, time.Time) {
	if crashes < n.Digest.suspectedFrom() {
		return Unrestricted, time.Time{}
	}
	if crashes >= n.Digest.refusedFrom() {
		if next := n.Crashes[len(n.Crashes)-1].At.Add(n.refusedFor(crashes)); now.Before(next) {
			return Refuse, next
		}
	}
	return Exclusive, n.ExpiresAt
}

// refusedFor returns how long after its last crash a digest is refused, of whose crashes some
// count.
func (n Notice) refusedFor(crashes int) time.Duration {
	atFirst, apart := n.crashesByMoment()
	further := crashes - n.Digest.refusedFrom()
	switch isPart := n.Digest.IsPart(); {
	case apart == 0 && isPart:
		return sharedPause + time.Duration(further)*sharedPauseStep
	case apart == 0:
		return sharedPause
	case isPart:
		return backoff(min(atFirst, MaxPartCrashes-1) + apart - MaxPartCrashes)
	default:
		return backoff(further)
	}
}
