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

	// handled holds the versions of the values that ReceiveNew has passed on.
	handled map[factKey]uint64
}

// Publish publishes a value to the other nodes for a time. It replaces this node's value
// under the same key.
func (n *Notices[T]) Publish(key string, value T, lifetime time.Duration) {
	n.publish(key, value, lifetime, false)
}

// PublishUrgent publishes a value that the other nodes send on at once.
func (n *Notices[T]) PublishUrgent(key string, value T, lifetime time.Duration) {
	n.publish(key, value, lifetime, true)
}

func (n *Notices[T]) publish(key string, value T, lifetime time.Duration, urgent bool) {
	text, err := json.Marshal(value)
	if err != nil {
		n.Log.Error("notice not published, encoding failed", slog.String("kind", n.Kind), slog.Any("error", err))
		return
	}
	fact := Fact{Kind: n.Kind, Key: key, CrossRegion: true, Urgent: urgent, Value: text}
	if !n.Facts.Publish(fact, lifetime) {
		n.Log.Error("notice not published, it is too large", slog.String("kind", n.Kind), slog.String("key", key))
	}
}

// Receive passes the values of other nodes, which have not expired, to handle.
func (n *Notices[T]) Receive(handle func(key string, value T)) {
	for _, fact := range n.Facts.Facts(n.Kind) {
		n.pass(fact, handle)
	}
}

// ReceiveNew passes those values of other nodes to handle that the last call has not seen.
// It must not be called concurrently.
func (n *Notices[T]) ReceiveNew(handle func(key string, value T)) {
	facts := n.Facts.Facts(n.Kind)
	seen := make(map[factKey]uint64, len(facts))
	for _, fact := range facts {
		seen[fact.id()] = fact.Version
		if version, found := n.handled[fact.id()]; !found || version != fact.Version {
			n.pass(fact, handle)
		}
	}
	n.handled = seen
}

// pass passes the value of another node to handle.
func (n *Notices[T]) pass(fact Fact, handle func(key string, value T)) {
	if fact.Owner == n.Node {
		return
	}
	var value T
	if err := json.Unmarshal(fact.Value, &value); err != nil {
		n.Log.Warn("failed to decode notice of another node", slog.String("kind", n.Kind),
			slog.String("node", string(fact.Owner)), slog.Any("error", err))
		return
	}
	handle(fact.Key, value)
}
