package poison

import (
	"log/slog"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// factKind is the kind of facts whose value is a notice.
const factKind = "poison"

// Gossip exchanges notices between nodes. Its exported fields must be set before
// use.
type Gossip struct {
	Node  fleet.NodeID
	Facts member.FactStore
	Merge func(Notice)
	Log   *slog.Logger

	once    sync.Once
	notices member.Notices[Notice]
}

func (g *Gossip) setUp() {
	g.notices = member.Notices[Notice]{Kind: factKind, Node: g.Node, Facts: g.Facts, Log: logs.OrDiscard(g.Log)}
}

// Publish publishes a notice to the other nodes until the notice expires. Those of parts
// are urgent: many requests may share one.
func (g *Gossip) Publish(notice Notice) {
	g.once.Do(g.setUp)
	publish := g.notices.Publish
	if notice.Digest.IsPart() {
		publish = g.notices.PublishUrgent
	}
	publish(string(notice.Digest), notice, time.Until(notice.ExpiresAt))
}

// Receive passes the new notices of other nodes to Merge. It must not be called
// concurrently.
func (g *Gossip) Receive() {
	g.once.Do(g.setUp)
	g.notices.ReceiveNew(func(_ string, notice Notice) { g.Merge(notice) })
}
