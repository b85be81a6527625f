package poison

import (
	"log/slog"
	"time"

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
}

func (g *Gossip) notices() *member.Notices[Notice] {
	return &member.Notices[Notice]{Kind: factKind, Node: g.Node, Facts: g.Facts, Log: g.Log}
}

// Publish publishes a notice to the other nodes until the notice expires.
func (g *Gossip) Publish(notice Notice) {
	g.notices().Publish(string(notice.Digest), notice, time.Until(notice.ExpiresAt))
}

// Receive passes the notices of other nodes to Merge.
func (g *Gossip) Receive() {
	g.notices().Receive(func(_ string, notice Notice) { g.Merge(notice) })
}
