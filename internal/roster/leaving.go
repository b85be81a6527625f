package roster

import (
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// leavingKind is the kind of facts that say that a server leaves.
	leavingKind = "serverLeaves"
	// leavingLifetime is how long nodes pass such a fact on.
	leavingLifetime = time.Minute
)

// LeaveNotices exchanges between nodes which servers have reported that they leave: a
// server says so in its answers, which may reach one node long before the store lists
// it as draining. The exported fields are set before use.
type LeaveNotices struct {
	Node   fleet.NodeID
	Roster *Controller
	Facts  member.FactStore
	Log    *slog.Logger
}

func (l *LeaveNotices) notices() *member.Notices[fleet.BootID] {
	return &member.Notices[fleet.BootID]{Kind: leavingKind, Node: l.Node, Facts: l.Facts, Log: l.Log}
}

// RecordLeaving records that a run of a server leaves and, if that is new, publishes it
// to the other nodes.
func (l *LeaveNotices) RecordLeaving(server fleet.ServerID, boot fleet.BootID) {
	if l.Roster.RecordLeaving(server, boot) {
		l.notices().Publish(string(server), boot, leavingLifetime)
	}
}

// Receive records what other nodes have published.
func (l *LeaveNotices) Receive() {
	l.notices().Receive(func(server string, boot fleet.BootID) {
		l.Roster.RecordLeaving(fleet.ServerID(server), boot)
	})
}
