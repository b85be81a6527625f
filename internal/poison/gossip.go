package poison

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// factKind is the kind of the facts that carry notices.
const factKind = "poison"

// Facts carries soft state between nodes.
type Facts interface {
	Publish(fact member.Fact, lifetime time.Duration) bool
	Facts(kind string) []member.Fact
}

// Gossip carries notices between the nodes. Its exported fields are set before
// use.
type Gossip struct {
	Node  fleet.NodeID
	Facts Facts
	Learn func(Notice)
	Log   *slog.Logger
}

// Spread tells the other nodes of a notice.
func (g *Gossip) Spread(notice Notice) {
	value, err := json.Marshal(notice)
	if err != nil {
		g.Log.Error("poison notice not told", slog.Any("error", err))
		return
	}
	g.Facts.Publish(member.Fact{
		Kind: factKind, Key: string(notice.Digest), Wide: true, Value: value,
	}, time.Until(notice.Until))
}

// Take takes in what the other nodes have told.
func (g *Gossip) Take() {
	for _, fact := range g.Facts.Facts(factKind) {
		var notice Notice
		if fact.Owner == g.Node {
			continue
		}
		if err := json.Unmarshal(fact.Value, &notice); err != nil {
			g.Log.Warn("poison notice can't be read", slog.Any("node", fact.Owner), slog.Any("error", err))
			continue
		}
		g.Learn(notice)
	}
}
