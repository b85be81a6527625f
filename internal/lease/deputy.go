package lease

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// deputyship is what a [Term] knows of the holder's deputy: as the holder, or as
// a process that may be the deputy.
//
// The holder names a deputy in the record. From then on a renewal alone lets it
// act only for the short time, after which the deputy may claim the lease. Beyond
// that it acts under the deputy's promise not to claim yet, which it asks for
// again and again. So the deputy follows a holder that is gone soon, and a holder
// that can't reach the table acts on to the end of the lease.
type deputyship struct {
	// alone is until when the holder may act without a promise, promised until
	// when it has one from the deputy in the record.
	alone, promised time.Duration
	// naming is the deputy in a renewal that may still take effect; empty if all
	// that were sent are known.
	naming fleet.NodeID
	// vowed is until when this process has promised not to claim as the deputy.
	vowed time.Duration
	// claiming says that a claim of this process on the version that it knows may
	// have taken effect or may still do so.
	claiming bool
}

// PromiseTime is how long a promise holds for the holder, from when it asked.
const PromiseTime = time.Second

// vowTime is how long it binds the deputy, from when it was asked.
const vowTime = PromiseTime + margin

// unrivalled reports whether no deputy can have claimed the lease.
func (t *Term) unrivalled(now time.Duration) bool {
	if t.Short == 0 || t.record.Deputy == "" && t.naming == "" || now < t.alone {
		return true
	}
	return (t.naming == "" || t.naming == t.record.Deputy) && now < t.promised
}

// name returns the deputy to name in a renewal. As long as an earlier renewal may
// take effect no other is named, so that one deputy at most needs to be asked.
func (t *Term) name(deputy fleet.NodeID) fleet.NodeID {
	switch {
	case t.Short == 0:
		return ""
	case t.naming != "":
		return t.naming
	case deputy == "":
		return t.record.Deputy
	}
	t.naming = deputy
	return deputy
}

// Deputy returns the process that the holder, which must be this one, is to ask
// for a promise, with what to tell it; false if there is none.
func (t *Term) Deputy() (deputy fleet.NodeID, record Record, version table.Version, found bool) {
	return t.record.Deputy, t.record, t.version, t.mine && t.record.Deputy != ""
}

// Promised notes the promise of a process that was asked at the given time.
func (t *Term) Promised(deputy fleet.NodeID, asked time.Duration) {
	if t.mine && deputy == t.record.Deputy {
		t.promised = max(t.promised, asked+PromiseTime)
	}
}

// Vow promises not to claim the lease as the deputy for a while, and reports
// false if that can't be promised. The holder tells the record that it has
// written.
func (t *Term) Vow(now time.Duration, record Record, version table.Version) bool {
	if t.mine || t.claiming {
		return false
	}
	if version > t.version {
		t.Seen(now, record, version)
	}
	if t.record.Node != record.Node {
		return false // The lease has gone on to another, perhaps to this process.
	}
	t.vowed = max(t.vowed, now+vowTime)
	return true
}

// IsDeputy reports whether this process is the deputy in the record.
func (t *Term) IsDeputy() bool { return !t.mine && t.record.Deputy == t.Node && t.Short > 0 }

// maySucceed reports whether this process may claim the lease as the deputy.
func (t *Term) maySucceed(now time.Duration) bool {
	return t.IsDeputy() && now-t.changedAt >= t.Short+margin && now >= t.vowed
}
