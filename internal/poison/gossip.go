package poison

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// factKind is the kind of facts whose value is a notice.
const factKind = "poison"

// Facts publishes facts, which expire, to other nodes and returns those
// received.
type Facts interface {
	Publish(fact member.Fact, lifetime time.Duration) bool
	Facts(kind string) []member.Fact
}

// Gossip exchanges notices between nodes. Its exported fields must be set before
// use.
type Gossip struct {
	Node  fleet.NodeID
	Facts Facts
	Merge func(Notice)
	Log   *slog.Logger
}

// Publish publishes a notice to the other nodes until the notice expires.
func (g *Gossip) Publish(notice Notice) {
	value, err := json.Marshal(notice)
	if err != nil {
		g.Log.Error("poison notice not published, encoding failed", slog.Any("error", err))
		return
	}
	g.Facts.Publish(member.Fact{
		Kind: factKind, Key: string(notice.Digest), CrossRegion: true, Value: value,
	}, time.Until(notice.ExpiresAt))
}

// Receive passes the notices of other nodes to Merge.
func (g *Gossip) Receive() {
	for _, fact := range g.Facts.Facts(factKind) {
		var notice Notice
		if fact.Owner == g.Node {
			continue
		}
		if err := json.Unmarshal(fact.Value, &notice); err != nil {
			g.Log.Warn("failed to decode poison notice of another node", slog.Any("node", fact.Owner), slog.Any("error", err))
			continue
		}
		g.Merge(notice)
	}
}
