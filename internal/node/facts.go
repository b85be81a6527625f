package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/poison"
)

// loadFactKind is the kind of the facts that carry a node's load.
const loadFactKind = "load"

const (
	factInterval    = time.Second
	minLoadLifetime = 10 * time.Second
	// loadLifetimeIntervals is the lifetime of a published load in intervals.
	loadLifetimeIntervals = 3
)

// factExchange transfers soft state between the members' gossip and the components
// that produce and use it.
type factExchange struct {
	members *member.Controller
	callers *caller.Server
	poison  poison.Gossip
	// loadPublishedAt is when the load was last published.
	loadPublishedAt time.Time
}

func newFactExchange(n *Node, members *member.Controller, callers *caller.Server) *factExchange {
	return &factExchange{members: members, callers: callers, poison: poison.Gossip{
		Node: n.ID, Facts: members, Merge: callers.MergePoisonNotice, Log: n.Log,
	}}
}

// run publishes this node's load and applies the poison notices of other nodes.
func (f *factExchange) run(ctx context.Context) error {
	tick := time.NewTicker(factInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		f.publishLoad()
		f.poison.Receive()
	}
}

// publishLoad publishes this node's load. The interval grows with the number of
// nodes, so that the traffic of each node is bounded.
func (f *factExchange) publishLoad() {
	interval := f.members.FactInterval()
	if time.Since(f.loadPublishedAt) < interval {
		return
	}
	f.loadPublishedAt = time.Now()
	value, err := json.Marshal(f.callers.Running())
	if err != nil {
		return
	}
	f.members.Publish(member.Fact{Kind: loadFactKind, Value: value}, max(minLoadLifetime, loadLifetimeIntervals*interval))
}

// loads returns the number of running requests of each node that publishes it.
func (f *factExchange) loads() lookup.Loads {
	loads := make(lookup.Loads)
	for _, fact := range f.members.Facts(loadFactKind) {
		var running int
		if json.Unmarshal(fact.Value, &running) == nil {
			loads[fact.Owner] = float64(running)
		}
	}
	return loads
}
