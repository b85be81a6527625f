package member

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// FactStore publishes facts, which expire, to other nodes and returns those received.
// A [Controller] is one.
type FactStore interface {
	Publish(fact Fact, lifetime time.Duration) bool
	Facts(kind string) []Fact
}

// Notices exchanges values between the nodes of all regions, as facts of one kind. The
// exported fields are set before use.
type Notices[T any] struct {
	Kind  string
	Node  fleet.NodeID
	Facts FactStore
	Log   *slog.Logger
}

// Publish publishes a value to the other nodes for a time. It replaces this node's value
// under the same key.
func (n *Notices[T]) Publish(key string, value T, lifetime time.Duration) {
	text, err := json.Marshal(value)
	if err != nil {
		n.Log.Error("notice not published, encoding failed", slog.String("kind", n.Kind), slog.Any("error", err))
		return
	}
	n.Facts.Publish(Fact{Kind: n.Kind, Key: key, CrossRegion: true, Value: text}, lifetime)
}

// Receive passes the values of other nodes, which have not expired, to handle.
func (n *Notices[T]) Receive(handle func(key string, value T)) {
	for _, fact := range n.Facts.Facts(n.Kind) {
		if fact.Owner == n.Node {
			continue
		}
		var value T
		if err := json.Unmarshal(fact.Value, &value); err != nil {
			n.Log.Warn("failed to decode notice of another node", slog.String("kind", n.Kind),
				slog.String("node", string(fact.Owner)), slog.Any("error", err))
			continue
		}
		handle(fact.Key, value)
	}
}
