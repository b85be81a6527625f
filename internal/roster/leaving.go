package roster

import (
	"encoding/json"
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

// Facts publishes facts, which expire, to other nodes and returns those received.
type Facts interface {
	Publish(fact member.Fact, lifetime time.Duration) bool
	Facts(kind string) []member.Fact
}

// LeaveNotices exchanges between nodes which servers have reported that they leave: a
// server says so in its answers, which may reach one node long before the store lists
// it as draining. The exported fields are set before use.
type LeaveNotices struct {
	Node   fleet.NodeID
	Roster *Controller
	Facts  Facts
	Log    *slog.Logger
}

// RecordLeaving records that a run of a server leaves and, if that is new, publishes it
// to the other nodes.
func (l *LeaveNotices) RecordLeaving(server fleet.ServerID, boot fleet.BootID) {
	if !l.Roster.RecordLeaving(server, boot) {
		return
	}
	value, err := json.Marshal(boot)
	if err != nil {
		l.Log.Error("leaving server not published, encoding failed", slog.Any("error", err))
		return
	}
	l.Facts.Publish(member.Fact{Kind: leavingKind, Key: string(server), CrossRegion: true, Value: value}, leavingLifetime)
}

// Receive records what other nodes have published.
func (l *LeaveNotices) Receive() {
	for _, fact := range l.Facts.Facts(leavingKind) {
		if fact.Owner == l.Node {
			continue
		}
		var boot fleet.BootID
		if err := json.Unmarshal(fact.Value, &boot); err != nil {
			l.Log.Warn("failed to decode notice of a leaving server", slog.String("node", string(fact.Owner)), slog.Any("error", err))
			continue
		}
		l.Roster.RecordLeaving(fleet.ServerID(fact.Key), boot)
	}
}
