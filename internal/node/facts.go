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

// factLoad is the kind of the facts that tell a node's load.
const factLoad = "load"

const (
	factInterval = time.Second
	loadLifetime = 10 * time.Second
	// loadIntervals is how many intervals a load is believed.
	loadIntervals = 3
)

// facts carries soft state between the members' gossip and the parts that
// produce and use it.
type facts struct {
	members *member.Controller
	callers *caller.Server
	poison  poison.Gossip
	// loadTold is when the load was last told.
	loadTold time.Time
}

func newFacts(n *Node, members *member.Controller, callers *caller.Server) *facts {
	return &facts{members: members, callers: callers, poison: poison.Gossip{
		Node: n.ID, Facts: members, Learn: callers.LearnPoison, Log: n.Log,
	}}
}

// run publishes this node's load and takes in what others told.
func (f *facts) run(ctx context.Context) error {
	tick := time.NewTicker(factInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		f.publishLoad()
		f.poison.Take()
	}
}

// publishLoad tells the load, the more seldom the more nodes there are, so
// that the traffic of each stays bounded.
func (f *facts) publishLoad() {
	interval := f.members.FactInterval()
	if time.Since(f.loadTold) < interval {
		return
	}
	f.loadTold = time.Now()
	value, err := json.Marshal(f.callers.Running())
	if err != nil {
		return
	}
	f.members.Publish(member.Fact{Kind: factLoad, Value: value}, max(loadLifetime, loadIntervals*interval))
}

// loads returns the running requests of the nodes that tell them.
func (f *facts) loads() lookup.Loads {
	loads := make(lookup.Loads)
	for _, fact := range f.members.Facts(factLoad) {
		var running int
		if json.Unmarshal(fact.Value, &running) == nil {
			loads[fact.Owner] = float64(running)
		}
	}
	return loads
}
